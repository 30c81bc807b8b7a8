//! Idempotency keys in the request path, with one or two routers before the fake service.

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

/// An answer to a pairing.
struct Answered {
    status: u16,
    headers: HeaderMap,
    body: String,
}

impl Answered {
    fn problem(&self) -> Value {
        serde_json::from_str(&self.body).expect("a problem")
    }
}

async fn pair(fleet: &Fleet, key: &str, body: &'static str) -> Answered {
    let call = fleet
        .post("/match/pair")
        .insert_header(("idempotency-key", key));
    let mut response = call.send_body(body).await.expect("an answer");
    let body = response.body().await.expect("a body");
    Answered {
        status: response.status().as_u16(),
        headers: response.headers().clone(),
        body: String::from_utf8(body.to_vec()).expect("text"),
    }
}

async fn one(server: &Server) -> Fleet {
    write_documents(server);
    let fleet = Fleet::start(key_value_plan(server)).await;
    ready(&fleet).await;
    fleet
}

async fn ready(fleet: &Fleet) {
    wait_until(async || {
        let call = fleet.client.get(format!("{}/readyz", fleet.base)).send();
        call.await.expect("an answer").status().is_success()
    })
    .await;
}

/// A second router before the plain service of the first.
async fn second(server: &Server, first: &Fleet) -> Fleet {
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
    ready(&fleet).await;
    fleet
}

fn runs(fleet: &Fleet) -> usize {
    fleet.plain[0].calls().len()
}

/// Guards against a pairing that runs at two routers, or whose repeat gets another answer.
#[actix_rt::test]
async fn a_key_at_two_routers_at_once_runs_once() {
    let server = Server::open().expect("a service");
    let first = one(&server).await;
    let second = second(&server, &first).await;
    first.plain[0].inject(Fault::Delay(Duration::from_millis(50)));
    let (left, right) = futures_util::join!(
        pair(&first, "pair-1", "ann+bo"),
        pair(&second, "pair-1", "ann+bo")
    );
    assert_eq!(runs(&first), 1);
    let (ran, other) = if left.status == 200 {
        (left, right)
    } else {
        (right, left)
    };
    assert_eq!(ran.status, 200);
    assert!(
        other.body == ran.body || other.problem()["ran"] == "unknown",
        "{}",
        other.body
    );
    for fleet in [&first, &second] {
        wait_until(async || pair(fleet, "pair-1", "ann+bo").await.body == ran.body).await;
    }
    assert_eq!(runs(&first), 1);
    let wrong = pair(&second, "pair-1", "ann+cy").await;
    assert_eq!(
        (wrong.status, &wrong.problem()["ran"]),
        (422, &"not_run".into())
    );
    assert_eq!(runs(&first), 1);
}

/// Guards against a claim that the router does not know as its own after a lost reply.
#[actix_rt::test]
async fn a_lost_reply_of_the_claim_costs_a_resend() {
    let server = Server::open().expect("a service");
    let fleet = one(&server).await;
    assert_eq!(pair(&fleet, "pair-1", "ann+bo").await.status, 200);
    wait_until(async || server.counts().txn == 2).await;
    server.set_faults(|faults| faults.lose_replies = 1);
    assert_eq!(pair(&fleet, "pair-2", "cy+di").await.status, 200);
    assert_eq!(runs(&fleet), 2);
    // One claim and one record for each, and one resend.
    wait_until(async || server.counts().txn == 5).await;
    // An outcome that waits for its record is not lost by a shutdown.
    assert_eq!(pair(&fleet, "pair-3", "ed+flo").await.status, 200);
    assert!(fleet.router.stop().await);
    assert_eq!(server.counts().txn, 7);
}

/// Guards against a key that stays taken although nothing ran, and against an answer that was
/// cut off and is repeated as if it were whole.
#[actix_rt::test]
async fn the_outcome_decides_what_a_repeat_gets() {
    let server = Server::open().expect("a service");
    let fleet = one(&server).await;
    // More refusals than the router may try.
    for _ in 0..8 {
        fleet.plain[0].inject(Fault::Refuse);
    }
    let refused = pair(&fleet, "pair-1", "ann+bo").await;
    assert_eq!(refused.problem()["ran"], "not_run");
    wait_until(async || pair(&fleet, "pair-1", "ann+bo").await.status == 200).await;
    fleet.plain[0].inject(Fault::DieBeforeAnswer);
    let died = pair(&fleet, "pair-2", "cy+di").await;
    assert_eq!(died.problem()["ran"], "unknown");
    let before = runs(&fleet);
    let again = pair(&fleet, "pair-2", "cy+di").await;
    assert_eq!(
        (again.status, &again.problem()["ran"]),
        (409, &"unknown".into())
    );
    assert_eq!(runs(&fleet), before);
}

/// Guards against a new key that runs unclaimed while the service is out, and against issued and
/// answered keys that need the service.
#[actix_rt::test]
async fn an_outage_refuses_only_new_keys_of_callers() {
    let server = Server::open().expect("a service");
    let fleet = one(&server).await;
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
    let answered = pair(&fleet, key, "ed+flo").await;
    assert_eq!(answered.status, 200);
    assert_eq!(pair(&fleet, key, "ed+flo").await.body, answered.body);
    assert_eq!(runs(&fleet), 2);
}

/// Guards against an issued key that runs at another router than the one that issued it.
#[actix_rt::test]
async fn an_issued_key_runs_where_it_was_issued() {
    let server = Server::open().expect("a service");
    let first = one(&server).await;
    let second = second(&server, &first).await;
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
