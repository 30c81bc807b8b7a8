//! What a collector fetches.

mod common;

use common::caller::call;
use common::caller::get;
use common::caller::post;
use common::engine::Act;
use common::engine::Engine;
use common::engine::answer;
use common::single;

/// Guards against outcomes that are not counted, and against labels that callers choose.
#[actix_rt::test]
async fn requests_rejections_and_attempts_are_counted() {
    let engine = Engine::start(|seen| match seen.id() {
        "r2" => vec![Act::Reset],
        id => vec![answer(id, "200 OK", "")],
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
