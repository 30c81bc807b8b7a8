//! What routers learn from the store and from each other.

mod common;

use std::rc::Rc;

use common::Node;
use common::call_ready;
use common::caller::Caller;
use common::caller::call;
use common::caller::get;
use common::engine::Act;
use common::engine::Engine;
use common::engine::answer;
use common::platform::DEFAULT;
use common::single;
use common::start;
use common::store::Store;
use common::until;

const LATER: &str = "2\n/new/ idempotent 1 1000 public\n";

fn version(node: &Node) -> Option<u64> {
    node.shared.table().map(|table| table.version())
}

async fn engine() -> Engine {
    Engine::start(|seen| vec![answer(seen.id(), "200 OK", seen.id())]).await
}

/// Routers that began one after the other and agreed on who reads the store.
async fn settled(store: &Store, count: usize) -> Vec<Node> {
    store.configure(DEFAULT);
    let mut nodes: Vec<Node> = Vec::new();
    for index in 0..count {
        let seeds = nodes.first().map(|node| node.control).into_iter().collect();
        nodes.push(start(&format!("host-{index}"), store, seeds).await);
    }
    actix_rt::time::sleep(std::time::Duration::from_secs(4)).await;
    nodes
}

/// Guards against a router without a configuration that says that routes do not exist.
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
async fn a_change_is_in_force_at_once_and_bad_ones_change_nothing() {
    let engine = engine().await;
    let (node, store) = single(&[&engine]).await;
    store.configure(LATER);
    until("the change is in force", || version(&node) == Some(2)).await;
    assert_eq!(call(node.front, &get("/new/", "r1")).await.status, 200);
    assert_eq!(call(node.front, &get("/read/", "r2")).await.status, 404);
    store.configure("no version");
    store.put("up/foreign", "what is this");
    actix_rt::time::sleep(std::time::Duration::from_millis(100)).await;
    assert_eq!(version(&node), Some(2));
    assert_eq!(call(node.front, &get("/new/", "r3")).await.status, 200);
}

/// Guards against a rollout whose last change is in force seconds after its first, since the
/// router takes a pause after each.
#[actix_rt::test]
async fn changes_that_come_together_are_taken_together() {
    let (node, store) = single(&[]).await;
    actix_rt::time::sleep(std::time::Duration::from_millis(100)).await;
    for index in 0..40 {
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1_000 + index));
        store.upstream(&format!("e{index}"), "letters", address, "ready");
    }
    store.configure(LATER);
    let began = std::time::Instant::now();
    until("the last change is in force", || version(&node) == Some(2)).await;
    assert!(began.elapsed().as_millis() < 1_000);
    assert_eq!(node.shared.fleet.borrow().cells().len(), 40);
}

/// Guards against a configuration that goes back when older news arrives late.
#[actix_rt::test]
async fn the_configuration_never_goes_back() {
    let (node, store) = single(&[]).await;
    store.configure(LATER);
    until("the change is in force", || version(&node) == Some(2)).await;
    let revision = snipeusher::kv::Revision(1);
    node.shared.configure(revision, DEFAULT.as_bytes(), "peer");
    assert_eq!(version(&node), Some(2));
}

/// Guards against a router that the store turns away and that never hears of a change.
#[actix_rt::test]
async fn a_router_without_the_store_learns_from_its_peers() {
    let engine = engine().await;
    let store = Store::new();
    store.configure(DEFAULT);
    store.upstream("e0", "letters", engine.address, "ready");
    let first = start("host-1", &store, Vec::new()).await;
    let other = store.other_way();
    other.cut(true);
    let second = start("host-2", &other, vec![first.control]).await;
    until("it knows the configuration", || version(&second) == Some(1)).await;
    assert_eq!(call(second.front, &get("/read/", "r1")).await.body, "r1");
    store.configure(LATER);
    until("it knows the change", || version(&second) == Some(2)).await;
    store.delete("up/e0");
    let id = snipeusher::name::Upstream::from("e0");
    until("it knows the departure", || {
        let now = second.shared.now();
        !second.shared.fleet.borrow().is_ready(now, &id)
    })
    .await;
}

/// Guards against work for an upstream that leaves just after a router alone had lost the store:
/// no entry has lapsed, so nothing is to be kept.
#[actix_rt::test]
async fn a_departure_after_a_partition_counts_at_once() {
    let engine = engine().await;
    let store = Store::new();
    store.configure(DEFAULT);
    store.upstream("e0", "letters", engine.address, "ready");
    let first = start("host-1", &store, Vec::new()).await;
    let way = store.other_way();
    let second = start("host-2", &way, vec![first.control]).await;
    let shared = Rc::clone(&second.shared);
    until("it is ready", || shared.is_ready()).await;
    actix_rt::time::sleep(std::time::Duration::from_millis(1_200)).await;
    way.cut(true);
    until("it has lost the store", || shared.is_store_unreachable()).await;
    actix_rt::time::sleep(std::time::Duration::from_millis(1_500)).await;
    way.cut(false);
    until("it has found the store", || !shared.is_store_unreachable()).await;
    store.delete("up/e0");
    let began = std::time::Instant::now();
    let id = snipeusher::name::Upstream::from("e0");
    for node in [&first, &second] {
        until("it knows the departure", || {
            let now = node.shared.now();
            !node.shared.fleet.borrow().is_ready(now, &id)
        })
        .await;
    }
    assert!(began.elapsed().as_millis() < 1_500);
}

/// Guards against a fleet in which every router reads the store.
#[actix_rt::test]
async fn later_routers_leave_the_store_to_the_first() {
    let store = Store::new();
    let nodes = settled(&store, 6).await;
    let before = store.calls();
    actix_rt::time::sleep(std::time::Duration::from_secs(3)).await;
    // The watches of the readers go on without a further call.
    assert_eq!(store.calls(), before);
    let reading = nodes.iter().filter(|node| {
        let now = node.shared.now();
        node.shared.readers.borrow_mut().reads(now)
    });
    assert!((1..=3).contains(&reading.count()));
    store.configure(LATER);
    until("all know the change", || {
        nodes.iter().all(|node| version(node) == Some(2))
    })
    .await;
}

/// Guards against a change that each router reads at the store, whose calls are dear, although a
/// peer beside it has it.
#[actix_rt::test]
async fn a_change_spreads_without_a_call_of_each_router() {
    let store = Store::new();
    let nodes = settled(&store, 6).await;
    let before = store.calls();
    store.configure(LATER);
    let began = std::time::Instant::now();
    until("all know the change", || {
        nodes.iter().all(|node| version(node) == Some(2))
    })
    .await;
    assert!(began.elapsed().as_millis() < 1_000);
    assert_eq!(store.calls(), before, "the watches of the readers suffice");
}

/// Guards against requests that a departure of the router cuts off.
#[actix_rt::test]
async fn a_router_that_leaves_ends_what_it_has() {
    let engine =
        Engine::start(|seen| vec![Act::Pause(600), answer(seen.id(), "200 OK", seen.id())]).await;
    let (node, _store) = single(&[&engine]).await;
    let mut caller = Caller::connect(node.front).await;
    let mut idle = Caller::connect(node.front).await;
    caller.write(&get("/read/", "r1")).await;
    until("the engine has it", || engine.count() == 1).await;
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

/// Guards against a stream that is taken late in a departure and then cut off.
#[actix_rt::test]
async fn a_router_that_is_out_takes_no_new_stream() {
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
