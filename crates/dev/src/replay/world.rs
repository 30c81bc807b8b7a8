//! The discrete clock that carries events between routers and fake upstreams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64;
use snipeusher::kv::Call;
use snipeusher::kv::CallId;
use snipeusher::kv::Fault;
use snipeusher::kv::Reply;
use snipeusher::machine::Event;
use snipeusher::member;
use snipeusher::name;
use snipeusher::request::Attempt;
use snipeusher::request::Chat;
use snipeusher::time::Time;
use snipeusher::upstream::Phase;
use snipeusher_fakes::kv::Write;

use super::engine::Engine;
use super::engine::Job;
use super::fleet;
use super::platform::Caller;
use super::platform::PartEvent;
use super::platform::Parts;
use super::platform::Platform;
use super::platform::host;
use super::router::Router;
use super::seat::Seat;
use super::tally::Tally;
use crate::trace;
use crate::trace::Trace;

/// Time until a caller of an unreachable host gives up.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time that a replay runs on after the last arrival.
const DRAIN_LIMIT_MS: u64 = 600_000;

/// What the clock holds.
#[derive(Debug)]
pub enum Happening {
    /// A request of the trace arrives.
    Arrive(usize),
    /// An event reaches a router.
    Deliver(usize, Box<Event>),
    /// An attempt reaches its upstream.
    Submit(usize, Job),
    /// A cancellation reaches its upstream.
    Cancel(usize, Attempt),
    /// An upstream has something to report.
    Upstream(usize),
    /// A router must be woken.
    Wake(usize),
    /// A router reads an upstream's load.
    Probe(usize, usize),
    /// A router tells its peers.
    Gossip(usize),
    /// An event reaches a router's part in the fleet.
    Member(usize, Box<member::Event>),
    /// A transfer of a chat's cache ends: the router, the chat, its tokens and the engine.
    Transfer(usize, Chat, u64, usize),
    /// An event reaches a part of a router.
    Part(usize, Box<PartEvent>),
    /// A call reaches the key-value service.
    Call(Caller, CallId, Box<Call>),
    /// The key-value service shows a write to a router's watch.
    Show(usize, Box<Write>),
    /// An operator's edit goes on, perhaps with a reply.
    Edit(usize, Option<Box<(CallId, Result<Reply, Fault>)>>),
    /// Routers note what their streams have produced.
    Stream,
    /// Loads are sampled.
    Sample,
    /// An event of the trace begins.
    Begin(usize),
    /// An event of the trace ends.
    End(usize),
}

/// The replay of one trace.
#[derive(Debug)]
pub struct World<'a, R> {
    /// The trace.
    pub trace: &'a Trace,
    /// Its requests.
    pub requests: &'a [trace::Request],
    /// Routers.
    pub seats: Vec<Seat<R>>,
    /// Upstreams.
    pub engines: Vec<Engine>,
    /// Counts.
    pub tally: Tally,
    /// The key-value service.
    pub platform: Platform,
    /// Zones that are cut off.
    pub cut: BTreeSet<usize>,
    /// Workspaces whose next reply is lost.
    pub lose_reply: BTreeSet<name::Workspace>,
    /// Upstreams whose load reports are lost.
    pub lose_reports: BTreeSet<name::Upstream>,
    /// What load reports are late beyond the header's lag.
    pub extra_lag: Duration,
    /// When the departure of an upstream's present run began.
    pub departures: BTreeMap<usize, Time>,
    /// Generator of everything random in the replay.
    pub rng: Pcg64,
    /// The time.
    pub now: Time,
    /// Requests by attempt.
    pub flights: BTreeMap<Attempt, usize>,
    wakes: Vec<Time>,
    /// Load limit by workspace.
    pub limits: BTreeMap<name::Workspace, f64>,
    index: BTreeMap<name::Upstream, usize>,
    queue: BTreeMap<(Time, u64), Happening>,
    sequence: u64,
    /// Requests without a final answer.
    pub open: usize,
    probes: bool,
    gossips: bool,
}

impl<'a, R: Router> World<'a, R> {
    /// Sets up the fleet. `make` starts a router; `traffic` says whether routers read
    /// loads, and whether they gossip.
    pub fn new(
        trace: &'a Trace,
        requests: &'a [trace::Request],
        routers: usize,
        traffic: (bool, bool),
        make: impl Fn(usize) -> R,
    ) -> Self {
        let zones = trace.header.zones.len().max(1);
        let seat = |number| Seat::new(make(number), number % zones);
        let engines = fleet::engines(&trace.header);
        let named = engines.iter().enumerate();
        let surges = trace.arrivals.iter().filter(|arrivals| arrivals.surge);
        let surging = surges.map(|arrivals| arrivals.workspace.clone()).collect();
        let wakes = vec![Time::NEVER; engines.len()];
        let mut world = Self {
            trace,
            requests,
            seats: (0..routers.max(1)).map(seat).collect(),
            index: named.map(|(at, e)| (e.name.clone(), at)).collect(),
            engines,
            tally: Tally::new(requests.len(), surging),
            platform: Platform::default(),
            cut: BTreeSet::new(),
            lose_reply: BTreeSet::new(),
            lose_reports: BTreeSet::new(),
            extra_lag: Duration::ZERO,
            departures: BTreeMap::new(),
            rng: Pcg64::seed_from_u64(trace.header.seed.rotate_left(17)),
            now: Time(0),
            flights: BTreeMap::new(),
            wakes,
            limits: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            open: requests.len(),
            probes: traffic.0,
            gossips: traffic.1,
        };
        world.introduce();
        world
    }

    /// Runs the trace to its end.
    pub fn run(mut self) -> Tally {
        let limit = Time::from_millis(self.trace.header.duration_ms + DRAIN_LIMIT_MS);
        while let Some(((now, _), happening)) = self.queue.pop_first() {
            if now > limit {
                break;
            }
            self.now = now;
            if self.is_over() {
                break;
            }
            self.happen(happening);
        }
        self.check_configuration();
        self.tally
    }

    /// Plans a happening.
    pub fn plan(&mut self, at: Time, happening: Happening) {
        self.sequence += 1;
        self.queue
            .insert((at.max(self.now), self.sequence), happening);
    }

    /// Plans an event for a router.
    pub fn deliver(&mut self, after: Duration, seat: usize, event: Event) {
        self.plan(self.now + after, Happening::Deliver(seat, Box::new(event)));
    }

    /// A random part of a lag given in milliseconds.
    pub fn draw_lag(&mut self, most_ms: u64) -> Duration {
        Duration::from_micros(self.rng.random_range(0..=most_ms * 1_000))
    }

    /// Whether two zones reach each other.
    pub fn reach(&self, left: usize, right: usize) -> bool {
        left == right || !(self.cut.contains(&left) || self.cut.contains(&right))
    }

    /// One-way latency between two zones.
    pub(super) fn latency(&self, left: usize, right: usize) -> Duration {
        let header = &self.trace.header;
        let same = left == right;
        let micros = if same {
            header.zone_latency_us
        } else {
            header.cross_latency_us
        };
        Duration::from_micros(micros)
    }

    /// The index of an upstream.
    pub fn find(&self, name: &name::Upstream) -> Option<usize> {
        self.index.get(name).copied()
    }

    fn introduce(&mut self) {
        let header = &self.trace.header;
        for seat in 0..self.seats.len() {
            if self.trace.uses_platform() {
                let zone = &header.zones[self.seats[seat].zone];
                self.seats[seat].parts = Parts::open(seat, zone, header.seed).ok();
                self.plan(Time(0), Happening::Wake(seat));
                self.seats[seat].wake = Time(0);
            }
            for workspace in &self.trace.workspaces {
                let policy = fleet::policy(header, workspace);
                self.limits
                    .insert(workspace.name.clone(), policy.limits.load_limit);
                self.deliver(Duration::ZERO, seat, Event::Policy(policy));
            }
            if self.gossips {
                self.join(seat);
                let zone = self.seats[seat].zone;
                let same = |other: &usize| self.seats[*other].zone == zone;
                let zone = (0..self.seats.len()).filter(same).map(host).collect();
                self.deliver(Duration::ZERO, seat, Event::Routers(zone));
            }
            for engine in 0..self.engines.len() {
                if !self.gossips {
                    let state = fleet::state(header, &self.engines[engine]);
                    self.deliver(Duration::ZERO, seat, Event::Upstream(state));
                }
                if self.probes {
                    let first = self.draw_lag(header.report_every_ms);
                    self.plan(Time(0) + first, Happening::Probe(seat, engine));
                }
            }
            if self.gossips {
                let first = self.draw_lag(header.gossip_every_ms);
                self.plan(Time(0) + first, Happening::Gossip(seat));
            }
        }
        for (number, event) in self.trace.events.iter().enumerate() {
            self.plan(Time::from_millis(event.at_ms), Happening::Begin(number));
            if let Some(until_ms) = event.until_ms {
                self.plan(Time::from_millis(until_ms), Happening::End(number));
            }
        }
        for (number, request) in self.requests.iter().enumerate() {
            self.plan(Time::from_millis(request.at_ms), Happening::Arrive(number));
        }
        self.plan(Time(0), Happening::Sample);
        if self.gossips {
            self.plan(Time(0), Happening::Stream);
        }
    }

    fn happen(&mut self, happening: Happening) {
        let Some(happening) = self.hold(happening) else {
            return;
        };
        match happening {
            Happening::Arrive(number) => self.arrive(number),
            Happening::Deliver(seat, event) => self.handle(seat, *event),
            Happening::Submit(engine, job) => self.submit(engine, job),
            Happening::Cancel(engine, attempt) => {
                self.advance(engine);
                self.engines[engine].cancel(self.now, attempt);
                self.wake_upstream(engine);
            }
            Happening::Upstream(engine) => {
                if self.wakes[engine] <= self.now {
                    self.wakes[engine] = Time::NEVER;
                    self.advance(engine);
                }
            }
            Happening::Wake(seat) => {
                if self.seats[seat].wake <= self.now {
                    self.seats[seat].wake = Time::NEVER;
                    self.handle(seat, Event::Tick);
                    self.tick_parts(seat);
                    self.meet(seat, member::Event::Tick);
                }
            }
            Happening::Member(seat, event) => self.meet(seat, *event),
            Happening::Part(seat, event) => self.tend(seat, *event),
            Happening::Call(caller, id, call) => self.serve(caller, id, &call),
            Happening::Show(seat, write) => self.show(seat, *write),
            Happening::Edit(number, reply) => self.edit(number, reply.map(|reply| *reply)),
            Happening::Transfer(seat, chat, tokens, engine) => {
                self.engines[engine].store(chat, tokens);
                let to = self.engines[engine].name.clone();
                self.handle(seat, Event::Transferred { chat, to, tokens });
            }
            Happening::Probe(seat, engine) => self.probe(seat, engine),
            Happening::Gossip(seat) => self.gossip(seat),
            Happening::Stream => self.stream(),
            Happening::Sample => self.sample(),
            Happening::Begin(event) => self.begin(event),
            Happening::End(event) => self.cease(event),
        }
    }

    pub(super) fn is_over(&self) -> bool {
        self.open == 0 && self.now >= Time::from_millis(self.trace.header.duration_ms)
    }

    pub(super) fn wake_upstream(&mut self, engine: usize) {
        let Some(at) = self.engines[engine].next_wake() else {
            return;
        };
        if at < self.wakes[engine] {
            self.wakes[engine] = at;
            self.plan(at, Happening::Upstream(engine));
        }
    }

    /// Carries what an upstream did up to now to its routers.
    pub fn advance(&mut self, engine: usize) {
        for progress in self.engines[engine].advance(self.now) {
            self.answer(engine, &progress);
        }
        self.wake_upstream(engine);
        let leaving = self.engines[engine].phase == Phase::Leaving;
        if leaving && self.engines[engine].is_idle() {
            self.change_phase(engine, Phase::Gone);
        }
    }
}
