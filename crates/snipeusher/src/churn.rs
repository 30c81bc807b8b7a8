//! Hold-down of upstreams that restart repeatedly.
//!
//! See `docs/design.md#cold-start-and-churn`.

use std::time::Duration;

use crate::time::Time;

/// Restarts without a hold-down, so that a planned replacement causes none.
const FREE_RESTARTS: u32 = 1;
/// Hold-down after the first restart beyond [`FREE_RESTARTS`]; it doubles with each further one.
const HOLD_DOWN: Duration = Duration::from_secs(2);
/// Longest hold-down.
const HOLD_DOWN_MAX: Duration = Duration::from_mins(5);
/// Time without a restart or stop after which the count falls by one.
const DECAY_INTERVAL: Duration = Duration::from_mins(10);

/// Restart record of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Record {
    restarts: u32,
    last_change: Time,
    held_until: Time,
    down: bool,
}

impl Record {
    /// Records that the upstream is no longer live.
    pub const fn mark_down(&mut self, now: Time) {
        self.down = true;
        self.last_change = now;
    }

    /// Records that the upstream is live. If it was down, this counts as a restart and may start
    /// a hold-down.
    pub fn mark_up(&mut self, now: Time) {
        if !self.down {
            return;
        }
        self.decay(now);
        self.down = false;
        self.restarts = self.restarts.saturating_add(1);
        self.last_change = now;
        let excess = self.restarts.saturating_sub(FREE_RESTARTS);
        if excess > 0 {
            let hold_down = HOLD_DOWN.saturating_mul(1 << (excess - 1).min(16));
            self.held_until = now + hold_down.min(HOLD_DOWN_MAX);
        }
    }

    /// End of the hold-down.
    pub const fn held_until(&self) -> Time {
        self.held_until
    }

    /// Returns whether the record has decayed completely and may be removed.
    pub fn is_expired(&self, now: Time) -> bool {
        let intervals = now.since(self.last_change).as_secs() / DECAY_INTERVAL.as_secs();
        intervals > u64::from(self.restarts)
    }

    /// Lowers the count by one for each interval without a change.
    fn decay(&mut self, now: Time) {
        let intervals = now.since(self.last_change).as_secs() / DECAY_INTERVAL.as_secs();
        let decayed = u32::try_from(intervals).unwrap_or(u32::MAX);
        self.restarts = self.restarts.saturating_sub(decayed);
    }
}
