//! Choice of the peer, or the store, from which a router gets announced data.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use snipeusher::fetch::Fetch;
use snipeusher::fetch::Query;
use snipeusher::fetch::Source;
use snipeusher::fetch::Step;
use snipeusher::fetch::Target;
use snipeusher::kv::Revision;
use snipeusher::time::Time;

/// The announced revision.
const NEWEST: Revision = Revision::new(2);
/// Time that the transfer of a usual configuration takes if no other one shares the link.
const TRANSFER_MS: u64 = 25;
/// The same of the largest configuration that the store takes, compressed, at 10 Mbit/s.
const LARGE_TRANSFER_MS: u64 = 160;
/// Time in which a change has to be in force everywhere once the first routers have it.
const SPREAD_MS: u64 = 1_500;
/// Transfers that a router sends at once.
const TRANSFERS_MAX: usize = 3;
/// Peers to which a router announces new data.
const FANOUT: usize = 4;

fn query(known: Option<Revision>) -> Query<Revision> {
    Query {
        known,
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
    transfer_ms: u64,
    fetches: Vec<Fetch<usize>>,
    holders: Vec<bool>,
    /// When each router decides next.
    next: Vec<u64>,
    /// The copies that each router is receiving: when they end, and the peer that sends them.
    copies: Vec<Vec<(u64, usize)>>,
    store_reads: usize,
    remote_copies: usize,
    rng: Pcg64Mcg,
}

impl Fleet {
    fn new(count: usize, zones: usize, transfer_ms: u64, seed: u64) -> Self {
        Self {
            zones,
            transfer_ms,
            fetches: vec![Fetch::default(); count],
            holders: vec![false; count],
            next: vec![0; count],
            copies: vec![Vec::new(); count],
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
        if self.holders[router] {
            return;
        }
        let copies = self.copies[router].iter();
        let received = copies.copied().find(|(end, _)| *end <= now);
        if let Some((_, peer)) = received {
            self.remote_copies += usize::from(peer % self.zones != router % self.zones);
            self.copies[router].clear();
            self.receive(now, router);
            return;
        }
        if self.next[router] > now {
            return;
        }
        let mut query = query(Some(Revision::new(1)));
        query.random = self.rng.random();
        match self.fetches[router].next(Time::from_millis(now), &query) {
            Some(Step::Peer(peer, _limit)) => self.request(now, router, peer),
            Some(Step::Store) => {
                self.store_reads += 1;
                self.receive(now, router);
            }
            Some(Step::Wait(time)) => self.next[router] = now + time.as_millis() as u64,
            None => {}
        }
    }

    /// Asks a peer, which refuses if it sends enough copies already.
    fn request(&mut self, now: u64, router: usize, peer: usize) {
        let copies = self.copies.iter().flatten();
        let sending = copies.filter(|(_, asked)| *asked == peer).count();
        if sending >= TRANSFERS_MAX {
            let target = Target::Peer(peer);
            self.fetches[router].record_failure(Time::from_millis(now), target);
        } else {
            let duration = self.transfer_ms * (sending as u64 + 1);
            self.copies[router].push((now + duration, peer));
        }
    }
}

/// Guards against a change that a third of the routers read from the store, because all of them
/// ask the first router that has it.
#[rstest]
fn a_change_spreads_between_routers(
    #[values((9, 3), (70, 4), (195, 5), (370, 17))] (count, zones): (usize, usize),
    #[values(TRANSFER_MS, LARGE_TRANSFER_MS)] transfer_ms: u64,
) {
    for seed in 0..5 {
        let mut fleet = Fleet::new(count, zones, transfer_ms, seed);
        for reader in 0..zones {
            fleet.receive(0, reader);
        }
        for now in (0..SPREAD_MS).step_by(10) {
            fleet.gossip(now);
            for router in 0..count {
                fleet.step(now, router);
            }
        }
        assert!(fleet.holders.iter().all(|holds| *holds), "seed {seed}");
        let (reads, remote) = (fleet.store_reads, fleet.remote_copies);
        // Large copies take so long that some routers turn to the store.
        let share = if transfer_ms == TRANSFER_MS { 10 } else { 3 };
        assert!(share * reads <= count, "seed {seed}: {reads} reads");
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
    let query = query(Some(Revision::new(1)));
    let first = fetch.next(Time::from_millis(0), &query);
    assert!(matches!(first, Some(Step::Peer(1, _))), "{first:?}");
    fetch.record_failure(Time::from_millis(300), Target::Peer(1));
    let second = fetch.next(Time::from_millis(300), &query);
    assert!(matches!(second, Some(Step::Wait(_))), "{second:?}");
    let third = fetch.next(Time::from_millis(600), &query);
    assert_eq!(third, Some(Step::Store));
    // The store did not deliver either; a peer that announces the data is asked again.
    fetch.record_failure(Time::from_millis(600), Target::Store);
    fetch.announce(Time::from_millis(650), NEWEST, source(2, false));
    let fourth = fetch.next(Time::from_millis(650), &query);
    assert!(matches!(fourth, Some(Step::Peer(2, _))), "{fourth:?}");
}

/// Guards against a router that asks a store which does not answer again and again, while peers have
/// the data: each read takes longer than the pause before the next one.
#[rstest]
fn peers_are_asked_while_the_store_is_silent() {
    const READ_MS: u64 = 900;
    let mut fetch = Fetch::default();
    let query = query(Some(Revision::new(1)));
    fetch.announce(Time::from_millis(0), NEWEST, source(1, true));
    let _refused = fetch.next(Time::from_millis(0), &query);
    fetch.record_failure(Time::from_millis(1), Target::Peer(1));
    assert_eq!(
        fetch.next(Time::from_millis(600), &query),
        Some(Step::Store)
    );
    fetch.announce(Time::from_millis(650), NEWEST, source(2, false));
    let wait = fetch.next(Time::from_millis(650), &query);
    assert!(matches!(wait, Some(Step::Wait(_))), "{wait:?}");
    let beside = fetch.next(Time::from_millis(850), &query);
    assert!(matches!(beside, Some(Step::Peer(2, _))), "{beside:?}");
    // That peer does not deliver either. The next read of the store leaves time for others.
    fetch.record_failure(Time::from_millis(900), Target::Peer(2));
    fetch.record_failure(Time::from_millis(600 + READ_MS), Target::Store);
    fetch.announce(Time::from_millis(1_550), NEWEST, source(3, false));
    let next = fetch.next(Time::from_millis(1_550), &query);
    assert!(matches!(next, Some(Step::Peer(3, _))), "{next:?}");
}

/// Guards against a router that waits for one peer which has stopped after it announced the data.
#[rstest]
fn a_request_that_takes_long_is_joined_by_others() {
    let mut fetch = Fetch::default();
    for address in 1..=5 {
        fetch.announce(Time::from_millis(0), NEWEST, source(address, true));
    }
    let query = query(Some(Revision::new(1)));
    let mut asked = BTreeMap::new();
    let mut store_asked_at = None;
    for now in (0..1_000).step_by(10) {
        match fetch.next(Time::from_millis(now), &query) {
            Some(Step::Peer(address, limit)) => {
                assert!(limit <= Duration::from_secs(1));
                asked.entry(address).or_insert(now);
            }
            Some(Step::Store) => store_asked_at = Some(now),
            _ => {}
        }
    }
    assert_eq!(asked.len(), 3, "{asked:?}");
    assert!(asked.values().all(|now| *now <= 500), "{asked:?}");
    assert!(store_asked_at.is_some_and(|now| now <= 800));
}

/// Guards against traffic between zones when a peer of the own zone is about to have the data.
#[rstest]
fn a_peer_of_the_own_zone_is_awaited_and_preferred() {
    let mut fetch = Fetch::default();
    fetch.announce(Time::from_millis(0), NEWEST, source(1, false));
    let query = query(Some(Revision::new(1)));
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
    assert_eq!(fetch.next(now, &query(Some(NEWEST))), None);
    fetch.record_received(Target::Peer(1), NEWEST);
    assert_eq!(fetch.next(now, &query(Some(Revision::new(1)))), None);
    assert!(fetch.announce(now, Revision::new(3), source(1, true)));
    let step = fetch.next(now, &query(Some(Revision::new(1))));
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
        let mut query = query(None);
        query.random = random;
        let mut fetch = fetch.clone();
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
    let query = query(None);
    let first = fetch.next(Time::from_millis(0), &query);
    assert!(matches!(first, Some(Step::Peer(1, _))), "{first:?}");
    assert_eq!(
        fetch.next(Time::from_millis(200), &query),
        Some(Step::Store)
    );
}
