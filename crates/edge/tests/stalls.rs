//! Streams that are slow, and streams that are stalled although bytes arrive now and then.

mod common;

use std::time::Duration;
use std::time::Instant;

use common::caller::call;
use common::caller::post;
use common::engine::Act;
use common::engine::Engine;
use common::engine::Seen;
use common::engine::end;
use common::engine::event;
use common::engine::stream;
use common::single;
use rstest::rstest;

/// Pause between two signs of life without an event.
const DRIP_MS: u64 = 150;
/// Signs of life, which last longer than the timeout of the routes.
const DRIPS: usize = 40;
/// Gap after which callers of the routes in use give up.
const CALLER_GAP: Duration = Duration::from_secs(2);
/// Time that a stream may take to end after the caller gives up, on a busy machine.
const END_TIME: Duration = Duration::from_millis(900);

/// Acts of an upstream that sends one event, then what is not part of a complete one.
fn dripping(seen: &Seen, drip: &'static str) -> Vec<Act> {
    let mut acts = vec![stream(seen.id()), event(1)];
    for _ in 0..DRIPS {
        acts.push(Act::Pause(DRIP_MS));
        acts.push(Act::Write(drip.to_owned()));
    }
    acts
}

/// Guards against a stalled stream that bytes without an event keep from another upstream, until
/// the caller has given up.
#[rstest]
#[case::part_of_an_event("1\r\nd\r\n")]
#[case::comment("4\r\n: \n\n\r\n")]
#[actix_rt::test]
async fn a_stalled_stream_with_signs_of_life_continues_elsewhere(#[case] drip: &'static str) {
    let script = move |seen: &Seen| match seen.header("t-last") {
        Some(_) => vec![stream(seen.id()), event(2), end()],
        None => dripping(seen, drip),
    };
    let engines = [Engine::start(script).await, Engine::start(script).await];
    let (node, _store) = single(&engines.each_ref()).await;
    let began = Instant::now();
    let answered = call(node.front, &post("/chat/", "r1", "x")).await;
    assert!(answered.complete, "{}", answered.body);
    assert!(answered.body.ends_with("id: 2\ndata: part 2\n\n"));
    assert!(began.elapsed() < CALLER_GAP, "{:?}", began.elapsed());
}

/// Guards against a stalled stream that cannot be resumed and runs on after its caller has given up.
#[rstest]
#[case::part_of_an_event("1\r\nd\r\n")]
#[case::comment("4\r\n: \n\n\r\n")]
#[actix_rt::test]
async fn a_stalled_stream_ends_when_callers_give_up(#[case] drip: &'static str) {
    let engine = Engine::start(move |seen| dripping(seen, drip)).await;
    let (node, _store) = single(&[&engine]).await;
    let began = Instant::now();
    let answered = call(node.front, &post("/review/", "r1", "x")).await;
    let time = began.elapsed();
    assert!(!answered.complete, "a broken stream looks complete");
    assert!(
        time >= CALLER_GAP && time < CALLER_GAP + END_TIME,
        "{time:?}"
    );
}

/// Guards against a slow but healthy stream that is moved to another upstream, where its prompt is
/// processed again, long before its caller gives up.
#[actix_rt::test]
async fn a_slow_stream_stays_at_its_upstream() {
    let script = |seen: &Seen| {
        let pause = Act::Pause(1_350);
        vec![stream(seen.id()), event(1), pause, event(2), end()]
    };
    let engines = [Engine::start(script).await, Engine::start(script).await];
    let (node, store) = single(&engines.each_ref()).await;
    store.configure("2\n/slow/ resumable 2 4000 public\n");
    common::until("the route is known", || {
        let table = node.shared.table();
        table.is_some_and(|table| table.version() == 2)
    })
    .await;
    let answered = call(node.front, &post("/slow/", "r1", "x")).await;
    assert!(answered.complete, "{}", answered.body);
    assert_eq!(engines[0].count() + engines[1].count(), 1);
}

/// Guards against a stream that is given up for a pause before its first event, for which only the
/// deadline counts, or for a pause shorter than what callers wait for.
#[rstest]
#[case::before_the_first_event(2_400, 0)]
#[case::between_events(0, 1_700)]
#[actix_rt::test]
async fn a_pause_that_callers_wait_for_ends_no_stream(#[case] first: u64, #[case] second: u64) {
    let script = move |seen: &Seen| {
        let mut acts = vec![stream(seen.id()), Act::Pause(first), event(1)];
        acts.extend([Act::Pause(second), event(2), end()]);
        acts
    };
    let engine = Engine::start(script).await;
    let (node, _store) = single(&[&engine]).await;
    let answered = call(node.front, &post("/review/", "r1", "x")).await;
    assert!(answered.complete, "{}", answered.body);
}
