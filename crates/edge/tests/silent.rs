//! Sound upstreams that send nothing for a second or so and then go on.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::time::sleep;
use common::caller::call;
use common::caller::post;
use common::engine::Act;
use common::engine::Engine;
use common::engine::Seen;
use common::engine::end;
use common::engine::event;
use common::engine::stream;
use common::zone;
use rstest::rstest;

const SILENCE: Duration = Duration::from_millis(1_300);
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(30);
const REQUESTS: usize = 120;
/// When the upstreams fall silent, one after the other.
const SILENT_AT: [Duration; 2] = [Duration::from_millis(600), Duration::from_secs(1)];

/// Acts of an upstream that is silent from a time after the start on.
fn acts(seen: &Seen, began: Instant, silent_at: Option<Duration>) -> Vec<Act> {
    let now = began.elapsed();
    let pause = |from: Duration| {
        let end = silent_at.map(|at| at + SILENCE);
        let is_silent = silent_at.is_some_and(|at| from >= at) && end.is_some_and(|end| from < end);
        let left = end
            .filter(|_| is_silent)
            .map_or(Duration::ZERO, |end| end.saturating_sub(from));
        Act::Pause(left.as_millis() as u64)
    };
    let gap = Duration::from_millis(100);
    let mut acts = vec![pause(now), stream(seen.id())];
    if seen.header("t-last").is_none() {
        acts.push(event(1));
        acts.push(Act::Pause(gap.as_millis() as u64));
        acts.push(pause(now + gap));
    }
    acts.push(event(2));
    acts.push(end());
    acts
}

/// Guards against a router that breaks off, or takes for a crash or a cut, what a sound upstream
/// goes on with after a silence.
#[rstest]
#[case::once("/review/x")]
#[case::resumable("/chat/x")]
#[actix_rt::test]
async fn a_silence_of_a_sound_upstream_ends_no_stream(#[case] path: &str) {
    let began = Instant::now();
    let mut engines = Vec::new();
    for index in 0..3 {
        let silent_at = SILENT_AT.get(index).copied();
        engines.push(Engine::start(move |seen| acts(seen, began, silent_at)).await);
    }
    let listed: Vec<(&Engine, &str)> = engines.iter().map(|engine| (engine, "v1")).collect();
    let (nodes, _store) = zone(2, &listed).await;
    let complete = Rc::new(Cell::new(0));
    let mut calls = Vec::new();
    for number in 0..REQUESTS {
        let front = nodes[number % nodes.len()].front;
        let text = post(path, &format!("s{number}"), "x");
        let complete = Rc::clone(&complete);
        calls.push(actix_rt::spawn(async move {
            let answer = call(front, &text).await;
            let is_whole = answer.complete && answer.body.contains("part 2");
            complete.set(complete.get() + usize::from(is_whole));
        }));
        sleep(INTERVAL).await;
        for node in &nodes {
            let fleet = node.shared.fleet.borrow();
            assert!(fleet.unreachable_services().is_empty(), "after {number}");
        }
    }
    for call in calls {
        call.await.expect("it ends");
    }
    assert_eq!(complete.get(), REQUESTS);
    for node in &nodes {
        let report = node.shared.poison.borrow().report(node.shared.now());
        assert!(report.is_empty(), "{report:?}");
    }
}
