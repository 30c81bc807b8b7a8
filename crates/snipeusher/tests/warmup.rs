//! Upstreams that are warming up: what all routers together send them.

use std::time::Duration;

use rstest::rstest;
use snipeusher::fleet::Bound;
use snipeusher::fleet::Cause;
use snipeusher::fleet::Decision;
use snipeusher::fleet::Entry;
use snipeusher::fleet::Fleet;
use snipeusher::fleet::Limits;
use snipeusher::fleet::Outcome;
use snipeusher::fleet::Query;
use snipeusher::fleet::Regions;
use snipeusher::fleet::Settings;
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher::route::Homes;
use snipeusher::route::Warmup;
use snipeusher::time::Time;

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Time between two requests that wait at a router.
const TICK_MS: u64 = 20;
/// Longest time that a request takes to the upstream.
const LATENCY_MS: u64 = 30;
/// Time between two entries of an upstream.
const HEARTBEAT_MS: u64 = 1_200;
/// Time at which the routers of a fleet know each other well.
const STARTED_MS: u64 = 10_000;

/// Requests that a cold upstream may get in any second.
fn allowed(per_s: f64) -> usize {
    (per_s * 1.5 + 5.0) as usize
}

fn service() -> name::Service {
    name::Service::from("letters")
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn entry(index: usize, revision: u64, cold_ms: u32) -> Entry {
    Entry {
        id: name::Upstream::from(format!("e{index}")),
        service: service(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: name::Zone::from("here"),
        build: name::Build::from("v1"),
        slots: None,
        draining: false,
        incarnation: name::Incarnation(1),
        revision: Revision::new(revision),
        cold_ms,
    }
}

/// A router with one upstream, which knows no other router.
fn router(per_s: f64) -> Fleet {
    let mut fleet = Fleet::new(Settings {
        zone: name::Zone::from("here"),
        retries: Limits::default(),
        drain: Duration::from_secs(2),
        pause_max: Duration::from_mins(1),
        regions: Regions::default(),
    });
    let warmup = Warmup {
        per_s,
        duration: Duration::from_secs(3),
    };
    fleet.set_warmups(at(0), std::iter::once((service(), warmup)));
    fleet.replace_all(at(0), Revision::new(1), vec![entry(0, 1, 0)]);
    fleet
}

fn host(index: usize) -> name::Host {
    name::Host::from(format!("host-{index}"))
}

fn decide(router: &mut Fleet, now: Time) -> Decision {
    router.choose(
        now,
        &Query {
            service: &service(),
            session: None,
            max_connections: 0,
            build: None,
            tried: &[],
            homes: &Homes::default(),
            tie_breaker: 7,
        },
    )
}

/// Sends a request if the router may; returns the upstream.
fn send(router: &mut Fleet, now: Time) -> Option<name::Upstream> {
    let Decision::Send { upstream, .. } = decide(router, now) else {
        return None;
    };
    router.record_sent(now, &upstream);
    router.record_outcome(now, &upstream, Outcome::Served);
    Some(upstream)
}

/// Routers before one upstream that is cold from a time on, and what they sent it.
struct Trial {
    routers: Vec<Fleet>,
    /// Whether each runs.
    is_up: Vec<bool>,
    now_ms: u64,
    revision: u64,
    /// When requests arrived at the upstream while it was cold.
    arrivals: Vec<u64>,
    /// State of a linear congruential generator for latencies and phases.
    random: u64,
}

impl Trial {
    /// Routers that know each other.
    fn new(count: usize, per_s: f64) -> Self {
        let mut trial = Self {
            routers: (0..count).map(|_| router(per_s)).collect(),
            is_up: vec![true; count],
            now_ms: 0,
            revision: 1,
            arrivals: Vec::new(),
            random: 1,
        };
        for index in 0..count {
            trial.list(index, |_| true);
        }
        trial.now_ms = STARTED_MS;
        trial
    }

    /// Tells a router which others run.
    fn list(&mut self, index: usize, is_known: impl Fn(usize) -> bool) {
        let now = at(self.now_ms);
        let hosts: Vec<name::Host> = (0..self.routers.len()).map(host).collect();
        let others = hosts.iter().enumerate();
        let others = others.filter(|(other, _)| *other != index && is_known(*other));
        let others: Vec<&name::Host> = others.map(|(_, host)| host).collect();
        let router = &mut self.routers[index];
        router.set_routers(others.len() + 1);
        router.set_hosts(now, &hosts[index], others.into_iter());
    }

    /// Tells all routers which ones run.
    fn list_running(&mut self) {
        let is_up = self.is_up.clone();
        for index in 0..self.routers.len() {
            self.list(index, |other| is_up[other]);
        }
    }

    /// Writes an entry of the upstream, cold for a minute.
    fn announce(&mut self) {
        self.revision += 1;
        for router in &mut self.routers {
            router.upsert(at(self.now_ms), entry(0, self.revision, 60_000));
        }
    }

    /// Requests wait at all running routers for a time.
    fn run(&mut self, duration: Duration) {
        let end = self.now_ms + duration.as_millis() as u64;
        while self.now_ms < end {
            if self.now_ms.is_multiple_of(HEARTBEAT_MS) {
                self.announce();
            }
            for index in 0..self.routers.len() {
                let offset = self.random(TICK_MS);
                let now = self.now_ms + offset;
                if self.is_up[index] && send(&mut self.routers[index], at(now)).is_some() {
                    let latency = self.random(LATENCY_MS);
                    self.arrivals.push(now + latency);
                }
            }
            self.now_ms += TICK_MS;
        }
    }

    fn random(&mut self, below: u64) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % below
    }

    /// The most requests in any second.
    fn worst(&self) -> usize {
        let mut arrivals = self.arrivals.clone();
        arrivals.sort_unstable();
        let window = WINDOW.as_millis() as u64;
        let counts = arrivals.iter().enumerate().map(|(first, start)| {
            let later = &arrivals[first..];
            later.partition_point(|arrival| arrival - start < window)
        });
        counts.max().unwrap_or_default()
    }

    /// Requests a second since a time.
    fn rate_since(&self, start_ms: u64) -> f64 {
        let recent = self.arrivals.iter().filter(|arrival| **arrival >= start_ms);
        recent.count() as f64 * 1_000.0 / (self.now_ms - start_ms) as f64
    }
}

/// Guards against shares that add up to more than the bound in some second, as two requests each of
/// 13 routers do, and against a limit of which little is used.
#[rstest]
fn a_fleet_keeps_to_the_bound_and_uses_the_limit(
    #[values(1, 9, 12, 13, 64, 370)] routers: usize,
    #[values(9.3, 13.0)] per_s: f64,
) {
    let mut trial = Trial::new(routers, per_s);
    trial.announce();
    let start_ms = trial.now_ms;
    trial.run(Duration::from_secs(20));
    let (worst, rate) = (trial.worst(), trial.rate_since(start_ms));
    println!("{routers} routers, {per_s}/s: worst {worst}, rate {rate:.2}");
    assert!(worst <= allowed(per_s), "{worst}");
    assert!(rate >= 0.8 * per_s, "{rate}");
}

/// Guards against a limit that is hardly used in the few seconds for which an upstream is cold, and
/// against routers that all send at once when the limit begins.
#[rstest]
fn a_short_warm_up_is_used_evenly(#[values(1, 9, 13, 64, 370)] routers: usize) {
    let per_s = 9.3;
    let mut trial = Trial::new(routers, per_s);
    trial.announce();
    let start_ms = trial.now_ms;
    trial.run(Duration::from_secs(3));
    let rate = trial.rate_since(start_ms);
    let first = trial.arrivals.iter();
    let first = first.filter(|arrival| **arrival < start_ms + 200).count();
    println!("{routers} routers: rate {rate:.2}, {first} in the first 0.2 s");
    assert!(rate >= 0.8 * per_s, "{rate}");
    assert!(first <= 4, "{first} requests within 0.2 s");
}

/// Guards against routers that save requests while they have none to send, for a burst of all of
/// them.
#[rstest]
fn requests_after_a_pause_keep_to_the_bound(
    #[values(1, 9, 12, 13, 64, 370)] routers: usize,
    #[values(9.3, 13.0)] per_s: f64,
) {
    let mut trial = Trial::new(routers, per_s);
    for _ in 0..4 {
        trial.announce();
        trial.now_ms += 5_000;
        trial.run(Duration::from_millis(2_500));
    }
    let worst = trial.worst();
    println!("{routers} routers, {per_s}/s: worst {worst}");
    assert!(worst <= allowed(per_s), "{worst}");
}

/// Guards against routers with permits of their own that one by one replace others with theirs.
#[rstest]
fn routers_that_join_or_end_keep_to_the_bound(
    #[values(9, 13, 64, 370)] routers: usize,
    #[values(9.3, 13.0)] per_s: f64,
) {
    let mut trial = Trial::new(routers, per_s);
    let joining = (routers / 12).max(1);
    for index in 0..joining {
        trial.is_up[index] = false;
    }
    trial.list_running();
    for index in 0..joining {
        trial.routers[index] = router(per_s);
    }
    trial.announce();
    trial.run(Duration::from_secs(5));
    // The joining routers know all others at once; the others hear of them one after the other.
    for index in 0..joining {
        trial.is_up[index] = true;
        trial.list(index, |_| true);
    }
    let steps = 20;
    let chunk = routers.div_ceil(steps);
    for step in 0..steps {
        for index in step * chunk..((step + 1) * chunk).min(routers) {
            trial.list(index, |_| true);
        }
        trial.run(Duration::from_millis(500));
    }
    // As many others end, which is noticed one after the other.
    for index in 0..joining {
        trial.is_up[routers - 1 - index] = false;
    }
    let is_up = trial.is_up.clone();
    for step in 0..steps {
        for index in step * chunk..((step + 1) * chunk).min(routers) {
            trial.list(index, |other| is_up[other]);
        }
        trial.run(Duration::from_millis(500));
    }
    let start_ms = trial.now_ms;
    trial.run(Duration::from_secs(10));
    let (worst, rate) = (trial.worst(), trial.rate_since(start_ms));
    println!("{routers} routers, {per_s}/s: worst {worst}, rate after {rate:.2}");
    assert!(worst <= allowed(per_s), "{worst}");
    assert!(rate >= 0.8 * per_s, "{rate}");
}

/// Guards against parts of a separated fleet each of which uses the whole limit.
#[rstest]
fn the_parts_of_a_separated_fleet_keep_to_the_bound(
    #[values(9, 12, 13, 64, 370)] routers: usize,
    #[values(2, 3)] parts: usize,
    #[values(9.3, 13.0)] per_s: f64,
) {
    let mut trial = Trial::new(routers, per_s);
    trial.announce();
    trial.run(Duration::from_secs(5));
    // The routers drop those of other parts at different times.
    let mut order: Vec<usize> = (0..routers).collect();
    order.sort_by_key(|index| snipeusher::hash::mix(*index as u64, 5));
    let chunk = routers.div_ceil(10);
    for dropping in order.chunks(chunk) {
        for index in dropping {
            trial.list(*index, |other| other % parts == index % parts);
        }
        trial.run(Duration::from_millis(300));
    }
    trial.run(Duration::from_mins(1));
    let separated = trial.worst();
    for index in order {
        trial.list(index, |_| true);
        if index.is_multiple_of(7) {
            trial.run(Duration::from_millis(100));
        }
    }
    let start_ms = trial.now_ms;
    trial.run(Duration::from_secs(10));
    let (worst, rate) = (trial.worst(), trial.rate_since(start_ms));
    println!("{routers} in {parts}, {per_s}/s: {separated}, {worst}, rate after {rate:.2}");
    assert!(worst <= allowed(per_s), "{worst}");
    assert!(rate >= 0.8 * per_s, "{rate}");
}

/// Guards against a single router, cut off from its peers, that takes itself for the whole fleet.
#[rstest]
fn routers_that_are_cut_off_one_by_one_keep_to_the_bound(#[values(9, 13, 64)] routers: usize) {
    let per_s = 9.3;
    let mut trial = Trial::new(routers, per_s);
    trial.announce();
    for index in 0..routers / 2 {
        trial.list(index, |_| false);
        trial.run(Duration::from_millis(500));
    }
    let worst = trial.worst();
    assert!(worst <= allowed(per_s), "{worst}");
}

/// Guards against routers with an outdated list: they do not know of some that replaced others.
#[rstest]
fn outdated_lists_of_routers_keep_to_the_bound(
    #[values(13, 64, 370)] routers: usize,
    #[values(9.3, 13.0)] per_s: f64,
) {
    let mut trial = Trial::new(routers, per_s);
    let unknown = routers / 8;
    for index in 0..routers {
        let is_outdated = index.is_multiple_of(2);
        trial.list(index, |other| !is_outdated || other >= unknown);
    }
    trial.now_ms += 2 * STARTED_MS;
    trial.announce();
    trial.run(Duration::from_secs(20));
    let worst = trial.worst();
    println!("{routers} routers, {per_s}/s: worst {worst}");
    assert!(worst <= allowed(per_s), "{worst}");
}

/// Guards against a router that has just started and takes itself for the whole fleet, and one that
/// sends while its list of routers is still growing.
#[test]
fn a_router_that_does_not_know_the_fleet_sends_nothing() {
    let mut newcomer = router(9.3);
    newcomer.await_peers(at(0));
    newcomer.upsert(at(1_000), entry(0, 2, 60_000));
    assert_eq!(send(&mut newcomer, at(2_000)), None);
    let hosts: Vec<name::Host> = (0..64).map(host).collect();
    for known in 1..64 {
        let now_ms = 2_000 + 100 * known as u64;
        newcomer.set_routers(known + 1);
        newcomer.set_hosts(at(now_ms), &hosts[0], hosts[1..=known].iter());
        assert_eq!(send(&mut newcomer, at(now_ms)), None, "{known} others");
    }
    // It counts as any other from the time at which its list has been nearly complete for a while.
    let sent = (13_000..40_000).step_by(20);
    let sent = sent.filter(|ms| send(&mut newcomer, at(*ms)).is_some());
    let count = sent.count();
    assert!(count <= 27, "{count}");
}

/// Guards against routers that all start together and use permits while each knows some of the
/// others only.
#[rstest]
fn a_fleet_that_starts_keeps_to_the_bound(
    #[values(9, 64, 370)] routers: usize,
    #[values(9.3, 13.0)] per_s: f64,
    #[values(9, 18)] heard_per_s: usize,
) {
    let mut trial = Trial::new(routers, per_s);
    for index in 0..routers {
        trial.routers[index] = router(per_s);
        trial.routers[index].await_peers(at(trial.now_ms));
    }
    trial.announce();
    // Each second, a router hears of some members of the fleet, known ones among them.
    let mut known = vec![vec![false; routers]; routers];
    for _ in 0..60 {
        for (index, known) in known.iter_mut().enumerate() {
            for _ in 0..heard_per_s {
                known[trial.random(routers as u64) as usize] = true;
            }
            trial.list(index, |other| known[other]);
        }
        trial.run(WINDOW);
    }
    let worst = trial.worst();
    println!("{routers} routers, {per_s}/s, {heard_per_s} heard of: worst {worst}");
    assert!(worst <= allowed(per_s), "{worst}");
}

/// Guards against routers that restart one after the other, each with nothing but its seeds.
#[rstest]
fn routers_that_restart_in_turn_keep_to_the_bound(
    #[values(9, 13, 64)] routers: usize,
    #[values(9.3, 13.0)] per_s: f64,
) {
    let mut trial = Trial::new(routers, per_s);
    trial.announce();
    for index in 0..routers {
        trial.routers[index] = router(per_s);
        trial.routers[index].await_peers(at(trial.now_ms));
        trial.announce();
        trial.run(Duration::from_millis(700));
        for step in 1..=4 {
            trial.list(index, |other| other * 4 < routers * step);
            trial.run(Duration::from_millis(300));
        }
    }
    let worst = trial.worst();
    println!("{routers} routers, {per_s}/s: worst {worst}");
    assert!(worst <= allowed(per_s), "{worst}");
}

/// Guards against a router alone that waits for others.
#[test]
fn a_router_without_others_uses_the_limit() {
    let mut trial = Trial::new(1, 9.3);
    trial.announce();
    let start_ms = trial.now_ms;
    trial.run(Duration::from_secs(5));
    assert!(trial.rate_since(start_ms) >= 0.8 * 9.3);
}

/// Guards against a limit that outlives the time stated by the entry, and one that ends in a step,
/// upon which all requests go to the idle upstream.
#[test]
fn the_limit_ends_with_a_ramp() {
    let mut router = router(9.3);
    router.upsert(at(10_000), entry(0, 2, 2_000));
    let per_quarter = |router: &mut Fleet, start: u64| {
        let ticks = (start..start + 250).step_by(2);
        ticks.filter(|ms| send(router, at(*ms)).is_some()).count()
    };
    let quarters: Vec<usize> = (0..14)
        .map(|quarter| per_quarter(&mut router, 10_000 + 250 * quarter))
        .collect();
    assert!(
        quarters[..8].iter().all(|count| *count <= 4),
        "{quarters:?}"
    );
    let ramp = &quarters[8..12];
    assert!(ramp.is_sorted(), "{quarters:?}");
    assert!(ramp[0] >= 3 && ramp[3] < 60, "{quarters:?}");
    assert_eq!(quarters[12..], [125, 125], "{quarters:?}");
}

/// Guards against an upstream that stays limited although its entry says that it is warm, and one
/// that is limited although its service has no limit.
#[test]
fn the_entry_and_the_configuration_decide() {
    let now = at(10_000);
    let mut router = router(9.3);
    router.upsert(now, entry(0, 2, 60_000));
    assert!(router.upstreams()[0].warmup.remaining(now).is_some());
    router.upsert(at(11_000), entry(0, 3, 0));
    assert_eq!(router.upstreams()[0].warmup.remaining(at(11_000)), None);
    assert!(send(&mut router, at(12_500)).is_some());
    assert!(send(&mut router, at(12_500)).is_some());
    router.upsert(at(13_000), entry(0, 4, 60_000));
    assert_eq!(send(&mut router, at(13_000)), None);
    router.set_warmups(at(13_000), std::iter::empty());
    assert!(send(&mut router, at(13_000)).is_some());
}

/// Guards against a warm-up of an earlier incarnation that limits the next one.
#[test]
fn a_new_incarnation_begins_as_its_entry_states() {
    let mut router = router(9.3);
    router.upsert(at(10_000), entry(0, 2, 60_000));
    let mut restarted = entry(0, 3, 0);
    restarted.incarnation = name::Incarnation(2);
    router.upsert(at(11_000), restarted);
    assert!(send(&mut router, at(11_000)).is_some());
    assert!(send(&mut router, at(11_000)).is_some());
}

/// Guards against upstreams of an evacuated zone that get all requests at once when it ends, and an
/// entry written before the end that lifts the limit.
#[test]
fn upstreams_of_a_zone_are_marked_as_cold() {
    let mut router = router(9.3);
    let other = entry(1, 2, 0);
    let elsewhere = Entry {
        zone: name::Zone::from("elsewhere"),
        ..entry(2, 3, 0)
    };
    router.apply(
        at(0),
        [other, elsewhere].map(snipeusher::fleet::Update::Written),
    );
    let now = at(10_000);
    assert_eq!(router.start_warmup(now, &name::Zone::from("here")), 2);
    assert_eq!(router.start_warmup(now, &name::Zone::from("nowhere")), 0);
    router.upsert(at(10_100), entry(0, 4, 0));
    let news = router.take_warmups(at(10_200));
    let ids: Vec<&str> = news.iter().map(|(id, _)| id.as_str()).collect();
    assert_eq!(ids, ["e0", "e1"]);
    assert!(router.take_warmups(at(10_300)).is_empty());
    let cold = |router: &Fleet, ms| {
        let upstreams = router.upstreams().iter();
        let cold = upstreams.filter(|upstream| upstream.warmup.remaining(at(ms)).is_some());
        cold.count()
    };
    assert_eq!(cold(&router, 12_900), 2);
    assert_eq!(cold(&router, 13_000), 0);
}

/// Guards against a router that refuses a request although another upstream could take it, and a
/// refused caller who is told to return too early or much too late.
#[test]
fn requests_without_a_share_go_elsewhere_or_are_refused_with_a_time() {
    let mut router = router(0.5);
    router.upsert(at(0), entry(1, 2, 0));
    router.upsert(at(10_000), entry(0, 3, 60_000));
    let warm = name::Upstream::from("e1");
    for _ in 0..20 {
        assert_eq!(send(&mut router, at(10_000)), Some(warm.clone()));
    }
    router.upsert(at(10_000), entry(1, 4, 60_000));
    let Decision::Refuse { cause, retry_after } = decide(&mut router, at(10_000)) else {
        panic!("both are cold");
    };
    assert_eq!(cause, Cause::Paused);
    assert!(
        retry_after >= Duration::from_millis(1_900),
        "{retry_after:?}"
    );
    assert!(
        retry_after <= Duration::from_millis(2_500),
        "{retry_after:?}"
    );
    assert!(send(&mut router, at(10_000) + retry_after).is_some());
}

/// Guards against requests that are refused although a peer may send them, and peers without a
/// share that get them.
#[test]
fn a_router_without_a_share_relays_to_one_that_has_one() {
    let mut trial = Trial::new(64, 9.3);
    trial.announce();
    let now = at(trial.now_ms);
    let withheld = |router: &Fleet| router.needs_relay(now, &service());
    let without: Vec<bool> = trial.routers.iter().map(withheld).collect();
    let count = without.iter().filter(|without| !**without).count();
    assert_eq!(count, 12, "routers that may send");
    let first = without
        .iter()
        .position(|without| *without)
        .expect("some may not");
    for (index, is_without) in without.iter().enumerate() {
        let has_slots = trial.routers[first].has_slots(now, &service(), &host(index));
        assert_eq!(has_slots, !is_without, "router {index}");
    }
}

/// Guards against peers that take the whole time from an entry that was received long ago.
#[test]
fn forwarded_entries_state_the_remaining_time() {
    let mut router = router(9.3);
    router.upsert(at(10_000), entry(0, 2, 3_000));
    let forwarded = |router: &Fleet, ms| {
        let delta = router.changes_since(at(ms), Revision::new(1));
        delta.entries[0].cold_ms
    };
    assert_eq!(forwarded(&router, 10_400), 2_600);
    assert_eq!(forwarded(&router, 20_000), 0);
    // Routers of earlier builds cannot read it, so it is left out where no limit is configured.
    router.upsert(at(30_000), entry(0, 3, 3_000));
    router.set_warmups(at(30_000), std::iter::empty());
    let delta = router.changes_since(at(30_000), Revision::new(1));
    assert_eq!(delta.entries[0].cold_ms, 0);
    let warm = entry(0, 2, 0);
    let cold = entry(0, 2, 7);
    let bytes = |entry: &Entry| rmp_serde::to_vec(entry).expect("it can be written");
    assert_eq!(bytes(&cold).len(), bytes(&warm).len() + 1);
    for entry in [warm, cold] {
        let read: Entry = rmp_serde::from_slice(&bytes(&entry)).expect("it can be read");
        assert_eq!(read, entry);
    }
}

/// Guards against absurd values that a router does not survive, or that lift a limit.
#[rstest]
fn absurd_values_keep_a_limit(
    #[values(0.001, 0.5, 2.0, 100_000.0)] per_s: f64,
    #[values((1.0, 0.0), (0.0, 0.0), (1e9, 1e9), (1.5, 5.0))] bound: (f64, f64),
) {
    let mut router = router(per_s);
    let (over, slack) = bound;
    router.set_warmup_bound(at(0), Bound { over, slack });
    router.upsert(at(10_000), entry(0, 2, u32::MAX));
    let remaining = router.upstreams()[0].warmup.remaining(at(10_000));
    assert_eq!(remaining, Some(Duration::from_mins(1)));
    let sent = (10_000..12_000).filter(|ms| send(&mut router, at(*ms)).is_some());
    assert!(sent.count() as f64 <= (2.0 * per_s).min(2_000.0) + 2.0);
}
