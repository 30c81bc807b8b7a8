//! Streams: events pass as they arrive, once and without a gap, and never end as if whole.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::caller::Caller;
use common::caller::call;
use common::caller::post;
use common::engine::Act;
use common::engine::Engine;
use common::engine::Seen;
use common::engine::chunk;
use common::engine::end;
use common::engine::event;
use common::engine::stream;
use common::single;
use rstest::rstest;

fn whole(seen: &Seen) -> Vec<Act> {
    let last: u32 = seen
        .header("t-last")
        .map_or(0, |last| last.parse().expect("a number"));
    let events = (last + 1..=5).map(event);
    [stream(seen.id())]
        .into_iter()
        .chain(events)
        .chain([end()])
        .collect()
}

fn text(last: u32) -> String {
    let events = (1..=last).map(|number| format!("id: {number}\ndata: part {number}\n\n"));
    events.collect::<Vec<_>>().concat()
}

#[rstest]
#[case("/chat/")]
#[case("/review/")]
#[actix_rt::test]
async fn a_stream_passes_unchanged(#[case] path: &str) {
    let engine = Engine::start(whole).await;
    let (node, _store) = single(&[&engine]).await;
    let answered = call(node.front, &post(path, "r1", "x")).await;
    assert_eq!((answered.status, answered.whole), (200, true));
    assert_eq!(answered.body, text(5));
    assert_eq!(answered.header("t-signature"), Some("s"));
}

/// Guards against events that wait for the next ones.
#[actix_rt::test]
async fn events_pass_as_they_arrive() {
    let engine = Engine::start(|seen| {
        vec![
            stream(seen.id()),
            event(1),
            Act::Pause(700),
            event(2),
            end(),
        ]
    })
    .await;
    let (node, _store) = single(&[&engine]).await;
    let began = Instant::now();
    let mut caller = Caller::connect(node.front).await;
    caller.write(&post("/review/", "r1", "x")).await;
    let first = caller.read_to("part 1").await;
    assert!(began.elapsed() < Duration::from_millis(400));
    assert!(!first.contains("part 2"), "{first}");
}

/// How an upstream breaks a stream off after its second event.
fn breaks(how: &'static str) -> impl Fn(&Seen) -> Vec<Act> {
    move |seen| {
        let mut acts = vec![stream(seen.id()), event(1), event(2)];
        match how {
            "reset" => acts.extend([Act::Pause(20), Act::Reset]),
            "close" => acts.push(Act::Close),
            "within an event" => acts.extend([chunk("id: 3\nda"), Act::Close]),
            "ends within an event" => acts.extend([chunk("id: 3\nda"), end()]),
            "out of order" => acts.extend([event(4), event(5), end()]),
            "no chunk" => acts.extend([Act::Write("zz\r\n".to_owned()), Act::Hang]),
            _ => acts.push(Act::Hang),
        }
        acts
    }
}

/// Guards against a broken stream that looks whole, or that another upstream runs again.
#[rstest]
#[case("reset")]
#[case("close")]
#[case("within an event")]
#[case("ends within an event")]
#[case("out of order")]
#[case("no chunk")]
#[actix_rt::test]
async fn a_stream_that_may_not_be_resumed_ends_visibly_broken(#[case] how: &'static str) {
    let engines = [
        Engine::start(breaks(how)).await,
        Engine::start(breaks(how)).await,
    ];
    let (node, _store) = single(&engines.each_ref()).await;
    let answered = call(node.front, &post("/review/", "r1", "x")).await;
    assert_eq!((answered.status, answered.whole), (200, false));
    assert_eq!(answered.body, text(2));
    let count: usize = engines.iter().map(Engine::count).sum();
    assert_eq!(count, 1);
}

/// Guards against a piece that is missing or comes twice where another upstream goes on.
#[rstest]
#[case("reset")]
#[case("close")]
#[case("within an event")]
#[case("ends within an event")]
#[case("out of order")]
#[case("no chunk")]
#[case("silent")]
#[actix_rt::test]
async fn a_stream_that_may_be_resumed_goes_on_elsewhere(#[case] how: &'static str) {
    // Which upstream is asked first is random, so both break off a fresh stream.
    let script = move |seen: &Seen| match seen.header("t-last") {
        Some(_) => whole(seen),
        None => breaks(how)(seen),
    };
    let engines = [Engine::start(script).await, Engine::start(script).await];
    let (node, _store) = single(&engines.each_ref()).await;
    let answered = call(node.front, &post("/chat/", "r1", "x")).await;
    assert_eq!((answered.status, answered.whole), (200, true));
    assert_eq!(answered.body, text(5));
    let mut lasts: Vec<Option<String>> = engines
        .iter()
        .flat_map(Engine::seen)
        .map(|seen| seen.header("t-last").map(str::to_owned))
        .collect();
    lasts.sort();
    assert_eq!(lasts, [None, Some("2".to_owned())]);
}

/// Guards against a stream that goes on for ever between upstreams that all break it off.
#[actix_rt::test]
async fn a_resumed_stream_that_breaks_again_ends_visibly_broken() {
    let engines = [
        Engine::start(breaks("reset")).await,
        Engine::start(breaks("reset")).await,
        Engine::start(breaks("reset")).await,
    ];
    let (node, _store) = single(&engines.each_ref()).await;
    let answered = call(node.front, &post("/chat/", "r1", "x")).await;
    assert!(!answered.whole);
    assert_eq!(answered.body, text(2));
    let count: usize = engines.iter().map(Engine::count).sum();
    assert_eq!(count, 2);
}

/// Guards against an upstream that works on for a caller who left in the middle of a stream.
#[actix_rt::test]
async fn a_caller_that_leaves_ends_its_stream() {
    let engine = Engine::start(|seen| vec![stream(seen.id()), event(1), Act::Hang]).await;
    let (node, _store) = single(&[&engine]).await;
    let mut caller = Caller::connect(node.front).await;
    caller.write(&post("/review/", "r1", "x")).await;
    caller.read_to("part 1").await;
    drop(caller);
    let abandoned = std::rc::Rc::clone(&engine.abandoned);
    common::until("the engine is told", || abandoned.get() == 1).await;
}
