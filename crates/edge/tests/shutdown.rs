//! Requests that arrive, are read or run in the last moments of a planned shutdown.

mod common;

use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_rt::time::sleep;
use common::Node;
use common::caller::Caller;
use common::caller::Response;
use common::caller::post;
use common::engine::Act;
use common::engine::Engine;
use common::engine::response;
use common::single;
use common::store::Store;
use rstest::rstest;
use snipeusher_edge::lifecycle::DEREGISTRATION;
use snipeusher_edge::node;

/// Time after the end of the deregistration at which requests arrive.
const LATE: Duration = Duration::from_millis(150);
/// Time from a connection to its first bytes.
const ROUND_TRIP: Duration = Duration::from_millis(30);
/// Time between the parts of a request that arrives slowly.
const PART: Duration = Duration::from_millis(250);

/// A router that has begun to shut down, and its shutdown.
async fn leaving(run_ms: u64, engine: &mut Option<Engine>) -> (Node, Store, JoinHandle<()>) {
    let started = Engine::start(move |seen| {
        let run = Act::Pause(run_ms);
        vec![run, response(seen.id(), "200 OK", "done")]
    })
    .await;
    let started = engine.insert(started);
    let (node, store) = single(&[&*started]).await;
    let shared = Rc::clone(&node.shared);
    let stop = actix_rt::spawn(async move { node::stop(&*shared).await });
    (node, store, stop)
}

/// The response, if it arrives before the process exits.
async fn before_exit(caller: &mut Caller, stop: &mut JoinHandle<()>) -> Option<Response> {
    tokio::select! {
        biased;
        answered = caller.read() => answered,
        _ = stop => None,
    }
}

/// Guards against a connection that is accepted late in a shutdown and closed without a response,
/// since callers still reach a host if the balancer has no other.
#[actix_rt::test]
async fn a_request_on_a_late_connection_is_answered() {
    let mut engine = None;
    let (node, _store, mut stop) = leaving(800, &mut engine).await;
    sleep(DEREGISTRATION.saturating_sub(LATE)).await;
    let mut earlier = Caller::connect(node.front).await;
    earlier.write(&post("/write/", "earlier", "x")).await;
    sleep(LATE * 2).await;
    let mut late = Caller::connect(node.front).await;
    sleep(ROUND_TRIP).await;
    late.write(&post("/write/", "late", "x")).await;
    let answered = before_exit(&mut late, &mut stop).await;
    assert_eq!(answered.expect("a response").status, 200);
    let answered = before_exit(&mut earlier, &mut stop).await;
    assert_eq!(answered.expect("a response").status, 200);
    stop.await.expect("it ends");
}

/// Guards against an exit while a request is being read, which is not in flight yet.
#[rstest]
#[case::head(&["POST /write/ HTTP/1.1\r\nHost: test.example\r\n", "T-Id: r1\r\nContent-Length: 1\r\n\r\nx"])]
#[case::body(&["POST /write/ HTTP/1.1\r\nHost: test.example\r\nT-Id: r1\r\nContent-Length: 2\r\n\r\nx", "y"])]
#[actix_rt::test]
async fn a_request_that_is_being_read_is_answered(#[case] parts: &[&str]) {
    let mut engine = None;
    let (node, _store, mut stop) = leaving(10, &mut engine).await;
    sleep(DEREGISTRATION.saturating_sub(LATE)).await;
    let mut caller = Caller::connect(node.front).await;
    for part in parts {
        assert!(!stop.is_finished(), "it exits while a request arrives");
        caller.write(part).await;
        sleep(PART).await;
    }
    let answered = before_exit(&mut caller, &mut stop).await;
    assert_eq!(answered.expect("a response").status, 200);
    stop.await.expect("it ends");
}

/// Guards against a connection without a request that delays the exit.
#[actix_rt::test]
async fn a_connection_without_a_request_does_not_delay_the_exit() {
    let mut engine = None;
    let (node, _store, mut stop) = leaving(10, &mut engine).await;
    sleep(DEREGISTRATION.saturating_sub(LATE)).await;
    let mut caller = Caller::connect(node.front).await;
    tokio::select! {
        _ = &mut stop => {}
        () = sleep(LATE + PART * 2) => panic!("it is still running"),
    }
    assert!(caller.is_closed().await);
}

/// Guards against a request that runs longer than the process may and is closed without a response.
#[actix_rt::test]
async fn a_request_that_outlasts_the_shutdown_is_answered() {
    let mut engine = None;
    let (node, store, mut stop) = leaving(30_000, &mut engine).await;
    store.configure("2\n/long/ once 1 30000 public\n");
    common::until("the route is known", || {
        let table = node.shared.table();
        table.is_some_and(|table| table.version() == 2)
    })
    .await;
    let mut caller = Caller::connect(node.front).await;
    caller.write(&post("/long/", "r1", "x")).await;
    let answered = before_exit(&mut caller, &mut stop).await;
    assert_eq!(answered.expect("a response").status, 504);
    stop.await.expect("it ends");
}
