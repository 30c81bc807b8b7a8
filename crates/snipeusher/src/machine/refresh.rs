//! Periodic refresh of state that changes with time.

use std::time::Duration;

use crate::load::Slot;
use crate::load::Strategy;
use crate::outlier::STALL;
use crate::request::Attempt;
use crate::request::Target;
use crate::time::Time;

use super::Machine;
use super::Reason;
use super::Timer;
use super::flow::RETRY_AFTER;

/// Interval between refreshes; short compared with the age at which reports lose weight.
const REFRESH: Duration = Duration::from_millis(250);
/// Additional time without output that is allowed for each prompt token, at 1 k tokens/s.
const STALL_PER_TOKEN: Duration = Duration::from_millis(1);

impl<S: Strategy> Machine<S> {
    pub(super) fn schedule_refresh(&mut self, now: Time) {
        let idle = self.board.upstreams.is_empty()
            && self.board.loads.routers() == 1
            && self.board.requests.is_empty();
        if !self.refreshing && !idle {
            self.refreshing = true;
            self.timers.insert((now + REFRESH, Timer::Refresh));
        }
    }

    pub(super) fn refresh(&mut self, now: Time) {
        self.refreshing = false;
        self.sweep(now);
        self.slots.expire(now, &mut self.board.loads);
        for host in self.board.loads.refresh(now) {
            self.board.queues.usage_mut().remove_peer(&host);
        }
        self.board.queues.usage_mut().refresh(now);
        for attempt in self.stalled_attempts(now) {
            self.cancel_stalled(now, attempt);
        }
        for slot in self.slow_upstreams() {
            self.eject(now, slot);
        }
        let loads = &self.board.loads;
        let served = |target: &Target| loads.pool(target).is_some_and(|pool| pool.live > 0);
        for task in self.board.queues.remove_unserved(served) {
            self.give_up(&task, Reason::NoUpstream, RETRY_AFTER);
        }
        for (task, after) in self.board.queues.remove_late(now) {
            self.give_up(&task, Reason::TooLate, after);
        }
        self.start_queued(now);
    }

    /// Attempts at stalled engines, of requests that may run more than once.
    fn stalled_attempts(&self, now: Time) -> Vec<Attempt> {
        let stalls = self.board.attempts.iter().filter(|(_, in_flight)| {
            let request = &in_flight.task.request;
            let Some(slot) = self.board.loads.slot(&in_flight.upstream) else {
                return false;
            };
            let last_output = self.board.loads.upstream(slot).last_output;
            let waiting_since = last_output.max(in_flight.dispatched_at);
            let tokens = u32::try_from(request.prompt_tokens).unwrap_or(u32::MAX);
            let allowed = STALL + STALL_PER_TOKEN * tokens;
            matches!(request.target, Target::Model(_))
                && request.idempotent
                && now.since(waiting_since) > allowed
        });
        stalls.map(|(attempt, _)| *attempt).collect()
    }

    fn slow_upstreams(&self) -> Vec<Slot> {
        let pools = self.board.loads.pools().iter();
        pools
            .flat_map(|pool| self.board.outliers.slow(pool))
            .collect()
    }
}
