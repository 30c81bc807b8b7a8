//! Responses that are truncated on their way through a peer.

mod common;

use common::caller::Response;
use common::caller::call;
use common::caller::post;
use common::engine::Act;
use common::engine::Engine;
use common::introduce_as;
use common::single;
use rstest::rstest;
use snipeusher::name;
use snipeusher_fakes::address::free_address;

/// The response to a request that is relayed to a peer, which sends some bytes and then closes the
/// connection.
async fn relayed(path: &str, bytes: &'static str) -> Response {
    let peer = Engine::start(move |seen| {
        if !seen.head.contains("/fleet/v6/relay/") {
            return vec![Act::Close];
        }
        vec![Act::Write(bytes.to_owned()), Act::Pause(20), Act::Close]
    })
    .await;
    let gone = Engine::at(free_address());
    let (node, _store) = single(&[&gone]).await;
    introduce_as(&node, name::Host::from("peer"), peer.address).await;
    let answered = call(node.front, &post(path, "r1", "x")).await;
    let seen = peer.seen();
    let relays = seen.iter().filter(|seen| seen.head.contains("/relay/"));
    assert_eq!(relays.count(), 1, "it is relayed once");
    answered
}

/// Guards against a response that a peer breaks off and that looks complete to the caller.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwho")]
#[case::chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n")]
#[case::close("HTTP/1.1 200 OK\r\n\r\nwho")]
#[case::no_body("HTTP/1.1 200 OK\r\n\r\n")]
#[case::head("HTTP/1.1 200 OK\r\n")]
#[actix_rt::test]
async fn a_truncated_body_of_a_peer_is_no_success(#[case] bytes: &'static str) {
    let answered = relayed("/write/", bytes).await;
    assert_eq!((answered.status, answered.body.as_str()), (502, ""));
}

/// The same for streams, of which the caller keeps the complete events.
#[rstest]
#[case::chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\ndata: a\n\r\n")]
#[case::chunks_between_events(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n"
)]
#[case::close("HTTP/1.1 200 OK\r\n\r\ndata: a\n\ndata:")]
#[case::close_between_events("HTTP/1.1 200 OK\r\n\r\ndata: a\n\n")]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\ndata: a\n\n")]
#[case::end_within_an_event(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\ndata: a\n\r\n0\r\n\r\n"
)]
#[actix_rt::test]
async fn a_truncated_stream_of_a_peer_is_no_success(#[case] bytes: &'static str) {
    let answered = relayed("/review/", bytes).await;
    let is_success = answered.status == 200 && answered.complete;
    assert!(!is_success, "{answered:?}");
}
