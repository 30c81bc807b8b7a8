//! Limits the idle time of pooled connections to the upstreams of a service after losses.
//!
//! An upstream may drop an idle connection without closing it, and reset the next request sent on
//! it. Such a request cannot be retried, since it may have run. See
//! `docs/platform.md#health`.

use std::time::Duration;

use crate::time::Time;

/// Largest limit right after a loss: upstreams that drop connections early do so after a few
/// hundred milliseconds.
const LIMIT_AFTER_LOSS: Duration = Duration::from_millis(100);
/// Smallest limit. A loss after a shorter idle time is not attributed to idleness.
const IDLE_MIN: Duration = Duration::from_millis(20);
/// Time without a loss after which the limit is raised.
const RECOVERY: Duration = Duration::from_secs(5);
/// Factor by which the limit is raised.
const RECOVERY_FACTOR: u32 = 4;
/// A limit above this is lifted, since it exceeds the usual idle timeout.
const UNLIMITED: Duration = Duration::from_secs(10);

/// Idle-time limit set by the last loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    idle: Duration,
    since: Time,
}

impl Limit {
    /// The limit after the loss of a connection that had been idle for `idle`; `None` if that is
    /// too short to be the cause.
    pub fn after_loss(now: Time, idle: Duration) -> Option<Self> {
        let limit = Self {
            idle: (idle / 2).clamp(IDLE_MIN, LIMIT_AFTER_LOSS),
            since: now,
        };
        (idle >= IDLE_MIN).then_some(limit)
    }

    /// The longest allowed idle time at `now`; `None` once the limit has been lifted.
    pub fn at(&self, now: Time) -> Option<Duration> {
        let mut elapsed = now.since(self.since);
        let mut idle = self.idle;
        while elapsed >= RECOVERY {
            elapsed -= RECOVERY;
            idle *= RECOVERY_FACTOR;
            if idle > UNLIMITED {
                return None;
            }
        }
        Some(idle)
    }
}
