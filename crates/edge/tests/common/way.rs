//! Ways of requests to upstreams: straight and through a peer.

use futures_util::future::join_all;
use snipeusher_fakes::address::free_address;

use super::Node;
use super::engine::Act;
use super::engine::Engine;
use super::engine::Seen;
use super::introduce;
use super::single_named;
use super::store::Store;
use super::zone;

/// Upstreams of a router. Each fails few of its requests, so that all are used.
const UPSTREAMS: usize = 24;

/// How requests reach the upstreams.
#[derive(Clone, Copy, Debug)]
pub enum Way {
    Straight,
    /// Through a peer, since the router reaches no upstream itself.
    Relayed,
}

/// Starts upstreams with the same script.
pub async fn engines(script: impl Fn(&Seen) -> Vec<Act> + Copy + 'static) -> Vec<Engine> {
    join_all((0..UPSTREAMS).map(|_| Engine::start(script))).await
}

/// The same, whose scripts run before they read the bodies of requests.
pub async fn early_engines(script: impl Fn(&Seen) -> Vec<Act> + Copy + 'static) -> Vec<Engine> {
    join_all((0..UPSTREAMS).map(|_| Engine::start_early(script))).await
}

/// Starts routers of which the first one gets the requests, and their store. The store of a router
/// that reaches no upstream has the same revision, so that neither router copies the list of the
/// other.
pub async fn routers(engines: &[Engine], way: Way) -> (Vec<Node>, Store) {
    let listed: Vec<_> = engines.iter().map(|engine| (engine, "v1")).collect();
    let (mut nodes, store) = zone(1, &listed).await;
    if let Way::Relayed = way {
        let gone: Vec<Engine> = engines.iter().map(|_| Engine::at(free_address())).collect();
        let gone: Vec<_> = gone.iter().map(|engine| (engine, "v1")).collect();
        let node = single_named("cut-off", &gone).await;
        introduce(&node, &nodes[0]).await;
        nodes.insert(0, node);
    }
    (nodes, store)
}
