//! Responses that an upstream cuts off at any byte, straight and through a peer.

mod common;

use common::caller::Response;
use common::caller::call;
use common::caller::post;
use common::engine::Act;
use common::engine::Engine;
use common::engine::Seen;
use common::engine::chunk;
use common::engine::end;
use common::engine::event;
use common::engine::event_text;
use common::engine::stream;
use common::way::Way;
use common::way::engines;
use common::way::routers;
use rstest::rstest;

/// Events of a stream before it breaks.
const EVENTS: u32 = 2;
/// Heads by the framing of their bodies.
const HEADS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Signature: s\r\nContent-Length: 20\r\n\r\n",
    "HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nT-Id: ID\r\nT-Signature: s\r\nConnection: close\r\n\r\n",
];

/// A head for a request, cut as the identifier `HEAD-LENGTH` states.
fn cut_head(id: &str) -> Act {
    let (head, length) = id.split_once('-').expect("two numbers");
    let head: usize = head.parse().expect("a number");
    let length: usize = length.parse().expect("a number");
    let head = HEADS[head].replace("ID", id);
    Act::Write(head[..length].to_owned())
}

/// Identifiers of requests for all cuts within all heads.
fn cuts() -> Vec<String> {
    let heads = HEADS.iter().enumerate();
    let cuts = heads.flat_map(|(index, head)| {
        let ids = (0..).map(move |length| (length, format!("{index}-{length}")));
        let is_cut = |(length, id): &(usize, String)| *length < head.replace("ID", id).len();
        ids.take_while(is_cut).map(|(_, id)| id)
    });
    cuts.collect()
}

/// Begins a stream and breaks it, or runs some acts if the caller has its first events.
fn resumed(seen: &Seen, acts: Vec<Act>) -> Vec<Act> {
    if seen.header("t-last").is_some() {
        return acts;
    }
    let events = (1..=EVENTS).map(event);
    let begun = [stream(seen.id())].into_iter().chain(events);
    begun.chain([Act::Close]).collect()
}

/// Requests to one router, which could not send more of them again within its retry budget.
const REQUESTS: usize = 20;

/// The response to each request, sent one after the other. Each may be sent `sends` times, nearly
/// all of which have to reach an upstream, so that a refusal does not hide a failure.
async fn responses(
    engines: &[Engine],
    way: Way,
    path: &str,
    ids: &[String],
    sends: usize,
) -> Vec<Response> {
    let mut responses = Vec::new();
    for ids in ids.chunks(REQUESTS) {
        let (routers, _store) = routers(engines, way).await;
        for id in ids {
            responses.push(call(routers[0].front, &post(path, id, "x")).await);
        }
    }
    let sent: usize = engines.iter().map(Engine::count).sum();
    let expected = ids.len() * sends;
    assert!(sent * 10 >= expected * 9, "{sent} of {expected} were sent");
    responses
}

/// Guards against a success without a whole head of an upstream: an empty or short body that is
/// framed as if it were complete.
#[rstest]
#[case::once("/write/")]
#[case::idempotent("/read/")]
#[case::stream("/review/")]
#[case::resumable("/chat/")]
#[actix_rt::test]
async fn a_head_that_is_cut_is_no_success(
    #[case] path: &str,
    #[values(Way::Straight, Way::Relayed)] way: Way,
) {
    let engines = engines(|seen| vec![cut_head(seen.id()), Act::Close]).await;
    let cuts = cuts();
    let responses = responses(&engines, way, path, &cuts, 1).await;
    for (id, response) in cuts.iter().zip(responses) {
        assert!(response.status >= 500, "{id}: {response:?}");
    }
}

/// Guards against a stream that looks complete, or has other bytes in it, since the upstream that
/// should resume it stopped within its head.
#[rstest]
#[actix_rt::test]
async fn a_head_that_is_cut_does_not_end_a_resumed_stream(
    #[values(Way::Straight, Way::Relayed)] way: Way,
) {
    let engines = engines(|seen| resumed(seen, vec![cut_head(seen.id()), Act::Close])).await;
    let cuts = cuts();
    let responses = responses(&engines, way, "/chat/", &cuts, 2).await;
    for (id, response) in cuts.iter().zip(responses) {
        assert_broken(id, &response);
    }
}

/// Responses of an upstream that does not resume a stream, by status, headers and body.
const STATUSES: [&str; 6] = [
    "200 OK",
    "400 Bad Request",
    "404 Not Found",
    "429 Too Many Requests",
    "500 Internal Server Error",
    "503 Service Unavailable",
];
const SIGNATURES: [&str; 3] = ["", "T-Signature: s\r\n", "T-Not-Run: 1\r\n"];
const BODIES: [&str; 5] = [
    "",
    "no room",
    "no room\n\n",
    "event: error\ndata: no room\n\n",
    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\n\n\r\n\r\n",
];

/// How the end of a body is told.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
    Close,
}

/// The response that an identifier such as `1-0-2` selects.
fn failure(id: &str, framing: Framing) -> Vec<Act> {
    let indexes: Vec<usize> = id
        .split('-')
        .map(|text| text.parse().expect("a number"))
        .collect();
    let (status, signature) = (STATUSES[indexes[0]], SIGNATURES[indexes[1]]);
    let body = BODIES[indexes[2]];
    let head = format!("HTTP/1.1 {status}\r\nT-Id: {id}\r\n{signature}");
    let length = body.len();
    match framing {
        Framing::Length => vec![Act::Write(format!(
            "{head}Content-Length: {length}\r\n\r\n{body}"
        ))],
        Framing::Chunks => {
            let head = Act::Write(format!("{head}Transfer-Encoding: chunked\r\n\r\n"));
            let body = (length > 0).then(|| chunk(body));
            [head].into_iter().chain(body).chain([end()]).collect()
        }
        Framing::Close => vec![Act::Write(format!("{head}\r\n{body}")), Act::Close],
    }
}

/// Guards against an error of the resuming upstream in the middle of a stream, and against a stream
/// that ends with such an error as if it were complete.
#[rstest]
#[actix_rt::test]
async fn a_failure_to_resume_does_not_end_a_stream(
    #[values(Way::Straight, Way::Relayed)] way: Way,
    #[values(Framing::Length, Framing::Chunks, Framing::Close)] framing: Framing,
) {
    let engines = engines(move |seen| resumed(seen, failure(seen.id(), framing))).await;
    let mut ids = Vec::new();
    for status in 0..STATUSES.len() {
        for signature in 0..SIGNATURES.len() {
            // An empty success that states its end says that no event is left.
            let has_nothing_left =
                status == 0 && signature == 1 && !matches!(framing, Framing::Close);
            let bodies = usize::from(has_nothing_left)..BODIES.len();
            ids.extend(bodies.map(|body| format!("{status}-{signature}-{body}")));
        }
    }
    let responses = responses(&engines, way, "/chat/", &ids, 2).await;
    for (id, response) in ids.iter().zip(responses) {
        assert_broken(id, &response);
    }
}

/// Checks that a stream has the events before its break and no success.
fn assert_broken(id: &str, response: &Response) {
    let events: String = (1..=EVENTS).map(event_text).collect();
    let is_broken = response.status == 200 && !response.complete && response.body == events;
    assert!(is_broken || response.status >= 500, "{id}: {response:?}");
}
