//! Which routers read the store: few in quiet times, always some, at once where the rest is gone.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use snipeusher::name;
use snipeusher::reader::Readers;
use snipeusher::time::Time;

/// Time between two exchanges of a router.
const EXCHANGE: Duration = Duration::from_millis(250);
/// The same among more than a hundred routers.
const EXCHANGE_LARGE: Duration = Duration::from_millis(500);
/// Time after which the store answers a watch without news.
const WATCH: Duration = Duration::from_secs(2);

struct Router {
    zone: usize,
    readers: Readers,
    next_exchange: Time,
    /// When the store answers next, while it is read.
    answer: Option<Time>,
    /// When the store answered last.
    reads: bool,
    alive: bool,
}

/// Routers that exchange with random others in the same part of a partition.
struct Fleet {
    routers: Vec<Router>,
    rng: Pcg64Mcg,
    now: Time,
    interval: Duration,
    /// Zones that reach neither the others nor the store.
    cut: Option<usize>,
}

impl Fleet {
    fn new(count: usize, zones: usize, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let routers = (0..count).map(|index| {
            let zone = index % zones;
            let host = name::Host::from(format!("host-{seed}-{index}"));
            let start = rng.random_range(0..250);
            Router {
                zone,
                readers: Readers::new(host, name::Zone::from(format!("zone-{zone}"))),
                next_exchange: Time::from_millis(start),
                answer: Some(Time::from_millis(start)),
                reads: true,
                alive: true,
            }
        });
        Self {
            routers: routers.collect(),
            rng,
            now: Time::default(),
            interval: if count > 100 {
                EXCHANGE_LARGE
            } else {
                EXCHANGE
            },
            cut: None,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + Duration::from_millis(10);
            for index in 0..self.routers.len() {
                self.step(index);
            }
        }
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        let is_cut = self.cut == Some(self.routers[index].zone);
        let router = &mut self.routers[index];
        if !router.alive {
            return;
        }
        router.reads = router.readers.update_role(now);
        if !router.reads {
            router.answer = None;
        } else if router.answer.is_none_or(|at| at <= now) {
            if router.answer.is_some() && !is_cut {
                router.readers.record_answer(now);
            }
            router.answer = Some(now + WATCH);
        }
        if router.next_exchange <= now {
            router.next_exchange = now + self.interval;
            let other = self.rng.random_range(0..self.routers.len());
            self.exchange(index, other);
        }
    }

    fn exchange(&mut self, left: usize, right: usize) {
        let zones = [self.routers[left].zone, self.routers[right].zone];
        let is_split = zones[0] != zones[1] && zones.iter().any(|zone| self.cut == Some(*zone));
        if left == right || is_split || !self.routers[right].alive {
            return;
        }
        let lists = [left, right].map(|index| self.routers[index].readers.list(self.now));
        self.routers[left].readers.merge(self.now, &lists[1]);
        self.routers[right].readers.merge(self.now, &lists[0]);
    }

    fn by_zone(&self) -> BTreeMap<usize, usize> {
        let reading = self
            .routers
            .iter()
            .filter(|router| router.alive && router.reads);
        reading.fold(BTreeMap::new(), |mut zones, router| {
            *zones.entry(router.zone).or_default() += 1;
            zones
        })
    }
}

/// Guards against a fleet that all reads the store, whose rates do not grow with it.
#[rstest]
#[case(9, 3)]
#[case(83, 3)]
#[case(370, 17)]
fn few_routers_of_each_zone_read(#[case] count: usize, #[case] zones: usize) {
    for seed in 0..5 {
        let mut fleet = Fleet::new(count, zones, seed);
        fleet.run(Duration::from_secs(20));
        let by_zone = fleet.by_zone();
        assert_eq!(by_zone.len(), zones, "seed {seed}: {by_zone:?}");
        assert!(
            by_zone.values().all(|readers| (1..=3).contains(readers)),
            "seed {seed}: {by_zone:?}"
        );
    }
}

/// Guards against a zone whose readers died and that nobody reads for any more.
#[rstest]
#[case(9, 3)]
#[case(83, 3)]
fn others_read_when_all_readers_are_lost(#[case] count: usize, #[case] zones: usize) {
    for seed in 0..5 {
        let mut fleet = Fleet::new(count, zones, seed);
        fleet.run(Duration::from_secs(20));
        for router in &mut fleet.routers {
            router.alive = !router.reads;
        }
        let survivors = fleet.routers.iter().filter(|router| router.alive);
        let survivors: std::collections::BTreeSet<usize> =
            survivors.map(|router| router.zone).collect();
        fleet.run(Duration::from_secs(10));
        let by_zone = fleet.by_zone();
        assert_eq!(by_zone.len(), survivors.len(), "seed {seed}: {by_zone:?}");
    }
}

/// Guards against a zone that waits for the news of others while it is cut off from them.
#[rstest]
fn a_zone_that_is_cut_off_reads_for_itself_again() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(9, 3, seed);
        fleet.run(Duration::from_secs(20));
        fleet.cut = Some(0);
        fleet.run(Duration::from_secs(10));
        let by_zone = fleet.by_zone();
        assert!(by_zone[&0] >= 2, "seed {seed}: {by_zone:?}");
        fleet.cut = None;
        fleet.run(Duration::from_secs(15));
        let by_zone = fleet.by_zone();
        assert!(
            by_zone.values().all(|readers| (1..=3).contains(readers)),
            "seed {seed}: {by_zone:?}"
        );
    }
}

/// Guards against an outage that is taken for a partition of one router, or the reverse.
#[rstest]
fn an_outage_is_told_apart_from_a_partition() {
    let host = |name: &str| name::Host::from(name);
    let zone = name::Zone::from("here");
    let mut cut = Readers::new(host("cut"), zone.clone());
    let mut steady = Readers::new(host("steady"), zone);
    for ms in [0, 2_000, 4_000, 6_000] {
        steady.record_answer(Time::from_millis(ms));
    }
    cut.record_answer(Time::from_millis(1_000));
    cut.record_loss();
    let lost = Time::from_millis(3_000);
    let now = Time::from_millis(6_500);
    cut.merge(now, &steady.list(now));
    assert!(
        cut.is_store_up_elsewhere(now, lost),
        "the store answered another one all the while"
    );
    // The other one loses the store as well, and both find it again.
    steady.record_loss();
    steady.record_answer(Time::from_millis(9_000));
    let now = Time::from_millis(9_100);
    cut.merge(now, &steady.list(now));
    assert!(!cut.is_store_up_elsewhere(now, lost), "the store was down");
}
