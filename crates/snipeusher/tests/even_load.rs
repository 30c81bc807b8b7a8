//! Checks in a discrete-event simulation that many routers that choose side by side on outdated
//! reports load the upstreams evenly.
//!
//! The routers are copies of the product's `Fleet`; the upstreams are counters with slots, a queue
//! and a service time. The rules are compared on the same arrivals.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use snipeusher::fleet::Decision;
use snipeusher::fleet::Entry;
use snipeusher::fleet::Fleet;
use snipeusher::fleet::Limits;
use snipeusher::fleet::Outcome;
use snipeusher::fleet::Query;
use snipeusher::fleet::Regions;
use snipeusher::fleet::Report;
use snipeusher::fleet::Settings;
use snipeusher::fleet::Upstream;
use snipeusher::hash;
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher::route::Homes;
use snipeusher::time::Time;

const SERVICE: &str = "letters";
const ZONES: usize = 3;
/// Requests that one upstream processes at once.
const SLOTS: u32 = 8;
/// Mean time of a request at an upstream of usual speed, in microseconds.
const SERVICE_US: f64 = 200_000.0;
/// Share of what all upstreams can process that arrives.
const UTILIZATION: f64 = 0.75;
/// Time between two entries of the history of loads, in microseconds.
const HISTORY_STEP_US: u64 = 5_000;
/// Time between two events of a response, in microseconds.
const ACTIVITY_US: u64 = 200_000;
/// Lasting slowness of one upstream in three.
const SLOW: f64 = 1.3;
/// Slowness beside a noisy neighbour.
const NOISY: f64 = 2.5;
/// Share of the upstreams beside a noisy neighbour at any moment.
const NOISY_SHARE: f64 = 0.15;
/// Bounds of the time for which a neighbour is noisy, in microseconds.
const NOISY_US: std::ops::Range<u64> = 200_000..700_000;
/// Time before the measurement, in microseconds.
const WARMUP_US: u64 = 3_000_000;
const WINDOW_US: u64 = 100_000;
const WINDOWS_PER_S: usize = 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// `Fleet::choose`.
    Product,
    /// The least loaded by `Load::estimate`, a local one among equals.
    Before,
    Random,
    TwoChoices,
    /// One router that knows the loads and speeds of this moment.
    Complete,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Speeds {
    Equal,
    /// Uneven, and the upstreams state nothing of it.
    Unstated,
    /// Uneven, and the upstreams state their pace.
    Stated,
}

#[derive(Clone, Copy, Debug)]
struct Setup {
    routers: usize,
    upstreams: usize,
    view_ms: u64,
    speeds: Speeds,
    measured_us: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Finish {
        upstream: usize,
        router: usize,
    },
    Refresh(usize),
    Sample,
    /// Upstreams send events of their responses, so that none counts as silent.
    Activity(usize),
    Neighbour(usize),
}

struct Server {
    /// Lasting slowness.
    slowness: f64,
    is_noisy: bool,
    running: u32,
    /// Routers of the waiting requests, and when they arrived.
    queue: VecDeque<(usize, u64)>,
    /// When the load last changed, in microseconds.
    changed_at: u64,
    /// Requests times microseconds in the current window.
    area: f64,
}

impl Server {
    fn load(&self) -> u32 {
        self.running + self.queue.len() as u32
    }

    fn pace(&self) -> f64 {
        let noise = if self.is_noisy { NOISY } else { 1.0 };
        self.slowness * noise
    }

    fn add_area(&mut self, now: u64) {
        self.area += f64::from(self.load()) * (now - self.changed_at) as f64;
        self.changed_at = now;
    }
}

/// Results of one run.
#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    /// Highest load over the mean, in windows of 100 ms and 1 s, on average.
    short: f64,
    long: f64,
    /// Share of the slots that are idle while as many requests wait elsewhere.
    idle: f64,
    /// 99th percentile of the time in queue, in milliseconds.
    queue_ms: f64,
    /// Share of the requests that stay in the zone of their router.
    local: f64,
}

struct Simulation {
    setup: Setup,
    rule: Rule,
    now: u64,
    /// Draws the load, the same for each rule.
    arrivals: Pcg64Mcg,
    /// Draws what the rule decides.
    choices: Pcg64Mcg,
    events: BTreeSet<(u64, u64, Event)>,
    next: u64,
    fleets: Vec<Fleet>,
    /// Sums of the shares of the routers in the arrivals.
    shares: Vec<f64>,
    servers: Vec<Server>,
    ids: Vec<name::Upstream>,
    /// Loads and paces of the last seconds, in steps of `HISTORY_STEP_US`.
    history: VecDeque<Vec<(u32, f64)>>,
    waits_us: Vec<u64>,
    areas: Vec<Vec<f64>>,
    idle_area: f64,
    counted_at: u64,
    waiting: u32,
    running: u32,
    local: u64,
}

fn zone(index: usize) -> name::Zone {
    name::Zone::from(["a", "b", "c"][index % ZONES])
}

fn entry(index: usize) -> Entry {
    Entry {
        id: name::Upstream::from(format!("e{index}")),
        service: name::Service::from(SERVICE),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + index as u16)),
        zone: zone(index),
        build: name::Build::from("v1"),
        slots: Some(SLOTS),
        draining: false,
        incarnation: name::Incarnation(1),
        revision: Revision::new(1),
        cold_ms: 0,
    }
}

fn fleet(router: usize, setup: &Setup) -> Fleet {
    let mut fleet = Fleet::new(Settings {
        zone: zone(router),
        retries: Limits::default(),
        drain: Duration::from_secs(2),
        pause_max: Duration::from_mins(1),
        regions: Regions::default(),
    });
    let entries = (0..setup.upstreams).map(entry).collect();
    fleet.replace_all(Time(0), Revision::new(1), entries);
    fleet.set_routers(setup.routers);
    let host = |index: usize| name::Host::from(format!("r{index}"));
    let others: Vec<name::Host> = (0..setup.routers)
        .filter(|index| *index != router)
        .map(host)
        .collect();
    fleet.set_hosts(Time(0), &host(router), others.iter());
    fleet
}

fn exponential(rng: &mut Pcg64Mcg, mean: f64) -> u64 {
    (-(1.0 - rng.random::<f64>()).ln() * mean) as u64
}

impl Simulation {
    fn new(setup: Setup, rule: Rule) -> Self {
        let mut arrivals = Pcg64Mcg::seed_from_u64(41);
        let is_even = setup.speeds == Speeds::Equal;
        let servers = (0..setup.upstreams).map(|index| Server {
            slowness: if !is_even && index % 3 == 1 {
                SLOW
            } else {
                1.0
            },
            is_noisy: false,
            running: 0,
            queue: VecDeque::new(),
            changed_at: 0,
            area: 0.0,
        });
        let mut sum = 0.0;
        let shares = (0..setup.routers).map(|_| {
            sum += arrivals.random_range(0.5..1.5);
            sum
        });
        let mut simulation = Self {
            setup,
            rule,
            now: 0,
            shares: shares.collect(),
            arrivals,
            choices: Pcg64Mcg::seed_from_u64(43),
            events: BTreeSet::new(),
            next: 0,
            fleets: (0..setup.routers)
                .map(|router| fleet(router, &setup))
                .collect(),
            servers: servers.collect(),
            ids: (0..setup.upstreams).map(|index| entry(index).id).collect(),
            history: VecDeque::new(),
            waits_us: Vec::new(),
            areas: Vec::new(),
            idle_area: 0.0,
            counted_at: 0,
            waiting: 0,
            running: 0,
            local: 0,
        };
        simulation.start();
        simulation
    }

    fn start(&mut self) {
        self.schedule(0, Event::Arrive);
        self.schedule(0, Event::Sample);
        for router in 0..self.setup.routers {
            let phase = self.arrivals.random_range(0..self.refresh_us());
            self.schedule(phase, Event::Refresh(router));
            self.schedule(phase % ACTIVITY_US, Event::Activity(router));
        }
        if self.setup.speeds != Speeds::Equal {
            for upstream in 0..self.setup.upstreams {
                let phase = self.arrivals.random_range(0..NOISY_US.end);
                self.schedule(phase, Event::Neighbour(upstream));
            }
        }
    }

    /// Time between two views that a router gets. Their age varies by a quarter around the age
    /// of the setup.
    fn refresh_us(&self) -> u64 {
        self.setup.view_ms * 500
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.next += 1;
        self.events.insert((self.now + after, self.next, event));
    }

    fn run(mut self) -> Figures {
        let end = WARMUP_US + self.setup.measured_us;
        let mut window_at = WARMUP_US;
        while let Some((at, _, event)) = self.events.pop_first()
            && at < end
        {
            while window_at <= at {
                self.close_window(window_at);
                window_at += WINDOW_US;
            }
            self.count(at);
            self.now = at;
            self.handle(event);
        }
        self.figures()
    }

    fn close_window(&mut self, now: u64) {
        let areas = self.servers.iter_mut().map(|server| {
            server.add_area(now);
            std::mem::take(&mut server.area)
        });
        let areas = areas.collect();
        if now > WARMUP_US {
            self.areas.push(areas);
        }
    }

    /// Adds up the slots that are idle while requests wait.
    fn count(&mut self, now: u64) {
        if now > WARMUP_US {
            let idle = self.setup.upstreams as u32 * SLOTS - self.running;
            let wasted = f64::from(idle.min(self.waiting));
            self.idle_area += wasted * (now - self.counted_at) as f64;
        }
        self.counted_at = now.max(WARMUP_US);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Finish { upstream, router } => self.finish(upstream, router),
            Event::Refresh(router) => self.refresh(router),
            Event::Sample => self.sample(),
            Event::Activity(router) => self.record_activity(router),
            Event::Neighbour(upstream) => self.change_neighbour(upstream),
        }
    }

    fn arrive(&mut self) {
        let slots = f64::from(SLOTS);
        let noise = if self.setup.speeds == Speeds::Equal {
            1.0
        } else {
            1.0 + NOISY_SHARE * (NOISY - 1.0)
        };
        let speeds: f64 = self.servers.iter().map(|s| 1.0 / s.slowness).sum();
        let rate = UTILIZATION * slots * speeds / (SERVICE_US * noise);
        let gap = exponential(&mut self.arrivals, 1.0 / rate);
        self.schedule(gap, Event::Arrive);
        let point = self.arrivals.random::<f64>() * self.shares.last().expect("there are routers");
        let router = self.shares.partition_point(|sum| *sum <= point);
        let upstream = self.choose(router);
        if self.now >= WARMUP_US {
            self.local += u64::from(router % ZONES == upstream % ZONES);
        }
        self.fleets[router].record_sent(Time(self.now), &self.ids[upstream]);
        let server = &mut self.servers[upstream];
        server.add_area(self.now);
        if server.running < SLOTS {
            self.begin(upstream, router, self.now);
        } else {
            server.queue.push_back((router, self.now));
            self.waiting += 1;
        }
    }

    fn begin(&mut self, upstream: usize, router: usize, arrived_at: u64) {
        let server = &mut self.servers[upstream];
        server.running += 1;
        self.running += 1;
        let mean = SERVICE_US * server.pace();
        let time = exponential(&mut self.arrivals, mean);
        if self.now >= WARMUP_US {
            self.waits_us.push(self.now - arrived_at);
        }
        self.schedule(time, Event::Finish { upstream, router });
    }

    fn finish(&mut self, upstream: usize, router: usize) {
        let (now, id) = (Time(self.now), &self.ids[upstream]);
        self.fleets[router].record_activity(now, id);
        self.fleets[router].record_outcome(now, id, Outcome::Served);
        let server = &mut self.servers[upstream];
        server.add_area(self.now);
        server.running -= 1;
        self.running -= 1;
        if let Some((router, arrived_at)) = server.queue.pop_front() {
            self.waiting -= 1;
            self.begin(upstream, router, arrived_at);
        }
    }

    fn sample(&mut self) {
        let loads = self.servers.iter();
        let loads = loads.map(|server| (server.load(), server.pace())).collect();
        self.history.push_front(loads);
        // A view is at most a quarter older than the age of the setup.
        self.history
            .truncate((self.setup.view_ms * 1_250 / HISTORY_STEP_US) as usize + 2);
        self.schedule(HISTORY_STEP_US, Event::Sample);
    }

    /// Gives a router a new view, which is three quarters of the age of the setup old.
    fn refresh(&mut self, router: usize) {
        self.schedule(self.refresh_us(), Event::Refresh(router));
        if matches!(self.rule, Rule::Random | Rule::Complete) {
            return;
        }
        let steps = self.setup.view_ms * 750 / HISTORY_STEP_US;
        let Some(view) = self.history.get(steps as usize) else {
            return;
        };
        let taken_at = Time(self.now.saturating_sub(steps * HISTORY_STEP_US));
        let is_stated = self.setup.speeds != Speeds::Unstated;
        for ((load, pace), id) in view.iter().zip(&self.ids) {
            let report = Report {
                running: (*load).min(SLOTS),
                waiting: load.saturating_sub(SLOTS),
                slots: SLOTS,
                pace: is_stated.then_some((pace * 100.0) as u32),
            };
            self.fleets[router].record_load(taken_at, id, report);
        }
    }

    fn record_activity(&mut self, router: usize) {
        for id in &self.ids {
            self.fleets[router].record_activity(Time(self.now), id);
        }
        self.schedule(ACTIVITY_US, Event::Activity(router));
    }

    fn change_neighbour(&mut self, upstream: usize) {
        let server = &mut self.servers[upstream];
        server.is_noisy = !server.is_noisy;
        let noisy = self.arrivals.random_range(NOISY_US);
        let factor = (1.0 - NOISY_SHARE) / NOISY_SHARE;
        let time = if self.servers[upstream].is_noisy {
            noisy
        } else {
            (noisy as f64 * factor) as u64
        };
        self.schedule(time, Event::Neighbour(upstream));
    }

    fn choose(&mut self, router: usize) -> usize {
        let now = Time(self.now);
        let random = self.choices.random();
        let count = self.setup.upstreams;
        let fleet = &mut self.fleets[router];
        match self.rule {
            Rule::Product => {
                let id = product(fleet, now, random);
                id.as_str()[1..].parse().expect("ids are numbered")
            }
            Rule::Before => before(now, fleet.upstreams(), random),
            Rule::Random => random as usize % count,
            Rule::TwoChoices => {
                let first = self.choices.random_range(0..count);
                let second = (first + self.choices.random_range(1..count)) % count;
                let load = |index: usize| {
                    let upstream = fleet.upstream(&self.ids[index]);
                    upstream.map_or(0, |upstream| upstream.load.estimate(now))
                };
                if load(second) < load(first) {
                    second
                } else {
                    first
                }
            }
            Rule::Complete => complete(&self.servers, random),
        }
    }

    fn figures(mut self) -> Figures {
        let skew = |areas: &[f64]| {
            let mean = areas.iter().sum::<f64>() / areas.len() as f64;
            areas.iter().copied().fold(0.0, f64::max) / mean
        };
        let mean = |ratios: &[f64]| ratios.iter().sum::<f64>() / ratios.len() as f64;
        let short: Vec<f64> = self.areas.iter().map(|areas| skew(areas)).collect();
        let long = self.areas.chunks_exact(WINDOWS_PER_S).map(|windows| {
            let sum = |index: usize| windows.iter().map(|areas| areas[index]).sum::<f64>();
            let sums: Vec<f64> = (0..self.setup.upstreams).map(sum).collect();
            skew(&sums)
        });
        let long: Vec<f64> = long.collect();
        self.waits_us.sort_unstable();
        let served = self.waits_us.len();
        let slots = self.setup.upstreams as f64 * f64::from(SLOTS);
        Figures {
            short: mean(&short),
            long: mean(&long),
            idle: self.idle_area / self.setup.measured_us as f64 / slots,
            queue_ms: self.waits_us[served * 99 / 100] as f64 / 1_000.0,
            local: self.local as f64 / served as f64,
        }
    }
}

fn product(fleet: &mut Fleet, now: Time, random: u64) -> name::Upstream {
    let service = name::Service::from(SERVICE);
    let query = Query {
        service: &service,
        session: None,
        max_connections: 0,
        build: None,
        tried: &[],
        homes: &Homes::default(),
        tie_breaker: random,
    };
    match fleet.choose(now, &query) {
        Decision::Send { upstream, .. } => upstream,
        Decision::Refuse { .. } => panic!("the request is refused"),
    }
}

/// The rule of the code before: the least loaded, a local one among equals.
fn before(now: Time, upstreams: &[Upstream], random: u64) -> usize {
    let least = upstreams.iter().min_by_key(|upstream| {
        (
            upstream.load.estimate(now),
            Reverse(upstream.local),
            hash::score(random, upstream.id_hash),
        )
    });
    let least = least.expect("there are upstreams");
    let number = &least.entry.id.as_str()[1..];
    number.parse().expect("ids are numbered")
}

/// The upstream that serves the request first by what is true now.
fn complete(servers: &[Server], random: u64) -> usize {
    let end = |index: usize| {
        let server = &servers[index];
        let ahead = f64::from((server.load() + 1).saturating_sub(SLOTS));
        // Requests before this one free a slot each; then this one runs.
        let wait = ahead / f64::from(SLOTS);
        let load = f64::from(server.load()) / 1_000.0;
        (1.0 + wait + load) * server.pace()
    };
    let by_end = |left: &usize, right: &usize| {
        let order = end(*left).total_cmp(&end(*right));
        order.then_with(|| {
            let score = |index: usize| hash::score(random, index as u64);
            score(*left).cmp(&score(*right))
        })
    };
    (0..servers.len())
        .min_by(by_end)
        .expect("there are upstreams")
}

const RULES: [Rule; 5] = [
    Rule::Product,
    Rule::Before,
    Rule::Random,
    Rule::TwoChoices,
    Rule::Complete,
];

fn compare(setup: Setup) -> [Figures; 5] {
    let figures = RULES.map(|rule| Simulation::new(setup, rule).run());
    for (rule, figures) in RULES.iter().zip(&figures) {
        println!(
            "| {}/{} | {:?} | {} | {rule:?} | {:.2} | {:.2} | {:.2}% | {:.0} | {:.2} |",
            setup.routers,
            setup.upstreams,
            setup.speeds,
            setup.view_ms,
            figures.short,
            figures.long,
            figures.idle * 100.0,
            figures.queue_ms,
            figures.local,
        );
    }
    figures
}

/// Tolerance of the comparison with the rule before; the runs differ by chance.
const TOLERANCE: f64 = 1.03;

/// Guards against upstreams that are overloaded in turn while others are idle, since many routers
/// choose the same on the same old report.
#[rstest]
fn load_is_at_least_as_even_as_before(
    #[values((9, 12), (73, 140))] size: (usize, usize),
    #[values(Speeds::Equal, Speeds::Unstated, Speeds::Stated)] speeds: Speeds,
    #[values(50, 200, 500, 1_000, 2_000)] view_ms: u64,
) {
    check(size, speeds, view_ms, 8_000_000);
}

/// The same for the largest fleet.
#[rstest]
#[ignore = "takes minutes"]
fn load_of_large_fleets_is_at_least_as_even_as_before(
    #[values(Speeds::Equal, Speeds::Stated)] speeds: Speeds,
    #[values(50, 200, 500, 1_000, 2_000)] view_ms: u64,
) {
    check((370, 3_300), speeds, view_ms, 2_000_000);
}

fn check(size: (usize, usize), speeds: Speeds, view_ms: u64, measured_us: u64) {
    let (routers, upstreams) = size;
    let [product, before, ..] = compare(Setup {
        routers,
        upstreams,
        view_ms,
        speeds,
        measured_us,
    });
    assert!(
        product.short <= before.short * TOLERANCE,
        "windows of 100 ms"
    );
    assert!(product.long <= before.long * TOLERANCE, "windows of 1 s");
    assert!(
        product.idle <= before.idle * TOLERANCE + 0.001,
        "idle slots"
    );
    assert!(
        product.queue_ms <= before.queue_ms * TOLERANCE + 1.0,
        "queues"
    );
}
