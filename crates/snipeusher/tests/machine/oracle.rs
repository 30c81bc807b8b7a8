//! Test harness that runs the machine and checks its actions against independent records.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use snipeusher::load::Report;
use snipeusher::load::Share;
use snipeusher::load::Strategy;
use snipeusher::load::Work;
use snipeusher::machine::Action;
use snipeusher::machine::Event;
use snipeusher::machine::Machine;
use snipeusher::machine::Outcome;
use snipeusher::machine::Settings;
use snipeusher::machine::Ticket;
use snipeusher::name;
use snipeusher::policy::Class;
use snipeusher::policy::Limits;
use snipeusher::policy::Policy;
use snipeusher::prefix::Batch;
use snipeusher::prefix::Change;
use snipeusher::request::Attempt;
use snipeusher::request::Chat;
use snipeusher::request::Id;
use snipeusher::request::Ran;
use snipeusher::request::Request;
use snipeusher::request::Target;
use snipeusher::request::Variant;
use snipeusher::time::Time;
use snipeusher::upstream::Kind;
use snipeusher::upstream::Phase;
use snipeusher::upstream::State;

use crate::model::Arrival;
use crate::model::FIRST_PLAIN;
use crate::model::Model;
use crate::model::Step;

/// Highest queue limit in requests of the policies in the test.
const ENTRIES_MAX: u32 = 3;
/// Queue limit in bytes of the policies in the test.
const BYTES_MAX: u64 = 20_000;
/// Capacity that a few requests reach.
const SMALL_CAPACITY: Work = Work(6_000);
/// Capacity that no load reaches.
const UNLIMITED_CAPACITY: Work = Work(u64::MAX);
const CLASSES: [&str; 5] = ["chat", "status", "review", "notice", "none"];

/// Record of an open request.
struct Pending {
    request: Request,
    limit: f64,
    attempts: u32,
    running: Option<Attempt>,
    may_have_run: bool,
    may_close: bool,
}

/// Record of an attempt in flight.
struct InFlight {
    id: Id,
    upstream: name::Upstream,
    work: u64,
    sent: bool,
    output: bool,
}

/// The machine, with records of all open requests and attempts.
pub struct Harness<S> {
    machine: Machine<S>,
    now: Time,
    next: u64,
    limits: BTreeMap<u8, f64>,
    pending: BTreeMap<Id, Pending>,
    attempts: BTreeMap<Attempt, InFlight>,
    tickets: BTreeSet<Ticket>,
    own_only: bool,
}

impl<S: Strategy> Harness<S> {
    pub fn new(model: &Model) -> Self {
        let settings = Settings {
            host: name::Host::from("r0"),
            capacity: if model.small {
                SMALL_CAPACITY
            } else {
                UNLIMITED_CAPACITY
            },
            ..Settings::default()
        };
        let mut harness = Self {
            machine: Machine::with(settings),
            now: Time::from_millis(1),
            next: 0,
            limits: BTreeMap::new(),
            pending: BTreeMap::new(),
            attempts: BTreeMap::new(),
            tickets: BTreeSet::new(),
            own_only: model.own_only,
        };
        for (upstream, (incarnation, phase, second)) in &model.known {
            harness.handle(model, state(*upstream, *incarnation, *phase, *second));
        }
        harness.step(model, Step::Routers(vec![0, 1, 2]));
        for workspace in 0..3 {
            harness.step(model, Step::Policy(workspace, 1.25, 0.5, ENTRIES_MAX));
        }
        harness
    }

    pub fn step(&mut self, model: &Model, step: Step) {
        let event = match step {
            Step::Advance(ms) => {
                let until = self.now + Duration::from_millis(ms);
                while self.machine.next_wake() <= until {
                    self.now = self.now.max(self.machine.next_wake());
                    self.handle(model, Event::Tick);
                }
                self.now = until;
                Event::Tick
            }
            Step::ClockBack(to) => {
                let now = self.now;
                self.now = Time(to % now.0);
                self.handle(model, Event::Tick);
                self.now = now;
                return;
            }
            Step::Arrive(arrival) => self.arrive(&arrival),
            Step::ArriveAgain(k) => match pick(&self.pending, k) {
                Some((_, pending)) => Event::Arrive(pending.request.clone()),
                None => return,
            },
            Step::Disconnect(k) => match pick(&self.pending, k).map(|(id, _)| *id) {
                Some(id) => self.disconnect(id),
                None => return,
            },
            Step::Sent(k) => match pick(&self.attempts, k).map(|(attempt, _)| *attempt) {
                Some(attempt) => {
                    self.attempt_mut(attempt).sent = true;
                    Event::Sent(attempt)
                }
                None => return,
            },
            Step::Output(k, tokens) => match pick(&self.attempts, k).map(|(attempt, _)| *attempt) {
                Some(attempt) => self.output(attempt, tokens),
                None => return,
            },
            Step::End(k, outcome) => match pick(&self.attempts, k).map(|(attempt, _)| *attempt) {
                Some(attempt) => self.end(attempt, outcome),
                None => return,
            },
            Step::EndUnknown(attempt) => Event::End {
                attempt: Attempt(attempt | 1 << 63),
                outcome: Outcome::Complete,
            },
            Step::SlotAnswered(k, granted) => match self.tickets.iter().nth_back(k % 4).copied() {
                Some(ticket) => Event::SlotAnswered { ticket, granted },
                None => return,
            },
            Step::SlotUnreachable(k) => match self.tickets.iter().nth_back(k % 4).copied() {
                Some(ticket) => Event::SlotUnreachable(ticket),
                None => return,
            },
            Step::Policy(workspace, limit, ratio, entries) => {
                let usable = limit.is_finite() && limit > 1.0;
                let effective = if usable { limit } else { 1.25 };
                self.limits.insert(workspace, effective);
                Event::Policy(policy(workspace, limit, ratio, entries))
            }
            other => event(other),
        };
        self.handle(model, event);
    }

    /// Checks the invariants that hold between events.
    pub fn check(&self) {
        let board = self.machine.board();
        let known: Vec<&Id> = board.requests.keys().collect();
        let pending: Vec<&Id> = self.pending.keys().collect();
        assert_eq!(known, pending, "open requests differ from the machine's");
        let in_flight: Vec<&Attempt> = board.attempts.keys().collect();
        let expected: Vec<&Attempt> = self.attempts.keys().collect();
        assert_eq!(in_flight, expected, "attempts in flight differ");
        for ((workspace, class), count) in board.queues.counts() {
            // Reviews that had already started return to the queue even if it is full by now.
            let returned = if class.as_str() == "review" {
                u32::MAX
            } else {
                0
            };
            let entries = ENTRIES_MAX.saturating_add(returned);
            assert!(
                count.entries <= entries,
                "{workspace} {class} holds {count:?}"
            );
            let bytes = BYTES_MAX.saturating_add(u64::from(returned));
            assert!(count.bytes <= bytes, "{workspace} {class} holds {count:?}");
        }
    }

    /// Disconnects the callers of all open requests and checks that nothing is left.
    pub fn finish(mut self) {
        let model = Model {
            own_only: false,
            small: false,
            known: BTreeMap::new(),
            leaving: BTreeMap::new(),
        };
        while let Some(id) = self.pending.keys().next().copied() {
            let event = self.disconnect(id);
            // Queued requests start as others end, and the model no longer tracks the upstreams.
            self.own_only = false;
            self.machine.handle(self.now, event);
            let actions: Vec<Action> = self.machine.drain().collect();
            for action in actions {
                if let Action::Dispatch { upstream, .. } = &action {
                    let live = self.machine.board().upstreams.get(upstream);
                    assert!(live.is_some_and(|state| state.phase == Phase::Live));
                }
                self.apply(&model, action, false);
            }
            self.check();
        }
        assert!(
            self.attempts.is_empty(),
            "an attempt is left without a request"
        );
        assert!(
            self.machine.board().queues.is_empty(),
            "a request is still queued"
        );
        let share = self.machine.share();
        assert_eq!(share, Share::default(), "work is left without requests");
    }

    fn handle(&mut self, model: &Model, event: Event) {
        let before = self.accepting();
        self.machine.handle(self.now, event);
        let after = self.accepting();
        assert!(
            self.machine.faults().count() <= 64,
            "too many faults are kept"
        );
        let actions: Vec<Action> = self.machine.drain().collect();
        for action in actions {
            if let Action::Dispatch {
                request, upstream, ..
            } = &action
                && self.own_only
                && !S::ADMISSION
            {
                self.check_bound(*request, upstream, &before, &after);
            }
            self.apply(model, action, true);
        }
    }

    fn apply(&mut self, model: &Model, action: Action, check_phases: bool) {
        match action {
            Action::Dispatch {
                request,
                attempt,
                upstream,
                ..
            } => {
                let pending = self
                    .pending
                    .get_mut(&request)
                    .expect("dispatch of a closed request");
                assert_eq!(pending.running, None, "two attempts at once");
                assert!(
                    pending.attempts == 0 || pending.request.idempotent,
                    "a second attempt of non-idempotent work"
                );
                assert!(!pending.may_close, "dispatch after the end");
                pending.attempts += 1;
                pending.running = Some(attempt);
                let number = number(&upstream);
                assert!(
                    !check_phases || model.is_live(number),
                    "{upstream} does not accept new work"
                );
                let in_flight = &self.machine.board().attempts[&attempt];
                let least = Work::of(&pending.request, pending.request.prompt_tokens);
                assert!(
                    in_flight.initial_work >= least,
                    "{} is too little",
                    in_flight.initial_work.0
                );
                assert!(
                    in_flight.initial_work <= Work::of(&pending.request, 0),
                    "too much work"
                );
                let work = in_flight.initial_work.0;
                let new = InFlight {
                    id: request,
                    upstream,
                    work,
                    sent: false,
                    output: false,
                };
                assert!(
                    self.attempts.insert(attempt, new).is_none(),
                    "attempt reused"
                );
            }
            Action::Refuse { request, ran, .. } => {
                let pending = self
                    .pending
                    .remove(&request)
                    .expect("refusal of a closed request");
                assert_eq!(
                    pending.running, None,
                    "refused while an attempt is in flight"
                );
                assert!(
                    ran == Ran::Unknown || !pending.may_have_run,
                    "{request:?} may have run but is refused as not run"
                );
            }
            Action::Close(request) => {
                let pending = self.pending.remove(&request).expect("closed twice");
                assert!(pending.may_close, "closed before its end");
            }
            Action::Cancel { attempt, .. } => {
                let in_flight = self
                    .attempts
                    .remove(&attempt)
                    .expect("cancel of an ended attempt");
                let pending = self
                    .pending
                    .get_mut(&in_flight.id)
                    .expect("cancel of a closed request");
                pending.running = None;
                pending.may_have_run = true;
            }
            Action::RequestSlot { ticket, .. } => {
                assert!(S::ADMISSION, "slot request without admission control");
                assert!(self.tickets.insert(ticket), "ticket reused");
            }
            Action::Transfer { from, to, .. } => assert_ne!(from, to),
            Action::AnswerSlot { .. } | Action::ReleaseSlot { .. } => {}
        }
    }

    /// Checks that the load of the chosen upstream is at most the limit times the mean load with
    /// the new work.
    fn check_bound(
        &self,
        request: Id,
        upstream: &name::Upstream,
        before: &[Vec<name::Upstream>],
        after: &[Vec<name::Upstream>],
    ) {
        let pending = &self.pending[&request];
        let target = usize::from(target_number(&pending.request.target));
        let board = self.machine.board();
        let load = |name: &name::Upstream| {
            let attempts = self.attempts.values();
            let own = attempts.filter(|in_flight| in_flight.upstream == *name);
            own.map(|in_flight| in_flight.work).sum::<u64>()
        };
        let work = board
            .loads
            .slot(upstream)
            .map_or(0, |_| Work::of(&pending.request, 0).0);
        let bound = |names: &[name::Upstream]| {
            let total: u64 = names.iter().map(load).sum();
            pending.limit * (total + work) as f64 / names.len() as f64
        };
        // The same event may have opened or closed upstreams.
        let sets = [&before[target], &after[target]];
        let sets = sets.into_iter().filter(|names| names.contains(upstream));
        let bound = sets.map(|names| bound(names)).fold(0.0, f64::max);
        let load = load(upstream);
        assert!(load as f64 <= bound, "{upstream} has {load} above {bound}");
    }

    fn accepting(&self) -> Vec<Vec<name::Upstream>> {
        let targets = (0..4).map(target);
        targets
            .map(|target| self.machine.accepting(&target))
            .collect()
    }

    fn arrive(&mut self, arrival: &Arrival) -> Event {
        let id = Id(self.next);
        self.next += 1;
        let class = CLASSES[usize::from(arrival.class) % CLASSES.len()];
        let request = Request {
            id,
            workspace: workspace(arrival.workspace),
            class: name::Class::from(class),
            target: target(arrival.target),
            chat: arrival.chat.map(Chat),
            prompt_tokens: arrival.prompt,
            output_tokens: arrival.output,
            bytes: arrival.bytes,
            deadline: self.now + Duration::from_millis(arrival.deadline_ms),
            idempotent: arrival.idempotent,
        };
        let pending = Pending {
            request: request.clone(),
            limit: self.limits.get(&arrival.workspace).copied().unwrap_or(1.25),
            attempts: 0,
            running: None,
            may_have_run: false,
            may_close: false,
        };
        self.pending.insert(id, pending);
        Event::Arrive(request)
    }

    fn disconnect(&mut self, id: Id) -> Event {
        self.pending_mut(id).may_close = true;
        Event::Disconnect(id)
    }

    fn output(&mut self, attempt: Attempt, tokens: u64) -> Event {
        let id = self.attempts[&attempt].id;
        let remaining = Work::remaining(&self.pending[&id].request, tokens).0;
        let in_flight = self.attempt_mut(attempt);
        in_flight.sent = true;
        in_flight.output = true;
        in_flight.work = in_flight.work.min(remaining);
        Event::Output {
            attempt,
            tokens,
            cached: None,
        }
    }

    fn end(&mut self, attempt: Attempt, outcome: Outcome) -> Event {
        let in_flight = self.attempts.remove(&attempt).expect("picked from the map");
        let pending = self.pending_mut(in_flight.id);
        pending.running = None;
        pending.may_close = matches!(outcome, Outcome::Complete | Outcome::Cancelled);
        pending.may_have_run |= match outcome {
            Outcome::Unreachable => in_flight.sent,
            Outcome::Declined { .. } => in_flight.output,
            Outcome::Complete | Outcome::Broken | Outcome::Cancelled => true,
        };
        Event::End { attempt, outcome }
    }

    fn pending_mut(&mut self, id: Id) -> &mut Pending {
        self.pending.get_mut(&id).expect("an open request")
    }

    fn attempt_mut(&mut self, attempt: Attempt) -> &mut InFlight {
        self.attempts
            .get_mut(&attempt)
            .expect("an attempt in flight")
    }
}

/// The event of a step that changes no record.
fn event(step: Step) -> Event {
    match step {
        Step::Upstream(number, run, phase, second) => state(number, run, phase, second),
        Step::Leaving(number, run) => Event::Leaving {
            upstream: upstream(number),
            incarnation: name::Incarnation(run),
        },
        Step::UpstreamRemoved(number) => Event::UpstreamRemoved(upstream(number)),
        Step::Report(number, run, sequence, work, queued) => Event::Report {
            upstream: upstream(number),
            report: Report {
                incarnation: name::Incarnation(run),
                sequence,
                work: Work(work),
                running: 4,
                queued,
                age_ms: queued * 300,
            },
        },
        Step::Cache(number, run, first, chat, tokens) => Event::Cache {
            upstream: upstream(number),
            batch: Batch {
                incarnation: name::Incarnation(run),
                first,
                changes: match first % 3 {
                    0 => vec![Change::Evicted(Chat(chat)), Change::Cleared],
                    _ => vec![
                        Change::Stored {
                            chat: Chat(chat),
                            tokens
                        };
                        3
                    ],
                },
            },
        },
        Step::Peer(host, number, work) => Event::Peer {
            host: router(host),
            share: Share {
                in_flight: [(upstream(number), Work(work))].into(),
                running: [(workspace(number % 4), Work(work))].into(),
                waiting: BTreeMap::new(),
            },
        },
        Step::PeerRemoved(host) => Event::PeerRemoved(router(host)),
        Step::Routers(hosts) => Event::Routers(hosts.into_iter().map(router).collect()),
        Step::SlotRequested(host, ticket, number, work, load_limit) => Event::SlotRequested {
            from: router(host),
            ticket: Ticket(ticket),
            upstream: upstream(number),
            work: Work(work),
            load_limit,
        },
        Step::SlotReleased(host, ticket) => Event::SlotReleased {
            from: router(host),
            ticket: Ticket(ticket),
        },
        Step::WorkspaceRemoved(number) => Event::WorkspaceRemoved(workspace(number)),
        _ => Event::Tick,
    }
}

fn pick<K: Ord, V>(map: &BTreeMap<K, V>, k: usize) -> Option<(&K, &V)> {
    map.iter().nth(k.checked_rem(map.len())?)
}

fn router(number: u8) -> name::Host {
    name::Host::from(format!("r{number}"))
}

fn upstream(number: u8) -> name::Upstream {
    name::Upstream::from(format!("u{number}"))
}

fn number(name: &name::Upstream) -> u8 {
    name.as_str()[1..].parse().expect("a name of the test")
}

fn workspace(number: u8) -> name::Workspace {
    name::Workspace::from(format!("w{number}"))
}

/// Two model variants, a plain service, and a service without upstreams.
fn target(number: u8) -> Target {
    match number {
        0 | 1 => Target::Model(variant(number)),
        2 => Target::Plain(name::Service::from("notices")),
        _ => Target::Plain(name::Service::from("absent")),
    }
}

fn target_number(searched: &Target) -> u8 {
    (0..3)
        .find(|number| target(*number) == *searched)
        .unwrap_or(3)
}

fn variant(number: u8) -> Variant {
    Variant {
        model: name::Model::from("quill"),
        adapter: None,
        version: name::Version::from(format!("v{number}")),
    }
}

fn state(number: u8, run: u64, phase: Phase, second: bool) -> Event {
    let variants = if second { 0..2 } else { 0..1 };
    let kind = if number < FIRST_PLAIN {
        Kind::Engine(variants.map(variant).collect())
    } else {
        Kind::Plain(name::Service::from("notices"))
    };
    Event::Upstream(State {
        name: upstream(number),
        address: String::from("127.0.0.1:1"),
        zone: name::Zone::from("et-central-a"),
        incarnation: name::Incarnation(run),
        phase,
        kind,
    })
}

fn policy(number: u8, load_limit: f64, retry_ratio: f64, entries: u32) -> Policy {
    let class = |name: &str| Class {
        queue_entries: entries,
        queue_bytes: BYTES_MAX,
        immediate: name == "status",
        never_dropped: name == "review",
        weight: entries,
        ..Class::default()
    };
    let classes = CLASSES[..4].iter();
    Policy {
        workspace: workspace(number),
        keys: Vec::new(),
        models: BTreeMap::new(),
        classes: classes
            .map(|name| (name::Class::from(*name), class(name)))
            .collect(),
        default_class: name::Class::from("chat"),
        services: BTreeMap::new(),
        limits: Limits {
            load_limit,
            retry_ratio,
            ..Limits::default()
        },
    }
}
