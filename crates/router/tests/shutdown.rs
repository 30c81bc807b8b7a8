//! Shutdown with requests in flight.

mod common;

use std::time::Duration;

use awc::http::StatusCode;
use common::Answer;
use common::Fleet;
use common::Plan;
use common::chat_body;
use common::expected_text;
use common::wait_until;
use serde_json::Value;
use snipeusher_fakes::engine::Options;

fn plan() -> Plan {
    Plan {
        engines: 1,
        options: Options {
            output_token: Duration::from_millis(20),
            ..Options::default()
        },
        settings: Box::new(|settings| settings.balancer_delay = Duration::from_secs(1)),
        ..Plan::default()
    }
}

/// Guards against a shutdown that interrupts streams, accepts new requests, or ends before the
/// streams.
#[actix_rt::test]
async fn shutdown_completes_streams() {
    let fleet = Fleet::start(plan()).await;
    let texts: Vec<_> = (0..8).map(|number| format!("Letter {number}")).collect();
    let mut streams = Vec::new();
    for text in &texts {
        let response = fleet.chat().send_json(&chat_body(text, true, 100)).await;
        streams.push(actix_rt::spawn(Answer::read(response.expect("a head"))));
    }
    let client = fleet.client.clone();
    let health = format!("{}/healthz", fleet.base);
    let late = fleet.chat();
    let early = fleet.chat();
    assert!(
        client
            .get(&health)
            .send()
            .await
            .expect("health")
            .status()
            .is_success()
    );
    let stop = actix_rt::spawn(fleet.router.stop());
    wait_until(async || {
        let response = client.get(&health).send().await.expect("health");
        response.status() == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
    let response = early.send_json(&chat_body("early", false, 1)).await;
    assert_eq!(response.expect("an answer").status(), StatusCode::OK);
    let mut is_refused = false;
    let mut late = Some(late);
    wait_until(async || {
        // The router answers with a problem document until its listener is closed.
        let url = health.replace("/healthz", "/v1/chat/completions");
        let call = late.take().unwrap_or_else(|| client.post(url));
        if let Ok(mut response) = call.send_json(&chat_body("late", false, 1)).await {
            let problem: Value = response.json().await.unwrap_or_default();
            is_refused = problem["type"] == "urn:snipeusher:problem:shutting-down";
            assert!(!is_refused || problem["ran"] == "not_run");
        }
        is_refused
    })
    .await;
    for (stream, text) in streams.into_iter().zip(&texts) {
        let answer = stream.await.expect("no panic");
        assert!(answer.done, "{answer:?}");
        assert_eq!(answer.text, expected_text(text, 100));
    }
    assert!(stop.await.expect("no panic"), "all requests ended");
}

/// Guards against a shutdown that waits for a request without limit.
#[actix_rt::test]
async fn drain_timeout_bounds_shutdown() {
    let mut plan = plan();
    plan.settings = Box::new(|settings| settings.drain_timeout = Duration::from_millis(50));
    let fleet = Fleet::start(plan).await;
    let response = fleet
        .chat()
        .send_json(&chat_body("endless", true, 100_000))
        .await;
    let response = response.expect("a head");
    assert!(!fleet.router.stop().await);
    drop(response);
}
