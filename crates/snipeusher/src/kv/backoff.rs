//! Waits between calls of a service that does not answer.

use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;

/// Doublings after which the wait stays the same; it also keeps the shift in range.
const DOUBLINGS_MAX: u32 = 16;

/// Exponential backoff with jitter, so that a fleet does not call again all at once.
#[derive(Clone, Debug)]
pub struct Backoff {
    rng: Pcg64Mcg,
    first: Duration,
    longest: Duration,
    failures: u32,
}

impl Backoff {
    /// Starts with no failure; each router passes a seed of its own.
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

    /// Forgets the failures.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure and gives the wait before the next call: between half and all of the
    /// doubled wait.
    pub fn fail(&mut self) -> Duration {
        let doubled = self
            .first
            .saturating_mul(1 << self.failures.min(DOUBLINGS_MAX));
        self.failures = self.failures.saturating_add(1);
        let wait = doubled.min(self.longest);
        wait / 2 + self.below(wait / 2)
    }

    /// A random wait of at most `most`.
    pub fn below(&mut self, most: Duration) -> Duration {
        let micros = u64::try_from(most.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(self.rng.random_range(0..=micros))
    }

    /// A random number, for identities that must not repeat.
    pub fn random(&mut self) -> u64 {
        self.rng.random()
    }
}
