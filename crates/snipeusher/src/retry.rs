//! Retries of failed requests: conditions, budget and backoff.
//!
//! See `docs/design.md#retries`.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use crate::name;
use crate::request::Ran;
use crate::request::Task;

/// Highest number of attempts of one request.
pub const ATTEMPTS_MAX: u32 = 3;
/// Retry tokens of a workspace at its first request, and the maximum that it may accumulate. The
/// loss of a zone breaks all its streams at once, and even the only request of a workspace must
/// survive the failure of an engine.
const BURST: f64 = 10.0;
/// Longest backoff before the first retry; the mean is three quarters of it.
const BACKOFF: Duration = Duration::from_millis(20);
/// Longest backoff before any retry.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Retry tokens by workspace; each request adds a fraction of a token.
///
/// As each router limits its retries to this fraction of its requests, so does the fleet.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    tokens: BTreeMap<name::Workspace, f64>,
}

impl Budget {
    /// Adds the fraction of a token for one request.
    pub(crate) fn deposit(&mut self, workspace: &name::Workspace, ratio: f64) {
        let tokens = self.tokens.entry(workspace.clone()).or_insert(BURST);
        *tokens = (*tokens + ratio).min(BURST);
    }

    /// Takes one token for a retry; returns false if there is none or `ratio` is zero.
    pub(crate) fn withdraw(&mut self, workspace: &name::Workspace, ratio: f64) -> bool {
        let Some(tokens) = self.tokens.get_mut(workspace) else {
            return false;
        };
        let allowed = ratio > 0.0 && *tokens >= 1.0;
        if allowed {
            *tokens -= 1.0;
        }
        allowed
    }

    /// Removes a workspace.
    pub(crate) fn remove(&mut self, workspace: &name::Workspace) {
        self.tokens.remove(workspace);
    }

    /// Remaining tokens of a workspace.
    pub fn remaining(&self, workspace: &name::Workspace) -> f64 {
        self.tokens.get(workspace).copied().unwrap_or(0.0)
    }
}

/// Returns whether a request may be retried, apart from budget and deadline.
///
/// A non-idempotent request gets a single attempt.
pub fn eligible(task: &Task) -> bool {
    task.request.idempotent && task.attempts < ATTEMPTS_MAX
}

/// The longest backoff after a number of attempts; it doubles with each of them.
pub fn longest_backoff(attempts: u32) -> Duration {
    let doubled = BACKOFF * (1 << attempts.saturating_sub(1).min(10));
    doubled.min(BACKOFF_MAX)
}

/// A random backoff between half of the longest one and the longest one.
pub fn backoff<R: Rng>(attempts: u32, rng: &mut R) -> Duration {
    let longest = longest_backoff(attempts).as_micros() as u64;
    Duration::from_micros(rng.random_range(longest / 2..=longest))
}

/// Combines whether earlier attempts may have run with the same for the last attempt.
pub const fn merge_ran(before: Ran, attempt: Ran) -> Ran {
    match (before, attempt) {
        (Ran::NotRun, Ran::NotRun) => Ran::NotRun,
        _ => Ran::Unknown,
    }
}
