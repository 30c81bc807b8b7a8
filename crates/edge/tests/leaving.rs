//! Engines that announce that they shut down, and engines that ask for a pause.

mod common;

use std::time::Duration;
use std::time::Instant;

use actix_rt::time::sleep;
use common::Node;
use common::caller::call;
use common::caller::get;
use common::caller::post;
use common::engine::Act;
use common::engine::Engine;
use common::engine::Seen;
use common::engine::end;
use common::engine::event;
use common::engine::response;
use common::engine::response_with;
use common::zone;
use rstest::rstest;

/// Requests of each check; with two engines to choose from, all of them miss one by chance only
/// once in a million times.
const REQUESTS: usize = 20;
/// Pause that an engine asks for.
const PAUSE: Duration = Duration::from_millis(900);
/// Time within which the routers of a zone hear what one of them learnt.
const SPREAD_TIME: Duration = Duration::from_millis(400);

async fn healthy() -> Engine {
    Engine::start(|seen| vec![response(seen.id(), "200 OK", "fine")]).await
}

async fn send(node: &Node, name: &str) -> usize {
    let mut served = 0;
    for index in 0..REQUESTS {
        let answered = call(node.front, &get("/read/", &format!("{name}-{index}"))).await;
        served += usize::from(answered.status == 200);
    }
    served
}

/// Sends requests until an engine has received one.
async fn reach(node: &Node, engine: &Engine, path: &str) {
    for index in 0..REQUESTS {
        if engine.count() > 0 {
            return;
        }
        call(node.front, &post(path, &format!("reach-{index}"), "x")).await;
    }
    panic!("the engine gets no requests");
}

fn leaving(how: &'static str) -> impl Fn(&Seen) -> Vec<Act> {
    move |seen| {
        let headers = "T-Leaving: 1\r\n";
        match how {
            "success" => vec![response_with(seen.id(), "200 OK", headers, "fine")],
            "error" => vec![response_with(seen.id(), "500 Failed", headers, "failed")],
            "declined" => {
                let headers = "T-Leaving: 1\r\nT-Not-Run: 1\r\n";
                vec![response_with(seen.id(), "503 Busy", headers, "")]
            }
            _ => vec![
                Act::Write(format!(
                    "HTTP/1.1 200 OK\r\nT-Id: {}\r\nT-Signature: s\r\nT-Leaving: 1\r\n\
                     Transfer-Encoding: chunked\r\n\r\n",
                    seen.id()
                )),
                event(1),
                end(),
            ],
        }
    }
}

/// Guards against requests to an engine that has said that it leaves, before its entry in the store
/// says so, from the router that heard it and from others of its zone.
#[rstest]
#[case("success", "/write/")]
#[case("error", "/write/")]
#[case("declined", "/write/")]
#[case("stream", "/chat/")]
#[actix_rt::test]
async fn an_engine_that_announces_its_leaving_gets_nothing_new(
    #[case] how: &'static str,
    #[case] path: &str,
) {
    let (gone, stays) = (Engine::start(leaving(how)).await, healthy().await);
    let (nodes, _store) = zone(2, &[(&gone, "v1"), (&stays, "v1")]).await;
    reach(&nodes[0], &gone, path).await;
    assert_eq!(send(&nodes[0], "own").await, REQUESTS);
    assert_eq!(gone.count(), 1, "the router that heard it");
    sleep(SPREAD_TIME).await;
    assert_eq!(send(&nodes[1], "peer").await, REQUESTS);
    assert_eq!(gone.count(), 1, "a peer");
}

fn pausing() -> impl Fn(&Seen) -> Vec<Act> {
    let began = Instant::now();
    move |seen| {
        if began.elapsed() > PAUSE {
            return vec![response(seen.id(), "200 OK", "fine")];
        }
        let headers = format!("T-Not-Run: 1\r\nT-Pause: {}\r\n", PAUSE.as_millis());
        vec![response_with(seen.id(), "503 Busy", &headers, "")]
    }
}

/// Guards against requests to an engine during the pause that it asked for, and against an engine
/// that stays unused after it.
#[actix_rt::test]
async fn an_engine_gets_nothing_during_its_pause() {
    let (paused, ready) = (Engine::start(pausing()).await, healthy().await);
    let (nodes, _store) = zone(1, &[(&paused, "v1"), (&ready, "v1")]).await;
    reach(&nodes[0], &paused, "/write/").await;
    let began = Instant::now();
    assert_eq!(send(&nodes[0], "during").await, REQUESTS);
    assert!(began.elapsed() < PAUSE, "the pause is over");
    assert_eq!(paused.count(), 1);
    sleep(PAUSE).await;
    assert_eq!(send(&nodes[0], "after").await, REQUESTS);
    assert!(paused.count() > 1);
}

/// Guards against callers that wait, or are told a time that cannot be true, while all engines have
/// asked for a pause.
#[actix_rt::test]
async fn callers_are_refused_until_the_soonest_end_of_all_pauses() {
    let engines = [
        Engine::start(pausing()).await,
        Engine::start(pausing()).await,
    ];
    let (nodes, _store) = zone(1, &[(&engines[0], "v1"), (&engines[1], "v1")]).await;
    call(nodes[0].front, &post("/write/", "first", "x")).await;
    let count = engines[0].count() + engines[1].count();
    assert_eq!(count, 2, "both are asked once");
    let began = Instant::now();
    let answered = call(nodes[0].front, &post("/write/", "second", "x")).await;
    assert_eq!(answered.status, 503);
    assert!(began.elapsed() < Duration::from_millis(100));
    let after = answered.header("retry-after").unwrap_or_default();
    let after: f64 = after.parse().expect("a number of seconds");
    assert!(after > 0.6 && after < 1.3, "{after}");
    assert_eq!(engines[0].count() + engines[1].count(), count);
}
