//! Responses whose head states the end of the body wrongly, or in two ways.

mod common;

use common::caller::Caller;
use common::caller::call;
use common::caller::post;
use common::engine::Act;
use common::engine::Engine;
use common::engine::response;
use common::single;
use common::way::Way;
use common::way::engines;
use common::way::routers;
use rstest::rstest;

/// Fields of a head that state no end, or two, and the bytes after the head.
const FRAMINGS: [(&str, &str); 20] = [
    (
        "Content-Length: 4\r\nTransfer-Encoding: chunked",
        "4\r\nbody\r\n0\r\n\r\n",
    ),
    (
        "Transfer-Encoding: chunked\r\nContent-Length: 4",
        "4\r\nbody\r\n0\r\n\r\n",
    ),
    ("Transfer-Encoding: identity\r\nContent-Length: 4", "body"),
    ("Content-Length: 4\r\nContent-Length: 5", "body!"),
    ("Content-Length: 4, 5", "body!"),
    ("Content-Length: +4", "body"),
    ("Content-Length: -4", "body"),
    ("Content-Length: 0x4", "body"),
    ("Content-Length: 4a", "body"),
    ("Content-Length: 4 4", "body"),
    ("Content-Length:", "body"),
    ("Content-Length: 99999999999999999999", "body"),
    (
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "4\r\nbody\r\n0\r\n\r\n",
    ),
    (
        "Transfer-Encoding: chunked, chunked",
        "4\r\nbody\r\n0\r\n\r\n",
    ),
    ("Transfer-Encoding: gzip, chunked", "4\r\nbody\r\n0\r\n\r\n"),
    ("Transfer-Encoding: xchunked", "4\r\nbody\r\n0\r\n\r\n"),
    ("Transfer-Encoding: chunked", "+4\r\nbody\r\n0\r\n\r\n"),
    ("Transfer-Encoding: chunked", "g\r\nbody\r\n0\r\n\r\n"),
    ("Transfer-Encoding: chunked", "4\r\nbody0\r\n\r\n"),
    (
        "Transfer-Encoding: chunked",
        "fffffffffffffffff\r\nbody\r\n0\r\n\r\n",
    ),
];

/// A response with some framing, after which the connection ends.
fn framed(version: &str, id: &str, framing: &str, rest: &str) -> Vec<Act> {
    let fields = format!("T-Id: {id}\r\nT-Signature: s\r\n{framing}");
    vec![
        Act::Write(format!("{version} 200 OK\r\n{fields}\r\n\r\n{rest}")),
        Act::Close,
    ]
}

/// Guards against a body whose end is not known, which another recipient would read otherwise.
#[rstest]
#[case::once("/write/")]
#[case::idempotent("/read/")]
#[case::stream("/review/")]
#[actix_rt::test]
async fn a_body_without_a_certain_end_is_a_failure(
    #[case] path: &str,
    #[values(Way::Straight, Way::Relayed)] way: Way,
) {
    let engines = engines(|seen| {
        let number: usize = seen.id().parse().expect("a number");
        let (framing, rest) = FRAMINGS[number];
        framed("HTTP/1.1", seen.id(), framing, rest)
    })
    .await;
    let (routers, _store) = routers(&engines, way).await;
    for (number, framing) in FRAMINGS.iter().enumerate() {
        let response = call(routers[0].front, &post(path, &number.to_string(), "x")).await;
        assert!(response.is_own_failure(), "{framing:?}: {response:?}");
    }
    let sent: usize = engines.iter().map(Engine::count).sum();
    assert!(sent >= FRAMINGS.len(), "{sent} were sent");
}

/// Guards against chunks that are passed on as a body, since a response of the older version has none.
#[rstest]
#[case::chunks("Transfer-Encoding: chunked")]
#[case::chunks_and_length("Content-Length: 4\r\nTransfer-Encoding: chunked")]
#[actix_rt::test]
async fn an_older_version_has_no_chunks(#[case] framing: &'static str) {
    let chunks = "4\r\nbody\r\n0\r\n\r\n";
    let engine = Engine::start(move |seen| framed("HTTP/1.0", seen.id(), framing, chunks)).await;
    let (node, _store) = single(&[&engine]).await;
    let response = call(node.front, &post("/write/", "r1", "x")).await;
    assert!(response.is_own_failure(), "{response:?}");
}

/// Guards against bytes behind a response that has no body by its status: they would follow the
/// response on the caller's connection, where the next one is due.
#[rstest]
#[case::no_content("204 No Content")]
#[case::not_modified("304 Not Modified")]
#[actix_rt::test]
async fn a_status_without_a_body_has_none(
    #[case] status: &'static str,
    #[values(
        "Content-Length: 4\r\n\r\nbody",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        "\r\nbody"
    )]
    rest: &'static str,
) {
    let engine = Engine::start(move |seen| match seen.id() {
        "odd" => vec![Act::Write(format!(
            "HTTP/1.1 {status}\r\nT-Id: odd\r\nT-Signature: s\r\n{rest}"
        ))],
        id => vec![response(id, "200 OK", "sound")],
    })
    .await;
    let (node, _store) = single(&[&engine]).await;
    let mut caller = Caller::connect(node.front).await;
    caller.write(&post("/write/", "odd", "x")).await;
    let odd = caller.read().await.expect("a response");
    assert_eq!(odd.status.to_string(), status[..3], "{odd:?}");
    assert_eq!(odd.body, "");
    caller.write(&post("/write/", "next", "x")).await;
    let next = caller.read().await.expect("a response");
    assert_eq!((next.status, next.body.as_str()), (200, "sound"));
}

/// Guards against an informational response that states a body, of which the final response would be
/// taken as a part.
#[rstest]
#[case::length("Content-Length: 4\r\n")]
#[case::chunks("Transfer-Encoding: chunked\r\n")]
#[actix_rt::test]
async fn an_informational_response_has_no_body(#[case] framing: &'static str) {
    let engine = Engine::start(move |seen| {
        let early = Act::Write(format!("HTTP/1.1 103 Early Hints\r\n{framing}\r\n"));
        vec![early, response(seen.id(), "200 OK", "body")]
    })
    .await;
    let (node, _store) = single(&[&engine]).await;
    let response = call(node.front, &post("/write/", "r1", "x")).await;
    assert!(response.is_own_failure(), "{response:?}");
}
