//! Handling of attempts: progress, outcomes, retries and ejections.

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

/// Longest retry delay that is accepted from an upstream that declines a request.
const DECLINED_MAX: Duration = Duration::from_secs(30);

impl<S: Strategy> Machine<S> {
    pub(super) fn sent(&mut self, attempt: Attempt) {
        match self.board.attempts.get_mut(&attempt) {
            Some(in_flight) => in_flight.sent = true,
            None => self.fault(Fault::UnknownAttempt { attempt }),
        }
    }

    pub(super) fn output(&mut self, now: Time, attempt: Attempt, tokens: u64, cached: Option<u64>) {
        let Some(in_flight) = self.board.attempts.get_mut(&attempt) else {
            self.fault(Fault::UnknownAttempt { attempt });
            return;
        };
        in_flight.sent = true;
        let is_first = in_flight.output.is_none();
        let tokens = in_flight.output.map_or(tokens, |before| before.max(tokens));
        in_flight.output = Some(tokens);
        let request = &in_flight.task.request;
        let remaining = Work::remaining(request, tokens).min(in_flight.work);
        let done = Work(in_flight.work.0 - remaining.0);
        in_flight.work = remaining;
        let workspace = request.workspace.clone();
        let chat = request.chat.filter(|_| is_first);
        let epoch = in_flight.epoch;
        // The whole prompt is cached once output begins. The upstream's count of cached tokens is
        // larger where the length of the prompt was estimated too low.
        let prompt = request.prompt_tokens.max(cached.unwrap_or(0));
        let Some(slot) = self.board.loads.slot(&in_flight.upstream) else {
            return;
        };
        if done.0 > 0 {
            self.board
                .loads
                .change_own(now, slot, Work::default(), done);
            let usage = self.board.queues.usage_mut();
            usage.change_own(&workspace, Work::default(), done);
        }
        self.board.loads.upstream_mut(slot).last_output = now;
        if let Some(chat) = chat
            && self.board.loads.upstream(slot).epoch == epoch
        {
            self.record_prefix(chat, slot, prompt);
        }
    }

    pub(super) fn end(&mut self, now: Time, attempt: Attempt, outcome: Outcome) {
        let Some(in_flight) = self.release(now, attempt) else {
            // A cancelled attempt is no longer in flight.
            if outcome != Outcome::Cancelled {
                self.fault(Fault::UnknownAttempt { attempt });
            }
            return;
        };
        match outcome {
            Outcome::Complete => self.complete(now, &in_flight),
            Outcome::Cancelled => self
                .actions
                .push_back(Action::Close(in_flight.task.request.id)),
            Outcome::Declined { retry_after } => {
                if let Some(slot) = self.board.loads.slot(&in_flight.upstream) {
                    self.board.loads.lower_capacity(now, slot);
                }
                let ran = ran_if_declined(in_flight.output.is_some());
                let after = retry_after.map_or(RETRY_AFTER, |after| after.min(DECLINED_MAX));
                self.retry_or_refuse(now, in_flight.task, ran, after);
            }
            Outcome::Unreachable if !in_flight.sent => self.unreachable(now, in_flight),
            Outcome::Unreachable | Outcome::Broken => {
                self.count_failure(now, &in_flight);
                self.retry_or_refuse(now, in_flight.task, Ran::Unknown, RETRY_AFTER);
            }
        }
        self.start_queued(now);
    }

    /// Cancels an attempt at a stalled engine, ejects the engine and retries the request.
    pub(super) fn cancel_stalled(&mut self, now: Time, attempt: Attempt) {
        let Some(in_flight) = self.release(now, attempt) else {
            return;
        };
        self.actions.push_back(Action::Cancel {
            attempt,
            upstream: in_flight.upstream.clone(),
        });
        if let Some(slot) = self.board.loads.slot(&in_flight.upstream) {
            self.eject(now, slot);
        }
        self.retry_or_refuse(now, in_flight.task, Ran::Unknown, RETRY_AFTER);
    }

    /// Ejects an upstream unless too many upstreams of one of its pools are ejected already.
    pub(super) fn eject(&mut self, now: Time, slot: Slot) {
        let upstream = self.board.loads.upstream(slot);
        let name = upstream.name.clone();
        let pools = self.board.loads.pools();
        let allowed = upstream
            .pools
            .iter()
            .all(|index| outlier::may_eject(&pools[*index as usize]));
        if !upstream.open || !allowed {
            return;
        }
        let until = self.board.outliers.eject(now, slot);
        self.board.loads.set_open(slot, false, true);
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

    fn complete(&mut self, now: Time, in_flight: &InFlight) {
        let request = &in_flight.task.request;
        self.actions.push_back(Action::Close(request.id));
        let Some(slot) = self.board.loads.slot(&in_flight.upstream) else {
            return;
        };
        let time = now.since(in_flight.dispatched_at);
        self.board
            .outliers
            .record_success(slot, time, in_flight.initial_work.0);
        self.board.loads.upstream_mut(slot).last_output = now;
        if let Some(chat) = request.chat
            && self.board.loads.upstream(slot).epoch == in_flight.epoch
        {
            let output = in_flight.output.unwrap_or(request.output_tokens);
            let tokens = request.prompt_tokens.saturating_add(output);
            self.record_prefix(chat, slot, tokens);
        }
    }

    fn count_failure(&mut self, now: Time, in_flight: &InFlight) {
        if let Some(slot) = self.board.loads.slot(&in_flight.upstream)
            && self.board.outliers.record_failure(slot)
        {
            self.eject(now, slot);
        }
    }

    /// Ejects an upstream that could not be reached and places the request again.
    ///
    /// No byte was sent and no upstream did any work, so this neither takes a retry token nor
    /// counts as an attempt. In a partition a router may be unable to reach two thirds of a pool;
    /// each failure ejects one more upstream, which bounds the number of tries. A non-idempotent
    /// request still gets a single attempt.
    fn unreachable(&mut self, now: Time, in_flight: InFlight) {
        if let Some(slot) = self.board.loads.slot(&in_flight.upstream) {
            let known = self.board.upstreams.contains_key(&in_flight.upstream);
            if let Some(until) = self
                .board
                .outliers
                .eject_unreachable(now, slot)
                .filter(|_| known)
            {
                self.board.loads.set_open(slot, false, true);
                let reopen = Timer::Reopen(in_flight.upstream);
                self.timers.insert((until, reopen));
            }
        }
        let mut task = in_flight.task;
        task.attempts = task.attempts.saturating_sub(1);
        if task.request.idempotent && self.has_time(now, &task) {
            self.back_off(now, task);
        } else {
            self.give_up(&task, Reason::AttemptsFailed, RETRY_AFTER);
        }
    }

    /// Schedules a retry of a request if that is allowed, or refuses the request.
    fn retry_or_refuse(&mut self, now: Time, mut task: Task, ran: Ran, after: Duration) {
        task.ran = retry::merge_ran(task.ran, ran);
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

    /// Returns whether the target is served and a retry after the longest backoff would start
    /// before the deadline.
    fn has_time(&self, now: Time, task: &Task) -> bool {
        let due = now + retry::longest_backoff(task.attempts);
        due < task.request.deadline && self.is_served(&task.request.target)
    }

    fn back_off(&mut self, now: Time, task: Task) {
        let due = now + retry::backoff(task.attempts, &mut self.rng);
        let id = task.request.id;
        self.board.requests.insert(id, Stage::Backoff(due));
        self.timers.insert((due, Timer::Retry(id)));
        self.backoff.insert(id, task);
    }
}

/// Whether a declined request may have run: output proves that it did, whatever the upstream
/// reported.
const fn ran_if_declined(has_output: bool) -> Ran {
    if has_output {
        Ran::Unknown
    } else {
        Ran::NotRun
    }
}
