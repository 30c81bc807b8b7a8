//! Upstreams that crash if they have to decline too many requests, under a load beyond their room.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::seq::SliceRandom as _;
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
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher::route::Homes;
use snipeusher::time::Time;

const STEP_MS: u64 = 2;
/// One way between routers and upstreams.
const LATENCY_MS: u64 = 2;
/// When the upstreams begin to state their limit.
const STATED_MS: u64 = 2_000;
/// When they begin to let fewer requests wait.
const SMALLER_MS: u64 = STATED_MS + 3_000;
const END_MS: u64 = 20_000;
const RESTART_MS: u64 = 3_000;
/// Requests a second that an upstream can decline.
const DECLINE_LIMIT: usize = 5;
/// Interval of a router's exchanges, in each of which two routers tell each other of loads.
const EXCHANGE_MS: u64 = 250;
/// Routers that a request is relayed to.
const RELAYS_MAX: usize = 2;
/// Times that a refused caller comes back.
const RETURNS_MAX: u32 = 2;

fn service() -> name::Service {
    name::Service::from("letters")
}

fn id(index: usize, incarnation: u64) -> name::Upstream {
    name::Upstream::from(format!("e{index}-{incarnation}"))
}

fn entry(index: usize, incarnation: u64, slots: u32, revision: u64) -> Entry {
    Entry {
        id: id(index, incarnation),
        service: service(),
        address: ([127, 0, 0, 1], index as u16 + 1).into(),
        zone: name::Zone::from("here"),
        build: name::Build::from("v1"),
        slots: Some(slots),
        draining: false,
        incarnation: name::Incarnation(incarnation),
        revision: Revision::new(revision),
        cold_ms: 0,
    }
}

/// An upstream with a queue.
struct Upstream {
    incarnation: u64,
    up_at: u64,
    running: u32,
    queue: VecDeque<Request>,
    /// When requests were declined.
    declined: VecDeque<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    router: usize,
    returns: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller sends a request.
    Call(Request),
    /// It reaches an upstream.
    Arrive(Request, usize, u64),
    /// Its run ends.
    Finish(Request, usize, u64),
    /// Its router learns how it ended, with the load then.
    Answer(usize, usize, u64, Answer, u32),
    Exchange(usize),
    Restart(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Answer {
    Served,
    Declined,
    Lost,
}

struct Load {
    routers: usize,
    upstreams: usize,
    slots: u32,
    run_ms: u64,
    /// Requests in relation to what the upstreams can run.
    factor: f64,
    /// Fraction of the requests that the first router gets beside its share.
    at_first: f64,
}

struct Simulation {
    load: Load,
    rng: Pcg64Mcg,
    routers: Vec<Fleet>,
    upstreams: Vec<Upstream>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    now: u64,
    revision: u64,
    falls: usize,
    served: usize,
    declined: usize,
}

impl Simulation {
    fn new(load: Load) -> Self {
        let hosts: Vec<name::Host> = (0..load.routers)
            .map(|index| name::Host::from(format!("host-{index}")))
            .collect();
        let entries: Vec<Entry> = (0..load.upstreams)
            .map(|index| entry(index, 1, load.slots, 1))
            .collect();
        let router = |own: usize| {
            let mut fleet = Fleet::new(Settings {
                zone: name::Zone::from("here"),
                regions: Regions::default(),
                retries: Limits::default(),
                drain: Duration::from_secs(2),
                pause_max: Duration::from_mins(1),
            });
            fleet.replace_all(Time::default(), Revision::new(1), entries.clone());
            fleet.set_routers(hosts.len());
            let others = hosts.iter().enumerate().filter(|(index, _)| *index != own);
            fleet.set_hosts(Time::default(), &hosts[own], others.map(|(_, host)| host));
            fleet
        };
        let upstream = || Upstream {
            incarnation: 1,
            up_at: 0,
            running: 0,
            queue: VecDeque::new(),
            declined: VecDeque::new(),
        };
        let mut simulation = Self {
            rng: Pcg64Mcg::seed_from_u64(7),
            routers: (0..load.routers).map(router).collect(),
            upstreams: (0..load.upstreams).map(|_| upstream()).collect(),
            events: BinaryHeap::new(),
            sequence: 0,
            now: 0,
            revision: 1,
            falls: 0,
            served: 0,
            declined: 0,
            load,
        };
        for router in 0..simulation.load.routers {
            let at = simulation.rng.random_range(0..EXCHANGE_MS);
            simulation.schedule(at, Event::Exchange(router));
        }
        simulation
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.sequence += 1;
        let at = self.now + after;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Requests served since fewer may wait, in relation to what the upstreams can run.
    fn share(&self) -> f64 {
        let time_s = (END_MS - SMALLER_MS) as f64 / 1_000.0;
        self.served as f64 / (self.capacity() * time_s)
    }

    /// Requests a second that the upstreams can run.
    fn capacity(&self) -> f64 {
        let slots = f64::from(self.load.slots) * self.load.upstreams as f64;
        slots * 1_000.0 / self.load.run_ms as f64
    }

    fn run(&mut self) {
        let rate = self.capacity() * self.load.factor * STEP_MS as f64 / 1_000.0;
        while self.now < END_MS {
            let mut calls = rate.floor() as usize;
            calls += usize::from(self.rng.random_bool(rate.fract()));
            for _ in 0..calls {
                let is_at_first = self.rng.random_bool(self.load.at_first);
                let router = if is_at_first {
                    0
                } else {
                    self.rng.random_range(0..self.load.routers)
                };
                self.schedule(0, Event::Call(Request { router, returns: 0 }));
            }
            while let Some(Reverse((at, _, event))) = self.events.peek().copied() {
                if at > self.now {
                    break;
                }
                self.events.pop();
                self.handle(event);
            }
            self.now += STEP_MS;
        }
    }

    fn time(&self) -> Time {
        Time::from_millis(self.now)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call(request) => self.call(request),
            Event::Arrive(request, index, incarnation) => self.arrive(request, index, incarnation),
            Event::Finish(request, index, incarnation) => self.finish(request, index, incarnation),
            Event::Answer(router, index, incarnation, answer, load) => {
                self.answer(router, index, incarnation, answer, load);
            }
            Event::Exchange(router) => self.exchange(router),
            Event::Restart(index) => self.restart(index),
        }
    }

    fn call(&mut self, request: Request) {
        if let Some(retry_after) = self.try_send(request) {
            let relayed = (0..RELAYS_MAX).any(|_| self.relay(request));
            if !relayed {
                self.refuse(request, retry_after);
            }
        }
    }

    /// Relays a request to a router with slots; returns whether it sent the request.
    fn relay(&mut self, request: Request) -> bool {
        let now = self.time();
        let from = &self.routers[request.router];
        if !from.needs_relay(now, &service()) {
            return false;
        }
        let mut routers: Vec<usize> = (0..self.load.routers).collect();
        routers.shuffle(&mut self.rng);
        let target = routers.into_iter().find(|router| {
            let host = name::Host::from(format!("host-{router}"));
            *router != request.router && from.has_slots(now, &service(), &host)
        });
        target.is_some_and(|router| self.try_send(Request { router, ..request }).is_none())
    }

    /// Sends a request; returns when its caller may come back if it is refused.
    fn try_send(&mut self, request: Request) -> Option<Duration> {
        let now = self.time();
        let query = Query {
            service: &service(),
            session: None,
            max_connections: 0,
            build: None,
            tried: &[],
            homes: &Homes::default(),
            tie_breaker: self.rng.random(),
        };
        let router = &mut self.routers[request.router];
        router.record_request(now, &service());
        match router.choose(now, &query) {
            Decision::Send { upstream, .. } => {
                router.record_sent(now, &upstream);
                let known = &router.upstream(&upstream).expect("it is known").entry;
                let index = usize::from(known.address.port()) - 1;
                let incarnation = known.incarnation.0;
                self.schedule(LATENCY_MS, Event::Arrive(request, index, incarnation));
                None
            }
            Decision::Refuse { retry_after, .. } => Some(retry_after),
        }
    }

    fn refuse(&mut self, request: Request, retry_after: Duration) {
        if request.returns < RETURNS_MAX {
            let again = Request {
                router: self.rng.random_range(0..self.load.routers),
                returns: request.returns + 1,
            };
            self.schedule(retry_after.as_millis() as u64, Event::Call(again));
        }
    }

    fn arrive(&mut self, request: Request, index: usize, incarnation: u64) {
        let upstream = &mut self.upstreams[index];
        if upstream.incarnation != incarnation || upstream.up_at > self.now {
            self.respond(request.router, index, incarnation, Answer::Lost);
            return;
        }
        // While fewer may wait, an upstream keeps room for one.
        let waiting_max = if self.now >= SMALLER_MS {
            1
        } else {
            self.load.slots as usize
        };
        if upstream.running < self.load.slots {
            upstream.running += 1;
            let run = self.load.run_ms;
            self.schedule(run, Event::Finish(request, index, incarnation));
        } else if upstream.queue.len() < waiting_max {
            upstream.queue.push_back(request);
        } else {
            self.decline(request, index, incarnation);
        }
    }

    fn decline(&mut self, request: Request, index: usize, incarnation: u64) {
        self.respond(request.router, index, incarnation, Answer::Declined);
        self.refuse(request, Duration::from_millis(150));
        let now = self.now;
        if now < SMALLER_MS {
            return;
        }
        self.declined += 1;
        let upstream = &mut self.upstreams[index];
        upstream.declined.push_back(now);
        upstream.declined.retain(|at| at + 1_000 > now);
        if upstream.declined.len() > DECLINE_LIMIT {
            self.fall(index);
        }
    }

    fn fall(&mut self, index: usize) {
        self.falls += 1;
        let upstream = &mut self.upstreams[index];
        upstream.up_at = u64::MAX;
        upstream.declined.clear();
        for request in std::mem::take(&mut upstream.queue) {
            let incarnation = self.upstreams[index].incarnation;
            self.respond(request.router, index, incarnation, Answer::Lost);
        }
        self.schedule(RESTART_MS, Event::Restart(index));
    }

    fn restart(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        let before = upstream.incarnation;
        upstream.incarnation += 1;
        upstream.running = 0;
        upstream.up_at = self.now;
        let incarnation = upstream.incarnation;
        self.revision += 2;
        let now = self.time();
        let new = entry(index, incarnation, self.load.slots, self.revision);
        for router in &mut self.routers {
            let revision = Revision::new(self.revision - 1);
            router.remove(now, &id(index, before), revision);
            router.upsert(now, new.clone());
        }
    }

    fn finish(&mut self, request: Request, index: usize, incarnation: u64) {
        let upstream = &mut self.upstreams[index];
        if upstream.incarnation != incarnation || upstream.up_at > self.now {
            self.respond(request.router, index, incarnation, Answer::Lost);
            return;
        }
        upstream.running -= 1;
        if let Some(next) = upstream.queue.pop_front() {
            upstream.running += 1;
            let run = self.load.run_ms;
            self.schedule(run, Event::Finish(next, index, incarnation));
        }
        if self.now >= SMALLER_MS {
            self.served += 1;
        }
        self.respond(request.router, index, incarnation, Answer::Served);
    }

    fn respond(&mut self, router: usize, index: usize, incarnation: u64, answer: Answer) {
        let upstream = &self.upstreams[index];
        let load = upstream.running + upstream.queue.len() as u32;
        let event = Event::Answer(router, index, incarnation, answer, load);
        self.schedule(LATENCY_MS, event);
    }

    fn answer(&mut self, router: usize, index: usize, incarnation: u64, answer: Answer, load: u32) {
        let (now, id) = (self.time(), id(index, incarnation));
        let is_stated = self.now >= STATED_MS;
        let router = &mut self.routers[router];
        if answer != Answer::Lost {
            router.record_activity(now, &id);
            let running = load.min(self.load.slots);
            let report = Report {
                running,
                waiting: load - running,
                slots: self.load.slots,
                pace: None,
            };
            router.record_load(now, &id, report);
            if is_stated {
                router.record_decline_limit(now, &id, DECLINE_LIMIT as f64);
            }
        }
        let outcome = match answer {
            Answer::Served => Outcome::Served,
            Answer::Declined => Outcome::Declined,
            Answer::Lost => Outcome::Lost,
        };
        router.record_outcome(now, &id, outcome);
    }

    fn exchange(&mut self, router: usize) {
        self.schedule(EXCHANGE_MS, Event::Exchange(router));
        if self.load.routers == 1 {
            return;
        }
        let peer = (router + self.rng.random_range(1..self.load.routers)) % self.load.routers;
        let now = self.time();
        let own = self.routers[router].observations(now);
        let others = self.routers[peer].observations(now);
        let own_limits = self.routers[router].decline_limits(now);
        let other_limits = self.routers[peer].decline_limits(now);
        self.routers[peer].merge_observations(now, &own);
        self.routers[peer].merge_decline_limits(now, &own_limits);
        self.routers[router].merge_observations(now, &others);
        self.routers[router].merge_decline_limits(now, &other_limits);
    }
}

/// Guards against upstreams that crash since the routers together have them decline too many
/// requests, and against routers that leave their room unused.
#[rstest]
#[case::engines(9, 12, 64, 600, 1.5)]
#[case::plain(9, 3, 6, 16, 1.5)]
#[case::one_router(1, 3, 6, 16, 2.0)]
#[case::many_routers(60, 4, 6, 16, 1.5)]
#[case::more_routers_than_slots(195, 4, 6, 16, 1.5)]
fn upstreams_do_not_decline_more_than_they_can(
    #[case] routers: usize,
    #[case] upstreams: usize,
    #[case] slots: u32,
    #[case] run_ms: u64,
    #[case] factor: f64,
) {
    let mut simulation = Simulation::new(Load {
        routers,
        upstreams,
        slots,
        run_ms,
        factor,
        at_first: 0.0,
    });
    simulation.run();
    let falls_max = 2.0 + upstreams as f64 / 10.0;
    let share = simulation.share();
    println!(
        "{} falls, {} declined, {share:.3} of what the upstreams can run",
        simulation.falls, simulation.declined
    );
    assert!(
        simulation.falls as f64 <= falls_max,
        "{} falls",
        simulation.falls
    );
    assert!(share >= 0.5, "{share:.3} of what they can run");
}

/// Guards against callers who are refused although upstreams that can decline few requests have
/// room, since their router has few slots or none.
#[rstest]
#[case::engines(9, 12, 64, 600, 0.3)]
#[case::plain(9, 3, 6, 16, 0.2)]
#[case::more_routers_than_slots(195, 4, 6, 16, 0.0)]
fn callers_are_served_while_there_is_room(
    #[case] routers: usize,
    #[case] upstreams: usize,
    #[case] slots: u32,
    #[case] run_ms: u64,
    #[case] at_first: f64,
) {
    const FACTOR: f64 = 0.25;
    let mut simulation = Simulation::new(Load {
        routers,
        upstreams,
        slots,
        run_ms,
        factor: FACTOR,
        at_first,
    });
    simulation.run();
    let served = simulation.share() / FACTOR;
    println!(
        "{} falls, {served:.3} of the requests served",
        simulation.falls
    );
    assert_eq!(simulation.falls, 0);
    assert!(served >= 0.95, "{served:.3} of the requests");
}

/// Guards against digests that grow with each service whose upstreams state a limit.
#[test]
fn a_limit_takes_the_place_of_two_observations() {
    let mut simulation = Simulation::new(Load {
        routers: 1,
        upstreams: 60,
        slots: 6,
        run_ms: 16,
        factor: 0.0,
        at_first: 0.0,
    });
    let (now, report) = (Time::from_millis(1), Report::default());
    let router = &mut simulation.routers[0];
    for index in 0..60 {
        router.record_load(now, &id(index, 1), report);
    }
    assert_eq!(router.observations(now).len(), 40);
    router.record_decline_limit(now, &id(0, 1), DECLINE_LIMIT as f64);
    assert_eq!(router.observations(now).len(), 38);
}
