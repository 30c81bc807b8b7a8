//! Requests and responses are forwarded unchanged, apart from headers that must not be.

mod common;

use std::rc::Rc;

use common::caller::Caller;
use common::caller::call;
use common::caller::get;
use common::caller::post;
use common::engine::Act;
use common::engine::Engine;
use common::engine::response;
use common::single;
use rstest::rstest;

/// Guards against a request that is forwarded with another method, path, query or body.
#[actix_rt::test]
async fn method_path_query_and_body_are_unchanged() {
    let engine = Engine::start(|seen| vec![response(seen.id(), "200 OK", "fine")]).await;
    let (node, _store) = single(&[&engine]).await;
    let path = "/write/a%20b/../c?q=%2F&r";
    let answered = call(node.front, &post(path, "r1", "to be kept")).await;
    assert_eq!((answered.status, answered.body.as_str()), (200, "fine"));
    assert_eq!(answered.header("t-signature"), Some("s"));
    let seen = engine.seen();
    assert_eq!(seen.len(), 1);
    assert!(
        seen[0]
            .head
            .starts_with(&format!("POST {path} HTTP/1.1\r\n"))
    );
    assert_eq!(seen[0].body, b"to be kept");
    assert_eq!(seen[0].id(), "r1");
}

/// Guards against a chunked body that is forwarded changed, and against a pipelined request that is
/// forwarded as part of the body.
#[actix_rt::test]
async fn a_chunked_body_ends_before_a_pipelined_request() {
    let engine = Engine::start(|seen| vec![response(seen.id(), "200 OK", seen.id())]).await;
    let (node, _store) = single(&[&engine]).await;
    let mut caller = Caller::connect(node.front).await;
    let first = "POST /write/ HTTP/1.1\r\nHost: test.example\r\nT-Id: r1\r\n\
                 Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    caller
        .write(&format!("{first}{}", get("/read/", "r2")))
        .await;
    let answers = [caller.read().await, caller.read().await];
    let bodies = answers.map(|answer| answer.expect("an answer").body);
    assert_eq!(bodies, ["r1", "r2"]);
    let seen = engine.seen();
    assert_eq!(seen[0].body, b"abcde");
    assert!(seen[1].body.is_empty());
}

/// Guards against an API key that reaches an upstream, and against a caller that sets headers
/// reserved for the router.
#[actix_rt::test]
async fn reserved_and_hop_by_hop_headers_are_not_forwarded() {
    let engine = Engine::start(|seen| vec![response(seen.id(), "200 OK", "")]).await;
    let (node, _store) = single(&[&engine]).await;
    let text = "GET /closed/ HTTP/1.1\r\nHost: test.example\r\nT-Id: r1\r\nT-Key: secret-key\r\n\
                T-Workspace: another\r\nT-Upstream: another\r\nT-Deadline: 600\r\n\
                Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=9\r\n\
                TE: trailers\r\nX-End: kept\r\n\r\n";
    assert_eq!(call(node.front, text).await.status, 200);
    let seen = engine.seen();
    assert_eq!(seen[0].header("t-key"), None);
    assert_eq!(seen[0].header("t-workspace"), Some("reading-circle"));
    assert_eq!(seen[0].header("t-upstream"), Some("e0"));
    for dropped in ["x-hop", "te", "keep-alive"] {
        assert_eq!(seen[0].header(dropped), None, "{dropped}");
    }
    assert_eq!(seen[0].header("x-end"), Some("kept"));
    let deadline: u64 = seen[0]
        .header("t-deadline")
        .unwrap_or_default()
        .parse()
        .unwrap_or(0);
    assert!((1..=600).contains(&deadline), "{deadline}");
}

#[rstest]
#[case("/nowhere/", "", 404)]
#[case("/closed/", "", 401)]
#[case("/closed/", "T-Key: wrong\r\n", 401)]
#[actix_rt::test]
async fn requests_without_a_route_or_valid_key_are_rejected(
    #[case] path: &str,
    #[case] header: &str,
    #[case] status: u16,
) {
    let engine = Engine::start(|seen| vec![response(seen.id(), "200 OK", "")]).await;
    let (node, _store) = single(&[&engine]).await;
    let text = format!("GET {path} HTTP/1.1\r\nHost: test.example\r\nT-Id: r1\r\n{header}\r\n");
    assert_eq!(call(node.front, &text).await.status, status);
    assert_eq!(engine.count(), 0);
}

/// Guards against a truncated response that is passed on as complete, and against the loss of a
/// response whose body ends when the connection is closed.
#[rstest]
#[case(vec!["HTTP/1.1 200 OK\r\nT-Id: r1\r\nT-Signature: s\r\n\r\nwhole"], Act::Close, 200, "whole")]
#[case(vec!["HTTP/1.1 200 OK\r\nT-Id: r1\r\nT-Signature: s\r\n\r\nwho"], Act::Reset, 502, "")]
#[case(vec!["HTTP/1.1 200 OK\r\nT-Id: r1\r\nT-Signature: s\r\nContent-Length: 9\r\n\r\nwho"], Act::Close, 502, "")]
#[case(vec!["HTTP/1.1 200 OK\r\nT-Id: r1\r\nT-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n"], Act::Close, 502, "")]
#[case(vec!["HTTP/1.1 200 OK\r\nT-Id: r1\r\nT-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nwho\r\n"], Act::Hang, 502, "")]
#[case(vec!["HTTP/1.1 200 OK\r\nT-Id: r1\r\nT-Signature: s\r\nContent-Encoding: br\r\nContent-Length: 3\r\n\r\nwho"], Act::Hang, 502, "")]
#[case(vec!["HTTP/1.1 200 OK\r\nT-Id: r1\r\nContent-Length: 3\r\n\r\nwho"], Act::Hang, 502, "")]
#[case(vec!["this is no answer\r\n\r\n"], Act::Hang, 502, "")]
#[case(vec![], Act::Close, 502, "")]
#[case(vec!["HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nT-Id: r1\r\nT-Signature: s\r\n\r\n"], Act::Hang, 204, "")]
#[actix_rt::test]
async fn only_complete_signed_responses_are_passed_on(
    #[case] parts: Vec<&'static str>,
    #[case] last: Act,
    #[case] status: u16,
    #[case] body: &str,
) {
    let engine = Engine::start(move |_seen| {
        let parts = parts.iter().map(|part| Act::Write((*part).to_owned()));
        parts.chain([last.clone()]).collect()
    })
    .await;
    let (node, _store) = single(&[&engine]).await;
    let answered = call(node.front, &post("/write/", "r1", "x")).await;
    assert_eq!((answered.status, answered.body.as_str()), (status, body));
    assert_eq!(
        engine.count(),
        1,
        "it may have been executed, so it is not retried"
    );
}

/// Guards against a second response to one request that is passed on to the next caller.
#[rstest]
#[case(0)]
#[case(50)]
#[actix_rt::test]
async fn an_extra_response_is_dropped(#[case] pause: u64) {
    let engine = Engine::start(move |seen| {
        let extra = vec![
            response(seen.id(), "200 OK", seen.id()),
            Act::Pause(pause),
            response(seen.id(), "200 OK", "an extra answer"),
        ];
        if seen.id() == "r0" {
            extra
        } else {
            vec![Act::Pause(100), response(seen.id(), "200 OK", seen.id())]
        }
    })
    .await;
    let (node, _store) = single(&[&engine]).await;
    for index in 0..3 {
        let id = format!("r{index}");
        let answered = call(node.front, &post("/write/", &id, "x")).await;
        assert_eq!((answered.status, answered.body), (200, id));
    }
}

/// Guards against a late response to an earlier request that is taken for the current one.
#[actix_rt::test]
async fn a_response_with_another_id_is_skipped() {
    let engine = Engine::start(|seen| {
        vec![
            response("earlier", "200 OK", "not yours"),
            response(seen.id(), "200 OK", "yours"),
        ]
    })
    .await;
    let (node, _store) = single(&[&engine]).await;
    let answered = call(node.front, &post("/write/", "r1", "x")).await;
    assert_eq!((answered.status, answered.body.as_str()), (200, "yours"));
}

/// Guards against connections that are not reused after a complete response, or reused although the
/// upstream announced that it closes them.
#[actix_rt::test]
async fn connections_are_reused_unless_closed() {
    let engine = Engine::start(|seen| {
        let id = seen.id();
        let close = if id == "r2" {
            "Connection: close\r\n"
        } else {
            ""
        };
        vec![Act::Write(format!(
            "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Signature: s\r\n{close}Content-Length: 0\r\n\r\n"
        ))]
    })
    .await;
    let (node, _store) = single(&[&engine]).await;
    for index in 0..4 {
        let answered = call(node.front, &get("/read/", &format!("r{index}"))).await;
        assert_eq!(answered.status, 200);
    }
    let connections = engine
        .seen()
        .iter()
        .map(|seen| seen.connection)
        .collect::<Vec<_>>();
    assert_eq!(connections, [0, 0, 0, 1]);
}

/// Guards against an upstream that continues to work for a disconnected caller.
#[actix_rt::test]
async fn a_disconnected_caller_cancels_its_request() {
    let engine = Engine::start(|_seen| vec![Act::Hang]).await;
    let (node, _store) = single(&[&engine]).await;
    let mut caller = Caller::connect(node.front).await;
    caller.write(&get("/read/", "r1")).await;
    common::until("the engine has received it", || engine.count() == 1).await;
    drop(caller);
    let abandoned = Rc::clone(&engine.abandoned);
    common::until("the engine's connection is closed", || abandoned.get() == 1).await;
    assert_eq!(node.shared.lifecycle.in_flight(), 0);
}
