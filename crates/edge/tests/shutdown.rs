//! Requests that arrive, are read or run in the last moments of a planned shutdown.

mod common;

use std::collections::BTreeSet;
use std::net::SocketAddr;
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
use common::engine::Seen;
use common::engine::end;
use common::engine::event;
use common::engine::response;
use common::engine::stream;
use common::platform::DEFAULT;
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

/// Routes of all kinds: path, time that the upstream takes for a request, or for each event.
const KINDS: [(&str, u64); 4] = [
    ("/read/", 250),
    ("/write/", 250),
    ("/slow-write/", 1_400),
    ("/review/", 250),
];
/// Time between the requests of a kind.
const STEP: Duration = Duration::from_millis(350);

/// Runs a request as its path asks.
fn run_kind(seen: &Seen) -> Vec<Act> {
    let kind = KINDS.iter().find(|(path, _)| seen.head.contains(path));
    let run = Act::Pause(kind.expect("a known path").1);
    if seen.head.contains("/review/") {
        return vec![
            stream(seen.id()),
            event(1),
            run.clone(),
            event(2),
            run,
            end(),
        ];
    }
    vec![run, response(seen.id(), "200 OK", "done")]
}

/// Sends a request after a delay, on a connection that was used before or on a new one.
async fn send_later(
    front: SocketAddr,
    delay: Duration,
    is_kept: bool,
    request: String,
) -> Option<Response> {
    let mut caller = None;
    if is_kept {
        let mut kept = Caller::connect(front).await;
        kept.write(&post("/read/", "first", "x")).await;
        assert_eq!(kept.read().await.expect("a response").status, 200);
        caller = Some(kept);
    }
    sleep(delay).await;
    let mut caller = match caller {
        Some(kept) => kept,
        None => Caller::connect(front).await,
    };
    caller.try_write(&request).await.then_some(())?;
    caller.read().await
}

/// Guards against requests that are passed on in a planned shutdown and get no answer, or one that
/// leaves open whether they ran: at each moment, on new and on kept connections, of all kinds.
#[actix_rt::test]
async fn requests_at_each_moment_of_a_shutdown_are_served_or_not_run() {
    let engine = Engine::start(run_kind).await;
    let (node, store) = single(&[&engine]).await;
    store.configure(&format!("{DEFAULT}/slow-write/ once 1 3000 public\n").replacen('1', "2", 1));
    common::until("the route is known", || {
        let table = node.shared.table();
        table.is_some_and(|table| table.version() == 2)
    })
    .await;
    let limit = node.shared.shutdown_limit();
    let mut sent = Vec::new();
    for (path, _) in KINDS {
        for step in 0.. {
            let delay = STEP * step;
            if delay >= limit {
                break;
            }
            for is_kept in [false, true] {
                let id = format!("{}-{}-{is_kept}", path.trim_matches('/'), delay.as_millis());
                let request = post(path, &id, "x");
                let sending = send_later(node.front, delay, is_kept, request);
                sent.push((id, actix_rt::spawn(sending)));
            }
        }
    }
    // Kept connections are used once before the shutdown.
    sleep(PART * 2).await;
    let shared = Rc::clone(&node.shared);
    let stop = actix_rt::spawn(async move { node::stop(&*shared).await });
    stop.await.expect("it ends");
    let seen: BTreeSet<String> = engine
        .seen()
        .iter()
        .map(|seen| seen.id().to_owned())
        .collect();
    let mut served = 0;
    for (id, sending) in sent {
        if !sending.is_finished() {
            assert!(!seen.contains(&id), "{id} was passed on and got no answer");
            sending.abort();
            continue;
        }
        match sending.await.expect("no panic") {
            Some(response) if seen.contains(&id) => {
                assert!(
                    response.status == 200 && response.complete,
                    "{id}: {response:?}"
                );
                served += 1;
            }
            Some(response) => assert_eq!(response.status, 503, "{id}"),
            None => assert!(!seen.contains(&id), "{id} was passed on and got no answer"),
        }
    }
    assert!(served > 60, "{served} requests were served");
}
