//! What becomes of an attempt: progress, its end, retries and ejections.

use std::time::Duration;

use crate::board::InFlight;
use crate::board::Stage;
use crate::load::Slot;
use crate::load::Strategy;
use crate::load::Work;
use crate::outlier;
use crate::request::Attempt;
use crate::request::Id;
use crate::request::Ran;
use crate::request::Task;
use crate::retry;
use crate::time::Time;

use super::Action;
use super::Fault;
use super::Machine;
use super::Outcome;
use super::Reason;
use super::Timer;
use super::flow::RETRY_AFTER;

/// Longest time that an upstream may ask callers to stay away.
const DECLINED_MAX: Duration = Duration::from_secs(30);

impl<S: Strategy> Machine<S> {
    pub(super) fn sent(&mut self, attempt: Attempt) {
        match self.board.attempts.get_mut(&attempt) {
            Some(flight) => flight.sent = true,
            None => self.fault(Fault::UnknownAttempt { attempt }),
        }
    }

    pub(super) fn output(&mut self, now: Time, attempt: Attempt, tokens: u64, cached: Option<u64>) {
        let Some(flight) = self.board.attempts.get_mut(&attempt) else {
            self.fault(Fault::UnknownAttempt { attempt });
            return;
        };
        flight.sent = true;
        let first = flight.output.is_none();
        let tokens = flight.output.map_or(tokens, |before| before.max(tokens));
        flight.output = Some(tokens);
        let request = &flight.task.request;
        let left = Work::left(request, tokens).min(flight.work);
        let done = Work(flight.work.0 - left.0);
        flight.work = left;
        let workspace = request.workspace.clone();
        let chat = request.chat.filter(|_| first);
        let epoch = flight.epoch;
        // The prompt is in the cache once output begins; the upstream's own count also holds
        // for a prompt whose length was estimated too low.
        let prompt = request.prompt_tokens.max(cached.unwrap_or(0));
        let Some(slot) = self.board.loads.slot(&flight.upstream) else {
            return;
        };
        if done.0 > 0 {
            self.board.loads.own(now, slot, Work::default(), done);
            let usage = self.board.queues.usage_mut();
            usage.change(&workspace, Work::default(), done);
        }
        self.board.loads.upstream_mut(slot).alive = now;
        if let Some(chat) = chat
            && self.board.loads.upstream(slot).epoch == epoch
        {
            self.learn(chat, slot, prompt);
        }
    }

    pub(super) fn end(&mut self, now: Time, attempt: Attempt, outcome: Outcome) {
        let Some(flight) = self.release(now, attempt) else {
            // A cancelled attempt has been taken out of flight already.
            if outcome != Outcome::Cancelled {
                self.fault(Fault::UnknownAttempt { attempt });
            }
            return;
        };
        match outcome {
            Outcome::Complete => self.complete(now, &flight),
            Outcome::Cancelled => self
                .actions
                .push_back(Action::Close(flight.task.request.id)),
            Outcome::Declined { retry_after } => {
                if let Some(slot) = self.board.loads.slot(&flight.upstream) {
                    self.board.loads.declined(now, slot);
                }
                let ran = ran(flight.output.is_some());
                let after = retry_after.map_or(RETRY_AFTER, |after| after.min(DECLINED_MAX));
                self.again(now, flight.task, ran, after);
            }
            Outcome::Unreachable if !flight.sent => self.unreachable(now, flight),
            Outcome::Unreachable | Outcome::Broken => {
                self.count_failure(now, &flight);
                self.again(now, flight.task, Ran::Unknown, RETRY_AFTER);
            }
        }
        self.pump(now);
    }

    /// Cancels an attempt at an engine that produces nothing, and goes on without it.
    pub(super) fn stalled(&mut self, now: Time, attempt: Attempt) {
        let Some(flight) = self.release(now, attempt) else {
            return;
        };
        self.actions.push_back(Action::Cancel {
            attempt,
            upstream: flight.upstream.clone(),
        });
        if let Some(slot) = self.board.loads.slot(&flight.upstream) {
            self.eject(now, slot);
        }
        self.again(now, flight.task, Ran::Unknown, RETRY_AFTER);
    }

    /// Ejects an upstream unless too many of one of its pools are ejected already.
    pub(super) fn eject(&mut self, now: Time, slot: Slot) {
        let upstream = self.board.loads.upstream(slot);
        let name = upstream.name.clone();
        let pools = self.board.loads.pools();
        let allowed = upstream
            .pools
            .iter()
            .all(|index| outlier::allowed(&pools[*index as usize]));
        if !upstream.open || !allowed {
            return;
        }
        let until = self.board.outliers.eject(now, slot);
        self.board.loads.open(slot, false, true);
        self.timers.insert((until, Timer::Reopen(name)));
    }

    pub(super) fn retry_due(&mut self, now: Time, id: Id) {
        let Some(task) = self.backoff.remove(&id) else {
            return;
        };
        if task.request.deadline <= now || !self.is_served(&task.request.target) {
            self.give_up(&task, Reason::AttemptsFailed, RETRY_AFTER);
            return;
        }
        let avoid = self.last_slot(&task);
        match self.decide(&task, avoid) {
            Some(choice) => self.start(now, task, choice, 0),
            None if task.terms.immediate => {
                self.give_up(&task, Reason::AttemptsFailed, RETRY_AFTER);
            }
            None => self.enqueue_front(now, task),
        }
    }

    fn complete(&mut self, now: Time, flight: &InFlight) {
        let request = &flight.task.request;
        self.actions.push_back(Action::Close(request.id));
        let Some(slot) = self.board.loads.slot(&flight.upstream) else {
            return;
        };
        let time = now.since(flight.since);
        self.board.outliers.success(slot, time, flight.start.0);
        self.board.loads.upstream_mut(slot).alive = now;
        if let Some(chat) = request.chat
            && self.board.loads.upstream(slot).epoch == flight.epoch
        {
            let output = flight.output.unwrap_or(request.output_tokens);
            let tokens = request.prompt_tokens.saturating_add(output);
            self.learn(chat, slot, tokens);
        }
    }

    fn count_failure(&mut self, now: Time, flight: &InFlight) {
        if let Some(slot) = self.board.loads.slot(&flight.upstream)
            && self.board.outliers.failure(slot)
        {
            self.eject(now, slot);
        }
    }

    /// Sets the upstream aside and places the request anew.
    ///
    /// No byte was sent and no upstream did any work, so this takes no retry token and counts as
    /// no try. Each failure sets one more upstream aside, which bounds it: in a partition a router
    /// may not reach two thirds of a pool. Non-idempotent work keeps to its one attempt.
    fn unreachable(&mut self, now: Time, flight: InFlight) {
        if let Some(slot) = self.board.loads.slot(&flight.upstream) {
            let known = self.board.upstreams.contains_key(&flight.upstream);
            if let Some(until) = self.board.outliers.unreachable(now, slot).filter(|_| known) {
                self.board.loads.open(slot, false, true);
                let reopen = Timer::Reopen(flight.upstream);
                self.timers.insert((until, reopen));
            }
        }
        let mut task = flight.task;
        task.tries = task.tries.saturating_sub(1);
        if task.request.idempotent && self.has_time(now, &task) {
            self.back_off(now, task);
        } else {
            self.give_up(&task, Reason::AttemptsFailed, RETRY_AFTER);
        }
    }

    /// Tries a request again where that is allowed, or gives it up at once.
    fn again(&mut self, now: Time, mut task: Task, ran: Ran, after: Duration) {
        task.ran = retry::ran(task.ran, ran);
        let in_time = self.has_time(now, &task);
        let request = &task.request;
        let ratio = task.terms.retry_ratio;
        if in_time
            && retry::eligible(&task)
            && self.board.budget.withdraw(&request.workspace, ratio)
        {
            self.back_off(now, task);
        } else {
            self.give_up(&task, Reason::AttemptsFailed, after);
        }
    }

    /// Whether a retry after the longest backoff would begin before the deadline.
    fn has_time(&self, now: Time, task: &Task) -> bool {
        let due = now + retry::longest(task.tries);
        due < task.request.deadline && self.is_served(&task.request.target)
    }

    fn back_off(&mut self, now: Time, task: Task) {
        let due = now + retry::backoff(task.tries, &mut self.rng);
        let id = task.request.id;
        self.board.requests.insert(id, Stage::Backoff(due));
        self.timers.insert((due, Timer::Retry(id)));
        self.backoff.insert(id, task);
    }
}

/// What an attempt that the upstream should not have run says of that; `evidence` is what
/// contradicts it.
const fn ran(evidence: bool) -> Ran {
    if evidence { Ran::Unknown } else { Ran::NotRun }
}
