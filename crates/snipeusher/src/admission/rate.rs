//! The rate at which a router dispatches queued work to a pool of upstreams.

use std::time::Duration;

use crate::time::Time;

/// Length of one measurement window.
const WINDOW: Duration = Duration::from_secs(1);
/// Age at which the first window is used although it has not ended.
const FIRST_WINDOW_MIN: Duration = Duration::from_millis(250);
/// Time without any start after which a rate of zero is recorded; a shorter window without a
/// start only means that the work in flight takes longer than the window.
const HALT: Duration = Duration::from_secs(5);
/// Weight of a new window in the moving average.
const WEIGHT: f64 = 0.3;

/// Moving average of the work that leaves the queues for one target, measured only while
/// requests wait for it.
///
/// Without a backlog the rate would show how much work arrives, not how much the upstreams can
/// process.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    /// Number of waiting requests.
    pub waiting: u32,
    window_start: Time,
    work: u64,
    per_s: Option<f64>,
}

impl Rate {
    /// Starts a new window.
    pub fn begin(&mut self, now: Time) {
        self.window_start = now;
        self.work = 0;
    }

    /// Counts work that left the queue, and ends the window if it is long enough. `work` may be
    /// zero.
    pub fn count(&mut self, now: Time, work: u64) {
        self.work = self.work.saturating_add(work);
        let length = now.since(self.window_start);
        if length < WINDOW || (self.work == 0 && length < HALT) {
            return;
        }
        let measured = self.work as f64 / length.as_secs_f64();
        let before = self.per_s.unwrap_or(measured);
        self.per_s = Some(before + (measured - before) * WEIGHT);
        self.begin(now);
    }

    /// Work per second, or `None` if it was not measured yet.
    pub fn per_s(&self, now: Time) -> Option<f64> {
        let length = now.since(self.window_start);
        let first_window = (length >= FIRST_WINDOW_MIN && self.work > 0)
            .then(|| self.work as f64 / length.as_secs_f64());
        self.per_s.or(first_window)
    }
}
