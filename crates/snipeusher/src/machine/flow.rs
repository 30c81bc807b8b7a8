//! Handling of requests from their arrival to the dispatch to an upstream.

use std::time::Duration;

use crate::admission::Refusal;
use crate::board::InFlight;
use crate::board::Stage;
use crate::load::Slot;
use crate::load::Strategy;
use crate::load::Work;
use crate::name;
use crate::placement;
use crate::placement::Choice;
use crate::placement::Constraints;
use crate::request::Attempt;
use crate::request::Id;
use crate::request::Ran;
use crate::request::Request;
use crate::request::Target;
use crate::request::Task;
use crate::request::Terms;
use crate::time::Time;

use super::Action;
use super::Fault;
use super::Machine;
use super::Reason;
use super::Ticket;

/// Retry delay for callers where no better estimate is known.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Engine priority for a workspace over its share, below that of all other work.
const OVER_SHARE_PRIORITY: u8 = 0;

impl<S: Strategy> Machine<S> {
    pub(super) fn arrive(&mut self, now: Time, request: Request) {
        if self.board.requests.contains_key(&request.id) {
            self.fault(Fault::DuplicateRequest { id: request.id });
            return;
        }
        let Some(policy) = self.board.policies.get(&request.workspace) else {
            self.refuse(
                request.id,
                Reason::UnknownWorkspace,
                Ran::NotRun,
                RETRY_AFTER,
            );
            return;
        };
        let terms = Terms::of(policy, &request.class);
        let workspace = &request.workspace;
        self.board.budget.deposit(workspace, terms.retry_ratio);
        self.board.queues.usage_mut().mark_active(now, workspace);
        let task = Task {
            request,
            terms,
            arrived_at: now,
            attempts: 0,
            ran: Ran::NotRun,
            last_upstream: None,
        };
        if task.request.deadline <= now {
            self.give_up(&task, Reason::TooLate, RETRY_AFTER);
        } else if !self.is_served(&task.request.target) {
            self.give_up(&task, Reason::NoUpstream, RETRY_AFTER);
        } else if terms.immediate {
            self.start_immediate(now, task);
        } else if self.board.queues.has_waiting(&task.request.target) {
            self.enqueue(now, task);
            self.start_queued(now);
        } else if let Some(choice) = self.decide(&task, None) {
            self.start(now, task, choice, 0);
        } else {
            self.enqueue(now, task);
        }
    }

    /// Starts queued requests, in the order of the queues, as long as upstreams have room.
    pub(super) fn start_queued(&mut self, now: Time) {
        if self.board.queues.is_empty() {
            return;
        }
        let mut blocked: Vec<(Target, u64)> = Vec::new();
        loop {
            let usage = self.board.queues.usage();
            let lane = self.board.queues.next(|lane, head| {
                // A request that does not fit beside a reserve may fit beside a smaller one.
                let reserve = usage.reserve(&head.request.workspace);
                blocked
                    .iter()
                    .any(|(target, least)| *target == lane.target && reserve >= *least)
            });
            let Some(lane) = lane else { return };
            let Some(head) = self.board.queues.head(&lane).cloned() else {
                return;
            };
            let avoid = self.last_slot(&head);
            if let Some(choice) = self.decide(&head, avoid) {
                self.board.queues.start_head(now, &lane);
                self.start(now, head, choice, 0);
            } else {
                let reserve = self.board.queues.usage().reserve(&lane.workspace);
                blocked.push((lane.target, reserve));
            }
        }
    }

    /// Chooses an upstream for a request.
    pub(super) fn decide(&mut self, task: &Task, avoid: Option<Slot>) -> Option<Choice> {
        let pool = self.board.loads.pool(&task.request.target)?;
        let usage = self.board.queues.usage();
        let reserve = usage.reserve(&task.request.workspace);
        let constraints = Constraints {
            load_limit: task.terms.load_limit,
            capped: !task.terms.immediate,
            over_share: usage.is_over_share(&task.request.workspace),
            reserve: reserve / pool.slots.len().max(1) as u64,
            avoid,
        };
        placement::choose(
            &self.board.loads,
            &self.board.prefixes,
            pool,
            &task.request,
            &constraints,
            &mut self.rng,
        )
    }

    /// Dispatches a request to the chosen upstream, after requesting a slot if the strategy needs
    /// one.
    pub(super) fn start(&mut self, now: Time, task: Task, choice: Choice, denials: u32) {
        let task = if S::ADMISSION && !task.terms.immediate {
            match self.request_slot(now, task, choice, denials) {
                Some(task) => task,
                None => return,
            }
        } else {
            task
        };
        self.dispatch(now, task, choice, None);
    }

    pub(super) fn dispatch(
        &mut self,
        now: Time,
        mut task: Task,
        choice: Choice,
        slot: Option<(name::Host, Ticket)>,
    ) {
        self.transfer(&task.request, choice);
        let attempt = self.next_attempt();
        let load = self.board.loads.upstream(choice.slot);
        let upstream = load.name.clone();
        let epoch = load.epoch;
        let none = Work::default();
        self.board
            .loads
            .change_own(now, choice.slot, choice.work, none);
        let priority = self.priority(&task);
        let usage = self.board.queues.usage_mut();
        usage.change_own(&task.request.workspace, choice.work, none);
        let id = task.request.id;
        task.attempts += 1;
        task.last_upstream = Some(upstream.clone());
        self.board.requests.insert(id, Stage::Running(attempt));
        self.actions.push_back(Action::Dispatch {
            request: id,
            attempt,
            upstream: upstream.clone(),
            priority,
        });
        let in_flight = InFlight {
            task,
            upstream,
            work: choice.work,
            initial_work: choice.work,
            epoch,
            dispatched_at: now,
            sent: false,
            output: None,
            slot,
        };
        self.board.attempts.insert(attempt, in_flight);
    }

    /// The priority sent to the engine.
    ///
    /// Engines queue by priority, so a workspace over its share delays only itself there. The fair
    /// queueing of the routers does not affect requests that an engine has already accepted.
    fn priority(&self, task: &Task) -> u8 {
        let over = self
            .board
            .queues
            .usage()
            .is_over_share(&task.request.workspace);
        if over && !task.terms.immediate {
            OVER_SHARE_PRIORITY
        } else {
            task.terms.priority
        }
    }

    /// Queues a request, or refuses it.
    pub(super) fn enqueue(&mut self, now: Time, task: Task) {
        match self.board.queues.refusal(now, &task) {
            Some(Refusal::QueueFull(after)) => self.give_up(&task, Reason::QueueFull, after),
            Some(Refusal::TooLate(after)) => self.give_up(&task, Reason::TooLate, after),
            None => {
                let stage = Stage::Queued(task.lane());
                self.board.requests.insert(task.request.id, stage);
                self.board.queues.push(now, task);
            }
        }
    }

    /// Puts a request that had already started back at the head of its queue.
    ///
    /// A request that is never dropped returns even if the queue is full by now.
    pub(super) fn enqueue_front(&mut self, now: Time, task: Task) {
        if self.board.queues.is_full(&task) && !task.terms.never_dropped {
            self.give_up(&task, Reason::QueueFull, RETRY_AFTER);
            return;
        }
        let stage = Stage::Queued(task.lane());
        self.board.requests.insert(task.request.id, stage);
        self.board.queues.push_front(now, task);
    }

    pub(super) fn disconnect(&mut self, now: Time, id: Id) {
        let Some(stage) = self.board.requests.remove(&id) else {
            return;
        };
        match stage {
            Stage::Queued(lane) => {
                self.board.queues.remove(&lane, id);
            }
            Stage::Backoff(due) => {
                self.timers.remove(&(due, super::Timer::Retry(id)));
                self.backoff.remove(&id);
            }
            Stage::AwaitingSlot(ticket) => self.withdraw_ticket(now, ticket),
            Stage::Running(attempt) => self.cancel(now, attempt),
        }
        self.actions.push_back(Action::Close(id));
        self.start_queued(now);
    }

    /// Ends a request with a refusal that states whether it may have run.
    pub(super) fn give_up(&mut self, task: &Task, reason: Reason, retry_after: Duration) {
        self.board.requests.remove(&task.request.id);
        self.refuse(task.request.id, reason, task.ran, retry_after);
    }

    pub(super) fn cancel(&mut self, now: Time, attempt: Attempt) {
        if let Some(in_flight) = self.release(now, attempt) {
            self.actions.push_back(Action::Cancel {
                attempt,
                upstream: in_flight.upstream,
            });
        }
    }

    /// Removes an attempt from those in flight, and its work from the load.
    pub(super) fn release(&mut self, now: Time, attempt: Attempt) -> Option<InFlight> {
        let in_flight = self.board.attempts.remove(&attempt)?;
        let request = &in_flight.task.request;
        self.board.requests.remove(&request.id);
        let none = Work::default();
        if let Some(slot) = self.board.loads.slot(&in_flight.upstream) {
            self.board.loads.change_own(now, slot, none, in_flight.work);
        }
        let usage = self.board.queues.usage_mut();
        usage.change_own(&request.workspace, none, in_flight.work);
        if let Some((to, ticket)) = in_flight.slot.clone() {
            self.actions.push_back(Action::ReleaseSlot { to, ticket });
        }
        Some(in_flight)
    }

    /// The upstream of the last attempt, which the next one avoids.
    pub(super) fn last_slot(&self, task: &Task) -> Option<Slot> {
        task.last_upstream
            .as_ref()
            .and_then(|last| self.board.loads.slot(last))
    }

    /// Returns whether a live upstream serves the target, even if it accepts no new work at the
    /// moment.
    pub(super) fn is_served(&self, target: &Target) -> bool {
        self.board
            .loads
            .pool(target)
            .is_some_and(|pool| pool.live > 0)
    }

    fn start_immediate(&mut self, now: Time, task: Task) {
        match self.decide(&task, None) {
            Some(choice) => self.dispatch(now, task, choice, None),
            None => self.give_up(&task, Reason::NoUpstream, RETRY_AFTER),
        }
    }

    fn transfer(&mut self, request: &Request, choice: Choice) {
        let Some(chat) = request.chat else { return };
        let loads = &self.board.loads;
        let holders = self.board.prefixes.holders(chat);
        let prompt = request.prompt_tokens;
        let source = placement::source(loads, holders, choice.slot, choice.cached, prompt);
        if let Some((from, tokens)) = source {
            self.actions.push_back(Action::Transfer {
                chat,
                from: loads.upstream(from).name.clone(),
                to: loads.upstream(choice.slot).name.clone(),
                tokens,
            });
        }
    }

    fn refuse(&mut self, request: Id, reason: Reason, ran: Ran, retry_after: Duration) {
        self.actions.push_back(Action::Refuse {
            request,
            reason,
            ran,
            retry_after,
        });
    }
}
