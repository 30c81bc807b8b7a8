//! Responses whose head states the end of the body wrongly, or in two ways.

mod common;

use common::caller::Caller;
use common::caller::post;
use common::engine::Act;
use common::engine::Engine;
use common::engine::response;
use common::single;
use rstest::rstest;

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
