//! For how long connections to the upstreams of a service may be idle, learnt from losses.
//!
//! An upstream may forget an idle connection early and without a word, and reset whatever is sent
//! on it next. Such a request is lost, since nobody can tell whether it ran. See
//! `docs/platform.md#health`.

use std::time::Duration;

use crate::time::Time;

/// Longest idle time after a loss. Upstreams that forget connections early do so after some
/// hundred milliseconds.
const AFTER_LOSS: Duration = Duration::from_millis(100);
/// A loss after a shorter idle time than this tells nothing of idle times.
const IDLE_MIN: Duration = Duration::from_millis(20);
/// Time without a loss after which a longer idle time is tried.
const RECOVERY: Duration = Duration::from_secs(5);
/// Factor by which it is longer then.
const RECOVERY_FACTOR: u32 = 4;
/// An idle time beyond this is no limit any more; the usual one is shorter.
const UNLIMITED: Duration = Duration::from_secs(10);

/// The limit that the last loss set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    idle: Duration,
    since: Time,
}

impl Limit {
    /// The limit after a connection was lost that had been idle for a time; `None` if the idle
    /// time is no likely cause.
    pub fn after_loss(now: Time, idle: Duration) -> Option<Self> {
        let limit = Self {
            idle: (idle / 2).clamp(IDLE_MIN, AFTER_LOSS),
            since: now,
        };
        (idle >= IDLE_MIN).then_some(limit)
    }

    /// The longest idle time at `now`; `None` once losses have stopped for so long that nothing
    /// limits it.
    pub fn at(&self, now: Time) -> Option<Duration> {
        let mut left = now.since(self.since);
        let mut idle = self.idle;
        while left >= RECOVERY {
            left -= RECOVERY;
            idle *= RECOVERY_FACTOR;
            if idle > UNLIMITED {
                return None;
            }
        }
        Some(idle)
    }
}
