//! Checks in a discrete-event simulation that a surge of one workspace does not delay the others.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use snipeusher::load::Work;
use snipeusher::machine::Action;
use snipeusher::machine::Event;
use snipeusher::machine::Machine;
use snipeusher::machine::Outcome;
use snipeusher::machine::Reason;
use snipeusher::machine::Settings;
use snipeusher::name;
use snipeusher::policy::Class;
use snipeusher::policy::Limits;
use snipeusher::policy::Policy;
use snipeusher::request::Attempt;
use snipeusher::request::Id;
use snipeusher::request::Request;
use snipeusher::request::Target;
use snipeusher::time::Time;
use snipeusher::upstream::Kind;
use snipeusher::upstream::Phase;
use snipeusher::upstream::State;

const ENGINES: u64 = 4;
const WORKSPACES: usize = 10;
/// Requests per second of each workspace without a surge.
const RATE: f64 = 15.0;
/// Time that an upstream takes for a request, regardless of its load.
const SERVICE_MS: u64 = 2_000;
/// Capacity of each upstream, enough for 88 requests.
const CAPACITY: Work = Work(160_000);
/// Start of the surge, after the routers have measured the usual load of the workspaces.
const SURGE_START: Time = Time::from_millis(20_000);
/// End of the simulation.
const END: Time = Time::from_millis(80_000);

/// Waiting times in microseconds and refusals by workspace, and the number of complete requests.
#[derive(Default)]
struct Results {
    waits: BTreeMap<usize, Vec<u64>>,
    refused: BTreeMap<usize, u64>,
    finished: u64,
}

struct Router {
    machine: Machine,
    ends: BTreeSet<(Time, usize, Attempt)>,
    waiting: BTreeMap<Id, (usize, Time)>,
}

fn service() -> name::Service {
    name::Service::from("drafts")
}

fn workspace(number: usize) -> name::Workspace {
    name::Workspace::from(format!("w{number}"))
}

impl Router {
    fn new(number: usize) -> Self {
        let mut machine = Machine::with(Settings {
            host: name::Host::from(format!("r{number}")),
            capacity: CAPACITY,
            ..Settings::default()
        });
        for engine in 0..ENGINES {
            let state = State {
                name: name::Upstream::from(format!("u{engine}")),
                address: String::from("127.0.0.1:1"),
                zone: name::Zone::from("et-central-a"),
                incarnation: name::Incarnation(1),
                phase: Phase::Live,
                kind: Kind::Plain(service()),
            };
            machine.handle(Time::default(), Event::Upstream(state));
        }
        for number in 0..WORKSPACES {
            let class = name::Class::from("chat");
            let policy = Policy {
                workspace: workspace(number),
                keys: Vec::new(),
                models: BTreeMap::new(),
                classes: [(class.clone(), Class::default())].into(),
                default_class: class,
                services: BTreeMap::new(),
                limits: Limits::default(),
            };
            machine.handle(Time::default(), Event::Policy(policy));
        }
        Self {
            machine,
            ends: BTreeSet::new(),
            waiting: BTreeMap::new(),
        }
    }

    fn handle(&mut self, now: Time, event: Event, results: &mut Results) {
        self.machine.handle(now, event);
        let actions: Vec<Action> = self.machine.drain().collect();
        for action in actions {
            match action {
                Action::Dispatch {
                    request, attempt, ..
                } => {
                    let (workspace, since) = self.waiting[&request];
                    let wait = now.since(since).as_micros() as u64;
                    if since >= SURGE_START {
                        results.waits.entry(workspace).or_default().push(wait);
                    }
                    let end = now + Duration::from_millis(SERVICE_MS);
                    self.ends.insert((end, workspace, attempt));
                }
                Action::Refuse {
                    request,
                    reason,
                    retry_after,
                    ..
                } => {
                    let (workspace, _) = self.waiting[&request];
                    assert!(matches!(reason, Reason::QueueFull | Reason::TooLate));
                    assert!(retry_after >= Duration::from_millis(100));
                    *results.refused.entry(workspace).or_default() += 1;
                }
                Action::Close(_) => results.finished += 1,
                other => panic!("unexpected {other:?}"),
            }
        }
    }
}

/// Simulates routers that gossip every 500 ms; from [`SURGE_START`] on, the rate of the first
/// workspace is multiplied by `factor`.
fn simulate(routers: usize, seed: u64, factor: f64) -> Results {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut fleet: Vec<Router> = (0..routers).map(Router::new).collect();
    let mut result = Results::default();
    let mut arrivals: BTreeSet<(Time, usize)> = BTreeSet::new();
    let gap = |rng: &mut Pcg64Mcg, number: usize, now: Time| {
        let surges = number == 0 && now >= SURGE_START;
        let rate = if surges { RATE * factor } else { RATE };
        let seconds = -(1.0 - rng.random::<f64>()).ln() / rate;
        Duration::from_secs_f64(seconds)
    };
    for number in 0..WORKSPACES {
        arrivals.insert((
            Time::default() + gap(&mut rng, number, Time::default()),
            number,
        ));
    }
    let mut next = 0;
    let mut gossip = Time::default();
    loop {
        let arrival = arrivals.first().map_or(Time::NEVER, |(time, _)| *time);
        let wake = |router: &Router| {
            let end = router.ends.first().map_or(Time::NEVER, |end| end.0);
            end.min(router.machine.next_wake())
        };
        let wakes = fleet.iter().map(wake).min().unwrap_or(Time::NEVER);
        let now = arrival.min(wakes).min(gossip);
        if now >= END {
            return result;
        }
        if now == gossip {
            gossip = now + Duration::from_millis(500);
            exchange_shares(&mut fleet, now, &mut result);
        }
        for router in &mut fleet {
            while let Some((time, _, attempt)) = router.ends.first().copied()
                && time <= now
            {
                router.ends.pop_first();
                let outcome = Outcome::Complete;
                router.handle(now, Event::End { attempt, outcome }, &mut result);
            }
            if router.machine.next_wake() <= now {
                router.handle(now, Event::Tick, &mut result);
            }
        }
        while let Some((time, number)) = arrivals.first().copied()
            && time <= now
        {
            arrivals.pop_first();
            arrivals.insert((now + gap(&mut rng, number, now), number));
            next += 1;
            let router = &mut fleet[rng.random_range(0..routers)];
            router.waiting.insert(Id(next), (number, now));
            router.handle(now, Event::Arrive(request(next, number, now)), &mut result);
        }
    }
}

fn exchange_shares(fleet: &mut [Router], now: Time, results: &mut Results) {
    let shares: Vec<_> = fleet.iter().map(|router| router.machine.share()).collect();
    for (to, router) in fleet.iter_mut().enumerate() {
        for (from, share) in shares.iter().enumerate().filter(|(from, _)| *from != to) {
            let host = name::Host::from(format!("r{from}"));
            let share = share.clone();
            router.handle(now, Event::Peer { host, share }, results);
        }
    }
}

fn request(id: u64, number: usize, now: Time) -> Request {
    Request {
        id: Id(id),
        workspace: workspace(number),
        class: name::Class::from("chat"),
        target: Target::Plain(service()),
        chat: None,
        prompt_tokens: 1_000,
        output_tokens: 200,
        bytes: 4_000,
        deadline: now + Duration::from_secs(10),
        idempotent: true,
    }
}

fn p99(results: &Results, workspaces: std::ops::Range<usize>) -> u64 {
    let waits = results
        .waits
        .iter()
        .filter(|(number, _)| workspaces.contains(number));
    let mut waits: Vec<u64> = waits.flat_map(|(_, waits)| waits).copied().collect();
    waits.sort_unstable();
    waits[waits.len() * 99 / 100]
}

/// Guards against a surge that fills the queues or the upstreams and so delays other workspaces.
#[rstest]
fn surge_delays_only_its_workspace(
    #[values(1, 3)] routers: usize,
    #[values(11, 12, 13)] seed: u64,
) {
    let baseline = simulate(routers, seed, 1.0);
    let surge = simulate(routers, seed, 10.0);
    let before = p99(&baseline, 1..WORKSPACES);
    let after = p99(&surge, 1..WORKSPACES);
    println!("{routers} routers: p99 of the others {before} us, in the surge {after} us");
    println!("the surging workspace: p99 {} us", p99(&surge, 0..1));
    println!("refused: {:?}, finished: {}", surge.refused, surge.finished);
    assert!(
        after * 10 <= before * 11,
        "p99 of the others rose from {before} to {after} us"
    );
    assert!(
        surge.refused.keys().all(|number| *number == 0),
        "requests of other workspaces were refused"
    );
    let served_at_most = ENGINES * 88 * END.0 / (SERVICE_MS * 1_000);
    assert!(
        surge.finished * 10 > served_at_most * 8,
        "upstreams are idle during the surge"
    );
}
