//! Upstreams whose address another one has, while their entries are still listed.

mod common;

use std::time::Duration;

use actix_rt::time::sleep;
use common::Node;
use common::caller::call;
use common::caller::get;
use common::engine::Engine;
use common::engine::response;
use common::engine::response_with;
use common::zone;
use rstest::rstest;

/// Requests of each check.
const REQUESTS: usize = 30;
/// Time within which the routers of a zone hear what one of them learnt.
const SPREAD_TIME: Duration = Duration::from_millis(400);

/// An engine that started again at the address of an earlier one, whose entry is still listed.
async fn replaced() -> Engine {
    let headers = "T-Not-Run: 1\r\n";
    Engine::start(move |seen| vec![response_with(seen.id(), "421 Misdirected", headers, "")]).await
}

async fn healthy() -> Engine {
    Engine::start(|seen| vec![response(seen.id(), "200 OK", "fine")]).await
}

async fn send(node: &Node, name: &str) -> usize {
    let mut served = 0;
    for index in 0..REQUESTS {
        let answered = call(node.front, &get("/read/", &format!("{name}-{index}"))).await;
        served += usize::from(answered.status == 200);
    }
    served
}

/// Guards against callers that are refused although an upstream is free, since a zone whose
/// upstreams have all started again is listed as before while the store is down.
#[actix_rt::test]
async fn requests_are_served_while_most_entries_are_outdated() {
    let mut engines = Vec::new();
    for _ in 0..6 {
        engines.push(replaced().await);
    }
    engines.push(healthy().await);
    let listed: Vec<_> = engines.iter().map(|engine| (engine, "v1")).collect();
    let (nodes, _store) = zone(1, &listed).await;
    assert_eq!(send(&nodes[0], "first").await, REQUESTS);
    let misdirected: usize = engines[..6].iter().map(Engine::count).sum();
    assert!(misdirected <= 6, "each entry is tried once: {misdirected}");
}

/// Guards against routers that each send to every outdated address: those of a zone tell one
/// another.
#[rstest]
#[actix_rt::test]
async fn peers_hear_of_an_outdated_entry() {
    let (old, good) = (replaced().await, healthy().await);
    let (nodes, _store) = zone(3, &[(&old, "v1"), (&good, "v1")]).await;
    assert_eq!(send(&nodes[0], "first").await, REQUESTS);
    assert_eq!(old.count(), 1);
    sleep(SPREAD_TIME).await;
    for (index, node) in nodes.iter().enumerate().skip(1) {
        assert_eq!(send(node, &format!("other-{index}")).await, REQUESTS);
    }
    assert_eq!(old.count(), 1);
}

/// Guards against an upstream that stays unused after a wrong answer: a newer entry ends it.
#[actix_rt::test]
async fn a_newer_entry_ends_the_exclusion() {
    let (old, good) = (replaced().await, healthy().await);
    let (nodes, store) = zone(1, &[(&old, "v1"), (&good, "v1")]).await;
    assert_eq!(send(&nodes[0], "first").await, REQUESTS);
    store.upstream_of_build("e0", "letters", old.address, "ready", "v1");
    sleep(SPREAD_TIME).await;
    assert_eq!(send(&nodes[0], "second").await, REQUESTS);
    assert_eq!(old.count(), 2);
}
