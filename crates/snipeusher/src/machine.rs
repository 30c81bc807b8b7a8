//! The decisions of one router as one state machine.
//!
//! Events go in by [`Machine::handle`], typed actions come out by [`Machine::drain`]. It holds
//! no socket and reads no clock, so that tests and benches can drive it step by step. See
//! `docs/design.md#the-state-machine-shape`.

use std::collections::VecDeque;
use std::time::Duration;

use crate::board::Board;
use crate::board::Flight;
use crate::load;
use crate::load::Work;
use crate::name;
use crate::placement;
use crate::policy::Policy;
use crate::request::Attempt;
use crate::request::Id;
use crate::request::Ran;
use crate::request::Request;
use crate::time::Time;
use crate::upstream;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer arrived.
    Complete,
    /// No byte of the request reached the upstream.
    Unreachable,
    /// The upstream said that it did not run the request; it may say when to come back.
    Declined {
        /// When the upstream expects to take work again.
        retry_after: Option<Duration>,
    },
    /// It failed after bytes were sent: cut, crossed, malformed or late.
    Broken,
    /// The router cancelled it.
    Cancelled,
}

/// What the decisions react to.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request arrived.
    Arrive(Request),
    /// The caller is gone; nobody waits for the answer.
    Depart(Id),
    /// A byte of the attempt may have reached its upstream.
    Sent(Attempt),
    /// The attempt produced output.
    Output {
        /// The attempt.
        attempt: Attempt,
        /// Tokens so far.
        tokens: u64,
        /// Prompt tokens that the upstream found cached, where it says so.
        cached: Option<u64>,
    },
    /// The attempt ended.
    End {
        /// The attempt.
        attempt: Attempt,
        /// How.
        outcome: Outcome,
    },
    /// An upstream is known, or changed.
    Upstream(upstream::State),
    /// An upstream reports its load.
    Report {
        /// Which.
        upstream: name::Upstream,
        /// What it says.
        report: load::Report,
    },
    /// A peer tells its work in flight.
    Peer {
        /// Which router.
        host: name::Host,
        /// Its work.
        share: load::Share,
    },
    /// A workspace's policy is in force.
    Policy(Policy),
    /// A workspace is gone.
    Forget(name::Workspace),
    /// Time passed.
    Tick,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No upstream serves the target now.
    NoUpstream,
    /// The queue of its workspace and class is full.
    QueueFull,
    /// It could not start before its deadline.
    TooLate,
    /// All attempts failed and no retry is allowed.
    AttemptsFailed,
    /// The workspace has no policy.
    UnknownWorkspace,
}

/// What the embedding process must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an upstream.
    Dispatch {
        /// The request.
        request: Id,
        /// The identity of this try.
        attempt: Attempt,
        /// Where to.
        upstream: name::Upstream,
        /// Priority for the engine.
        priority: u8,
    },
    /// Give the caller its final refusal.
    Refuse {
        /// The request.
        request: Id,
        /// Why.
        reason: Reason,
        /// Whether it may have run.
        ran: Ran,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// Cancel an attempt at its upstream.
    Cancel {
        /// The attempt.
        attempt: Attempt,
        /// Where it runs.
        upstream: name::Upstream,
    },
}

/// When a caller may come back if nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The decisions of one router.
#[derive(Debug, Default)]
pub struct Machine {
    board: Board,
    actions: VecDeque<Action>,
    next_attempt: u64,
}

impl Machine {
    /// Starts with nothing known. `first_attempt` must differ between runs of a process, so that
    /// a late answer to an earlier run is told apart.
    pub fn new(first_attempt: u64) -> Self {
        Self {
            next_attempt: first_attempt,
            ..Self::default()
        }
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
            Event::Output { .. } | Event::Report { .. } | Event::Peer { .. } | Event::Tick => {}
        }
    }

    /// Takes the actions that are due, in order.
    pub fn drain(&mut self) -> impl Iterator<Item = Action> + '_ {
        self.actions.drain(..)
    }

    /// When [`Event::Tick`] must come at the latest.
    pub const fn next_wake(&self) -> Time {
        Time::NEVER
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
        }
    }

    fn end(&mut self, attempt: Attempt, outcome: Outcome) {
        let Some(flight) = self.release(attempt) else {
            return;
        };
        let ran = match outcome {
            Outcome::Complete | Outcome::Cancelled => return,
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
