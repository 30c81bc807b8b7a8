//! Upstreams that can decline few requests before they crash.

mod common;

use std::time::Duration;

use actix_rt::time::sleep;
use common::caller::call;
use common::caller::post;
use common::engine::Act;
use common::engine::Engine;
use common::engine::response_with;
use common::until;
use common::zone;
use snipeusher::name;

/// Guards against a router that sends beyond its slots, and against routers that do not hear from
/// peers that they have few.
#[actix_rt::test]
async fn what_exceeds_the_slots_of_a_router_goes_to_a_peer() {
    let engine = Engine::start(|seen| {
        let limit = "T-Decline-Limit: 3\r\n";
        vec![
            Act::Pause(400),
            response_with(seen.id(), "200 OK", limit, "done"),
        ]
    })
    .await;
    // An upstream that states no slots counts as one with a slot for each router.
    let (nodes, _store) = zone(3, &[(&engine, "v1")]).await;
    let first = call(nodes[0].front, &post("/write/x", "first", "x")).await;
    assert_eq!(first.status, 200);
    let service = name::Service::from("letters");
    until("all routers know the limit", || {
        nodes.iter().all(|node| {
            let limits = node.shared.fleet.borrow().decline_limits(node.shared.now());
            limits.iter().any(|limit| limit.service == service)
        })
    })
    .await;
    let mut calls = Vec::new();
    for number in 0..4 {
        let front = nodes[0].front;
        let text = post("/write/x", &format!("next-{number}"), "x");
        calls.push(actix_rt::spawn(async move { call(front, &text).await }));
        sleep(Duration::from_millis(40)).await;
        for node in &nodes {
            let fleet = node.shared.fleet.borrow();
            assert!(fleet.upstreams()[0].load.in_flight() <= 1, "one slot each");
        }
    }
    let mut served = 0;
    for call in calls {
        let answer = call.await.expect("an answer");
        assert!(matches!(answer.status, 200 | 503), "{}", answer.status);
        served += usize::from(answer.status == 200);
    }
    assert_eq!(served, 3, "as many as there are slots");
}
