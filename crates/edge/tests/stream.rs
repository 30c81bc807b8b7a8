//! Streams: events are passed on at once, exactly once and in order; a broken stream is never
//! passed on as complete.

mod common;

use std::cell::Cell;
use std::rc::Rc;
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
use common::engine::response;
use common::engine::stream;
use common::single;
use rstest::rstest;

fn complete(seen: &Seen) -> Vec<Act> {
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
async fn a_stream_is_passed_on_unchanged(#[case] path: &str) {
    let engine = Engine::start(complete).await;
    let (node, _store) = single(&[&engine]).await;
    let answered = call(node.front, &post(path, "r1", "x")).await;
    assert_eq!((answered.status, answered.complete), (200, true));
    assert_eq!(answered.body, text(5));
    assert_eq!(answered.header("t-signature"), Some("s"));
}

/// Guards against events that are buffered until the next one arrives.
#[actix_rt::test]
async fn events_are_passed_on_as_they_arrive() {
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

/// Script of an upstream that fails after the second event of a stream.
fn failing(how: &'static str) -> impl Fn(&Seen) -> Vec<Act> {
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

/// Guards against a broken stream that looks complete, or that is executed again elsewhere.
#[rstest]
#[case("reset")]
#[case("close")]
#[case("within an event")]
#[case("ends within an event")]
#[case("out of order")]
#[case("no chunk")]
#[actix_rt::test]
async fn a_broken_stream_that_is_not_resumable_is_aborted(#[case] how: &'static str) {
    let engines = [
        Engine::start(failing(how)).await,
        Engine::start(failing(how)).await,
    ];
    let (node, _store) = single(&engines.each_ref()).await;
    let answered = call(node.front, &post("/review/", "r1", "x")).await;
    assert_eq!((answered.status, answered.complete), (200, false));
    assert_eq!(answered.body, text(2));
    let count: usize = engines.iter().map(Engine::count).sum();
    assert_eq!(count, 1);
}

/// Guards against events that are missing or duplicated when another upstream resumes a stream.
#[rstest]
#[case("reset")]
#[case("close")]
#[case("within an event")]
#[case("ends within an event")]
#[case("out of order")]
#[case("no chunk")]
#[case("silent")]
#[actix_rt::test]
async fn a_resumable_stream_continues_at_another_upstream(#[case] how: &'static str) {
    // The first upstream is chosen at random, so both fail a stream that is not resumed.
    let script = move |seen: &Seen| match seen.header("t-last") {
        Some(_) => complete(seen),
        None => failing(how)(seen),
    };
    let engines = [Engine::start(script).await, Engine::start(script).await];
    let (node, _store) = single(&engines.each_ref()).await;
    let answered = call(node.front, &post("/chat/", "r1", "x")).await;
    assert_eq!((answered.status, answered.complete), (200, true));
    assert_eq!(answered.body, text(5));
    let mut lasts: Vec<Option<String>> = engines
        .iter()
        .flat_map(Engine::seen)
        .map(|seen| seen.header("t-last").map(str::to_owned))
        .collect();
    lasts.sort();
    assert_eq!(lasts, [None, Some("2".to_owned())]);
}

/// Guards against endless resumptions when all upstreams fail.
#[actix_rt::test]
async fn a_stream_is_aborted_when_its_resumption_fails() {
    let engines = [
        Engine::start(failing("reset")).await,
        Engine::start(failing("reset")).await,
        Engine::start(failing("reset")).await,
    ];
    let (node, _store) = single(&engines.each_ref()).await;
    let answered = call(node.front, &post("/chat/", "r1", "x")).await;
    assert!(!answered.complete);
    assert_eq!(answered.body, text(2));
    let count: usize = engines.iter().map(Engine::count).sum();
    assert_eq!(count, 2);
}

/// Guards against an upstream that continues to work for a caller that disconnected during a
/// stream.
#[actix_rt::test]
async fn a_disconnected_caller_cancels_its_stream() {
    let engine = Engine::start(|seen| vec![stream(seen.id()), event(1), Act::Hang]).await;
    let (node, _store) = single(&[&engine]).await;
    let mut caller = Caller::connect(node.front).await;
    caller.write(&post("/review/", "r1", "x")).await;
    caller.read_to("part 1").await;
    drop(caller);
    let abandoned = std::rc::Rc::clone(&engine.abandoned);
    common::until("the engine's connection is closed", || abandoned.get() == 1).await;
}

/// Guards against an error response that is written into the middle of a stream, when the upstream
/// that should resume it answers with an error.
#[rstest]
#[case("500 Internal Server Error")]
#[case("404 Not Found")]
#[actix_rt::test]
async fn an_error_of_the_resuming_upstream_is_not_written_into_the_stream(
    #[case] status: &'static str,
) {
    let script = move |seen: &Seen| match seen.header("t-last") {
        Some(_) => vec![response(seen.id(), status, "this is no event")],
        None => vec![stream(seen.id()), event(1), event(2), Act::Close],
    };
    let engines = [Engine::start(script).await, Engine::start(script).await];
    let (node, _store) = single(&[&engines[0], &engines[1]]).await;
    let answered = call(node.front, &post("/chat/", "r1", "x")).await;
    assert_eq!((answered.status, answered.complete), (200, false));
    assert_eq!(answered.body, text(2));
    assert_eq!(engines[0].count() + engines[1].count(), 2);
}

/// Guards against an event that is missing after a resumption, since it arrived together with one
/// that is out of order or none at all.
#[rstest]
#[case::out_of_order("id: 9\ndata: part 9\n\n")]
#[case::repeated("id: 2\ndata: part 2\n\n")]
#[case::no_event("no room\n\n")]
#[actix_rt::test]
async fn events_before_a_malformed_one_are_not_lost(#[case] malformed: &'static str) {
    let is_first = Rc::new(Cell::new(true));
    let script = move |seen: &Seen| {
        if is_first.take() {
            let events = format!("{}{malformed}", text(2));
            return vec![stream(seen.id()), chunk(&events), Act::Close];
        }
        let last = seen.header("t-last").unwrap_or("0");
        let last: u32 = last.parse().expect("a number");
        let rest = (last + 1..=3).map(event);
        let begun = [stream(seen.id())].into_iter().chain(rest);
        begun.chain([end()]).collect()
    };
    let engines = [
        Engine::start(script.clone()).await,
        Engine::start(script).await,
    ];
    let (node, _store) = single(&[&engines[0], &engines[1]]).await;
    let answered = call(node.front, &post("/chat/", "r1", "x")).await;
    assert_eq!((answered.status, answered.complete), (200, true));
    assert_eq!(answered.body, text(3));
}

/// Head of a stream that ends when its connection is closed.
fn unframed(seen: &Seen) -> Act {
    let id = seen.id();
    Act::Write(format!(
        "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Signature: s\r\n\r\n"
    ))
}

/// Guards against a stream without a length that is lost, or that looks complete although it broke
/// off within an event or before the first one.
#[rstest]
#[case::complete("id: 1\ndata: part 1\n\nid: 2\ndata: part 2\n\n", Act::Close, true, 2)]
#[case::within_an_event("id: 1\ndata: part 1\n\nid: 2\nda", Act::Close, false, 1)]
#[case::reset("id: 1\ndata: part 1\n\nid: 2\nda", Act::Reset, false, 1)]
#[case::before_an_event("", Act::Close, false, 0)]
#[actix_rt::test]
async fn a_stream_without_a_length_ends_with_its_connection(
    #[case] body: &'static str,
    #[case] last: Act,
    #[case] complete: bool,
    #[case] events: u32,
) {
    let script = move |seen: &Seen| {
        let body = Act::Write(body.to_owned());
        vec![unframed(seen), body, Act::Pause(20), last.clone()]
    };
    let engine = Engine::start(script).await;
    let (node, _store) = single(&[&engine]).await;
    let answered = call(node.front, &post("/review/", "r1", "x")).await;
    let is_complete = answered.status == 200 && answered.complete;
    assert_eq!(is_complete, complete);
    assert_eq!(answered.body, text(events));
}
