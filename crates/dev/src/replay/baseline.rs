//! Simple routing algorithms that the project's decisions are compared with.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64;
use serde::Deserialize;
use serde::Serialize;
use snipeusher::hash;
use snipeusher::load::Share;
use snipeusher::load::Work;
use snipeusher::machine::Action;
use snipeusher::machine::Event;
use snipeusher::machine::Outcome;
use snipeusher::machine::Reason;
use snipeusher::name;
use snipeusher::policy::Policy;
use snipeusher::request::Attempt;
use snipeusher::request::Ran;
use snipeusher::request::Request;
use snipeusher::request::Target;
use snipeusher::time::Time;
use snipeusher::upstream;

use super::engine::Engine;
use super::router::Router;

/// Attempts per request. Only attempts that didn't run are retried.
const MAX_ATTEMPTS: u32 = 3;
/// Delay after which a refused caller may retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A routing algorithm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Algorithm {
    /// Cycles through the upstreams.
    RoundRobin,
    /// Picks the upstream with the lowest load in its last report.
    LeastLoaded,
    /// Picks two random upstreams and uses the one with less reported and own outstanding work.
    TwoChoices,
    /// Rendezvous hashing of the chat, regardless of load.
    Hashing,
    /// Picks the longest cached prefix among the upstreams within the load bound, with access to
    /// their actual state.
    FullKnowledge,
}

#[derive(Clone, Debug)]
struct InFlight {
    request: Request,
    upstream: name::Upstream,
    work: u64,
    attempts: u32,
}

/// An upstream as the router sees it.
#[derive(Clone, Debug)]
struct Entry {
    state: upstream::State,
    name_hash: u64,
    reported_work: u64,
    own_work: u64,
}

/// A router with a simple algorithm. It has no queue and doesn't retry requests that may have run.
#[derive(Debug)]
pub struct Baseline {
    algorithm: Algorithm,
    upstreams: BTreeMap<name::Upstream, Entry>,
    policies: BTreeMap<name::Workspace, Policy>,
    in_flight: BTreeMap<Attempt, InFlight>,
    actions: VecDeque<Action>,
    next_attempt: u64,
    cursor: usize,
    rng: Pcg64,
}

impl Baseline {
    /// Creates a router without upstreams.
    pub fn new(algorithm: Algorithm, first_attempt: u64, seed: u64) -> Self {
        Self {
            algorithm,
            upstreams: BTreeMap::new(),
            policies: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            actions: VecDeque::new(),
            next_attempt: first_attempt,
            cursor: seed as usize,
            rng: Pcg64::seed_from_u64(seed),
        }
    }

    fn route(&mut self, now: Time, request: Request, attempts: u32, fleet: &[Engine]) {
        let Some(upstream) = self.choose(now, &request, fleet) else {
            self.refuse(&request, Reason::NoUpstream, Ran::NotRun);
            return;
        };
        let priority = self
            .policies
            .get(&request.workspace)
            .and_then(|policy| policy.classes.get(&request.class))
            .map_or(4, |class| class.priority);
        let attempt = Attempt(self.next_attempt);
        self.next_attempt += 1;
        let work = Work::of(&request, 0).0;
        if let Some(entry) = self.upstreams.get_mut(&upstream) {
            entry.own_work += work;
        }
        self.actions.push_back(Action::Dispatch {
            request: request.id,
            attempt,
            upstream: upstream.clone(),
            priority,
        });
        let flight = InFlight {
            request,
            upstream,
            work,
            attempts: attempts + 1,
        };
        self.in_flight.insert(attempt, flight);
    }

    fn choose(&mut self, now: Time, request: &Request, fleet: &[Engine]) -> Option<name::Upstream> {
        let live: Vec<_> = self
            .upstreams
            .values()
            .filter(|entry| entry.state.accepts(&request.target))
            .collect();
        let last_index = live.len().checked_sub(1)?;
        let chosen = match self.algorithm {
            Algorithm::RoundRobin => {
                self.cursor += 1;
                live.get(self.cursor % live.len())
            }
            Algorithm::LeastLoaded => live.iter().min_by_key(|entry| entry.reported_work),
            Algorithm::TwoChoices => {
                let pair = [(); 2].map(|()| &live[self.rng.random_range(0..=last_index)]);
                pair.into_iter()
                    .min_by_key(|entry| entry.reported_work + entry.own_work)
            }
            Algorithm::Hashing => {
                let key = request.chat.map_or(request.id.0, |chat| chat.0);
                live.iter()
                    .max_by_key(|entry| hash::score(key, entry.name_hash))
            }
            Algorithm::FullKnowledge => {
                let policy = self.policies.get(&request.workspace);
                let limit = policy.map_or(1.25, |policy| policy.limits.load_limit);
                return longest_prefix(now, request, fleet, limit);
            }
        };
        chosen.map(|entry| entry.state.name.clone())
    }

    fn finish(&mut self, now: Time, attempt: Attempt, outcome: Outcome, fleet: &[Engine]) {
        let Some(flight) = self.in_flight.remove(&attempt) else {
            return;
        };
        if let Some(entry) = self.upstreams.get_mut(&flight.upstream) {
            entry.own_work = entry.own_work.saturating_sub(flight.work);
        }
        match outcome {
            Outcome::Complete | Outcome::Cancelled => {}
            Outcome::Broken => {
                self.refuse(&flight.request, Reason::AttemptsFailed, Ran::Unknown);
            }
            Outcome::Unreachable | Outcome::Declined { .. } if flight.attempts < MAX_ATTEMPTS => {
                if outcome == Outcome::Unreachable {
                    self.upstreams.remove(&flight.upstream);
                }
                self.route(now, flight.request, flight.attempts, fleet);
            }
            Outcome::Unreachable | Outcome::Declined { .. } => {
                self.refuse(&flight.request, Reason::AttemptsFailed, Ran::NotRun);
            }
        }
    }

    fn refuse(&mut self, request: &Request, reason: Reason, ran: Ran) {
        self.actions.push_back(Action::Refuse {
            request: request.id,
            reason,
            ran,
            retry_after: RETRY_AFTER,
        });
    }
}

/// Returns the upstream with the longest cached prefix within the load bound. The lowest load
/// breaks ties.
fn longest_prefix(
    now: Time,
    request: &Request,
    fleet: &[Engine],
    limit: f64,
) -> Option<name::Upstream> {
    let plain = matches!(request.target, Target::Plain(_));
    let loads: Vec<_> = fleet
        .iter()
        .filter(|engine| engine.plain == plain && engine.phase == upstream::Phase::Live)
        .map(|engine| (engine, engine.load(now)))
        .collect();
    let total: f64 = loads.iter().map(|(_, load)| load).sum();
    let request_work = Work::of(request, 0).0 as f64;
    let bound = limit * (total + request_work) / loads.len().max(1) as f64;
    let cached = |engine: &Engine| request.chat.map_or(0, |chat| engine.cache.peek(chat));
    loads
        .iter()
        .filter(|(_, load)| *load <= bound)
        .map(|(engine, load)| (cached(engine), *load, *engine))
        .max_by(|left, right| left.0.cmp(&right.0).then(right.1.total_cmp(&left.1)))
        .map(|(_, _, engine)| engine.name.clone())
}

impl Router for Baseline {
    fn handle(&mut self, now: Time, event: Event, fleet: &[Engine]) {
        match event {
            Event::Arrive(request) => self.route(now, request, 0, fleet),
            Event::End { attempt, outcome } => self.finish(now, attempt, outcome, fleet),
            Event::Upstream(state) => {
                let name = state.name.clone();
                let entry = Entry {
                    name_hash: hash::bytes(name.as_str().as_bytes()),
                    state,
                    reported_work: 0,
                    own_work: 0,
                };
                self.upstreams.insert(name, entry);
            }
            Event::Report { upstream, report } => {
                if let Some(entry) = self.upstreams.get_mut(&upstream) {
                    entry.reported_work = report.work.0;
                }
            }
            Event::Policy(policy) => {
                self.policies.insert(policy.workspace.clone(), policy);
            }
            _ => {}
        }
    }

    fn take_actions(&mut self) -> Vec<Action> {
        self.actions.drain(..).collect()
    }

    fn next_wake(&self) -> Time {
        Time::NEVER
    }

    fn share(&self) -> Share {
        Share::default()
    }
}
