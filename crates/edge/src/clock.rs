//! The steady clock of the process, as the state machines see it.

use std::time::Duration;
use std::time::Instant;

use snipeusher::time::Time;

/// Turns instants into [`Time`] since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts at zero.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        Time::default() + self.origin.elapsed()
    }
}

/// Time left until an instant, zero if it has passed.
pub(crate) fn remaining(until: Instant) -> Duration {
    until.saturating_duration_since(Instant::now())
}
