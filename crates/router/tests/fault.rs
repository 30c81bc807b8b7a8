//! Failures of engines: each test injects one fault.

mod common;

use std::time::Duration;

use awc::http::StatusCode;
use common::Answer;
use common::Fleet;
use common::Plan;
use common::chat_body;
use common::expected_text;
use common::is_complete;
use common::raw_chat;
use common::wait_until;
use serde_json::Value;
use snipeusher_fakes::engine::Fault;
use snipeusher_fakes::engine::Options;
use tokio::io::AsyncReadExt as _;

const TEXT: &str = "A letter to the reader";
/// An attempt id that the router did not issue.
const FOREIGN_ATTEMPT: &str = "00000000000000ff";

async fn start_with_one_engine() -> Fleet {
    Fleet::start(Plan {
        engines: 1,
        ..Plan::default()
    })
    .await
}

async fn send_streamed(fleet: &Fleet, class: &str) -> Answer {
    let call = fleet.chat().insert_header(("x-class", class));
    let response = call.send_json(&chat_body(TEXT, true, 12)).await;
    Answer::read(response.expect("an answer")).await
}

async fn send_unstreamed(fleet: &Fleet, class: &str) -> (StatusCode, Value) {
    let call = fleet.chat().insert_header(("x-class", class));
    let response = call.send_json(&chat_body(TEXT, false, 12)).await;
    let mut response = response.expect("an answer");
    (response.status(), response.json().await.expect("JSON"))
}

/// Guards against a broken stream that ends early or repeats events although the engine can resume
/// it.
#[actix_rt::test]
async fn broken_stream_is_resumed() {
    let fleet = start_with_one_engine().await;
    for position in [0, 1, 5, 12] {
        fleet.engines[0].inject(Fault::Cut(position));
        let answer = send_streamed(&fleet, "pairing").await;
        assert_eq!(answer.text, expected_text(TEXT, 12), "cut at {position}");
        assert!(answer.done && answer.error.is_none());
    }
    assert_eq!(fleet.count("cut").await, 4);
    assert_eq!(fleet.count("resumed").await, 4);
    assert_eq!(
        fleet.engines[0].counts().started,
        8,
        "four runs and four resumes"
    );
}

/// Guards against a broken stream that cannot be resumed and ends as if it were complete.
#[actix_rt::test]
async fn broken_stream_without_resume_ends_with_an_error() {
    let fleet = start_with_one_engine().await;
    fleet.engines[0].inject(Fault::NoResume);
    fleet.engines[0].inject(Fault::Cut(5));
    let answer = send_streamed(&fleet, "pairing").await;
    let error = answer.error.expect("an error event");
    assert!(!answer.done);
    assert!(expected_text(TEXT, 12).starts_with(&answer.text));
    assert_eq!(error["type"], "urn:snipeusher:problem:attempts-failed");
    assert_eq!(error["ran"], "unknown");
    assert_eq!(fleet.engines[0].counts().started, 1);
}

/// Guards against forwarding the response of another request.
#[actix_rt::test]
async fn crossed_response_is_dropped() {
    let fleet = start_with_one_engine().await;
    fleet.engines[0].inject(Fault::WrongAttempt(FOREIGN_ATTEMPT.to_owned()));
    let (status, problem) = send_unstreamed(&fleet, "pairing").await;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    assert_eq!(problem["ran"], "unknown");
    assert_eq!(fleet.count("crossed").await, 1);
    assert_eq!(fleet.count("late").await, 0);
}

/// Guards against forwarding events of another request within a stream.
#[actix_rt::test]
async fn crossed_events_are_dropped() {
    let fleet = start_with_one_engine().await;
    fleet.engines[0].inject(Fault::WrongEvents(4, FOREIGN_ATTEMPT.to_owned()));
    let answer = send_streamed(&fleet, "pairing").await;
    assert_eq!(answer.text, expected_text(TEXT, 12));
    assert!(answer.done);
    assert_eq!(fleet.count("crossed").await, 10, "events 5 to 14");
    assert_eq!(fleet.count("resumed").await, 1);
}

/// Guards against forwarding a duplicated event twice.
#[actix_rt::test]
async fn duplicated_event_is_dropped() {
    let fleet = start_with_one_engine().await;
    fleet.engines[0].inject(Fault::Duplicate(3));
    let answer = send_streamed(&fleet, "interactive").await;
    assert_eq!(answer.text, expected_text(TEXT, 12));
    assert!(answer.done);
    assert_eq!(fleet.count("duplicated").await, 1);
}

/// Guards against a response that misses its deadline: the caller must receive an error, the
/// attempt must be cancelled at the engine, and the response must not be used for a later request.
#[actix_rt::test]
async fn late_response_is_dropped() {
    let fleet = start_with_one_engine().await;
    let engine = &fleet.engines[0];
    engine.inject(Fault::Delay(Duration::from_mins(10)));
    let call = fleet.chat().insert_header(("x-class", "pairing"));
    let call = call.insert_header(("x-request-deadline-ms", "200"));
    let response = call.send_json(&chat_body(TEXT, false, 12)).await;
    let mut response = response.expect("an answer");
    let problem: Value = response.json().await.expect("JSON");
    assert_eq!(response.status(), StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(problem["type"], "urn:snipeusher:problem:deadline-exceeded");
    assert_eq!(problem["ran"], "unknown");
    wait_until(async || engine.counts().cancelled == 1).await;
    let late = engine.calls()[0].attempt.clone();
    engine.inject(Fault::WrongAttempt(late));
    let (status, _) = send_unstreamed(&fleet, "pairing").await;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    wait_until(async || fleet.count("late").await == 1).await;
    assert_eq!(fleet.count("crossed").await, 0);
}

/// Guards against reporting `not_run` for a request that ran but whose response never arrived.
#[actix_rt::test]
async fn crash_before_the_first_byte_is_unknown() {
    let fleet = start_with_one_engine().await;
    fleet.engines[0].inject(Fault::CloseBeforeResponse);
    let (status, problem) = send_unstreamed(&fleet, "pairing").await;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    assert_eq!(problem["ran"], "unknown");
    assert_eq!(fleet.engines[0].counts().started, 1);
}

/// Guards against reporting `unknown` for a refused connection.
#[actix_rt::test]
async fn refused_connection_is_not_run() {
    let fleet = start_with_one_engine().await;
    fleet.engines[0].kill().await;
    let (status, problem) = send_unstreamed(&fleet, "pairing").await;
    assert!(status.is_server_error());
    assert_eq!(problem["ran"], "not_run");
    assert_eq!(fleet.engines[0].counts().started, 0);
}

/// Guards against confusing an error of the engine that does not state whether the request ran
/// with a refusal that states `not_run`.
#[actix_rt::test]
async fn error_and_refusal_of_the_engine_are_distinguished() {
    let fleet = start_with_one_engine().await;
    fleet.engines[0].inject(Fault::Fail);
    let (_, problem) = send_unstreamed(&fleet, "pairing").await;
    assert_eq!(problem["ran"], "unknown");
    fleet.engines[0].inject(Fault::Refuse(1));
    let (_, problem) = send_unstreamed(&fleet, "pairing").await;
    assert_eq!(problem["ran"], "not_run");
}

/// Guards against an engine that keeps working for a caller that has disconnected.
#[actix_rt::test]
async fn disconnect_of_the_caller_cancels_at_the_engine() {
    let fleet = Fleet::start(Plan {
        engines: 1,
        options: Options {
            output_token: Duration::from_millis(20),
            ..Options::default()
        },
        ..Plan::default()
    })
    .await;
    let response = fleet
        .chat()
        .send_json(&chat_body(TEXT, true, 100_000))
        .await;
    let engine = &fleet.engines[0];
    wait_until(async || engine.running() == 1).await;
    drop(response);
    wait_until(async || engine.counts().cancelled == 1 && engine.running() == 0).await;
    wait_until(async || fleet.status().await["in_flight"] == 0).await;
    assert_eq!(fleet.count("abandoned").await, 1);
}

/// Guards against a caller that reads nothing and occupies an engine beyond the deadline, and
/// against a stream that then ends as if it were complete.
#[actix_rt::test]
async fn slow_caller_is_cancelled_at_the_deadline() {
    let fleet = start_with_one_engine().await;
    let headers = "X-Request-Deadline-Ms: 3000\r\n";
    let mut stream = raw_chat(&fleet, headers, &chat_body(TEXT, true, 200_000)).await;
    let engine = &fleet.engines[0];
    wait_until(async || engine.counts().cancelled == 1 && engine.running() == 0).await;
    wait_until(async || fleet.status().await["in_flight"] == 0).await;
    let mut raw = Vec::new();
    // The router may also reset the connection.
    let _reset = stream.read_to_end(&mut raw).await;
    let text = String::from_utf8_lossy(&raw);
    assert!(
        text.starts_with("HTTP/1.1 200"),
        "{}",
        &text[..200.min(text.len())]
    );
    assert!(!text.contains("[DONE]"));
    assert!(!is_complete(&raw) || text.contains("event: error"));
}

/// Guards against treating a truncated response that is not streamed as complete.
#[actix_rt::test]
async fn truncated_body_is_not_forwarded() {
    let fleet = start_with_one_engine().await;
    fleet.engines[0].inject(Fault::Cut(0));
    let (status, problem) = send_unstreamed(&fleet, "pairing").await;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    assert_eq!(problem["ran"], "unknown");
}

/// Guards against a request to an engine without its priority, remaining time or chat id.
#[actix_rt::test]
async fn engine_receives_priority_and_deadline() {
    let fleet = start_with_one_engine().await;
    for (class, priority, most_ms) in [("interactive", 6, 60_000), ("status", 9, 2_000)] {
        send_unstreamed(&fleet, class).await;
        let call = fleet.engines[0].calls().pop().expect("a call");
        assert_eq!(call.priority, priority);
        assert!((1..=most_ms).contains(&call.deadline_ms), "{call:?}");
        assert!(!call.chat.is_empty());
    }
}

/// Guards against output that is lost, repeated or mixed up when the stream of an idempotent
/// request breaks and its engine cannot resume it.
#[actix_rt::test]
async fn broken_stream_is_continued_at_another_engine() {
    for position in [0, 1, 7, 11] {
        let fleet = Fleet::start(Plan::default()).await;
        for engine in &fleet.engines {
            engine.inject(Fault::NoResume);
        }
        // The first response shows which engine the chat is placed on.
        let first = send_streamed(&fleet, "interactive").await;
        let name = |number: usize| format!("engine-{number}");
        let home = usize::from(first.upstream == name(1));
        fleet.engines[home].inject(Fault::Cut(position));
        let answer = send_streamed(&fleet, "interactive").await;
        assert_eq!(answer.text, expected_text(TEXT, 12), "cut at {position}");
        assert!(answer.done && answer.error.is_none(), "{answer:?}");
        assert_eq!(fleet.engines[1 - home].counts().started, 1);
        assert_eq!(fleet.count("cut").await, 1);
    }
}

/// Guards against a failed idempotent request that is not retried at another engine.
#[actix_rt::test]
async fn idempotent_request_is_retried_at_another_engine() {
    let faults = [
        Fault::CloseBeforeResponse,
        Fault::Fail,
        Fault::Refuse(1),
        Fault::WrongAttempt(FOREIGN_ATTEMPT.to_owned()),
        Fault::Cut(0),
    ];
    for fault in faults {
        let fleet = Fleet::start(Plan::default()).await;
        let mut home = 0;
        for (number, engine) in fleet.engines.iter().enumerate() {
            let (status, _) = send_unstreamed(&fleet, "interactive").await;
            assert_eq!(status, StatusCode::OK);
            if engine.counts().started > 0 {
                home = number;
            }
        }
        fleet.engines[home].inject(fault.clone());
        let (status, answer) = send_unstreamed(&fleet, "interactive").await;
        assert_eq!(status, StatusCode::OK, "{fault:?} {answer}");
        let text = &answer["choices"][0]["message"]["content"];
        assert_eq!(text, expected_text(TEXT, 12).as_str());
        assert_eq!(fleet.engines[1 - home].counts().started, 1, "{fault:?}");
    }
}

/// Guards against requests that fail because an engine has stopped and refuses connections.
#[actix_rt::test]
async fn refused_connection_is_retried_at_another_engine() {
    let fleet = Fleet::start(Plan::default()).await;
    // Retries are limited to a tenth of the requests; these allow the six below.
    for _ in 0..60 {
        send_unstreamed(&fleet, "interactive").await;
    }
    fleet.engines[0].kill().await;
    for number in 0..6 {
        let text = format!("Letter {number}");
        let call = fleet.chat().send_json(&chat_body(&text, true, 5)).await;
        let answer = Answer::read(call.expect("an answer")).await;
        assert_eq!(answer.text, expected_text(&text, 5));
        assert!(answer.done);
        assert_eq!(answer.upstream, "engine-1");
    }
}
