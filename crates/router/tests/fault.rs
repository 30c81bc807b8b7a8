//! Engines that fail: each test brings about one failure.

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
/// An attempt id that no router gave.
const STRANGE: &str = "00000000000000ff";

async fn one() -> Fleet {
    Fleet::start(Plan {
        engines: 1,
        ..Plan::default()
    })
    .await
}

async fn streamed(fleet: &Fleet, class: &str) -> Answer {
    let call = fleet.chat().insert_header(("x-class", class));
    let response = call.send_json(&chat_body(TEXT, true, 12)).await;
    Answer::read(response.expect("an answer")).await
}

async fn whole(fleet: &Fleet, class: &str) -> (StatusCode, Value) {
    let call = fleet.chat().insert_header(("x-class", class));
    let response = call.send_json(&chat_body(TEXT, false, 12)).await;
    let mut response = response.expect("an answer");
    (response.status(), response.json().await.expect("JSON"))
}

/// Guards against a cut stream that ends early or repeats events although the engine can resume.
#[actix_rt::test]
async fn cut_stream_is_resumed() {
    let fleet = one().await;
    for position in [0, 1, 5, 12] {
        fleet.engines[0].inject(Fault::Cut(position));
        let answer = streamed(&fleet, "pairing").await;
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

/// Guards against a stream that breaks for good and ends as if it were complete.
#[actix_rt::test]
async fn cut_stream_that_cannot_go_on_ends_with_an_error() {
    let fleet = one().await;
    fleet.engines[0].inject(Fault::NoResume);
    fleet.engines[0].inject(Fault::Cut(5));
    let answer = streamed(&fleet, "pairing").await;
    let error = answer.error.expect("an error event");
    assert!(!answer.done);
    assert!(expected_text(TEXT, 12).starts_with(&answer.text));
    assert_eq!(error["type"], "urn:snipeusher:problem:attempts-failed");
    assert_eq!(error["ran"], "unknown");
    assert_eq!(fleet.engines[0].counts().started, 1);
}

/// Guards against the answer of another request being passed on.
#[actix_rt::test]
async fn crossed_answer_is_dropped() {
    let fleet = one().await;
    fleet.engines[0].inject(Fault::WrongAttempt(STRANGE.to_owned()));
    let (status, problem) = whole(&fleet, "pairing").await;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    assert_eq!(problem["ran"], "unknown");
    assert_eq!(fleet.count("crossed").await, 1);
    assert_eq!(fleet.count("late").await, 0);
}

/// Guards against single events of another request within a stream being passed on.
#[actix_rt::test]
async fn crossed_events_are_dropped() {
    let fleet = one().await;
    fleet.engines[0].inject(Fault::WrongEvents(4, STRANGE.to_owned()));
    let answer = streamed(&fleet, "pairing").await;
    assert_eq!(answer.text, expected_text(TEXT, 12));
    assert!(answer.done);
    assert_eq!(fleet.count("crossed").await, 10, "events 5 to 14");
    assert_eq!(fleet.count("resumed").await, 1);
}

/// Guards against an event that comes twice being passed on twice.
#[actix_rt::test]
async fn duplicated_event_is_dropped() {
    let fleet = one().await;
    fleet.engines[0].inject(Fault::Duplicate(3));
    let answer = streamed(&fleet, "interactive").await;
    assert_eq!(answer.text, expected_text(TEXT, 12));
    assert!(answer.done);
    assert_eq!(fleet.count("duplicated").await, 1);
}

/// Guards against an answer that misses its deadline: the caller must hear of it, the engine
/// must be told to stop, and the answer must not reach a later request.
#[actix_rt::test]
async fn late_answer_is_dropped() {
    let fleet = one().await;
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
    let (status, _) = whole(&fleet, "pairing").await;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    wait_until(async || fleet.count("late").await == 1).await;
    assert_eq!(fleet.count("crossed").await, 0);
}

/// Guards against a request that ran and whose answer never came being called `not_run`.
#[actix_rt::test]
async fn death_before_the_first_byte_is_unknown() {
    let fleet = one().await;
    fleet.engines[0].inject(Fault::DieBeforeAnswer);
    let (status, problem) = whole(&fleet, "pairing").await;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    assert_eq!(problem["ran"], "unknown");
    assert_eq!(fleet.engines[0].counts().started, 1);
}

/// Guards against a refused connection being called `unknown`.
#[actix_rt::test]
async fn refused_connection_is_not_run() {
    let fleet = one().await;
    fleet.engines[0].die().await;
    let (status, problem) = whole(&fleet, "pairing").await;
    assert!(status.is_server_error());
    assert_eq!(problem["ran"], "not_run");
    assert_eq!(fleet.engines[0].counts().started, 0);
}

/// Guards against a refusal of the engine that says nothing, or says `not_run`, being mixed up.
#[actix_rt::test]
async fn refusal_says_what_the_engine_said() {
    let fleet = one().await;
    fleet.engines[0].inject(Fault::Fail);
    let (_, problem) = whole(&fleet, "pairing").await;
    assert_eq!(problem["ran"], "unknown");
    fleet.engines[0].inject(Fault::Refuse(1));
    let (_, problem) = whole(&fleet, "pairing").await;
    assert_eq!(problem["ran"], "not_run");
}

/// Guards against work that goes on at the engine for a caller who left.
#[actix_rt::test]
async fn caller_gone_cancels_at_the_engine() {
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

/// Guards against a caller that reads nothing holding an engine past the deadline, and against
/// its stream ending as if it were complete.
#[actix_rt::test]
async fn slow_reader_meets_its_deadline() {
    let fleet = one().await;
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

/// Guards against a cut answer that is not streamed passing for a whole one.
#[actix_rt::test]
async fn cut_body_is_not_passed_on() {
    let fleet = one().await;
    fleet.engines[0].inject(Fault::Cut(0));
    let (status, problem) = whole(&fleet, "pairing").await;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    assert_eq!(problem["ran"], "unknown");
}

/// Guards against an engine that does not learn the priority and the time that remains.
#[actix_rt::test]
async fn engine_learns_priority_and_deadline() {
    let fleet = one().await;
    for (class, priority, most_ms) in [("interactive", 6, 60_000), ("status", 9, 2_000)] {
        whole(&fleet, class).await;
        let call = fleet.engines[0].calls().pop().expect("a call");
        assert_eq!(call.priority, priority);
        assert!((1..=most_ms).contains(&call.deadline_ms), "{call:?}");
        assert!(!call.chat.is_empty());
    }
}

/// Guards against a stream that is lost, repeated or mixed up when its engine dies for good and
/// the work may be repeated.
#[actix_rt::test]
async fn cut_stream_goes_on_at_another_engine() {
    for position in [0, 1, 7, 11] {
        let fleet = Fleet::start(Plan::default()).await;
        for engine in &fleet.engines {
            engine.inject(Fault::NoResume);
        }
        // The first answer shows which engine the chat goes to.
        let first = streamed(&fleet, "interactive").await;
        let name = |number: usize| format!("engine-{number}");
        let home = usize::from(first.upstream == name(1));
        fleet.engines[home].inject(Fault::Cut(position));
        let answer = streamed(&fleet, "interactive").await;
        assert_eq!(answer.text, expected_text(TEXT, 12), "cut at {position}");
        assert!(answer.done && answer.error.is_none(), "{answer:?}");
        assert_eq!(fleet.engines[1 - home].counts().started, 1);
        assert_eq!(fleet.count("cut").await, 1);
    }
}

/// Guards against work that may be repeated being lost with one engine.
#[actix_rt::test]
async fn repeatable_work_goes_to_another_engine() {
    let faults = [
        Fault::DieBeforeAnswer,
        Fault::Fail,
        Fault::Refuse(1),
        Fault::WrongAttempt(STRANGE.to_owned()),
        Fault::Cut(0),
    ];
    for fault in faults {
        let fleet = Fleet::start(Plan::default()).await;
        let mut home = 0;
        for (number, engine) in fleet.engines.iter().enumerate() {
            let (status, _) = whole(&fleet, "interactive").await;
            assert_eq!(status, StatusCode::OK);
            if engine.counts().started > 0 {
                home = number;
            }
        }
        fleet.engines[home].inject(fault.clone());
        let (status, answer) = whole(&fleet, "interactive").await;
        assert_eq!(status, StatusCode::OK, "{fault:?} {answer}");
        let text = &answer["choices"][0]["message"]["content"];
        assert_eq!(text, expected_text(TEXT, 12).as_str());
        assert_eq!(fleet.engines[1 - home].counts().started, 1, "{fault:?}");
    }
}

/// Guards against an engine that is gone taking requests with it.
#[actix_rt::test]
async fn refused_connection_goes_to_another_engine() {
    let fleet = Fleet::start(Plan::default()).await;
    // Retries are a tenth of the requests; these pay for the six below.
    for _ in 0..60 {
        whole(&fleet, "interactive").await;
    }
    fleet.engines[0].die().await;
    for number in 0..6 {
        let text = format!("Letter {number}");
        let call = fleet.chat().send_json(&chat_body(&text, true, 5)).await;
        let answer = Answer::read(call.expect("an answer")).await;
        assert_eq!(answer.text, expected_text(&text, 5));
        assert!(answer.done);
        assert_eq!(answer.upstream, "engine-1");
    }
}
