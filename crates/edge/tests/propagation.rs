//! Propagation of changes from the store and between routers, and graceful shutdown.

mod common;

use std::rc::Rc;

use common::Node;
use common::call_ready;
use common::caller::Caller;
use common::caller::call;
use common::caller::get;
use common::engine::Act;
use common::engine::Engine;
use common::engine::response;
use common::platform::DEFAULT;
use common::single;
use common::start;
use common::store::Store;
use common::until;
use snipeusher_fakes::address::free_address;

/// Time after its confirmation in which a configuration has to be in force everywhere.
const IN_FORCE: std::time::Duration = std::time::Duration::from_secs(2);
/// The same in a large fleet.
const IN_FORCE_LARGE: std::time::Duration = std::time::Duration::from_secs(3);
const CHANGED: &str = "2\n/new/ idempotent 1 1000 public\n";

fn version(node: &Node) -> Option<u64> {
    node.shared.table().map(|table| table.version())
}

async fn engine() -> Engine {
    Engine::start(|seen| vec![response(seen.id(), "200 OK", seen.id())]).await
}

/// Starts routers one after the other and waits until they agree on the readers of the store.
async fn start_fleet(store: &Store, count: usize) -> Vec<Node> {
    store.configure(DEFAULT);
    let mut nodes: Vec<Node> = Vec::new();
    for index in 0..count {
        let seeds = nodes.first().map(|node| node.control).into_iter().collect();
        nodes.push(start(&format!("host-{index}"), store, seeds).await);
    }
    actix_rt::time::sleep(std::time::Duration::from_secs(4)).await;
    nodes
}

/// Guards against a router that responds with 404 before it has loaded a configuration.
#[actix_rt::test]
async fn without_a_configuration_a_router_is_not_ready() {
    let store = Store::new();
    store.cut(true);
    let node = start("host-1", &store, Vec::new()).await;
    assert_eq!(call_ready(&node).await, 503);
    let answered = call(node.front, &get("/read/", "r1")).await;
    assert_eq!(answered.status, 503);
    assert!(answered.header("retry-after").is_some());
    store.configure(DEFAULT);
    store.cut(false);
    let shared = Rc::clone(&node.shared);
    until("it is ready", || shared.is_ready()).await;
    assert_eq!(call_ready(&node).await, 200);
    assert_eq!(call(node.front, &get("/nowhere/", "r1")).await.status, 404);
}

#[actix_rt::test]
async fn a_change_applies_at_once_and_invalid_values_are_ignored() {
    let engine = engine().await;
    let (node, store) = single(&[&engine]).await;
    store.configure(CHANGED);
    until("the change is in force", || version(&node) == Some(2)).await;
    assert_eq!(call(node.front, &get("/new/", "r1")).await.status, 200);
    assert_eq!(call(node.front, &get("/read/", "r2")).await.status, 404);
    store.configure("no version");
    store.put("up/foreign", "what is this");
    actix_rt::time::sleep(std::time::Duration::from_millis(100)).await;
    assert_eq!(version(&node), Some(2));
    assert_eq!(call(node.front, &get("/new/", "r3")).await.status, 200);
}

/// Guards against a rollout whose last change applies seconds after its first because the router
/// waits after each one.
#[actix_rt::test]
async fn changes_that_arrive_together_are_applied_together() {
    let (node, store) = single(&[]).await;
    actix_rt::time::sleep(std::time::Duration::from_millis(100)).await;
    for index in 0..40 {
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1_000 + index));
        store.upstream(&format!("e{index}"), "letters", address, "ready");
    }
    store.configure(CHANGED);
    let began = std::time::Instant::now();
    until("the last change is in force", || version(&node) == Some(2)).await;
    assert!(began.elapsed().as_millis() < 1_000);
    assert_eq!(node.shared.fleet.borrow().upstreams().len(), 40);
}

/// Guards against an older configuration that arrives late and replaces a newer one.
#[actix_rt::test]
async fn an_older_configuration_is_ignored() {
    let (node, store) = single(&[]).await;
    store.configure(CHANGED);
    until("the change is in force", || version(&node) == Some(2)).await;
    let revision = snipeusher::kv::Revision::new(1);
    node.shared.configure(revision, DEFAULT.as_bytes(), "peer");
    assert_eq!(version(&node), Some(2));
}

/// Guards against a router that cannot reach the store and never receives changes.
#[actix_rt::test]
async fn a_router_without_the_store_receives_changes_from_peers() {
    let engine = engine().await;
    let store = Store::new();
    store.configure(DEFAULT);
    store.upstream("e0", "letters", engine.address, "ready");
    let first = start("host-1", &store, Vec::new()).await;
    let other = store.other_client();
    other.cut(true);
    let second = start("host-2", &other, vec![first.control]).await;
    until("it knows the configuration", || version(&second) == Some(1)).await;
    assert_eq!(call(second.front, &get("/read/", "r1")).await.body, "r1");
    store.configure(CHANGED);
    until("it knows the change", || version(&second) == Some(2)).await;
    store.delete("up/e0");
    let id = snipeusher::name::Upstream::from("e0");
    until("it knows the removal", || {
        let now = second.shared.now();
        !second.shared.fleet.borrow().is_ready(now, &id)
    })
    .await;
}

/// Guards against requests to an upstream that is removed just after a single router was
/// partitioned from the store. Other routers could reach the store, so no lease expired because of
/// an outage and the removal must apply at once.
#[actix_rt::test]
async fn a_removal_after_a_partition_applies_at_once() {
    let engine = engine().await;
    let store = Store::new();
    store.configure(DEFAULT);
    store.upstream("e0", "letters", engine.address, "ready");
    let first = start("host-1", &store, Vec::new()).await;
    let partitioned = store.other_client();
    let second = start("host-2", &partitioned, vec![first.control]).await;
    let shared = Rc::clone(&second.shared);
    until("it is ready", || shared.is_ready()).await;
    actix_rt::time::sleep(std::time::Duration::from_millis(1_200)).await;
    partitioned.cut(true);
    until("the store is unreachable", || shared.is_store_unreachable()).await;
    actix_rt::time::sleep(std::time::Duration::from_millis(1_500)).await;
    partitioned.cut(false);
    until("the store is reachable", || !shared.is_store_unreachable()).await;
    store.delete("up/e0");
    let began = std::time::Instant::now();
    let id = snipeusher::name::Upstream::from("e0");
    for node in [&first, &second] {
        until("it knows the removal", || {
            let now = node.shared.now();
            !node.shared.fleet.borrow().is_ready(now, &id)
        })
        .await;
    }
    assert!(began.elapsed().as_millis() < 1_500);
}

/// Guards against a fleet in which every router reads the store.
#[actix_rt::test]
async fn only_a_few_routers_read_the_store() {
    let store = Store::new();
    let nodes = start_fleet(&store, 6).await;
    let before = store.calls();
    actix_rt::time::sleep(std::time::Duration::from_secs(3)).await;
    // The pending watches of the readers need no further call.
    assert_eq!(store.calls(), before);
    let reading = nodes.iter().filter(|node| {
        let now = node.shared.now();
        node.shared.readers.borrow_mut().update_role(now, 6)
    });
    assert!((1..=3).contains(&reading.count()));
    store.configure(CHANGED);
    until("all know the change", || {
        nodes.iter().all(|node| version(node) == Some(2))
    })
    .await;
}

/// Guards against a change that each router reads from the store although a local peer has it;
/// calls of the store are expensive.
#[actix_rt::test]
async fn a_change_spreads_without_store_calls() {
    let store = Store::new();
    let nodes = start_fleet(&store, 6).await;
    let before = store.calls();
    store.configure(CHANGED);
    let began = std::time::Instant::now();
    until("all know the change", || {
        nodes.iter().all(|node| version(node) == Some(2))
    })
    .await;
    assert!(began.elapsed().as_millis() < 1_000);
    assert_eq!(store.calls(), before, "the watches of the readers suffice");
}

/// A configuration of more than 128 KiB.
fn large(version: u64) -> String {
    let routes = (0..6_000).map(|route| format!("/r{route}/ idempotent 1 1000 public\n"));
    format!("{version}\n{}", routes.collect::<String>())
}

/// Starts routers with a client of the store for each, and waits until they agree on the readers.
async fn start_with_clients(count: usize, store: &Store) -> (Vec<Node>, Vec<Store>) {
    let mut nodes: Vec<Node> = Vec::new();
    let mut clients = Vec::new();
    for index in 0..count {
        let seeds = nodes.first().map(|node| node.control).into_iter().collect();
        let client = store.other_client();
        nodes.push(start(&format!("host-{index}"), &client, seeds).await);
        clients.push(client);
    }
    actix_rt::time::sleep(std::time::Duration::from_secs(4)).await;
    (nodes, clients)
}

fn is_reading(node: &Node) -> bool {
    node.shared.readers.borrow().is_reading()
}

/// Guards against a router that waits for a store which is silent to it alone, while its peers have
/// the configuration.
#[actix_rt::test]
async fn a_store_silent_to_one_router_does_not_delay_a_large_configuration() {
    let store = Store::new();
    store.configure(&large(1));
    let (nodes, clients) = start_with_clients(4, &store).await;
    let other = nodes.iter().position(|node| !is_reading(node));
    let other = other.expect("two of four read the store");
    clients[other].silence(true);
    for next in [2, 3] {
        store.configure(&large(next));
        let changed = std::time::Instant::now();
        until("the change is in force", || {
            version(&nodes[other]) == Some(next)
        })
        .await;
        let elapsed = changed.elapsed();
        assert!(elapsed < IN_FORCE, "version {next} after {elapsed:?}");
    }
}

/// Guards against routers that rely on readers of the store to which it has fallen silent, although
/// it would answer them: a change just after that has to be in force in the time of a large fleet.
#[actix_rt::test]
async fn a_store_silent_to_all_readers_does_not_delay_a_change() {
    let store = Store::new();
    store.configure(DEFAULT);
    let (nodes, clients) = start_with_clients(5, &store).await;
    let (readers, others): (Vec<usize>, Vec<usize>) =
        (0..nodes.len()).partition(|index| is_reading(&nodes[*index]));
    assert!(!readers.is_empty() && !others.is_empty());
    for reader in readers {
        clients[reader].silence(true);
    }
    actix_rt::time::sleep(std::time::Duration::from_millis(900)).await;
    store.configure(CHANGED);
    let changed = std::time::Instant::now();
    until("the change is in force", || {
        let mut others = others.iter().map(|index| &nodes[*index]);
        others.all(|node| version(node) == Some(2))
    })
    .await;
    let elapsed = changed.elapsed();
    assert!(elapsed < IN_FORCE_LARGE, "{elapsed:?}");
}

/// Guards against copies of a large configuration that fill the links of the routers which have it
/// first, and against ones that a router of the build before, which accepts no encoding, cannot
/// decode.
#[actix_rt::test]
async fn a_configuration_is_compressed_for_peers_that_accept_it() {
    let (node, store) = single(&[]).await;
    let document = large(2);
    store.configure(&document);
    until("it is in force", || version(&node) == Some(2)).await;
    let mut bodies = Vec::new();
    for accepted in ["", "Accept-Encoding: gzip\r\n"] {
        let path = "/fleet/v6/configuration";
        let request = format!("GET {path} HTTP/1.1\r\nHost: h\r\n{accepted}\r\n");
        let mut caller = Caller::connect(node.control).await;
        caller.write(&request).await;
        let answered = caller.read().await.expect("an answer");
        assert_eq!(answered.status, 200);
        assert_eq!(
            answered.header("content-encoding"),
            (!accepted.is_empty()).then_some("gzip")
        );
        bodies.push(answered.body.len());
    }
    assert!(bodies[0] >= document.len());
    assert!(bodies[1] * 5 <= document.len(), "{bodies:?}");
}

/// Guards against requests that are aborted by the shutdown of the router.
#[actix_rt::test]
async fn shutdown_completes_requests_in_flight() {
    let engine =
        Engine::start(|seen| vec![Act::Pause(600), response(seen.id(), "200 OK", seen.id())]).await;
    let (node, _store) = single(&[&engine]).await;
    let mut caller = Caller::connect(node.front).await;
    let mut idle = Caller::connect(node.front).await;
    caller.write(&get("/read/", "r1")).await;
    until("the engine has received it", || engine.count() == 1).await;
    let shared = Rc::clone(&node.shared);
    let began = std::time::Instant::now();
    let stopping = actix_rt::spawn(async move { snipeusher_edge::node::stop(&shared).await });
    until("it leaves", || node.shared.lifecycle.is_leaving()).await;
    assert_eq!(call_ready(&node).await, 503);
    let answered = caller.read().await.expect("an answer");
    assert_eq!((answered.status, answered.body.as_str()), (200, "r1"));
    idle.write(&get("/read/", "r2")).await;
    let answered = idle.read().await.expect("an answer");
    assert_eq!((answered.status, answered.body.as_str()), (200, "r2"));
    assert_eq!(answered.header("connection"), Some("close"));
    stopping.await.expect("it ends");
    let elapsed = began.elapsed().as_millis();
    assert!((2_500..4_000).contains(&elapsed), "{elapsed} ms");
}

/// Guards against a stream that is accepted late in a shutdown and then aborted.
#[actix_rt::test]
async fn a_stream_late_in_a_shutdown_is_rejected() {
    let engine = engine().await;
    let (node, _store) = single(&[&engine]).await;
    node.shared.lifecycle.leave();
    actix_rt::time::sleep(std::time::Duration::from_millis(2_700)).await;
    let answered = call(node.front, &get("/review/", "r1")).await;
    assert_eq!(answered.status, 503);
    assert_eq!(answered.header("connection"), Some("close"));
    assert_eq!(engine.count(), 0);
    assert_eq!(call(node.front, &get("/read/", "r2")).await.status, 200);
}

/// Guards against a request that is accepted so late in a shutdown that the process exits before
/// the upstream has answered.
#[actix_rt::test]
async fn no_request_is_accepted_just_before_the_exit() {
    let engine = engine().await;
    let (node, _store) = single(&[&engine]).await;
    node.shared.lifecycle.leave();
    actix_rt::time::sleep(std::time::Duration::from_secs(5)).await;
    assert_eq!(call(node.front, &get("/write/", "r1")).await.status, 200);
    // The grace period ends after eight seconds.
    actix_rt::time::sleep(std::time::Duration::from_secs(2)).await;
    let answered = call(node.front, &get("/write/", "r2")).await;
    assert_eq!(answered.status, 503);
    assert!(answered.header("retry-after").is_some());
    assert_eq!(engine.count(), 1);
}

/// Guards against starting routers that all read the store, whose rate limits do not grow with the
/// fleet, although a peer has the data.
#[actix_rt::test]
async fn a_router_that_starts_copies_from_its_peers() {
    let store = Store::new();
    for index in 0..300 {
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1_000 + index));
        store.upstream(&format!("e{index}"), "letters", address, "ready");
    }
    let first = start_fleet(&store, 1).await.remove(0);
    let cut = store.other_client();
    cut.cut(true);
    let began = std::time::Instant::now();
    let second = start("host-9", &cut, vec![first.control]).await;
    let shared = Rc::clone(&second.shared);
    until("it is ready", || shared.is_ready()).await;
    assert!(began.elapsed().as_millis() < 1_000);
    assert_eq!(shared.fleet.borrow().upstreams().len(), 300);
}

/// Guards against requests that each router loses at an upstream which a peer of its zone already
/// found unreachable.
#[actix_rt::test]
async fn an_unreachable_upstream_is_reported_to_peers() {
    let store = Store::new();
    store.upstream("e0", "letters", free_address(), "ready");
    let nodes = start_fleet(&store, 2).await;
    let answered = call(nodes[0].front, &get("/write/", "r1")).await;
    assert_eq!(answered.status, 503);
    let id = snipeusher::name::Upstream::from("e0");
    until("the peer knows of it", || {
        let fleet = nodes[1].shared.fleet.borrow();
        fleet
            .upstream(&id)
            .is_some_and(|upstream| upstream.health.is_unreachable())
    })
    .await;
}
