//! All routers are lost at once and start again: a stream that a caller takes up goes on at the
//! software version that began it, or is refused.
//!
//! Routers that start again know nothing of the earlier ones; these are cut off from the store and
//! unknown to the new ones, so they have no further effect.

mod common;

use std::time::Duration;

use actix_rt::time::sleep;
use common::Node;
use common::builds::Engines;
use common::builds::begin;
use common::builds::take_up;
use common::builds::take_up_unnamed;
use common::engine::Act;
use common::start_in;
use common::store::Store;
use common::until;
use rstest::rstest;
use snipeusher::fleet::Regions;

/// Streams that each test begins, so that no test passes by a lucky choice of upstreams.
const STREAMS: usize = 8;
/// Time within which the origins of streams that have begun are in the store.
const RECORD_TIME: Duration = Duration::from_millis(900);
/// Time for which the route of these tests lets a stream last.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(4);
/// Keys that routers write.
const ROUTER_KEYS: &str = "snipeusher/";

/// Routers that start together.
struct Fleet {
    nodes: Vec<Node>,
    store: Store,
}

impl Fleet {
    /// Starts routers that know only one another.
    async fn start(name: &str, routers: usize, store: &Store, zones: &[&str]) -> Self {
        let client = store.other_client();
        let mut nodes: Vec<Node> = Vec::new();
        for index in 0..routers {
            let seeds = nodes.first().map(|first| first.control);
            let zone = zones[index % zones.len()];
            let name = format!("{name}-{index}");
            let seeds = seeds.into_iter().collect();
            nodes.push(start_in(&name, &client, seeds, zone, Regions::default()).await);
        }
        until("the upstreams and the routers are known", || {
            nodes.iter().all(|node| {
                let fleet = node.shared.fleet.borrow();
                let knows_all = !fleet.upstreams().is_empty() && fleet.routers() == routers;
                node.shared.table().is_some() && knows_all
            })
        })
        .await;
        let fleet = Self {
            nodes,
            store: client,
        };
        // Until a first reader has recorded the versions, nothing is known of them after a restart.
        sleep(RECORD_TIME).await;
        fleet
    }

    /// Ends all routers, as far as callers and the next routers see.
    fn kill(self) {
        self.store.cut(true);
    }

    async fn begin_streams(&self) {
        for index in 0..STREAMS {
            let node = &self.nodes[index % self.nodes.len()];
            begin(node, &format!("r{index}-a")).await;
        }
        sleep(RECORD_TIME).await;
    }

    /// Takes each stream up and returns the statuses. A response that is not refused is complete.
    async fn take_up_streams(&self, attempt: &str) -> Vec<u16> {
        let mut statuses = Vec::new();
        for index in 0..STREAMS {
            let node = &self.nodes[(index + 1) % self.nodes.len()];
            let (id, begun) = (format!("r{index}-{attempt}"), format!("r{index}-a"));
            let answered = take_up(node, &id, &begun).await;
            assert!(answered.complete, "stream {index}");
            assert!(answered.status == 200 || answered.header("retry-after").is_some());
            statuses.push(answered.status);
        }
        statuses
    }
}

fn assert_one_build_each(engines: &Engines) {
    for index in 0..STREAMS {
        let mut builds = engines.builds(&format!("r{index}-"));
        builds.dedup();
        assert_eq!(builds.len(), 1, "stream {index}");
    }
}

/// Guards against streams that are all refused after a restart of all routers, since only their
/// memory held which version began them.
#[rstest]
#[case(1)]
#[case(3)]
#[case(9)]
#[actix_rt::test]
async fn streams_go_on_at_their_build_after_all_routers_restarted(#[case] routers: usize) {
    let engines = Engines::start(Act::Hang).await;
    let store = engines.store();
    let first = Fleet::start("first", routers, &store, &["here"]).await;
    first.begin_streams().await;
    first.kill();
    let second = Fleet::start("second", routers, &store, &["here"]).await;
    assert_eq!(second.take_up_streams("b").await, [200; STREAMS]);
    assert_one_build_each(&engines);
}

/// Guards against records that only the zone of the first router can find.
#[actix_rt::test]
async fn streams_go_on_in_another_zone_after_all_routers_restarted() {
    let engines = Engines::start(Act::Hang).await;
    let store = engines.store();
    let first = Fleet::start("first", 2, &store, &["here"]).await;
    first.begin_streams().await;
    first.kill();
    let second = Fleet::start("second", 2, &store, &["there"]).await;
    assert_eq!(second.take_up_streams("b").await, [200; STREAMS]);
    assert_one_build_each(&engines);
}

/// Guards against a stream that is known after one restart, but not after the next, and against a
/// take-up that replaces the record of what began the stream.
#[actix_rt::test]
async fn a_stream_that_is_taken_up_twice_stays_at_its_build() {
    let engines = Engines::start(Act::Hang).await;
    let store = engines.store();
    let first = Fleet::start("first", 3, &store, &["here"]).await;
    first.begin_streams().await;
    first.kill();
    let second = Fleet::start("second", 3, &store, &["here"]).await;
    assert_eq!(second.take_up_streams("b").await, [200; STREAMS]);
    second.kill();
    let third = Fleet::start("third", 3, &store, &["here"]).await;
    assert_eq!(third.take_up_streams("c").await, [200; STREAMS]);
    assert_one_build_each(&engines);
}

/// Guards against a stream of a version that has just left, which goes on at its successor: a router
/// that starts afterwards knows of one version only.
#[actix_rt::test]
async fn streams_of_a_build_that_left_are_refused() {
    let engines = Engines::start(Act::Hang).await;
    let store = engines.store_of(&["v1"]);
    let first = Fleet::start("first", 2, &store, &["here"]).await;
    first.begin_streams().await;
    engines.list(&store, "v2");
    sleep(RECORD_TIME).await;
    engines.unlist(&store, "v1");
    sleep(RECORD_TIME).await;
    first.kill();
    let second = Fleet::start("second", 2, &store, &["here"]).await;
    assert_eq!(second.take_up_streams("b").await, [503; STREAMS]);
    let unnamed = take_up_unnamed(&second.nodes[0], "r0-c").await;
    assert_eq!(unnamed.status, 503);
    for index in 0..STREAMS {
        assert_eq!(engines.builds(&format!("r{index}-")), ["v1"]);
    }
}

/// Guards against the same if the old version leaves while no router runs.
#[actix_rt::test]
async fn streams_of_a_build_that_left_during_the_restart_are_refused() {
    let engines = Engines::start(Act::Hang).await;
    let store = engines.store_of(&["v1"]);
    let first = Fleet::start("first", 2, &store, &["here"]).await;
    first.begin_streams().await;
    first.kill();
    engines.list(&store, "v2");
    engines.unlist(&store, "v1");
    let second = Fleet::start("second", 2, &store, &["here"]).await;
    assert_eq!(second.take_up_streams("b").await, [503; STREAMS]);
    let unnamed = take_up_unnamed(&second.nodes[0], "r0-c").await;
    assert_eq!(unnamed.status, 503);
}

/// Guards against refusals after each restart for as long as a stream may last, although only one
/// version ever ran.
#[actix_rt::test]
async fn streams_of_the_only_build_go_on_after_all_routers_restarted() {
    let engines = Engines::start(Act::Hang).await;
    let store = engines.store_of(&["v1"]);
    let first = Fleet::start("first", 2, &store, &["here"]).await;
    first.begin_streams().await;
    first.kill();
    let second = Fleet::start("second", 2, &store, &["here"]).await;
    assert_eq!(second.take_up_streams("b").await, [200; STREAMS]);
    let unnamed = take_up_unnamed(&second.nodes[0], "r0-c").await;
    assert_eq!(unnamed.status, 200);
}

/// Guards against calls of the store for each stream or at each interval while one version runs.
#[actix_rt::test]
async fn one_build_costs_one_write() {
    let engines = Engines::start(Act::Hang).await;
    let store = engines.store_of(&["v1"]);
    let first = Fleet::start("first", 3, &store, &["here"]).await;
    first.begin_streams().await;
    sleep(RECORD_TIME).await;
    assert_eq!(store.writes(), 1);
    assert_eq!(store.keys(ROUTER_KEYS).len(), 1);
}

/// Guards against a store that comes back older, or does not answer in time, and makes a router join
/// a stream of unknown version.
#[derive(Clone, Copy, Debug)]
enum StoreFault {
    /// All that the routers wrote is gone.
    Restored,
    /// Its calls fail once the routers know the upstreams.
    Down,
    /// Its answers take longer than a caller waits.
    Slow,
}

#[rstest]
#[case(StoreFault::Restored)]
#[case(StoreFault::Down)]
#[case(StoreFault::Slow)]
#[actix_rt::test]
async fn streams_are_refused_if_the_store_lacks_their_records(#[case] fault: StoreFault) {
    let engines = Engines::start(Act::Hang).await;
    let store = engines.store();
    let before = store.revision();
    let first = Fleet::start("first", 2, &store, &["here"]).await;
    if matches!(fault, StoreFault::Restored) {
        first.begin_streams().await;
    }
    first.store.cut(true);
    if !matches!(fault, StoreFault::Restored) {
        // Their streams are not recorded, and the new routers cannot learn that.
        first.begin_streams().await;
    }
    first.kill();
    if matches!(fault, StoreFault::Restored) {
        store.restore(before);
    }
    let second = Fleet::start("second", 2, &store, &["here"]).await;
    match fault {
        StoreFault::Restored => {}
        StoreFault::Down => second.store.cut(true),
        StoreFault::Slow => store.set_latency(ROUTE_TIMEOUT),
    }
    assert_eq!(second.take_up_streams("b").await, [503; STREAMS]);
    for index in 0..STREAMS {
        assert_eq!(engines.builds(&format!("r{index}-")).len(), 1);
    }
}

/// Guards against records that are given up since the answer to their write was lost.
#[actix_rt::test]
async fn streams_go_on_although_the_store_loses_answers() {
    let engines = Engines::start(Act::Hang).await;
    let store = engines.store();
    let first = Fleet::start("first", 2, &store, &["here"]).await;
    store.lose_answers(true);
    first.begin_streams().await;
    store.lose_answers(false);
    sleep(RECORD_TIME).await;
    first.kill();
    let second = Fleet::start("second", 2, &store, &["here"]).await;
    assert_eq!(second.take_up_streams("b").await, [200; STREAMS]);
    assert_one_build_each(&engines);
}

/// Guards against records that cannot be decoded, or name what does not exist, and end a router or
/// join a stream.
#[rstest]
#[case(b"")]
#[case(b"\xc1\x00garbage")]
#[case(b"{\"letters\":[\"v1\"]")]
#[case(b"{\"letters\":{\"v1\":3}}")]
#[case(b"[7,[]]")]
#[actix_rt::test]
async fn malformed_records_are_ignored(#[case] value: &[u8]) {
    let engines = Engines::start(Act::Hang).await;
    let store = engines.store();
    let first = Fleet::start("first", 2, &store, &["here"]).await;
    first.begin_streams().await;
    first.kill();
    for key in ["versions", "streams/other/0", "streams/other", "unknown"] {
        store.put_bytes(&format!("{ROUTER_KEYS}{key}"), value);
    }
    let second = Fleet::start("second", 2, &store, &["here"]).await;
    assert_eq!(second.take_up_streams("b").await, [200; STREAMS]);
    assert_one_build_each(&engines);
    let unknown = take_up(&second.nodes[0], "x-b", "x-a").await;
    assert_eq!(unknown.status, 503);
}
