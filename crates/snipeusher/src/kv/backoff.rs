//! Delays between calls to a service that does not answer.

use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;

/// Doublings after which the delay no longer grows, which also keeps the shift in range.
const DOUBLINGS_MAX: u32 = 16;

/// Exponential backoff with jitter, so that routers don't retry all at once.
#[derive(Clone, Debug)]
pub struct Backoff {
    rng: Pcg64Mcg,
    first: Duration,
    longest: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff without failures. Each router passes its own seed.
    pub fn new(seed: u64, first: Duration, longest: Duration) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            first,
            longest,
            failures: 0,
        }
    }

    /// Failures since the last success.
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Resets the failure count after a success.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure and returns the delay before the next call: a random time between half of
    /// the doubled delay and all of it.
    pub fn fail(&mut self) -> Duration {
        let doubled = self
            .first
            .saturating_mul(1 << self.failures.min(DOUBLINGS_MAX));
        self.failures = self.failures.saturating_add(1);
        let delay = doubled.min(self.longest);
        delay / 2 + self.below(delay / 2)
    }

    /// A random delay of at most `most`.
    pub fn below(&mut self, most: Duration) -> Duration {
        let micros = u64::try_from(most.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(self.rng.random_range(0..=micros))
    }

    /// A random number, for ids that must be unique.
    pub fn random(&mut self) -> u64 {
        self.rng.random()
    }
}
