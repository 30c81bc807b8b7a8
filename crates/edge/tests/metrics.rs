//! Metrics and the status page.

mod common;

use common::caller::call;
use common::caller::get;
use common::caller::post;
use common::engine::Act;
use common::engine::Engine;
use common::engine::response;
use common::single;
use snipeusher_edge::status::State;
use snipeusher_edge::status::Status;

/// Guards against outcomes that are not counted, and against label values chosen by callers.
#[actix_rt::test]
async fn requests_rejections_and_attempts_are_counted() {
    let engine = Engine::start(|seen| match seen.id() {
        "r2" => vec![Act::Reset],
        id => vec![response(id, "200 OK", "")],
    })
    .await;
    let (node, _store) = single(&[&engine]).await;
    assert_eq!(call(node.front, &get("/read/", "r1")).await.status, 200);
    assert_eq!(
        call(node.front, &post("/write/", "r2", "x")).await.status,
        502
    );
    assert_eq!(
        call(node.front, &get("/what-a-caller-says/", "r3"))
            .await
            .status,
        404
    );
    let address = node.shared.settings.metrics.expect("the tests set it");
    let fetched = call(address, &get("/metrics", "m")).await;
    assert_eq!(fetched.status, 200);
    for line in [
        r#"snipeusher_requests_total{kind="idempotent",outcome="answered"} 1"#,
        r#"snipeusher_requests_total{kind="non_idempotent",outcome="lost"} 1"#,
        r#"snipeusher_rejections_total{outcome="no_route"} 1"#,
        r#"snipeusher_attempts_total{outcome="served"} 1"#,
        r#"snipeusher_attempts_total{outcome="lost"} 1"#,
        r#"snipeusher_time_to_first_byte_seconds_count{workspace=""} 1"#,
        "snipeusher_upstreams 1",
        "snipeusher_store_lost 0",
    ] {
        assert!(
            fetched.body.contains(line),
            "{line} is missing in\n{}",
            fetched.body
        );
    }
    assert!(!fetched.body.contains("what-a-caller-says"));
}

/// Guards against a status page that does not show why an upstream receives no requests.
#[actix_rt::test]
async fn the_status_shows_why_an_upstream_gets_no_requests() {
    let engine = Engine::start(|seen| vec![response(seen.id(), "200 OK", "")]).await;
    let (node, store) = single(&[&engine]).await;
    store.upstream(
        "e1",
        "letters",
        snipeusher_fakes::address::free_address(),
        "ready",
    );
    let shared = std::rc::Rc::clone(&node.shared);
    common::until("it is known", || {
        shared.fleet.borrow().upstreams().len() == 2
    })
    .await;
    // Requests go to either of two idle upstreams by chance; all of these miss one only once in a
    // million million times.
    for index in 0..40 {
        let answered = call(node.front, &get("/read/", &format!("r{index}"))).await;
        assert_eq!(answered.status, 200);
    }
    let address = node.shared.settings.metrics.expect("the tests set it");
    let fetched = call(address, &get("/status", "s")).await;
    let status: Status = serde_json::from_str(&fetched.body).expect("it is a status");
    let configuration = status.configuration.expect("one is in force");
    assert_eq!((configuration.version, configuration.revision), (1, 1));
    assert!(status.ready && !status.leaving && status.store.reads);
    assert_eq!((status.routers, status.store.lost_ms), (1, None));
    assert!(
        status.retries_left[0].remaining > 0,
        "{:?}",
        status.retries_left
    );
    let states: Vec<(&str, State)> = status
        .upstreams
        .iter()
        .map(|upstream| (upstream.id.as_str(), upstream.state))
        .collect();
    assert_eq!(states, [("e0", State::Ready), ("e1", State::Unreachable)]);
    store.cut(true);
    store.delete("up/e0");
    common::until("the store is unreachable", || {
        node.shared.is_store_unreachable()
    })
    .await;
    let fetched = call(address, &get("/status", "s")).await;
    let status: Status = serde_json::from_str(&fetched.body).expect("it is a status");
    assert!(status.store.lost_ms.is_some());
}
