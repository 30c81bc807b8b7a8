//! Responses that arrive a second time, on a connection that carries the next request by then.

mod common;

use std::cell::RefCell;
use std::rc::Rc;

use common::caller::call;
use common::caller::post;
use common::engine::Act;
use common::engine::Engine;
use common::engine::Seen;
use common::engine::not_run;
use common::engine::response;
use common::single;
use rstest::rstest;

/// Pause before the response to the request itself.
const RUN_MS: u64 = 50;

/// A statement that a request was not executed, without an identifier.
fn unnamed_not_run() -> Act {
    let head = "HTTP/1.1 503 Busy\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    Act::Write(head.to_owned())
}

/// Declines the first request of each connection among the first two requests, and sends that
/// statement once more when the connection carries another request, which it executes.
fn declining(decline: fn(&str) -> Act) -> impl Fn(&Seen) -> Vec<Act> {
    let declined: Rc<RefCell<Vec<(usize, Act)>>> = Rc::default();
    move |seen| {
        let mut declined = declined.borrow_mut();
        let before = declined
            .iter()
            .find(|(connection, _)| *connection == seen.connection);
        if let Some((_, duplicate)) = before {
            let run = Act::Pause(RUN_MS);
            return vec![duplicate.clone(), run, response(seen.id(), "200 OK", "ran")];
        }
        if declined.is_empty() {
            let decline = decline(seen.id());
            declined.push((seen.connection, decline.clone()));
            return vec![decline];
        }
        vec![response(seen.id(), "200 OK", "ran")]
    }
}

/// Guards against a late duplicate that says of the next request that it did not run, although it
/// does: one without an identifier, and one to an earlier request with the same identifier.
#[rstest]
#[case::without_an_id(|_: &str| unnamed_not_run(), "r2")]
#[case::of_the_same_id(not_run, "r1")]
#[actix_rt::test]
async fn a_late_refusal_is_not_taken_for_the_next_response(
    #[case] decline: fn(&str) -> Act,
    #[case] second: &str,
) {
    let engine = Engine::start(declining(decline)).await;
    let (node, _store) = single(&[&engine]).await;
    let first = call(node.front, &post("/write/", "r1", "x")).await;
    assert_eq!(first.status, 503);
    let answered = call(node.front, &post("/write/", second, "x")).await;
    assert_eq!((answered.status, answered.body.as_str()), (200, "ran"));
    assert_eq!(engine.count(), 2);
}

/// Guards against a late duplicate that lacks the identifier which the refusal itself had: the next
/// request runs, and its caller must not learn the opposite.
#[actix_rt::test]
async fn a_refusal_without_an_id_on_a_reused_connection_proves_nothing() {
    let engine = Engine::start(|seen| {
        if seen.id() == "r1" {
            return vec![not_run(seen.id())];
        }
        let run = Act::Pause(RUN_MS);
        vec![unnamed_not_run(), run, response(seen.id(), "200 OK", "ran")]
    })
    .await;
    let (node, _store) = single(&[&engine]).await;
    let first = call(node.front, &post("/write/", "r1", "x")).await;
    assert_eq!(first.status, 503);
    let second = call(node.front, &post("/write/", "r2", "x")).await;
    assert_eq!(second.status, 502);
    let seen = engine.seen();
    assert_eq!(seen.len(), 2);
    assert_eq!(seen[0].connection, seen[1].connection);
}

/// Guards against a late duplicate without an identifier that reaches the next caller.
#[actix_rt::test]
async fn a_late_response_without_an_id_reaches_no_caller() {
    let engine = Engine::start(|seen| {
        let served = response(seen.id(), "200 OK", seen.id());
        if seen.id() == "r1" {
            return vec![served];
        }
        let head = "HTTP/1.1 200 OK\r\nT-Signature: s\r\nContent-Length: 4\r\n\r\nlate";
        vec![Act::Write(head.to_owned()), Act::Pause(RUN_MS), served]
    })
    .await;
    let (node, _store) = single(&[&engine]).await;
    let first = call(node.front, &post("/write/", "r1", "x")).await;
    assert_eq!((first.status, first.body.as_str()), (200, "r1"));
    let second = call(node.front, &post("/write/", "r2", "x")).await;
    assert_eq!((second.status, second.body.as_str()), (502, ""));
}

/// Guards against connections that are closed after each refusal, which costs upstreams that
/// decline requests a connection for each.
#[actix_rt::test]
async fn a_connection_is_reused_after_a_refusal_with_an_id() {
    let engine = Engine::start(|seen| vec![not_run(seen.id())]).await;
    let (node, _store) = single(&[&engine]).await;
    for id in ["r1", "r2", "r3"] {
        let answered = call(node.front, &post("/write/", id, "x")).await;
        assert_eq!(answered.status, 503);
    }
    assert!(engine.seen().iter().all(|seen| seen.connection == 0));
}
