//! Validation of requests, limits and connection handling on the callers' side.

mod common;

use common::caller::Caller;
use common::caller::call;
use common::caller::get;
use common::engine::Engine;
use common::engine::response;
use common::single;
use rstest::rstest;

async fn engine() -> Engine {
    Engine::start(|seen| vec![response(seen.id(), "200 OK", seen.id())]).await
}

/// Guards against request smuggling, and against malformed requests that reach an upstream.
#[rstest]
#[case(
    "POST /write/ HTTP/1.1\r\nHost: test.example\r\nT-Id: r1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    400
)]
#[case(
    "POST /write/ HTTP/1.1\r\nHost: test.example\r\nT-Id: r1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcde",
    400
)]
#[case(
    "POST /write/ HTTP/1.1\r\nHost: test.example\r\nT-Id: r1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    400
)]
#[case(
    "POST /write/ HTTP/1.1\r\nHost: test.example\r\nT-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
    400
)]
#[case(
    "POST /write/ HTTP/1.1\r\nHost: test.example\r\nT-Id: r1\r\nContent-Length: -1\r\n\r\n",
    400
)]
#[case("GET /read/ HTTP/1.1\r\nHost: a\r\nHost: b\r\nT-Id: r1\r\n\r\n", 400)]
#[case("GET /read/ HTTP/1.1\r\nT-Id: r1\r\n\r\n", 400)]
#[case("GET /read/ HTTP/1.1\r\nHost: test.example\r\n\r\n", 400)]
#[case("nonsense\r\n\r\n", 400)]
#[case(
    "GET /read/ HTTP/1.1\r\nHost: test.example\r\nT-Id: r1\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n",
    501
)]
#[case(
    "POST /write/ HTTP/1.1\r\nHost: test.example\r\nT-Id: r1\r\nContent-Length: 10001\r\n\r\n",
    413
)]
#[actix_rt::test]
async fn malformed_requests_are_rejected(#[case] text: &str, #[case] status: u16) {
    let engine = engine().await;
    let (node, _store) = single(&[&engine]).await;
    let mut caller = Caller::connect(node.front).await;
    caller.write(text).await;
    let answered = caller.read().await.expect("an answer");
    assert_eq!(answered.status, status);
    assert_eq!(engine.count(), 0);
}

#[actix_rt::test]
async fn heads_and_bodies_over_the_limit_are_rejected() {
    let engine = engine().await;
    let (node, _store) = single(&[&engine]).await;
    let filler = "x".repeat(2_000);
    let text =
        format!("GET /read/ HTTP/1.1\r\nHost: test.example\r\nT-Id: r1\r\nX: {filler}\r\n\r\n");
    assert_eq!(call(node.front, &text).await.status, 431);
    let chunk = "y".repeat(6_000);
    let text = format!(
        "POST /write/ HTTP/1.1\r\nHost: test.example\r\nT-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n\
         1770\r\n{chunk}\r\n1770\r\n{chunk}\r\n0\r\n\r\n"
    );
    assert_eq!(call(node.front, &text).await.status, 413);
    assert_eq!(engine.count(), 0);
}

/// Guards against callers that occupy a connection by never completing a head.
#[actix_rt::test]
async fn an_incomplete_head_times_out() {
    let engine = engine().await;
    let (node, _store) = single(&[&engine]).await;
    let mut caller = Caller::connect(node.front).await;
    caller.write("GET /read/ HTTP/1.1\r\nHost: te").await;
    let answered = caller.read().await.expect("an answer");
    assert_eq!(answered.status, 408);
    assert!(caller.is_closed().await);
}

/// Guards against idle connections that are never closed, or closed before the stated timeout.
#[actix_rt::test]
async fn an_idle_connection_is_closed_after_the_idle_timeout() {
    let engine = engine().await;
    let (node, _store) = single(&[&engine]).await;
    let mut caller = Caller::connect(node.front).await;
    caller.write(&get("/read/", "r1")).await;
    let answered = caller.read().await.expect("an answer");
    assert_eq!(answered.header("keep-alive"), Some("timeout=2"));
    actix_rt::time::sleep(std::time::Duration::from_millis(1_600)).await;
    caller.write(&get("/read/", "r2")).await;
    assert_eq!(caller.read().await.expect("an answer").body, "r2");
    let began = std::time::Instant::now();
    assert!(caller.is_closed().await);
    assert!(began.elapsed().as_millis() >= 1_900);
}

/// Guards against a caller that waits in vain for `100 Continue` before it sends the body.
#[actix_rt::test]
async fn expect_continue_gets_an_interim_response() {
    let engine = engine().await;
    let (node, _store) = single(&[&engine]).await;
    let mut caller = Caller::connect(node.front).await;
    let head = "POST /write/ HTTP/1.1\r\nHost: test.example\r\nT-Id: r1\r\n\
                Content-Length: 3\r\nExpect: 100-continue\r\n\r\n";
    caller.write(head).await;
    assert_eq!(
        caller.read().await.expect("an interim response").status,
        100
    );
    caller.write("abc").await;
    assert_eq!(caller.read().await.expect("an answer").status, 200);
    assert_eq!(engine.seen()[0].body, b"abc");
    assert_eq!(engine.seen()[0].header("expect"), None);
}

#[actix_rt::test]
async fn an_http_1_0_connection_is_closed_after_the_response() {
    let engine = engine().await;
    let (node, _store) = single(&[&engine]).await;
    let mut caller = Caller::connect(node.front).await;
    caller
        .write("GET /read/ HTTP/1.0\r\nHost: test.example\r\nT-Id: r1\r\n\r\n")
        .await;
    assert_eq!(caller.read().await.expect("an answer").body, "r1");
    assert!(caller.is_closed().await);
}
