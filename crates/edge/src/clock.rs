//! The monotonic clock of the process.

use std::time::Duration;
use std::time::Instant;

use snipeusher::time::Time;

/// Measures [`Time`] from the start of the process, as the state machines expect it.
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

/// Time until a deadline, zero if it has passed.
pub(crate) fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
