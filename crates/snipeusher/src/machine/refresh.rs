//! What time alone changes.

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

/// Distance between refreshes: short against the ages at which reports lose weight.
const REFRESH: Duration = Duration::from_millis(250);
/// Additional time without output that each prompt token allows, at 1 k tokens/s.
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
            self.board.queues.usage_mut().drop_peer(&host);
        }
        self.board.queues.usage_mut().refresh(now);
        for attempt in self.stalls(now) {
            self.stalled(now, attempt);
        }
        for slot in self.slow() {
            self.eject(now, slot);
        }
        let loads = &self.board.loads;
        let served = |target: &Target| loads.pool(target).is_some_and(|pool| pool.live > 0);
        for task in self.board.queues.stranded(served) {
            self.give_up(&task, Reason::NoUpstream, RETRY_AFTER);
        }
        for (task, after) in self.board.queues.hopeless(now) {
            self.give_up(&task, Reason::TooLate, after);
        }
        self.pump(now);
    }

    /// Attempts that may run twice at engines that have produced nothing since.
    fn stalls(&self, now: Time) -> Vec<Attempt> {
        let stalls = self.board.attempts.iter().filter(|(_, flight)| {
            let request = &flight.task.request;
            let Some(slot) = self.board.loads.slot(&flight.upstream) else {
                return false;
            };
            let alive = self.board.loads.upstream(slot).alive.max(flight.since);
            let tokens = u32::try_from(request.prompt_tokens).unwrap_or(u32::MAX);
            let allowed = STALL + STALL_PER_TOKEN * tokens;
            matches!(request.target, Target::Model(_))
                && request.idempotent
                && now.since(alive) > allowed
        });
        stalls.map(|(attempt, _)| *attempt).collect()
    }

    fn slow(&self) -> Vec<Slot> {
        let pools = self.board.loads.pools().iter();
        pools
            .flat_map(|pool| self.board.outliers.slow(pool))
            .collect()
    }
}
