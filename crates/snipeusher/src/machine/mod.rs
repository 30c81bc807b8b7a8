//! The decisions of one router as one state machine.
//!
//! Events go in by [`Machine::handle`], typed actions come out by [`Machine::drain`]. It holds
//! no socket and reads no clock, so that tests and benches can drive it step by step. See
//! `docs/design.md#the-state-machine-shape`.

mod action;
mod event;
mod fault;
mod settings;

pub use action::Action;
pub use action::Reason;
pub use event::Event;
pub use event::Outcome;
pub use event::Ticket;
pub use fault::Fault;
pub use settings::Settings;

use std::collections::VecDeque;
use std::time::Duration;

use crate::board::Board;
use crate::board::Flight;
use crate::load;
use crate::load::Work;
use crate::name;
use crate::placement;
use crate::request::Attempt;
use crate::request::Id;
use crate::request::Ran;
use crate::request::Request;
use crate::time::Time;
use crate::upstream::Phase;

/// When a caller may come back if nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Most faults kept until [`Machine::faults`] takes them; the oldest go first.
const FAULTS_MAX: usize = 64;

/// The decisions of one router, which judges load by the strategy `S`.
#[derive(Debug, Default)]
pub struct Machine<S = load::Peers> {
    board: Board,
    actions: VecDeque<Action>,
    faults: VecDeque<Fault>,
    next_attempt: u64,
    settings: Settings,
    strategy: S,
}

impl Machine {
    /// Starts with nothing known and default settings. `first_attempt` must differ between runs of a process, so that
    /// a late answer to an earlier run is told apart.
    pub fn new(first_attempt: u64) -> Self {
        Self::with(Settings {
            first_attempt,
            ..Settings::default()
        })
    }
}

impl<S: load::Strategy> Machine<S> {
    /// Starts with nothing known.
    pub fn with(settings: Settings) -> Self {
        Self {
            next_attempt: settings.first_attempt,
            settings,
            ..Self::default()
        }
    }

    /// The settings that it started with.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The way it judges load.
    pub const fn strategy(&self) -> &S {
        &self.strategy
    }

    /// The shared state, for status pages and tests.
    pub const fn board(&self) -> &Board {
        &self.board
    }

    /// Takes one event at `now`; actions wait in [`Self::drain`].
    pub fn handle(&mut self, _now: Time, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Depart(id) => self.depart(id),
            Event::Sent(attempt) => {
                if let Some(flight) = self.board.attempts.get_mut(&attempt) {
                    flight.sent = true;
                }
            }
            Event::End { attempt, outcome } => self.end(attempt, outcome),
            Event::Upstream(state) => {
                self.board.upstreams.insert(state.name.clone(), state);
            }
            Event::Policy(policy) => {
                self.board.policies.insert(policy.workspace.clone(), policy);
            }
            Event::Forget(workspace) => {
                self.board.policies.remove(&workspace);
            }
            Event::Leaving { upstream, .. } => self.set_phase(&upstream, Phase::Leaving),
            Event::Unknown(upstream) => self.set_phase(&upstream, Phase::Gone),
            Event::SlotAsked { from, ticket, .. } => {
                self.actions.push_back(Action::AnswerSlot {
                    to: from,
                    ticket,
                    granted: true,
                });
            }
            Event::Output { .. }
            | Event::Report { .. }
            | Event::Cache { .. }
            | Event::Peer { .. }
            | Event::PeerGone(_)
            | Event::Routers(_)
            | Event::SlotReleased { .. }
            | Event::SlotAnswered { .. }
            | Event::SlotUnreachable(_)
            | Event::Transferred { .. }
            | Event::Tick => {}
        }
    }

    /// Takes the actions that are due, in order.
    pub fn drain(&mut self) -> impl Iterator<Item = Action> + '_ {
        self.actions.drain(..)
    }

    /// Takes the faults met since the last call, in order; at most 64 are kept.
    pub fn faults(&mut self) -> impl Iterator<Item = Fault> + '_ {
        self.faults.drain(..)
    }

    fn fault(&mut self, fault: Fault) {
        if self.faults.len() == FAULTS_MAX {
            self.faults.pop_front();
        }
        self.faults.push_back(fault);
    }

    /// When [`Event::Tick`] must come at the latest.
    pub const fn next_wake(&self) -> Time {
        Time::NEVER
    }

    /// The own work in flight, to be told to the peers.
    pub fn share(&self) -> load::Share {
        let mut share = load::Share {
            in_flight: self.board.loads.clone(),
            ..load::Share::default()
        };
        share.in_flight.retain(|_, work| work.0 > 0);
        for flight in self.board.attempts.values() {
            let workspace = flight.request.workspace.clone();
            share.running.entry(workspace).or_default().0 += flight.work.0;
        }
        share
    }

    fn set_phase(&mut self, upstream: &name::Upstream, phase: Phase) {
        if let Some(state) = self.board.upstreams.get_mut(upstream) {
            state.phase = state.phase.max(phase);
        }
    }

    fn arrive(&mut self, request: Request) {
        let Some(policy) = self.board.policies.get(&request.workspace) else {
            self.refuse(request.id, Reason::UnknownWorkspace, Ran::NotRun);
            return;
        };
        let priority = policy
            .classes
            .get(&request.class)
            .map_or(0, |class| class.priority);
        let limit = policy.limits.load_limit;
        let Some(upstream) = placement::choose(&self.board, &request, limit) else {
            self.refuse(request.id, Reason::NoUpstream, Ran::NotRun);
            return;
        };
        let attempt = Attempt(self.next_attempt);
        self.next_attempt += 1;
        let work = Work::of(&request, 0);
        self.board.loads.entry(upstream.clone()).or_default().0 += work.0;
        self.board.running.insert(request.id, attempt);
        self.actions.push_back(Action::Dispatch {
            request: request.id,
            attempt,
            upstream: upstream.clone(),
            priority,
        });
        let flight = Flight {
            request,
            upstream,
            work,
            sent: false,
        };
        self.board.attempts.insert(attempt, flight);
    }

    fn depart(&mut self, id: Id) {
        let Some(attempt) = self.board.running.get(&id).copied() else {
            return;
        };
        if let Some(flight) = self.release(attempt) {
            self.actions.push_back(Action::Cancel {
                attempt,
                upstream: flight.upstream,
            });
            self.actions.push_back(Action::Close(id));
        }
    }

    fn end(&mut self, attempt: Attempt, outcome: Outcome) {
        let Some(flight) = self.release(attempt) else {
            self.fault(Fault::UnknownAttempt { attempt });
            return;
        };
        let ran = match outcome {
            Outcome::Complete | Outcome::Cancelled => {
                self.actions.push_back(Action::Close(flight.request.id));
                return;
            }
            Outcome::Unreachable | Outcome::Declined { .. } => Ran::NotRun,
            Outcome::Broken => Ran::Unknown,
        };
        self.refuse(flight.request.id, Reason::AttemptsFailed, ran);
    }

    fn release(&mut self, attempt: Attempt) -> Option<Flight> {
        let flight = self.board.attempts.remove(&attempt)?;
        self.board.running.remove(&flight.request.id);
        if let Some(load) = self.board.loads.get_mut(&flight.upstream) {
            load.0 = load.0.saturating_sub(flight.work.0);
        }
        Some(flight)
    }

    fn refuse(&mut self, request: Id, reason: Reason, ran: Ran) {
        self.actions.push_back(Action::Refuse {
            request,
            reason,
            ran,
            retry_after: RETRY_AFTER,
        });
    }
}
