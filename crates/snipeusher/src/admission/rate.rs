//! How fast a router gets work through to a kind of upstream.

use std::time::Duration;

use crate::time::Time;

/// Length of one measurement.
const WINDOW: Duration = Duration::from_secs(1);
/// A first measurement of this length is used before the window ends.
const FIRST: Duration = Duration::from_millis(250);
/// A queue from which nothing starts for this long has come to a halt; before that, an empty
/// window only means that the work in flight takes longer than the window.
const HALT: Duration = Duration::from_secs(5);
/// Weight of a new window against the earlier ones.
const WEIGHT: f64 = 0.3;

/// Work that leaves the queues for one kind, measured only while something waits for it.
///
/// Without a backlog the rate says what arrives and not what the upstreams can take.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    /// Requests that wait.
    pub waiting: u32,
    since: Time,
    work: u64,
    per_s: Option<f64>,
}

impl Rate {
    /// Starts a window as the first request begins to wait.
    pub fn begin(&mut self, now: Time) {
        self.since = now;
        self.work = 0;
    }

    /// Counts work that left the queue, or nothing as time passes.
    pub fn count(&mut self, now: Time, work: u64) {
        self.work = self.work.saturating_add(work);
        let length = now.since(self.since);
        if length < WINDOW || (self.work == 0 && length < HALT) {
            return;
        }
        let seen = self.work as f64 / length.as_secs_f64();
        let before = self.per_s.unwrap_or(seen);
        self.per_s = Some(before + (seen - before) * WEIGHT);
        self.begin(now);
    }

    /// Work per second, if it was measured.
    pub fn per_s(&self, now: Time) -> Option<f64> {
        let length = now.since(self.since);
        let first =
            (length >= FIRST && self.work > 0).then(|| self.work as f64 / length.as_secs_f64());
        self.per_s.or(first)
    }
}
