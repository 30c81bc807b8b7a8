//! Token bucket that limits what one router sends to one upstream.

use std::time::Duration;

use crate::time::Time;

/// A token bucket; each request takes one token.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Bucket {
    /// Tokens gained a second.
    rate: f64,
    /// Tokens that can be saved up.
    capacity: f64,
    /// Tokens at `filled_at`.
    tokens: f64,
    filled_at: Time,
}

impl Bucket {
    /// Creates a bucket that holds `tokens`.
    pub(super) const fn new(now: Time, rate: f64, capacity: f64, tokens: f64) -> Self {
        Self {
            rate,
            capacity,
            tokens,
            filled_at: now,
        }
    }

    /// The tokens that it holds.
    pub(super) fn tokens(&self, now: Time) -> f64 {
        let gained = self.rate * now.since(self.filled_at).as_secs_f64();
        (self.tokens + gained).min(self.capacity)
    }

    /// Changes its rate and capacity from `at` on.
    pub(super) fn set_rate(&mut self, at: Time, rate: f64, capacity: f64) {
        self.tokens = self.tokens(at);
        self.filled_at = self.filled_at.max(at);
        self.rate = rate;
        self.capacity = capacity;
    }

    /// Takes a token.
    pub(super) fn take(&mut self, now: Time) {
        self.tokens = self.tokens(now) - 1.0;
        self.filled_at = now;
    }

    /// Time until it holds a token; `None` if it gains none.
    pub(super) fn wait(&self, now: Time) -> Option<Duration> {
        let missing = (1.0 - self.tokens(now)).max(0.0);
        Duration::try_from_secs_f64(missing / self.rate).ok()
    }
}
