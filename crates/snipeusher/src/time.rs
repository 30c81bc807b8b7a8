//! Time for the state machines, which read no clock.

use std::fmt;
use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A point in time, in microseconds since an origin that the embedding process chooses.
///
/// It is monotonic within one process and is never compared between processes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// A point that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// The point `ms` milliseconds after the origin.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms.saturating_mul(1_000))
    }

    /// The time elapsed since `earlier`, or zero if `earlier` is later, so that a clock that jumps
    /// back causes no underflow.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}
