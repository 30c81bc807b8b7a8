//! The discrete clock that carries events between routers and fake upstreams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64;
use snipeusher::hash;
use snipeusher::machine::Event;
use snipeusher::machine::Outcome;
use snipeusher::name;
use snipeusher::request;
use snipeusher::request::Attempt;
use snipeusher::request::Chat;
use snipeusher::request::Id;
use snipeusher::time::Time;
use snipeusher::upstream::Phase;

use super::engine::Engine;
use super::engine::Job;
use super::fleet;
use super::router::Router;
use super::tally::Final;
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
    /// Loads are sampled.
    Sample,
    /// An event of the trace begins.
    Begin(usize),
    /// An event of the trace ends.
    End(usize),
}

/// A router with what the replay knows of it.
#[derive(Debug)]
pub struct Seat<R> {
    /// Its decisions.
    pub router: R,
    /// Index of its zone.
    pub zone: usize,
    /// Upstreams that its list lacks.
    pub hidden: BTreeSet<name::Upstream>,
    wake: Time,
    /// Load reports read so far.
    pub reports: u64,
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
    open: usize,
    probes: bool,
}

impl<'a, R: Router> World<'a, R> {
    /// Sets up the fleet. `make` starts a router; `probes` says whether routers read loads and
    /// tell their peers.
    pub fn new(
        trace: &'a Trace,
        requests: &'a [trace::Request],
        routers: usize,
        probes: bool,
        make: impl Fn(usize) -> R,
    ) -> Self {
        let zones = trace.header.zones.len().max(1);
        let seat = |number| Seat {
            router: make(number),
            zone: number % zones,
            hidden: BTreeSet::new(),
            wake: Time::NEVER,
            reports: 0,
        };
        let engines = fleet::engines(&trace.header);
        let named = engines.iter().enumerate();
        let wakes = vec![Time::NEVER; engines.len()];
        let mut world = Self {
            trace,
            requests,
            seats: (0..routers.max(1)).map(seat).collect(),
            index: named.map(|(at, e)| (e.name.clone(), at)).collect(),
            engines,
            tally: Tally::new(requests.len()),
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
            probes,
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
            self.happen(happening);
        }
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
            for workspace in &self.trace.workspaces {
                let policy = fleet::policy(header, workspace);
                self.limits
                    .insert(workspace.name.clone(), policy.limits.load_limit);
                self.deliver(Duration::ZERO, seat, Event::Policy(policy));
            }
            for engine in 0..self.engines.len() {
                let state = fleet::state(header, &self.engines[engine]);
                self.deliver(Duration::ZERO, seat, Event::Upstream(state));
                if self.probes {
                    let first = self.draw_lag(header.report_every_ms);
                    self.plan(Time(0) + first, Happening::Probe(seat, engine));
                }
            }
            if self.probes && self.seats.len() > 1 {
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
    }

    fn happen(&mut self, happening: Happening) {
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
                }
            }
            Happening::Probe(seat, engine) => self.probe(seat, engine),
            Happening::Gossip(seat) => self.gossip(seat),
            Happening::Sample => self.sample(),
            Happening::Begin(event) => self.begin(event),
            Happening::End(event) => self.cease(event),
        }
    }

    pub(super) fn is_over(&self) -> bool {
        self.open == 0 && self.now >= Time::from_millis(self.trace.header.duration_ms)
    }

    fn arrive(&mut self, number: usize) {
        let found = &self.requests[number];
        let request = request::Request {
            id: Id(number as u64),
            workspace: found.workspace.clone(),
            class: found.class.clone(),
            target: fleet::target(found.plain),
            chat: found.chat.as_deref().map(chat_of(&found.workspace)),
            prompt_tokens: found.prompt_tokens,
            output_tokens: found.output_tokens,
            bytes: found.prompt_tokens * 4,
            deadline: self.now + fleet::deadline(self.trace, found),
            idempotent: found.idempotent,
        };
        let seat = found.router.unwrap_or(0) % self.seats.len();
        self.handle(seat, Event::Arrive(request));
    }

    fn handle(&mut self, seat: usize, event: Event) {
        if let Event::Upstream(state) = &event
            && self.seats[seat].hidden.contains(&state.name)
        {
            return;
        }
        self.tell(seat, event);
    }

    /// Gives an event to a router and carries out what it asks for.
    pub fn tell(&mut self, seat: usize, event: Event) {
        if let Event::End { attempt, outcome } = &event {
            let request = self.flights.remove(attempt);
            let complete = *outcome == Outcome::Complete;
            // A router that has given its final answer ignores a later reply.
            let open = |request: &usize| self.tally.fates[*request].ended.is_none();
            if let Some(request) = request.filter(|request| complete && open(request)) {
                self.finish(request, Final::Complete(self.now));
            }
        }
        let (now, fleet) = (self.now, &self.engines);
        self.seats[seat].router.handle(now, event, fleet);
        for action in self.seats[seat].router.take() {
            self.act(seat, action);
        }
        let wake = self.seats[seat].router.next_wake();
        if wake < self.seats[seat].wake {
            self.seats[seat].wake = wake;
            self.plan(wake, Happening::Wake(seat));
        }
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

    pub(super) fn finish(&mut self, request: usize, ended: Final) {
        let found = &self.requests[request];
        let arrived = Time::from_millis(found.at_ms);
        let deadline = arrived + fleet::deadline(self.trace, found);
        self.open -= usize::from(self.tally.fates[request].ended.is_none());
        self.tally
            .finish(request, ended, deadline, found.idempotent);
    }
}

/// The identity of a chat of a workspace.
pub(super) fn chat_of(workspace: &name::Workspace) -> impl Fn(&str) -> Chat + '_ {
    move |text| Chat(hash::bytes(format!("{workspace}/{text}").as_bytes()))
}
