//! Responses that an upstream begins before it has read the request, and how they end.

mod common;

use std::fmt::Write as _;

use common::Node;
use common::caller::Caller;
use common::caller::Response;
use common::engine::Act;
use common::engine::Engine;
use common::platform::DEFAULT;
use common::store::Store;
use common::until;
use common::way::Way;
use common::way::early_engines;
use common::way::routers;
use rstest::rstest;

/// Body of each request: more than the buffers of both sockets hold.
const REQUEST_BYTES: usize = 8 << 20;
/// Bytes that an upstream reads at a moment within the body of a request.
const HALF_BYTES: usize = REQUEST_BYTES / 2;
/// Requests of each kind.
const REQUESTS: usize = 8;
/// Time in milliseconds in which the router reads what was sent.
const READ_MS: u64 = 30;
/// A time in milliseconds after which the router waits for more.
const LATER_MS: u64 = 300;

/// When an upstream resets its connection.
#[derive(Clone, Copy, Debug)]
enum Moment {
    BeforeTheBody,
    WithinTheBody,
    LongAfter,
    /// After it has read half of the request.
    HalfRead,
    /// At the same time as its last byte arrives.
    AtOnce,
}

impl Moment {
    /// A response with this head that is reset.
    fn acts(self, head: String) -> Vec<Act> {
        let part = Act::Write(format!("{head}part"));
        match self {
            Self::BeforeTheBody => vec![Act::Write(head), Act::Pause(READ_MS), Act::Reset],
            Self::WithinTheBody => vec![part, Act::Pause(READ_MS), Act::Reset],
            Self::LongAfter => vec![part, Act::Pause(LATER_MS), Act::Reset],
            Self::HalfRead => vec![Act::Read(HALF_BYTES), part, Act::Pause(READ_MS), Act::Reset],
            Self::AtOnce => vec![part, Act::Reset],
        }
    }
}

/// The head of a response without a length.
fn head(id: &str, status: &str, headers: &str) -> String {
    format!("HTTP/1.1 {status}\r\nT-Id: {id}\r\nT-Signature: s\r\n{headers}\r\n")
}

/// Raises the limit on the bodies of requests, and waits until each router has copied it.
async fn allow_large_bodies(nodes: &[Node], store: &Store) {
    let routes = DEFAULT.trim_start_matches("1\n");
    store.configure(&format!("2\n{routes}body {REQUEST_BYTES}\n"));
    until("large bodies are allowed", || {
        let limits = nodes.iter().map(|node| node.shared.limits());
        limits
            .into_iter()
            .all(|limits| limits.body_bytes == REQUEST_BYTES)
    })
    .await;
}

/// Sends a request with a body of [`REQUEST_BYTES`]; `None` if the connection ends without a
/// response.
async fn upload(node: &Node, path: &str, id: &str) -> Option<Response> {
    let mut request = String::with_capacity(REQUEST_BYTES + 200);
    let started = write!(
        request,
        "POST {path} HTTP/1.1\r\nHost: test.example\r\nT-Id: {id}\r\n\
         Content-Length: {REQUEST_BYTES}\r\n\r\n"
    );
    started.expect("it is text");
    request.extend(std::iter::repeat_n('x', REQUEST_BYTES));
    let mut caller = Caller::connect(node.front).await;
    caller.write(&request).await;
    caller.read().await
}

/// The responses to some uploads, each of which has reached an upstream.
async fn uploads(
    path: &str,
    way: Way,
    script: impl Fn(&str) -> Vec<Act> + Copy + 'static,
) -> Vec<Option<Response>> {
    let engines = early_engines(move |seen| script(seen.id())).await;
    let (nodes, store) = routers(&engines, way).await;
    allow_large_bodies(&nodes, &store).await;
    let mut responses = Vec::new();
    for number in 0..REQUESTS {
        responses.push(upload(&nodes[0], path, &format!("r{number}")).await);
    }
    let sent: usize = engines.iter().map(Engine::count).sum();
    assert!(sent >= REQUESTS, "{sent} were sent");
    responses
}

/// Checks that each caller got a response, and none the part of a body as a whole one.
fn assert_failures(responses: &[Option<Response>]) {
    for response in responses {
        let response = response.as_ref().expect("a response");
        let is_broken = !response.complete;
        let is_own = response.status >= 500 && response.header("t-signature").is_none();
        assert!(is_broken || is_own, "{response:?}");
    }
}

/// Checks that each caller got a response with the status and all of its body, `large`.
fn assert_whole(responses: &[Option<Response>], status: &str) {
    for response in responses {
        let response = response.as_ref().expect("a response");
        assert_eq!(response.status.to_string(), status[..3], "{response:?}");
        assert!(
            response.complete && response.body == "large",
            "{response:?}"
        );
    }
}

/// Guards against a part of a body that looks complete, since the write of the rest of the request
/// took the reset from the connection.
#[rstest]
#[case::idempotent("/read/", "200 OK", "")]
#[case::once("/write/", "200 OK", "")]
#[case::closing("/write/", "200 OK", "Connection: close\r\n")]
#[case::events("/write/", "200 OK", "Content-Type: text/event-stream\r\n")]
#[case::not_found("/write/", "404 Not Found", "")]
#[case::too_large("/read/", "413 Content Too Large", "")]
#[case::failed("/read/", "500 Internal Server Error", "")]
#[case::stream("/review/", "200 OK", "")]
#[case::not_found_stream("/review/", "404 Not Found", "")]
#[actix_rt::test]
async fn a_reset_while_the_request_is_written_is_no_end(
    #[case] path: &str,
    #[case] status: &'static str,
    #[case] headers: &'static str,
    #[values(
        Moment::BeforeTheBody,
        Moment::WithinTheBody,
        Moment::LongAfter,
        Moment::HalfRead,
        Moment::AtOnce
    )]
    moment: Moment,
) {
    let script = move |id: &str| moment.acts(head(id, status, headers));
    assert_failures(&uploads(path, Way::Straight, script).await);
}

/// The same through a peer.
#[rstest]
#[case::ok("200 OK")]
#[case::not_found("404 Not Found")]
#[actix_rt::test]
async fn a_reset_behind_a_peer_is_no_end(#[case] status: &'static str) {
    let script = move |id: &str| Moment::WithinTheBody.acts(head(id, status, ""));
    assert_failures(&uploads("/write/", Way::Relayed, script).await);
}

/// Guards against a stream that ends as if it were complete, since it was reset between two events.
#[rstest]
#[actix_rt::test]
async fn a_stream_that_is_reset_while_the_request_is_written_is_not_complete() {
    let script = |id: &str| {
        let head = head(id, "200 OK", "Content-Type: text/event-stream\r\n");
        let text = format!("{head}id: 1\ndata: part 1\n\n");
        vec![Act::Write(text), Act::Pause(READ_MS), Act::Reset]
    };
    assert_failures(&uploads("/review/", Way::Straight, script).await);
}

/// Guards against the loss of an early response that ends in order before its connection is reset: the
/// write of the rest of the request fails before the response is read.
#[rstest]
#[case::ok("200 OK")]
#[case::refusal("413 Content Too Large")]
#[actix_rt::test]
async fn an_orderly_end_before_a_reset_is_an_end(
    #[case] status: &'static str,
    #[values(Way::Straight, Way::Relayed)] way: Way,
) {
    let script = move |id: &str| {
        let text = format!("{}large", head(id, status, ""));
        vec![Act::Write(text), Act::Finish, Act::Reset]
    };
    assert_whole(&uploads("/write/", way, script).await, status);
}

/// Guards against the loss of early responses that are whole: with a length, in chunks, and with an
/// orderly end of the connection, which may be reset afterwards.
#[rstest]
#[case::length("413 Content Too Large", "Content-Length: 5\r\n", "large", Act::Hang)]
#[case::length_and_reset("413 Content Too Large", "Content-Length: 5\r\n", "large", Act::Reset)]
#[case::chunks(
    "413 Content Too Large",
    "Transfer-Encoding: chunked\r\n",
    "5\r\nlarge\r\n0\r\n\r\n",
    Act::Reset
)]
#[case::end("200 OK", "", "large", Act::Finish)]
#[case::end_of_a_refusal("413 Content Too Large", "", "large", Act::Finish)]
#[actix_rt::test]
async fn an_early_response_that_is_whole_arrives(
    #[case] status: &'static str,
    #[case] headers: &'static str,
    #[case] body: &'static str,
    #[case] end: Act,
    #[values(Way::Straight, Way::Relayed)] way: Way,
) {
    let end: &'static Act = Box::leak(Box::new(end));
    let script = move |id: &str| {
        let text = format!("{}{body}", head(id, status, headers));
        let acts = [Act::Write(text), Act::Pause(READ_MS), end.clone()];
        acts.into_iter()
            .chain([Act::Pause(READ_MS), Act::Reset])
            .collect()
    };
    assert_whole(&uploads("/write/", way, script).await, status);
}
