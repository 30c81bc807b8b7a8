//! Heads of responses that are no valid HTTP, of upstreams and through a peer.

mod common;

use common::caller::Response;
use common::caller::call;
use common::caller::post;
use common::engine::Act;
use common::engine::Engine;
use common::engine::response;
use common::platform::DEFAULT;
use common::single;
use common::until;
use common::way::Way;
use common::way::engines;
use common::way::routers;
use rstest::rstest;

/// Lines that are no field of a head, each between valid ones. `ID` is the identifier of the request.
const LINES: [&str; 19] = [
    "X-A : 1",
    "X-A\t: 1",
    "Content-Length : 4",
    "Transfer-Encoding : chunked",
    "T-Id : ID",
    "T-Signature : s",
    "T-Not-Run : 1",
    "X A: 1",
    " X-A: 1",
    "X-\u{1}A: 1",
    "X-\0A: 1",
    "X-\u{7f}A: 1",
    "X-\u{e9}: 1",
    ": 1",
    "no colon",
    "X-A: 1\r\n folded",
    "X-A: a\u{1}b",
    "X-A: a\0b",
    "X-A: a\rb",
];

/// A response with a line in its head, which is whole but for that.
fn with_line(id: &str, line: &str) -> Act {
    let line = line.replace("ID", id);
    Act::Write(format!(
        "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Signature: s\r\n{line}\r\nContent-Length: 4\r\n\r\nbody"
    ))
}

/// Sends one request for each identifier from `0` on.
async fn responses(
    count: usize,
    path: &str,
    way: Way,
    script: impl Fn(usize) -> Vec<Act> + Copy + 'static,
) -> Vec<Response> {
    let engines = engines(move |seen| {
        let number = seen.id().parse().expect("a number");
        script(number)
    })
    .await;
    let (routers, _store) = routers(&engines, way).await;
    let mut responses = Vec::new();
    for number in 0..count {
        responses.push(call(routers[0].front, &post(path, &number.to_string(), "x")).await);
    }
    let sent: usize = engines.iter().map(Engine::count).sum();
    assert!(sent >= count, "{sent} of {count} were sent");
    responses
}

/// Guards against a response with a line that is no field: such a line was passed on, or believed as
/// the length of the body, as a signature, or as the word that the request did not run.
#[rstest]
#[case::once("/write/")]
#[case::idempotent("/read/")]
#[case::stream("/review/")]
#[case::resumable("/chat/")]
#[actix_rt::test]
async fn a_line_that_is_no_field_is_a_failure(
    #[case] path: &str,
    #[values(Way::Straight, Way::Relayed)] way: Way,
) {
    let script = |number: usize| vec![with_line(&number.to_string(), LINES[number])];
    let responses = responses(LINES.len(), path, way, script).await;
    for (line, response) in LINES.iter().zip(responses) {
        assert!(response.is_own_failure(), "{line:?}: {response:?}");
    }
}

/// Guards against a refusal that is told to the caller as such although its line is no field, so that
/// the caller sends a request again that may have run.
#[rstest]
#[case::refused("HTTP/1.1 503 Busy\r\nT-Id: ID\r\nT-Not-Run : 1\r\nContent-Length: 0\r\n\r\n")]
#[case::refused_by_tab(
    "HTTP/1.1 429 Busy\r\nT-Id: ID\r\nT-Not-Run\t: 1\r\nContent-Length: 0\r\n\r\n"
)]
#[case::misdirected("HTTP/1.1 421 Other\r\nT-Id: ID\r\nX-A : 1\r\nContent-Length: 0\r\n\r\n")]
#[actix_rt::test]
async fn a_refusal_with_such_a_line_says_nothing(
    #[case] text: &'static str,
    #[values(Way::Straight, Way::Relayed)] way: Way,
) {
    let script = move |number: usize| vec![Act::Write(text.replace("ID", &number.to_string()))];
    for response in responses(4, "/write/", way, script).await {
        assert!(response.is_own_failure(), "{response:?}");
    }
}

/// Guards against facts that are taken from a head before all of it is known to be valid: its upstream
/// would get no further requests, or one a second.
#[rstest]
#[case::leaving("T-Leaving: 1\r\n")]
#[case::pause("T-Pause: 5000\r\n")]
#[case::rate("T-Limit: 0\r\n")]
#[case::decline("T-Decline-Limit: 0\r\n")]
#[actix_rt::test]
async fn nothing_of_a_broken_head_is_believed(#[case] fact: &'static str) {
    let engine = Engine::start(move |seen| {
        let id = seen.id();
        if id == "sound" {
            return vec![response(id, "200 OK", "body")];
        }
        let line = format!("{fact}X-A : 1");
        vec![with_line(id, &line)]
    })
    .await;
    let (node, _store) = single(&[&engine]).await;
    let broken = call(node.front, &post("/write/", "broken", "x")).await;
    assert!(broken.is_own_failure(), "{broken:?}");
    let sound = call(node.front, &post("/write/", "sound", "x")).await;
    assert_eq!((sound.status, sound.body.as_str()), (200, "body"));
}

/// Guards against a name that the codec cannot represent: it panicked, the caller's connection ended
/// without a response, and no log line named the request.
#[rstest]
#[case::once("/write/")]
#[case::idempotent("/read/")]
#[case::stream("/review/")]
#[case::resumable("/chat/")]
#[actix_rt::test]
async fn a_name_without_end_is_a_failure(
    #[case] path: &str,
    #[values(Way::Straight, Way::Relayed)] way: Way,
    #[values(65_536, 70_000)] length: usize,
) {
    let script = move |number: usize| {
        let line = format!("{}: 1", "x".repeat(length));
        vec![with_line(&number.to_string(), &line)]
    };
    for response in responses(4, path, way, script).await {
        assert!(response.is_own_failure(), "{response:?}");
    }
}

/// The same of a request, whose caller gets the refusal.
#[rstest]
#[actix_rt::test]
async fn a_name_without_end_in_a_request_is_refused() {
    let engine = Engine::start(|seen| vec![response(seen.id(), "200 OK", "body")]).await;
    let (node, store) = single(&[&engine]).await;
    let routes = DEFAULT.trim_start_matches("1\n");
    store.configure(&format!("2\n{routes}head {}\n", 1 << 20));
    until("long heads are allowed", || {
        node.shared.limits().head_bytes == 1 << 20
    })
    .await;
    let request = |length| {
        let name = "x".repeat(length);
        post("/write/", "r1", "x").replace("T-Id", &format!("{name}: 1\r\nT-Id"))
    };
    assert_eq!(call(node.front, &request(70_000)).await.status, 431);
    assert_eq!(call(node.front, &request(60_000)).await.status, 200);
    assert_eq!(engine.count(), 1);
}

/// Guards against a status that no recipient may treat as valid (RFC 9110, section 15).
#[rstest]
#[case::once("/write/")]
#[case::idempotent("/read/")]
#[case::stream("/review/")]
#[case::resumable("/chat/")]
#[actix_rt::test]
async fn a_status_out_of_range_is_a_failure(
    #[case] path: &str,
    #[values(Way::Straight, Way::Relayed)] way: Way,
) {
    const STATUSES: [&str; 14] = [
        "000", "001", "099", "20", "2", "", "2000", "-20", "20x", "0x1", "101", "199", "600", "999",
    ];
    let script = |number: usize| {
        let (id, status) = (number.to_string(), STATUSES[number]);
        let fields = format!("T-Id: {id}\r\nT-Signature: s\r\nContent-Length: 4");
        vec![
            Act::Write(format!("HTTP/1.1 {status} Odd\r\n{fields}\r\n\r\nbody")),
            Act::Close,
        ]
    };
    let responses = responses(STATUSES.len(), path, way, script).await;
    for (status, response) in STATUSES.iter().zip(responses) {
        assert!(response.is_own_failure(), "{status:?}: {response:?}");
    }
}
