//! Reachability of an availability zone, judged by all its upstreams.

use std::time::Duration;

use crate::time::Time;

/// Consecutive losses of upstreams after which the zone counts as unreachable; an answer of any
/// upstream of the zone resets the count.
const LOSSES_MAX: u32 = 2;
/// Time between connection attempts to an unreachable zone.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Reachability of one availability zone.
///
/// A network partition cuts off all upstreams of a zone at once. Waiting for each of them to fail
/// separately would lose requests that must not be retried.
#[derive(Clone, Debug, Default)]
pub struct Zone {
    losses: u32,
    probe_at: Time,
}

impl Zone {
    /// Resets the losses, since an upstream of the zone sent something or accepted a connection.
    pub const fn record_activity(&mut self) {
        self.losses = 0;
    }

    /// Counts an upstream of the zone that fell silent or cannot be reached.
    pub const fn record_loss(&mut self) {
        self.losses = self.losses.saturating_add(1);
    }

    /// Whether upstreams of other zones are preferred.
    pub const fn is_unreachable(&self) -> bool {
        self.losses >= LOSSES_MAX
    }

    /// Whether to attempt a connection at `now`. If so, schedules the next attempt.
    pub fn take_due_probe(&mut self, now: Time) -> bool {
        let is_due = self.is_unreachable() && self.probe_at <= now;
        if is_due {
            self.probe_at = now + PROBE_INTERVAL;
        }
        is_due
    }
}
