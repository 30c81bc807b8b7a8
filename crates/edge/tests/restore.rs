//! A store that comes back from an older copy: what routers have acknowledged stays, and what is
//! written again is applied although its revisions are given out a second time.

mod common;

use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use common::Node;
use common::caller::call;
use common::caller::get;
use common::engine::Engine;
use common::engine::response;
use common::platform::DEFAULT;
use common::store::Store;
use common::until;
use common::zone;

/// Time after the store's return within which upstreams register again.
const REGISTRATION: Duration = Duration::from_millis(2_500);

async fn engine() -> Engine {
    Engine::start(|seen| vec![response(seen.id(), "200 OK", "fine")]).await
}

fn version(version: u64, route: &str) -> String {
    let text = DEFAULT.replacen('1', &version.to_string(), 1);
    format!("{text}{route} idempotent 2 1000 public\n")
}

async fn status(node: &Node, path: &str) -> u16 {
    call(node.front, &get(path, "r1")).await.status
}

async fn until_status(nodes: &[Node], path: &str, expected: u16) {
    for node in nodes {
        for _ in 0..300 {
            if status(node, path).await == expected {
                break;
            }
            sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(status(node, path).await, expected, "{path}");
    }
}

fn version_of(node: &Node) -> u64 {
    node.shared.table().map_or(0, |table| table.version())
}

async fn until_version(nodes: &[Node], expected: u64) {
    until("the version is in force", || {
        nodes.iter().all(|node| version_of(node) == expected)
    })
    .await;
}

/// Waits until each router has the upstreams of the store's present era.
async fn until_era(nodes: &[Node], store: &Store) {
    let era = store.revision().era;
    until("the era is known", || {
        let revisions = nodes.iter().map(|node| node.shared.revisions().1);
        revisions.into_iter().all(|revision| revision.era == era)
    })
    .await;
}

/// Guards against a configuration that reverts with the store, and against changes after the
/// restore that are ignored since their revisions were used before.
#[actix_rt::test]
async fn configurations_never_revert_and_later_ones_are_applied() {
    let engine = engine().await;
    let (nodes, store) = zone(3, &[(&engine, "v1")]).await;
    let copy = store.revision();
    for number in 2..=5 {
        store.configure(&version(number, "/added/"));
    }
    until_version(&nodes, 5).await;
    store.restore(copy);
    until_era(&nodes, &store).await;
    sleep(Duration::from_millis(500)).await;
    assert!(nodes.iter().all(|node| version_of(node) == 5));
    until_status(&nodes, "/added/", 200).await;
    store.configure(&version(6, "/later/"));
    until_version(&nodes, 6).await;
    until_status(&nodes, "/later/", 200).await;
    until_status(&nodes, "/added/", 404).await;
}

/// Guards against upstreams that are lost with the copy although they register again, and against
/// one that drained and is listed as ready by the copy.
#[actix_rt::test]
async fn upstreams_are_kept_until_they_register_and_drained_ones_stay_unused() {
    let (first, second, drained) = (engine().await, engine().await, engine().await);
    let (nodes, store) = zone(3, &[(&first, "v1"), (&drained, "v1")]).await;
    let copy = store.revision();
    store.upstream("late", "letters", second.address, "ready");
    store.upstream("e1", "letters", drained.address, "draining");
    let knows = |node: &Node, count: usize| {
        let fleet = node.shared.fleet.borrow();
        let now = node.shared.now();
        fleet.roster().ready(now).count() == count
    };
    until("the drain is known", || {
        let drained = |node: &Node| {
            let fleet = node.shared.fleet.borrow();
            let entry = fleet.roster().get(&"e1".into());
            entry.is_some_and(|entry| entry.draining)
        };
        nodes.iter().all(|node| knows(node, 2) && drained(node))
    })
    .await;
    store.restore(copy);
    until_era(&nodes, &store).await;
    assert!(nodes.iter().all(|node| knows(node, 2)), "late is kept");
    store.upstream("late", "letters", second.address, "ready");
    sleep(REGISTRATION).await;
    assert!(nodes.iter().all(|node| knows(node, 2)), "late registered");
    let count = drained.count();
    for index in 0..30 {
        assert_eq!(status(&nodes[index % 3], "/read/").await, 200);
    }
    assert_eq!(drained.count(), count);
}

/// Guards against an upstream that did not register again and stays in use for ever.
#[actix_rt::test]
async fn an_upstream_that_does_not_register_again_is_gone() {
    let (first, second) = (engine().await, engine().await);
    let (nodes, store) = zone(2, &[(&first, "v1")]).await;
    let copy = store.revision();
    store.upstream("late", "letters", second.address, "ready");
    let shared = Rc::clone(&nodes[1].shared);
    let ready = || {
        let fleet = shared.fleet.borrow();
        fleet.roster().ready(shared.now()).count()
    };
    until("the second upstream is known", || ready() == 2).await;
    store.restore(copy);
    until("it is gone", || ready() == 1).await;
}

/// Guards against a router that was cut off during the restore and takes its peers back, and
/// against one that stays in the past itself.
#[actix_rt::test]
async fn a_router_with_an_older_era_follows_its_peers() {
    let engine = engine().await;
    let (mut nodes, store) = zone(2, &[(&engine, "v1")]).await;
    let cut = store.other_client();
    let late = common::start("host-3", &cut, vec![nodes[0].control]).await;
    nodes.push(late);
    until_version(&nodes, 1).await;
    let copy = store.revision();
    store.configure(&version(2, "/second/"));
    until_version(&nodes, 2).await;
    cut.cut(true);
    store.restore(copy);
    store.configure(&version(3, "/third/"));
    until_version(&nodes, 3).await;
    until_era(&nodes, &store).await;
    cut.cut(false);
    sleep(Duration::from_millis(500)).await;
    assert!(nodes.iter().all(|node| version_of(node) == 3));
}

/// Guards against two restores in quick succession that leave routers in the era between.
#[actix_rt::test]
async fn two_restores_in_succession_are_followed() {
    let engine = engine().await;
    let (nodes, store) = zone(3, &[(&engine, "v1")]).await;
    let copy = store.revision();
    store.configure(&version(2, "/second/"));
    until_version(&nodes, 2).await;
    store.restore(copy);
    store.configure(&version(3, "/third/"));
    sleep(Duration::from_millis(60)).await;
    store.restore(copy);
    store.configure(&version(4, "/fourth/"));
    until_version(&nodes, 4).await;
    until_era(&nodes, &store).await;
}

/// Guards against a start of the whole fleet that never gets ready, or serves an old era, since the
/// store is restored meanwhile.
#[actix_rt::test]
async fn a_restore_during_the_start_of_all_routers_is_followed() {
    let engine = engine().await;
    let store = Store::new();
    store.configure(DEFAULT);
    store.upstream("e0", "letters", engine.address, "ready");
    let copy = store.revision();
    store.configure(&version(2, "/second/"));
    let mut nodes: Vec<Node> = Vec::new();
    for index in 1..=4 {
        let seeds = nodes.first().map(|first| first.control);
        let name = format!("host-{index}");
        nodes.push(common::start(&name, &store, seeds.into_iter().collect()).await);
        if index == 2 {
            store.restore(copy);
        }
    }
    store.configure(&version(3, "/third/"));
    until_version(&nodes, 3).await;
    until_era(&nodes, &store).await;
    until_status(&nodes, "/third/", 200).await;
}
