//! Fake upstreams, store and callers, on loopback.
#![allow(dead_code, reason = "no test file uses all helpers")]

pub mod builds;
pub mod caller;
pub mod engine;
pub mod link;
pub mod platform;
pub mod store;
pub mod way;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::Logger;
use slog::o;
use snipeusher::fleet;
use snipeusher::name;
use snipeusher::poison::Report;
use snipeusher_edge::node;
use snipeusher_edge::peer::Digest;
use snipeusher_edge::shared::Settings;
use snipeusher_edge::shared::Shared;
use snipeusher_fakes::address::free_address;

use self::platform::TestPlatform;
use self::store::Store;

/// A router under test.
pub struct Node {
    pub shared: Rc<Shared<TestPlatform>>,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub running: node::Node<TestPlatform>,
}

/// Starts a router.
pub async fn start(name: &str, store: &Store, seeds: Vec<SocketAddr>) -> Node {
    start_in(name, store, seeds, "here", fleet::Regions::default()).await
}

/// Starts a router in a zone, which knows the regions of zones.
pub async fn start_in(
    name: &str,
    store: &Store,
    seeds: Vec<SocketAddr>,
    zone: &str,
    regions: fleet::Regions,
) -> Node {
    let settings = Settings {
        host: name::Host::from(name),
        front: free_address(),
        ready: free_address(),
        control: free_address(),
        metrics: Some(free_address()),
        seeds,
        connect_timeout: Duration::from_millis(300),
        is_first_start: true,
        grace: Duration::from_secs(8),
        fleet: fleet::Settings {
            zone: name::Zone::from(zone),
            regions,
            retries: fleet::Limits::default(),
            drain: Duration::from_secs(2),
            pause_max: Duration::from_mins(1),
        },
        warmup: fleet::Bound::default(),
        memory_bytes: 256 << 20,
    };
    let (front, ready, control) = (settings.front, settings.ready, settings.control);
    let log = Logger::root(slog::Discard, o!());
    let shared = Shared::open(TestPlatform, settings, log);
    let running = node::spawn(&shared, store.clone())
        .await
        .expect("its addresses are free");
    Node {
        shared,
        front,
        ready,
        control,
        running,
    }
}

/// Waits until a condition holds, at most five seconds.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..500 {
        if holds() {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("condition not met within the time limit: {what}");
}

/// The status of the readiness check.
pub async fn call_ready(node: &Node) -> u16 {
    caller::call(node.ready, &caller::get("/", "ready"))
        .await
        .status
}

/// Starts a router whose store lists one service with the given engines as upstreams.
pub async fn single(engines: &[&engine::Engine]) -> (Node, Store) {
    let engines: Vec<_> = engines.iter().map(|engine| (*engine, "v1")).collect();
    let (mut nodes, store) = zone(1, &engines).await;
    (nodes.remove(0), store)
}

/// Starts a router with a store of its own, which lists one service with the given engines as
/// upstreams.
pub async fn single_named(name: &str, engines: &[(&engine::Engine, &str)]) -> Node {
    let store = listing(engines);
    let node = start(name, &store, Vec::new()).await;
    until("the upstreams are known", || node.shared.is_loaded()).await;
    node
}

/// Makes a router know another one, which reaches all upstreams.
pub async fn introduce(node: &Node, peer: &Node) {
    let settings = &peer.shared.settings;
    introduce_as(node, settings.host.clone(), peer.control).await;
}

/// Makes a router know a peer at an address, which reaches all upstreams.
pub async fn introduce_as(node: &Node, host: name::Host, address: SocketAddr) {
    let zone = node.shared.settings.fleet.zone.clone();
    exchange(node, &digest(node, host, zone, address)).await;
}

/// The digest of a peer that knows as much as a router and reaches all upstreams.
pub fn digest(node: &Node, host: name::Host, zone: name::Zone, address: SocketAddr) -> Digest {
    let (configuration, upstreams) = node.shared.revisions();
    Digest {
        host,
        zone,
        address,
        configuration,
        upstreams,
        loads: Vec::new(),
        readers: Vec::new(),
        members: Vec::new(),
        poison: Report::default(),
        rate_limits: Vec::new(),
        unreachable: Vec::new(),
        decline_limits: Vec::new(),
    }
}

/// Sends a digest to a router.
pub async fn exchange(node: &Node, digest: &Digest) {
    let body = rmp_serde::to_vec(digest).expect("it can be encoded");
    let length = body.len();
    let head =
        format!("POST /fleet/v6/exchange HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n");
    let mut caller = caller::Caller::connect(node.control).await;
    caller.write_bytes(&[head.as_bytes(), &body].concat()).await;
    assert_eq!(caller.read().await.expect("a response").status, 200);
}

/// A store that lists one service with the given engines as upstreams.
fn listing(engines: &[(&engine::Engine, &str)]) -> Store {
    let store = Store::new();
    store.configure(platform::DEFAULT);
    for (index, (engine, build)) in engines.iter().enumerate() {
        let id = format!("e{index}");
        store.upstream_of_build(&id, "letters", engine.address, "ready", build);
    }
    store
}

/// Starts routers of one availability zone, whose store lists one service with the given engines,
/// each with the version of its software.
pub async fn zone(routers: usize, engines: &[(&engine::Engine, &str)]) -> (Vec<Node>, Store) {
    let store = listing(engines);
    let mut nodes: Vec<Node> = Vec::new();
    for index in 1..=routers {
        let seeds = nodes.first().map(|first| first.control);
        let name = format!("host-{index}");
        nodes.push(start(&name, &store, seeds.into_iter().collect()).await);
    }
    until("the upstreams and the routers are known", || {
        nodes.iter().all(|node| {
            let fleet = node.shared.fleet.borrow();
            let is_loaded = node.shared.table().is_some();
            is_loaded && fleet.upstreams().len() == engines.len() && fleet.routers() == routers
        })
    })
    .await;
    (nodes, store)
}
