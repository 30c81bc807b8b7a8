//! A discrete-event simulation of routers and upstreams.

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
use super::node::Node;
use super::router::Router;
use super::store::Caller;
use super::store::ClientEvent;
use super::store::Clients;
use super::store::Store;
use super::store::host;
use super::tally::Tally;
use crate::trace;
use crate::trace::Trace;

/// Timeout of a connection to an unreachable host.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time that a replay continues after the last arrival.
const DRAIN_LIMIT_MS: u64 = 600_000;

/// A scheduled step of the simulation.
#[derive(Debug)]
pub enum Step {
    /// A request of the trace arrives, given its index.
    Arrive(usize),
    /// An event reaches a router.
    Deliver(usize, Box<Event>),
    /// An attempt reaches its upstream.
    Submit(usize, Job),
    /// A cancellation reaches its upstream.
    Cancel(usize, Attempt),
    /// An upstream may have progress to report.
    Upstream(usize),
    /// A router needs a tick.
    Wake(usize),
    /// A router polls the load of an upstream.
    Probe(usize, usize),
    /// A router passes its state to gossip.
    Gossip(usize),
    /// An event reaches the fleet member of a router.
    Member(usize, Box<member::Event>),
    /// A cache transfer ends: the router, the chat, its tokens and the destination engine.
    Transfer(usize, Chat, u64, usize),
    /// An event reaches a router's client of the key-value service.
    Client(usize, Box<ClientEvent>),
    /// A call reaches the key-value service.
    Call(Caller, CallId, Box<Call>),
    /// A write reaches a router's watch.
    WatchUpdate(usize, Box<Write>),
    /// An operator's edit advances, with a reply if one arrived.
    Edit(usize, Option<Box<(CallId, Result<Reply, Fault>)>>),
    /// Streams report their output to routers.
    Stream,
    /// Engine loads are sampled.
    Sample,
    /// An event of the trace begins, given its index.
    Begin(usize),
    /// An event of the trace ends, given its index.
    End(usize),
}

/// The replay of one trace.
#[derive(Debug)]
pub struct Simulation<'a, R> {
    /// Replayed trace.
    pub trace: &'a Trace,
    /// Requests of the trace, in order of arrival.
    pub requests: &'a [trace::Request],
    /// Simulated hosts, one per router.
    pub nodes: Vec<Node<R>>,
    /// Simulated upstreams.
    pub engines: Vec<Engine>,
    /// Counts and samples.
    pub tally: Tally,
    /// Key-value service.
    pub store: Store,
    /// Zones that are cut off from all others.
    pub isolated_zones: BTreeSet<usize>,
    /// Workspaces whose next response is lost.
    pub pending_response_losses: BTreeSet<name::Workspace>,
    /// Upstreams whose load reports are lost.
    pub muted_upstreams: BTreeSet<name::Upstream>,
    /// Delay of load reports in addition to the header's lag.
    pub extra_lag: Duration,
    /// Time at which the departure of an upstream's current incarnation began.
    pub departures: BTreeMap<usize, Time>,
    /// Random number generator of the replay.
    pub rng: Pcg64,
    /// Current simulated time.
    pub now: Time,
    /// Request index by attempt.
    pub attempts: BTreeMap<Attempt, usize>,
    wakes: Vec<Time>,
    /// Load limit by workspace.
    pub limits: BTreeMap<name::Workspace, f64>,
    engine_indices: BTreeMap<name::Upstream, usize>,
    queue: BTreeMap<(Time, u64), Step>,
    sequence: u64,
    /// Number of requests without a final response.
    pub unanswered: usize,
    probing: bool,
    gossiping: bool,
}

impl<'a, R: Router> Simulation<'a, R> {
    /// Creates the fleet. `create` starts a router; `traffic` holds whether routers poll loads and
    /// whether they gossip.
    pub fn new(
        trace: &'a Trace,
        requests: &'a [trace::Request],
        routers: usize,
        traffic: (bool, bool),
        create: impl Fn(usize) -> R,
    ) -> Self {
        let zones = trace.header.zones.len().max(1);
        let create_node = |number| Node::new(create(number), number % zones);
        let engines = fleet::engines(&trace.header);
        let numbered = engines.iter().enumerate();
        let surges = trace.arrivals.iter().filter(|arrivals| arrivals.surge);
        let surging_workspaces = surges.map(|arrivals| arrivals.workspace.clone()).collect();
        let wakes = vec![Time::NEVER; engines.len()];
        let mut simulation = Self {
            trace,
            requests,
            nodes: (0..routers.max(1)).map(create_node).collect(),
            engine_indices: numbered
                .map(|(index, engine)| (engine.name.clone(), index))
                .collect(),
            engines,
            tally: Tally::new(requests.len(), surging_workspaces),
            store: Store::default(),
            isolated_zones: BTreeSet::new(),
            pending_response_losses: BTreeSet::new(),
            muted_upstreams: BTreeSet::new(),
            extra_lag: Duration::ZERO,
            departures: BTreeMap::new(),
            rng: Pcg64::seed_from_u64(trace.header.seed.rotate_left(17)),
            now: Time(0),
            attempts: BTreeMap::new(),
            wakes,
            limits: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            unanswered: requests.len(),
            probing: traffic.0,
            gossiping: traffic.1,
        };
        simulation.initialize();
        simulation
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> Tally {
        let limit = Time::from_millis(self.trace.header.duration_ms + DRAIN_LIMIT_MS);
        while let Some(((now, _), step)) = self.queue.pop_first() {
            if now > limit {
                break;
            }
            self.now = now;
            if self.is_over() {
                break;
            }
            self.execute(step);
        }
        self.check_configuration();
        self.tally
    }

    /// Schedules a step.
    pub fn schedule(&mut self, at: Time, step: Step) {
        self.sequence += 1;
        self.queue.insert((at.max(self.now), self.sequence), step);
    }

    /// Schedules the delivery of an event to a router.
    pub fn deliver(&mut self, after: Duration, node: usize, event: Event) {
        self.schedule(self.now + after, Step::Deliver(node, Box::new(event)));
    }

    /// Draws a random lag of up to `max_ms` milliseconds.
    pub fn draw_lag(&mut self, max_ms: u64) -> Duration {
        Duration::from_micros(self.rng.random_range(0..=max_ms * 1_000))
    }

    /// Whether two zones can reach each other.
    pub fn is_reachable(&self, left: usize, right: usize) -> bool {
        left == right
            || !(self.isolated_zones.contains(&left) || self.isolated_zones.contains(&right))
    }

    /// Returns the one-way latency between two zones.
    pub(super) fn latency(&self, left: usize, right: usize) -> Duration {
        let header = &self.trace.header;
        let micros = if left == right {
            header.zone_latency_us
        } else {
            header.cross_latency_us
        };
        Duration::from_micros(micros)
    }

    /// Returns the index of an upstream.
    pub fn engine_index(&self, name: &name::Upstream) -> Option<usize> {
        self.engine_indices.get(name).copied()
    }

    fn initialize(&mut self) {
        let header = &self.trace.header;
        for node in 0..self.nodes.len() {
            if self.trace.uses_store() {
                let zone = &header.zones[self.nodes[node].zone];
                self.nodes[node].clients = Clients::new(node, zone, header.seed).ok();
                self.schedule(Time(0), Step::Wake(node));
                self.nodes[node].wake = Time(0);
            }
            for workspace in &self.trace.workspaces {
                let policy = fleet::policy(header, workspace);
                self.limits
                    .insert(workspace.name.clone(), policy.limits.load_limit);
                self.deliver(Duration::ZERO, node, Event::Policy(policy));
            }
            if self.gossiping {
                self.join(node);
                let zone = self.nodes[node].zone;
                let same_zone = |other: &usize| self.nodes[*other].zone == zone;
                let routers = (0..self.nodes.len()).filter(same_zone).map(host).collect();
                self.deliver(Duration::ZERO, node, Event::Routers(routers));
            }
            for engine in 0..self.engines.len() {
                if !self.gossiping {
                    let state = fleet::state(header, &self.engines[engine]);
                    self.deliver(Duration::ZERO, node, Event::Upstream(state));
                }
                if self.probing {
                    let first_delay = self.draw_lag(header.report_every_ms);
                    self.schedule(Time(0) + first_delay, Step::Probe(node, engine));
                }
            }
            if self.gossiping {
                let first_delay = self.draw_lag(header.gossip_every_ms);
                self.schedule(Time(0) + first_delay, Step::Gossip(node));
            }
        }
        for (number, event) in self.trace.events.iter().enumerate() {
            self.schedule(Time::from_millis(event.at_ms), Step::Begin(number));
            if let Some(until_ms) = event.until_ms {
                self.schedule(Time::from_millis(until_ms), Step::End(number));
            }
        }
        for (number, request) in self.requests.iter().enumerate() {
            self.schedule(Time::from_millis(request.at_ms), Step::Arrive(number));
        }
        self.schedule(Time(0), Step::Sample);
        if self.gossiping {
            self.schedule(Time(0), Step::Stream);
        }
    }

    fn execute(&mut self, step: Step) {
        let Some(step) = self.defer_if_paused(step) else {
            return;
        };
        match step {
            Step::Arrive(number) => self.arrive(number),
            Step::Deliver(node, event) => self.handle(node, *event),
            Step::Submit(engine, job) => self.submit(engine, job),
            Step::Cancel(engine, attempt) => {
                self.advance(engine);
                self.engines[engine].cancel(self.now, attempt);
                self.wake_upstream(engine);
            }
            Step::Upstream(engine) => {
                if self.wakes[engine] <= self.now {
                    self.wakes[engine] = Time::NEVER;
                    self.advance(engine);
                }
            }
            Step::Wake(node) => {
                if self.nodes[node].wake <= self.now {
                    self.nodes[node].wake = Time::NEVER;
                    self.handle(node, Event::Tick);
                    self.tick_clients(node);
                    self.handle_member(node, member::Event::Tick);
                }
            }
            Step::Member(node, event) => self.handle_member(node, *event),
            Step::Client(node, event) => self.handle_client(node, *event),
            Step::Call(caller, id, call) => self.execute_call(caller, id, &call),
            Step::WatchUpdate(node, write) => self.deliver_write(node, *write),
            Step::Edit(number, reply) => self.advance_edit(number, reply.map(|reply| *reply)),
            Step::Transfer(node, chat, tokens, engine) => {
                self.engines[engine].store(chat, tokens);
                let to = self.engines[engine].name.clone();
                self.handle(node, Event::Transferred { chat, to, tokens });
            }
            Step::Probe(node, engine) => self.probe(node, engine),
            Step::Gossip(node) => self.gossip(node),
            Step::Stream => self.report_streams(),
            Step::Sample => self.sample(),
            Step::Begin(event) => self.begin_event(event),
            Step::End(event) => self.end_event(event),
        }
    }

    pub(super) fn is_over(&self) -> bool {
        self.unanswered == 0 && self.now >= Time::from_millis(self.trace.header.duration_ms)
    }

    pub(super) fn wake_upstream(&mut self, engine: usize) {
        let Some(at) = self.engines[engine].next_wake() else {
            return;
        };
        if at < self.wakes[engine] {
            self.wakes[engine] = at;
            self.schedule(at, Step::Upstream(engine));
        }
    }

    /// Advances an upstream to the current time and forwards its progress to routers.
    pub fn advance(&mut self, engine: usize) {
        for progress in self.engines[engine].advance(self.now) {
            self.forward(engine, &progress);
        }
        self.wake_upstream(engine);
        let is_leaving = self.engines[engine].phase == Phase::Leaving;
        if is_leaving && self.engines[engine].is_idle() {
            self.change_phase(engine, Phase::Gone);
        }
    }
}
