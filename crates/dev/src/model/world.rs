//! The simulated clock, network and hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use snipeusher::fleet::Entry;
use snipeusher::fleet::Limits;
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher::time::Time;

use super::Omission;
use super::check::Ledger;
use super::check::Violation;
use super::plan::Fault;
use super::plan::Plan;
use super::plan::RUN_IN_MS;
use super::plan::SEEDS;
use super::plan::UPSTREAMS;
use super::router::Action;
use super::router::Place;
use super::router::Process;
use super::router::Reply;
use super::router::Request;
use super::store::Store;

/// Time between two ticks of a router.
const TICK: Duration = Duration::from_millis(50);
/// Time within which the routers of a fleet start.
const START_SPREAD_MS: u64 = 300;
/// Delay of a message, and of one whose packet was lost and is sent again.
const DELAY_US: std::ops::Range<u64> = 300..5_000;
const RESENT_US: u64 = 200_000;
const LOSS: f64 = 0.005;
/// Time limit of a call, and the time after which an exchange is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
const SLOW_AFTER: Duration = Duration::from_millis(200);
/// Time for which a router waits for the store beyond that for which a call is held open.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// Retry budget: retries for each request, and for each router beyond.
const RATIO: f64 = 0.2;
const WINDOW: Duration = Duration::from_secs(10);
const SLACK: f64 = 52.0;
const SLACK_PER_ROUTER: f64 = 2.0;

/// What a run came to.
#[derive(Clone, Debug)]
pub struct Report {
    /// Handled events.
    pub steps: u64,
    /// Simulated time at the end, in milliseconds.
    pub ended_ms: u64,
    /// Requests and retries of all routers.
    pub requests: u64,
    /// Retries of all routers.
    pub retries: u64,
    /// The first property that did not hold.
    pub violation: Option<Violation>,
}

/// A process, by the index of its router and the number of its start.
type ProcessId = (usize, u32);

#[derive(Debug)]
enum Event {
    Tick(ProcessId),
    Fault(usize),
    Start(usize),
    Restart(usize),
    Leave(name::Upstream),
    Arrive(Call),
    Return(Call, Reply),
    Fail(Call),
    Slow(ProcessId, SocketAddr),
    /// The store answers a list or the watch call of this number.
    Answered(ProcessId, u64),
    /// A call of the store has timed out.
    Unanswered(ProcessId, u64),
}

#[derive(Clone, Debug)]
struct Call {
    from: ProcessId,
    to: SocketAddr,
    request: Request,
}

/// A call of the store that is in progress.
#[derive(Clone, Copy, Debug)]
struct StoreCall {
    number: u64,
    /// Revision after which changes are awaited; `None` for a list.
    after: Option<u64>,
    times_out_at: Time,
}

struct Host {
    place: Place,
    process: Option<Process>,
    /// When the process started.
    epoch: Time,
    starts: u32,
    /// Whether it has lost power for good.
    is_lost: bool,
    /// When it was last disturbed; later than now while it is.
    calm_since: Time,
    isolated_until: Time,
    call: Option<StoreCall>,
}

impl Host {
    /// The time of the clock of its process.
    const fn local(&self, now: Time) -> Time {
        Time(now.0.saturating_sub(self.epoch.0))
    }
}

/// A fleet and what surrounds it.
pub(super) struct World {
    plan: Plan,
    omission: Option<Omission>,
    now: Time,
    queue: BTreeMap<(Time, u64), Event>,
    events: u64,
    rng: Pcg64Mcg,
    store: Store,
    hosts: Vec<Host>,
    /// Pairs of sender and receiver, and until when messages between them are lost.
    cuts: BTreeMap<(usize, usize), Time>,
    /// Percentage of requests that upstreams fail, and until when.
    failing: (u32, Time),
    ledger: Ledger,
    requests: u64,
    retries: u64,
}

impl World {
    pub(super) fn new(plan: &Plan, omission: Option<Omission>) -> Self {
        let limits = Limits {
            ratio: RATIO,
            slack: SLACK + SLACK_PER_ROUTER * plan.routers as f64,
            window: WINDOW,
        };
        let mut world = Self {
            now: Time::default(),
            queue: BTreeMap::new(),
            events: 0,
            rng: Pcg64Mcg::seed_from_u64(plan.seed),
            store: Store::default(),
            hosts: Vec::new(),
            cuts: BTreeMap::new(),
            failing: (0, Time::default()),
            ledger: Ledger::new(limits, plan.apply_bound()),
            requests: 0,
            retries: 0,
            plan: plan.clone(),
            omission,
        };
        for index in 0..UPSTREAMS {
            world.store.put(entry(index));
        }
        world.configure();
        for index in 0..plan.routers {
            let place = world.place(index, limits);
            world.hosts.push(Host {
                place,
                process: None,
                epoch: Time::default(),
                starts: 0,
                is_lost: false,
                calm_since: Time::NEVER,
                isolated_until: Time::default(),
                call: None,
            });
            let start = world.rng.random_range(0..START_SPREAD_MS);
            world.schedule(Time::from_millis(start), Event::Start(index));
        }
        for (index, (at, _)) in plan.faults.iter().enumerate() {
            world.schedule(Time::from_millis(*at), Event::Fault(index));
        }
        world
    }

    fn place(&self, index: usize, limits: Limits) -> Place {
        let live = SEEDS - self.plan.stale_seeds;
        let stale = (0..self.plan.stale_seeds).map(|seed| address(self.plan.routers + seed));
        let live = (0..live.min(self.plan.routers)).map(address);
        Place {
            host: name::Host::from(format!("host-{index}")),
            zone: name::Zone::from(format!("zone-{}", index % self.plan.zones)),
            address: address(index),
            seeds: stale.chain(live).collect(),
            limits,
        }
    }

    pub(super) fn run(mut self, steps: u64) -> Report {
        let end = self.plan.end();
        let mut violation = None;
        while violation.is_none() && self.events < steps {
            let Some(((at, _), event)) = self.queue.pop_first() else {
                break;
            };
            if at > end {
                break;
            }
            self.now = at;
            self.events += 1;
            violation = self.handle(event).err();
        }
        Report {
            steps: self.events,
            ended_ms: self.now.0 / 1_000,
            requests: self.requests,
            retries: self.retries,
            violation,
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        let number = self.rng.random();
        self.queue.insert((at, number), event);
    }

    fn delay(&mut self) -> Duration {
        let micros = self.rng.random_range(DELAY_US);
        let resent = if self.rng.random_bool(LOSS) {
            RESENT_US
        } else {
            0
        };
        Duration::from_micros(micros + resent)
    }

    fn handle(&mut self, event: Event) -> Result<(), Violation> {
        match event {
            Event::Tick(process) => return self.tick(process),
            Event::Fault(index) => self.apply(self.plan.faults[index].1),
            Event::Start(index) => self.start(index),
            Event::Restart(index) => self.kill(index, Duration::from_millis(400)),
            Event::Leave(upstream) => self.remove(&upstream),
            Event::Arrive(call) => self.arrive(call),
            Event::Return(call, reply) => self.take_reply(&call, reply),
            Event::Fail(call) => {
                let local = self.hosts[call.from.0].local(self.now);
                if let Some(process) = self.process(call.from) {
                    let actions = process.take_failure(local, call.to, &call.request);
                    self.act(call.from, actions);
                }
            }
            Event::Slow(from, to) => {
                let local = self.hosts[from.0].local(self.now);
                let process = self.process(from);
                if let Some(process) = process.filter(|process| process.is_exchanging(to)) {
                    let actions = process.check_readers(local);
                    self.act(from, actions);
                }
            }
            Event::Answered(process, number) => self.take_store_reply(process, number),
            Event::Unanswered(process, number) => self.lose_store(process, number),
        }
        Ok(())
    }

    /// The process of a router, if it still runs.
    fn process(&mut self, (index, start): ProcessId) -> Option<&mut Process> {
        let host = &mut self.hosts[index];
        host.process.as_mut().filter(|_| host.starts == start)
    }

    fn start(&mut self, index: usize) {
        let is_first_start = self.hosts[index].starts == 0;
        let host = &mut self.hosts[index];
        if host.is_lost || host.process.is_some() {
            return;
        }
        let place = host.place.clone();
        let isolated_until = host.isolated_until;
        let cuts = self.cuts.iter();
        let own = cuts.filter(|((from, to), _)| *from == index || *to == index);
        let cut_until = own.map(|(_, until)| *until).max().unwrap_or_default();
        host.process = Some(Process::start(place, is_first_start, self.omission));
        host.epoch = self.now;
        host.starts += 1;
        host.call = None;
        host.calm_since = self.now.max(isolated_until).max(cut_until);
        let process = (index, host.starts);
        let offset = Duration::from_millis(self.rng.random_range(0..50));
        self.schedule(self.now + offset, Event::Tick(process));
    }

    fn kill(&mut self, index: usize, down: Duration) {
        let host = &mut self.hosts[index];
        if host.process.take().is_some() {
            host.calm_since = Time::NEVER;
            self.schedule(self.now + down, Event::Start(index));
        }
    }

    fn tick(&mut self, process: ProcessId) -> Result<(), Violation> {
        let (index, _) = process;
        let local = self.hosts[index].local(self.now);
        if self.process(process).is_none() {
            return Ok(());
        }
        self.schedule(self.now + TICK, Event::Tick(process));
        let mut rng = Pcg64Mcg::seed_from_u64(self.rng.random());
        if let Some(running) = self.process(process) {
            let actions = running.tick(local, &mut rng);
            self.act(process, actions);
        }
        self.serve(process, local)?;
        self.check(index, local)
    }

    /// Serves the requests of callers since the last tick. Those of routers that are down reach the
    /// others.
    fn serve(&mut self, process: ProcessId, local: Time) -> Result<(), Violation> {
        let running = self.hosts.iter().filter(|host| host.process.is_some());
        let share = self.hosts.len() as f64 / running.count().max(1) as f64;
        let mean = f64::from(self.plan.requests_per_s) * TICK.as_secs_f64() * share;
        let requests = mean as u32 + u32::from(self.rng.random_bool(mean.fract()));
        let (percent, until) = self.failing;
        for _ in 0..requests {
            let fails = self.now < until && self.rng.random_range(0..100) < percent;
            let now = self.now;
            self.ledger.record_request(now);
            self.requests += 1;
            let Some(running) = self.process(process) else {
                return Ok(());
            };
            running.fleet.record_request(local, &service());
            if fails && running.fleet.try_retry(local, &service()) {
                self.retries += 1;
                self.ledger.record_retry(now)?;
            }
        }
        Ok(())
    }

    fn check(&self, index: usize, local: Time) -> Result<(), Violation> {
        let host = &self.hosts[index];
        let Some(process) = &host.process else {
            return Ok(());
        };
        let calm_since = host.calm_since;
        self.ledger
            .check(self.now, index, process, local, calm_since)?;
        let hosts = self.hosts.iter().filter(|host| !host.is_lost);
        let all_calm_since = hosts.clone().map(|host| host.calm_since).max();
        let running = hosts.count();
        Ledger::check_members(
            self.now,
            index,
            process.known_routers(local),
            running,
            all_calm_since.unwrap_or_default(),
        )
    }

    fn act(&mut self, process: ProcessId, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, request) => {
                    let from = process;
                    self.send(Call { from, to, request });
                }
                Action::List => self.call_store(process, None, Duration::ZERO),
                Action::Watch(hold) => {
                    let running = self.process(process);
                    let known = running.map(|running| running.fleet.roster().revision().number);
                    self.call_store(process, known, hold);
                }
                Action::Announce => {
                    let place = &self.hosts[process.0].place;
                    let (host, address) = (place.host.clone(), place.address);
                    if self.now >= self.hosts[process.0].isolated_until {
                        self.store.announce(self.now, host, address);
                        self.notify_readers();
                    }
                }
            }
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts
            .get(&(from, to))
            .is_some_and(|until| self.now < *until)
    }

    fn send(&mut self, call: Call) {
        let to = self.index(call.to);
        let is_exchange = matches!(call.request, Request::Exchange(_));
        if is_exchange {
            self.schedule(self.now + SLOW_AFTER, Event::Slow(call.from, call.to));
        }
        let Some(to) = to else {
            self.schedule(self.now + CALL_TIMEOUT, Event::Fail(call));
            return;
        };
        let is_silent = self.is_cut(call.from.0, to) || self.hosts[to].is_lost;
        if is_silent {
            self.schedule(self.now + CALL_TIMEOUT, Event::Fail(call));
            return;
        }
        let delay = self.delay();
        self.schedule(self.now + delay, Event::Arrive(call));
    }

    fn index(&self, wanted: SocketAddr) -> Option<usize> {
        (0..self.hosts.len()).find(|index| address(*index) == wanted)
    }

    fn arrive(&mut self, call: Call) {
        let Some(to) = self.index(call.to) else {
            return;
        };
        let local = self.hosts[to].local(self.now);
        let start = self.hosts[to].starts;
        let Some(process) = self.process((to, start)) else {
            // The host refuses the connection.
            let delay = self.delay();
            self.schedule(self.now + delay, Event::Fail(call));
            return;
        };
        let (reply, actions) = process.answer(local, call.request.clone());
        self.act((to, start), actions);
        if self.is_cut(to, call.from.0) {
            self.schedule(self.now + CALL_TIMEOUT, Event::Fail(call));
            return;
        }
        let delay = self.delay();
        self.schedule(self.now + delay, Event::Return(call, reply));
    }

    fn take_reply(&mut self, call: &Call, reply: Reply) {
        let local = self.hosts[call.from.0].local(self.now);
        if let Some(process) = self.process(call.from) {
            let actions = process.take_reply(local, call.to, reply);
            self.act(call.from, actions);
        }
    }

    fn call_store(&mut self, process: ProcessId, after: Option<u64>, hold: Duration) {
        let number = self.rng.random();
        let delay = self.delay();
        let ends_at = self.now + hold + delay;
        self.hosts[process.0].call = Some(StoreCall {
            number,
            after,
            times_out_at: self.now + hold + STORE_TIMEOUT,
        });
        // Changes that were written before the call end it at once.
        let has_changes = after.is_some_and(|after| self.store.revision().number > after);
        let at = if has_changes {
            self.now + delay
        } else {
            ends_at
        };
        self.schedule(at, Event::Answered(process, number));
    }

    /// Ends the watch calls of all readers, since there are changes.
    fn notify_readers(&mut self) {
        for index in 0..self.hosts.len() {
            let host = &self.hosts[index];
            let call = host.call.filter(|call| call.after.is_some());
            if let Some(call) = call.filter(|_| self.now >= host.isolated_until) {
                let process = (index, host.starts);
                let delay = self.delay();
                self.schedule(self.now + delay, Event::Answered(process, call.number));
            }
        }
    }

    fn take_store_reply(&mut self, process: ProcessId, number: u64) {
        let now = self.now;
        let host = &self.hosts[process.0];
        let local = host.local(now);
        let is_isolated = now < host.isolated_until;
        let Some(call) = host.call.filter(|call| call.number == number) else {
            return;
        };
        if is_isolated {
            self.schedule(call.times_out_at, Event::Unanswered(process, number));
            return;
        }
        let revision = self.store.revision();
        let listing = self.store.list(now);
        let changes: Vec<_> = match call.after {
            Some(after) => self.store.changes(after).cloned().collect(),
            None => Vec::new(),
        };
        self.hosts[process.0].call = None;
        let Some(running) = self.process(process) else {
            return;
        };
        let actions = match call.after {
            Some(_) => running.apply_changes(local, changes.iter(), revision),
            None => running.apply_listing(local, listing),
        };
        self.act(process, actions);
    }

    fn lose_store(&mut self, process: ProcessId, number: u64) {
        let host = &mut self.hosts[process.0];
        let local = host.local(self.now);
        if host.call.is_none_or(|call| call.number != number) {
            return;
        }
        host.call = None;
        if let Some(running) = self.process(process) {
            running.lose_store(local);
        }
    }

    fn configure(&mut self) {
        let position = self.store.configure();
        self.ledger.record_version(self.now, position.version);
        self.notify_readers();
    }

    fn remove(&mut self, upstream: &name::Upstream) {
        if let Some(revision) = self.store.remove(upstream) {
            self.ledger
                .record_removal(self.now, upstream.clone(), revision);
            self.notify_readers();
        }
    }

    fn disturb(&mut self, index: usize, until: Time) {
        let host = &mut self.hosts[index];
        host.calm_since = host.calm_since.max(until);
    }

    fn apply(&mut self, fault: Fault) {
        let millis = Duration::from_millis;
        match fault {
            Fault::Kill { router, down_ms } => self.kill(router, millis(down_ms)),
            Fault::Lose { router } => {
                let host = &mut self.hosts[router];
                host.process = None;
                host.is_lost = true;
            }
            Fault::KillReaders { down_ms } => {
                for index in 0..self.hosts.len() {
                    let process = self.hosts[index].process.as_ref();
                    if process.is_some_and(Process::is_reading) {
                        self.kill(index, millis(down_ms));
                    }
                }
            }
            Fault::Herd { percent, down_ms } => {
                for index in 0..self.hosts.len() * percent / 100 {
                    self.kill(index, millis(down_ms));
                }
            }
            Fault::Roll { percent, gap_ms } => {
                for index in 0..self.hosts.len() * percent / 100 {
                    let at = self.now + millis(gap_ms * index as u64);
                    self.schedule(at, Event::Restart(index));
                }
            }
            Fault::Cut { from, to, for_ms } => {
                let until = self.now + millis(for_ms);
                self.cuts.insert((from, to), until);
                self.disturb(from, until);
                self.disturb(to, until);
            }
            Fault::Isolate { router, for_ms } => {
                let until = self.now + millis(for_ms);
                self.hosts[router].isolated_until = until;
                self.disturb(router, until);
            }
            Fault::Configure => self.configure(),
            Fault::Visit { for_ms } => {
                let index = UPSTREAMS + self.store.revision().number as usize;
                self.store.put(entry(index));
                self.notify_readers();
                let leave = Event::Leave(entry(index).id);
                self.schedule(self.now + millis(for_ms), leave);
            }
            Fault::Remove { upstream } => self.remove(&entry(upstream).id),
            Fault::Fail { percent, for_ms } => {
                self.failing = (percent, self.now + millis(for_ms));
            }
        }
    }
}

fn service() -> name::Service {
    name::Service::from("letters")
}

fn address(index: usize) -> SocketAddr {
    let [.., high, low] = (index as u32).to_be_bytes();
    SocketAddr::from(([10, high, low, 1], 8_229))
}

fn entry(index: usize) -> Entry {
    Entry {
        id: name::Upstream::from(format!("upstream-{index}")),
        service: service(),
        address: address(index),
        zone: name::Zone::from("zone-0"),
        build: name::Build::from("v1"),
        slots: None,
        draining: false,
        incarnation: name::Incarnation(1),
        revision: Revision::default(),
        cold_ms: 0,
    }
}

const _: () = assert!(RUN_IN_MS >= WINDOW.as_millis() as u64);
