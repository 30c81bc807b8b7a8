//! Reports of unreachable upstreams between the routers of a zone.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use snipeusher::fleet;
use snipeusher::fleet::Decision;
use snipeusher::fleet::Entry;
use snipeusher::fleet::Fleet;
use snipeusher::fleet::Outage;
use snipeusher::fleet::Outcome;
use snipeusher::fleet::Query;
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher::route::Homes;
use snipeusher::time::Time;

/// Duration of a step of the simulation.
const STEP: Duration = Duration::from_millis(10);
/// Interval between connection attempts to doubtful upstreams.
const PROBE_STEPS: u64 = 10;
/// Peers to which a report is sent.
const FANOUT: usize = 3;
/// Time that an upstream takes to answer.
const ANSWER_MS: u64 = 100;
/// Upstreams in each zone.
const UPSTREAMS: usize = 15;

fn service() -> name::Service {
    name::Service::from("letters")
}

fn entry(zone: &str, index: usize) -> Entry {
    let port = 1_000 + index as u16;
    Entry {
        id: name::Upstream::from(format!("{zone}-{index}")),
        service: service(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: name::Zone::from(zone),
        build: name::Build::from("v1"),
        slots: None,
        draining: false,
        incarnation: name::Incarnation(1),
        revision: Revision::new(1),
        cold_ms: 0,
    }
}

fn fleet_view() -> Fleet {
    let settings = fleet::Settings {
        zone: name::Zone::from("a"),
        regions: fleet::Regions::default(),
        retries: fleet::Limits::default(),
        drain: Duration::from_secs(2),
        pause_max: Duration::from_mins(1),
    };
    let mut view = Fleet::new(settings);
    let entries = ["a", "b", "c", "d", "e"].map(|zone| (0..UPSTREAMS).map(|i| entry(zone, i)));
    let entries = entries.into_iter().flatten().collect();
    view.replace_all(Time::default(), Revision::new(1), entries);
    view
}

/// The routers of one zone, whose requests go to upstreams of all zones.
struct Routers {
    views: Vec<Fleet>,
    /// Answers under way: when, router and upstream.
    answers: Vec<(Time, usize, name::Upstream)>,
    now: Time,
    step: u64,
    rng: Pcg64Mcg,
    /// Upstreams that no router reaches.
    down: BTreeSet<name::Upstream>,
    /// Requests sent to them.
    lost: usize,
    /// Whether reports are delivered.
    reports: bool,
}

impl Routers {
    fn new(count: usize, seed: u64) -> Self {
        Self {
            views: (0..count).map(|_| fleet_view()).collect(),
            answers: Vec::new(),
            now: Time::from_millis(1),
            step: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            down: BTreeSet::new(),
            lost: 0,
            reports: true,
        }
    }

    fn cut_zone(&mut self, zone: &str) {
        self.down = (0..UPSTREAMS).map(|index| entry(zone, index).id).collect();
    }

    /// Runs for a time, with three requests a second at each router.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.step += 1;
            self.deliver_answers();
            for router in 0..self.views.len() {
                if self.rng.random_ratio(3, 100) {
                    self.send(router);
                }
                if self.step.is_multiple_of(PROBE_STEPS) {
                    self.probe(router);
                }
                self.report(router);
            }
        }
    }

    fn deliver_answers(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.answers.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, router, upstream) in due {
            self.views[router].record_activity(now, &upstream);
            self.views[router].record_outcome(now, &upstream, Outcome::Served);
        }
    }

    fn send(&mut self, router: usize) {
        let query = Query {
            service: &service(),
            session: Some(self.rng.random()),
            max_connections: 0,
            build: None,
            tried: &[],
            homes: &Homes::default(),
            tie_breaker: 0,
        };
        let Decision::Send { upstream, .. } = self.views[router].choose(self.now, &query) else {
            panic!("an upstream is ready");
        };
        self.views[router].record_sent(self.now, &upstream);
        if self.down.contains(&upstream) {
            self.lost += 1;
        } else {
            let at = self.now + Duration::from_millis(ANSWER_MS);
            self.answers.push((at, router, upstream));
        }
    }

    fn probe(&mut self, router: usize) {
        for (id, _) in self.views[router].due_probes(self.now) {
            let is_connected = !self.down.contains(&id);
            self.views[router].record_probe(self.now, &id, is_connected);
        }
    }

    fn report(&mut self, router: usize) {
        let outage = self.views[router].take_outage();
        let Some(outage) = outage.filter(|_| self.reports) else {
            return;
        };
        for _ in 0..FANOUT {
            let peer = self.rng.random_range(0..self.views.len());
            if peer != router {
                self.views[peer].merge_outage(self.now, &outage);
            }
        }
    }
}

/// Guards against requests that each router of a large fleet loses before it notices that a zone is
/// cut off: the losses would grow with the number of routers.
#[rstest]
#[case(9)]
#[case(39)]
#[case(78)]
fn losses_in_a_cut_do_not_grow_with_the_fleet(#[case] count: usize) {
    for seed in 0..3 {
        let mut routers = Routers::new(count, seed);
        routers.run(Duration::from_secs(2));
        routers.cut_zone("e");
        routers.run(Duration::from_secs(6));
        // Until the first router notices, about 0.5 s, each sends 3 requests a second, a fifth of
        // them to the zone; another 0.5 s is allowed for the reports.
        let allowed = 3 * count / 5 + 6;
        let lost = routers.lost;
        assert!(lost <= allowed, "seed {seed}: {lost} of {allowed}");
    }
}

/// Guards against a zone that is avoided after the end of a cut, or because a single upstream of it
/// is down.
#[rstest]
fn a_zone_is_used_again_when_an_upstream_of_it_is_reached() {
    let mut routers = Routers::new(39, 1);
    routers.cut_zone("e");
    routers.run(Duration::from_secs(3));
    routers.down = BTreeSet::from([entry("e", 0).id, entry("e", 1).id]);
    routers.run(Duration::from_secs(3));
    let id = entry("e", 5).id;
    for view in &mut routers.views {
        let upstream = view.upstream(&id).expect("it is known");
        assert!(upstream.health.is_available(routers.now));
        let outage = Outage {
            zones: vec![name::Zone::from("e")],
            upstreams: Vec::new(),
            ..Outage::default()
        };
        assert!(
            view.merge_outage(routers.now, &outage),
            "it counts as reachable"
        );
    }
}

/// Guards against a false report that circulates between routers for ever, and against upstreams
/// that are avoided because of one.
#[rstest]
fn a_false_report_ends() {
    let mut routers = Routers::new(39, 1);
    routers.run(Duration::from_secs(1));
    let id = entry("b", 3).id;
    let outage = Outage {
        zones: vec![name::Zone::from("c")],
        upstreams: vec![id.clone()],
        ..Outage::default()
    };
    assert!(routers.views[0].merge_outage(routers.now, &outage));
    routers.run(Duration::from_secs(2));
    for view in &mut routers.views {
        assert_eq!(view.take_outage(), None);
        let upstream = view.upstream(&id).expect("it is known");
        assert!(upstream.health.is_available(routers.now));
    }
}

/// Guards against reports of unknown names.
#[rstest]
fn unknown_names_are_ignored() {
    let mut view = fleet_view();
    let outage = Outage {
        zones: vec![name::Zone::from("nowhere")],
        upstreams: vec![name::Upstream::from("nobody")],
        ..Outage::default()
    };
    assert!(!view.merge_outage(Time::from_millis(5), &outage));
    assert_eq!(view.take_outage(), None);
}

/// Guards against a router without links to upstreams that has its peers doubt all of them.
#[test]
fn a_router_that_reaches_no_upstream_reports_none() {
    let mut view = fleet_view();
    let now = Time::from_millis(100);
    let ids: Vec<name::Upstream> = view
        .upstreams()
        .iter()
        .map(|it| it.entry.id.clone())
        .collect();
    for (count, id) in (1..).zip(&ids) {
        view.record_outcome(now, id, Outcome::Unreachable);
        assert_eq!(view.is_unreachable(&service()), count > 4 * UPSTREAMS + 1);
    }
    assert_eq!(view.take_outage(), None);
    for zone in ["a-0", "b-0"] {
        view.record_probe(now, &name::Upstream::from(zone), true);
    }
    assert!(!view.is_unreachable(&service()));
    view.record_outcome(now, &ids[1], Outcome::Unreachable);
    view.record_outcome(now, &ids[1], Outcome::Unreachable);
    assert!(view.take_outage().is_some(), "of the zone");
}
