//! Choice of the peer, or the store, from which a router gets announced data.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use snipeusher::fetch::Fetch;
use snipeusher::fetch::Query;
use snipeusher::fetch::Size;
use snipeusher::fetch::Source;
use snipeusher::fetch::Step;
use snipeusher::kv::Revision;
use snipeusher::time::Time;

/// The announced revision.
const NEWEST: Revision = Revision::new(2);
/// Time that a transfer takes if no other one shares the link.
const TRANSFER_MS: u64 = 25;
/// Transfers that a router sends at once.
const TRANSFERS_MAX: usize = 3;
/// Peers to which a router announces new data.
const FANOUT: usize = 4;

fn query(known: Option<Revision>, size: Size) -> Query<Revision> {
    Query {
        known,
        size,
        store: true,
        random: 5,
    }
}

const fn source(address: usize, is_local: bool) -> Source<usize> {
    Source { address, is_local }
}

/// Routers of several zones that copy one change from each other.
struct Fleet {
    zones: usize,
    fetches: Vec<Fetch<usize>>,
    holders: Vec<bool>,
    /// When each router decides or receives next, and the peer that it asked.
    next: Vec<(u64, Option<usize>)>,
    store_reads: usize,
    remote_copies: usize,
    rng: Pcg64Mcg,
}

impl Fleet {
    fn new(count: usize, zones: usize, seed: u64) -> Self {
        Self {
            zones,
            fetches: vec![Fetch::default(); count],
            holders: vec![false; count],
            next: vec![(0, None); count],
            store_reads: 0,
            remote_copies: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Gives a router the change, which it announces, mostly in its own zone.
    fn receive(&mut self, now: u64, router: usize) {
        self.holders[router] = true;
        for index in 0..FANOUT {
            let count = self.holders.len();
            let mut peer = self.rng.random_range(0..count);
            if index > 0 {
                peer = peer - peer % self.zones + router % self.zones;
            }
            if peer < count {
                let announced = source(router, peer % self.zones == router % self.zones);
                self.fetches[peer].announce(Time::from_millis(now), NEWEST, announced);
            }
        }
    }

    /// Gossip continues at its usual interval.
    fn gossip(&mut self, now: u64) {
        for router in 0..self.holders.len() {
            if self.holders[router] && self.rng.random_ratio(1, 25) {
                self.receive(now, router);
            }
        }
    }

    fn step(&mut self, now: u64, router: usize) {
        if self.holders[router] || self.next[router].0 > now {
            return;
        }
        if let Some(peer) = self.next[router].1.take() {
            self.remote_copies += usize::from(peer % self.zones != router % self.zones);
            self.receive(now, router);
            return;
        }
        let mut query = query(Some(Revision::new(1)), Size::Small);
        query.random = self.rng.random();
        match self.fetches[router].next(Time::from_millis(now), &query) {
            Some(Step::Peer(peer, _limit)) => {
                let sending = self.next.iter().filter(|(_, asked)| *asked == Some(peer));
                let sending = sending.count();
                if sending >= TRANSFERS_MAX {
                    self.fetches[router].remove(peer);
                } else {
                    let duration = TRANSFER_MS * (sending as u64 + 1);
                    self.next[router] = (now + duration, Some(peer));
                }
            }
            Some(Step::Store) => {
                self.store_reads += 1;
                self.receive(now, router);
            }
            Some(Step::Wait(time)) => self.next[router].0 = now + time.as_millis() as u64,
            None => {}
        }
    }
}

/// Guards against a change that a third of the routers read from the store, because all of them
/// ask the first router that has it.
#[rstest]
#[case(9, 3)]
#[case(195, 5)]
#[case(370, 17)]
fn a_change_spreads_between_routers(#[case] count: usize, #[case] zones: usize) {
    for seed in 0..5 {
        let mut fleet = Fleet::new(count, zones, seed);
        for reader in 0..zones {
            fleet.receive(0, reader);
        }
        for now in (0..1_500).step_by(10) {
            fleet.gossip(now);
            for router in 0..count {
                fleet.step(now, router);
            }
        }
        assert!(fleet.holders.iter().all(|holds| *holds), "seed {seed}");
        let (reads, remote) = (fleet.store_reads, fleet.remote_copies);
        assert!(10 * reads <= count, "seed {seed}: {reads} reads");
        assert!(
            4 * remote <= count,
            "seed {seed}: {remote} from other zones"
        );
    }
}

/// Guards against a router that waits for peers that do not deliver.
#[rstest]
fn the_store_is_read_when_no_peer_delivers() {
    let mut fetch = Fetch::default();
    fetch.announce(Time::from_millis(0), NEWEST, source(1, true));
    let query = query(Some(Revision::new(1)), Size::Small);
    let first = fetch.next(Time::from_millis(0), &query);
    assert!(matches!(first, Some(Step::Peer(1, _))), "{first:?}");
    fetch.remove(1);
    let second = fetch.next(Time::from_millis(300), &query);
    assert!(matches!(second, Some(Step::Wait(_))), "{second:?}");
    let third = fetch.next(Time::from_millis(600), &query);
    assert_eq!(third, Some(Step::Store));
    // The store did not deliver either; a peer that announces the data is asked again.
    fetch.record_store_read(Time::from_millis(600));
    fetch.announce(Time::from_millis(650), NEWEST, source(2, false));
    let fourth = fetch.next(Time::from_millis(650), &query);
    assert!(matches!(fourth, Some(Step::Peer(2, _))), "{fourth:?}");
}

/// Guards against large data that saturates the links of the few routers that have it first.
#[rstest]
fn large_data_is_read_from_the_store() {
    let mut fetch = Fetch::default();
    fetch.announce(Time::from_millis(0), NEWEST, source(1, true));
    let mut query = query(Some(Revision::new(1)), Size::Large);
    assert_eq!(
        fetch.next(Time::from_millis(0), &query),
        Some(Step::Store),
        "the store is reachable"
    );
    query.store = false;
    let step = fetch.next(Time::from_millis(0), &query);
    assert!(matches!(step, Some(Step::Peer(1, limit)) if limit >= Duration::from_secs(1)));
}

/// Guards against traffic between zones when a peer of the own zone is about to have the data.
#[rstest]
fn a_peer_of_the_own_zone_is_awaited_and_preferred() {
    let mut fetch = Fetch::default();
    fetch.announce(Time::from_millis(0), NEWEST, source(1, false));
    let query = query(Some(Revision::new(1)), Size::Small);
    let first = fetch.next(Time::from_millis(0), &query);
    assert!(matches!(first, Some(Step::Wait(_))), "{first:?}");
    fetch.announce(Time::from_millis(30), NEWEST, source(2, true));
    let second = fetch.next(Time::from_millis(30), &query);
    assert!(matches!(second, Some(Step::Peer(2, _))), "{second:?}");
}

/// Guards against a revision that is fetched again and again because it cannot be decoded, and
/// against one that the router already has.
#[rstest]
fn received_revisions_are_not_requested_again() {
    let mut fetch = Fetch::default();
    fetch.announce(Time::from_millis(0), NEWEST, source(1, true));
    let now = Time::from_millis(10);
    assert_eq!(fetch.next(now, &query(Some(NEWEST), Size::Small)), None);
    fetch.record_received(NEWEST);
    assert_eq!(
        fetch.next(now, &query(Some(Revision::new(1)), Size::Small)),
        None
    );
    assert!(fetch.announce(now, Revision::new(3), source(1, true)));
    let step = fetch.next(now, &query(Some(Revision::new(1)), Size::Small));
    assert!(matches!(step, Some(Step::Peer(1, _))), "{step:?}");
}

/// Guards against copies that all come from one of several sources.
#[rstest]
fn sources_are_used_evenly() {
    let mut fetch = Fetch::default();
    for address in 0..4 {
        fetch.announce(Time::from_millis(0), NEWEST, source(address, true));
    }
    let mut counts: BTreeMap<usize, u32> = BTreeMap::new();
    for random in 0..400 {
        let mut query = query(None, Size::Small);
        query.random = random;
        if let Some(Step::Peer(address, _)) = fetch.next(Time::from_millis(0), &query) {
            *counts.entry(address).or_default() += 1;
        }
    }
    assert_eq!(counts.len(), 4, "{counts:?}");
    assert!(counts.values().all(|count| *count == 100), "{counts:?}");
}

/// Guards against a router without any data that waits although its callers do.
#[rstest]
fn a_router_without_data_asks_at_once() {
    let mut fetch = Fetch::default();
    fetch.announce(Time::from_millis(0), NEWEST, source(1, false));
    let query = query(None, Size::Small);
    let first = fetch.next(Time::from_millis(0), &query);
    assert!(matches!(first, Some(Step::Peer(1, _))), "{first:?}");
    assert_eq!(
        fetch.next(Time::from_millis(200), &query),
        Some(Step::Store)
    );
}
