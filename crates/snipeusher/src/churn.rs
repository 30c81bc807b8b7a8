//! Trust in upstreams that restart again and again.
//!
//! See `docs/design.md#cold-start-and-churn`.

use std::time::Duration;

use crate::time::Time;

/// Restarts without a hold-down: a planned replacement.
const FREE: u32 = 1;
/// Hold-down after the first restart beyond [`FREE`]; it doubles with each further one.
const HOLD: Duration = Duration::from_secs(2);
/// Longest hold-down.
const HOLD_MAX: Duration = Duration::from_mins(5);
/// One restart is forgiven in this time.
const FORGIVE: Duration = Duration::from_mins(10);

/// Restarts of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Record {
    restarts: u32,
    last: Time,
    until: Time,
    down: bool,
}

impl Record {
    /// Notes that the upstream is no longer live.
    pub const fn down(&mut self, now: Time) {
        self.down = true;
        self.last = now;
    }

    /// Notes that the upstream is live; counts a restart if it was not, and extends the
    /// hold-down.
    pub fn up(&mut self, now: Time) {
        if !self.down {
            return;
        }
        self.forgive(now);
        self.down = false;
        self.restarts = self.restarts.saturating_add(1);
        self.last = now;
        let beyond = self.restarts.saturating_sub(FREE);
        if beyond > 0 {
            let hold = HOLD.saturating_mul(1 << (beyond - 1).min(16));
            self.until = now + hold.min(HOLD_MAX);
        }
    }

    /// When the upstream may be used again.
    pub const fn until(&self) -> Time {
        self.until
    }

    /// Whether nothing is left to remember.
    pub fn clean(&self, now: Time) -> bool {
        let quiet = now.since(self.last).as_secs() / FORGIVE.as_secs();
        quiet > u64::from(self.restarts)
    }

    fn forgive(&mut self, now: Time) {
        let quiet = now.since(self.last).as_secs() / FORGIVE.as_secs();
        let forgiven = u32::try_from(quiet).unwrap_or(u32::MAX);
        self.restarts = self.restarts.saturating_sub(forgiven);
    }
}
