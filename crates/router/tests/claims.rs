//! Requests with idempotency keys through one or two routers that share a fake plain service.

mod common;

use std::time::Duration;

use awc::http::header::HeaderMap;
use common::Fleet;
use common::key_value_plan;
use common::wait_until;
use common::write_documents;
use serde_json::Value;
use snipeusher::name::Incarnation;
use snipeusher_fakes::kv::Server;
use snipeusher_fakes::plain::Fault;
use snipeusher_router::claims::PeerSeen;

/// A response to a request to create a pairing.
struct Response {
    status: u16,
    headers: HeaderMap,
    body: String,
}

impl Response {
    fn problem(&self) -> Value {
        serde_json::from_str(&self.body).expect("a problem")
    }
}

async fn pair(fleet: &Fleet, key: &str, body: &'static str) -> Response {
    let call = fleet
        .post("/match/pair")
        .insert_header(("idempotency-key", key));
    let mut response = call.send_body(body).await.expect("an answer");
    let body = response.body().await.expect("a body");
    Response {
        status: response.status().as_u16(),
        headers: response.headers().clone(),
        body: String::from_utf8(body.to_vec()).expect("text"),
    }
}

async fn start_first(server: &Server) -> Fleet {
    write_documents(server);
    let fleet = Fleet::start(key_value_plan(server)).await;
    wait_until_ready(&fleet).await;
    fleet
}

async fn wait_until_ready(fleet: &Fleet) {
    wait_until(async || {
        let call = fleet.client.get(format!("{}/readyz", fleet.base)).send();
        call.await.expect("an answer").status().is_success()
    })
    .await;
}

/// Starts a second router with the plain service of the first as its upstream.
async fn start_second(server: &Server, first: &Fleet) -> Fleet {
    let mut plan = key_value_plan(server);
    let settings = plan.settings;
    let address = first.plain[0].address();
    plan.settings = Box::new(move |own| {
        settings(own);
        own.host = "second".into();
        own.upstreams = vec![common::upstream(
            "match-desk-0",
            address,
            Some("match-desk"),
        )];
    });
    let fleet = Fleet::start(plan).await;
    wait_until_ready(&fleet).await;
    fleet
}

fn runs(fleet: &Fleet) -> usize {
    fleet.plain[0].calls().len()
}

/// Guards against running a request at two routers that receive its key at the same time, and
/// against a different response to a retry.
#[actix_rt::test]
async fn key_sent_to_two_routers_runs_once() {
    let server = Server::open().expect("a service");
    let first = start_first(&server).await;
    let second = start_second(&server, &first).await;
    first.plain[0].inject(Fault::Delay(Duration::from_millis(50)));
    let (left, right) = futures_util::join!(
        pair(&first, "pair-1", "ann+bo"),
        pair(&second, "pair-1", "ann+bo")
    );
    assert_eq!(runs(&first), 1);
    let (success, other) = if left.status == 200 {
        (left, right)
    } else {
        (right, left)
    };
    assert_eq!(success.status, 200);
    assert!(
        other.body == success.body || other.problem()["ran"] == "unknown",
        "{}",
        other.body
    );
    for fleet in [&first, &second] {
        wait_until(async || pair(fleet, "pair-1", "ann+bo").await.body == success.body).await;
    }
    assert_eq!(runs(&first), 1);
    let mismatch = pair(&second, "pair-1", "ann+cy").await;
    assert_eq!(
        (mismatch.status, &mismatch.problem()["ran"]),
        (422, &"not_run".into())
    );
    assert_eq!(runs(&first), 1);
}

/// Guards against a router that does not recognise its own claim after the reply of the key-value
/// service was lost.
#[actix_rt::test]
async fn claim_with_a_lost_reply_is_sent_again() {
    let server = Server::open().expect("a service");
    let fleet = start_first(&server).await;
    assert_eq!(pair(&fleet, "pair-1", "ann+bo").await.status, 200);
    wait_until(async || server.counts().txn == 2).await;
    server.set_faults(|faults| faults.lose_replies = 1);
    assert_eq!(pair(&fleet, "pair-2", "cy+di").await.status, 200);
    assert_eq!(runs(&fleet), 2);
    // One claim and one record for each request, and one resend.
    wait_until(async || server.counts().txn == 5).await;
    // A shutdown waits until outcomes are recorded.
    assert_eq!(pair(&fleet, "pair-3", "ed+flo").await.status, 200);
    assert!(fleet.router.stop().await);
    assert_eq!(server.counts().txn, 7);
}

/// Guards against a key that stays claimed although its request did not run, and against a retry
/// that runs again or receives a truncated response as complete after an unknown outcome.
#[actix_rt::test]
async fn outcome_determines_the_response_to_a_retry() {
    let server = Server::open().expect("a service");
    let fleet = start_first(&server).await;
    // More refusals than the router makes attempts.
    for _ in 0..8 {
        fleet.plain[0].inject(Fault::Refuse);
    }
    let refused = pair(&fleet, "pair-1", "ann+bo").await;
    assert_eq!(refused.problem()["ran"], "not_run");
    wait_until(async || pair(&fleet, "pair-1", "ann+bo").await.status == 200).await;
    fleet.plain[0].inject(Fault::CloseBeforeResponse);
    let failed = pair(&fleet, "pair-2", "cy+di").await;
    assert_eq!(failed.problem()["ran"], "unknown");
    let before = runs(&fleet);
    let retried = pair(&fleet, "pair-2", "cy+di").await;
    assert_eq!(
        (retried.status, &retried.problem()["ran"]),
        (409, &"unknown".into())
    );
    assert_eq!(runs(&fleet), before);
}

/// Guards against running a request with a new key unclaimed during an outage of the key-value
/// service, and against issued keys and keys with a recorded response that depend on the service.
#[actix_rt::test]
async fn outage_rejects_only_new_keys_of_callers() {
    let server = Server::open().expect("a service");
    let fleet = start_first(&server).await;
    let first = pair(&fleet, "pair-1", "ann+bo").await;
    server.set_faults(|faults| faults.down = true);
    let refused = pair(&fleet, "pair-2", "cy+di").await;
    assert_eq!(
        (refused.status, &refused.problem()["ran"]),
        (503, &"not_run".into())
    );
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(pair(&fleet, "pair-1", "ann+bo").await.body, first.body);
    let mut issued = fleet
        .post("/v1/idempotency-keys")
        .send()
        .await
        .expect("a key");
    let issued: Value = issued.json().await.expect("JSON");
    let key = issued["key"].as_str().expect("a key");
    let response = pair(&fleet, key, "ed+flo").await;
    assert_eq!(response.status, 200);
    assert_eq!(pair(&fleet, key, "ed+flo").await.body, response.body);
    assert_eq!(runs(&fleet), 2);
}

/// Guards against running a request with an issued key at a router other than the one that issued
/// the key.
#[actix_rt::test]
async fn request_with_an_issued_key_is_forwarded_to_the_issuer() {
    let server = Server::open().expect("a service");
    let first = start_first(&server).await;
    let second = start_second(&server, &first).await;
    let mut issued = first
        .post("/v1/idempotency-keys")
        .send()
        .await
        .expect("a key");
    let issued: Value = issued.json().await.expect("JSON");
    let key = issued["key"].as_str().expect("a key");
    let unknown = pair(&second, key, "ann+bo").await;
    assert_eq!(
        (unknown.status, &unknown.problem()["ran"]),
        (409, &"unknown".into())
    );
    let incarnation = key.rsplit(':').nth(2).expect("an incarnation");
    let peer = PeerSeen {
        host: "test".into(),
        incarnation: Incarnation(incarnation.parse().expect("a number")),
        address: first.router.address(),
    };
    second.router.claimer().send(peer).await.expect("the actor");
    let forwarded = pair(&second, key, "ann+bo").await;
    assert_eq!(forwarded.status, 200, "{}", forwarded.body);
    assert_eq!(pair(&first, key, "ann+bo").await.body, forwarded.body);
    assert_eq!(runs(&first), 1);
}
