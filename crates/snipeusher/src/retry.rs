//! Which failed requests are tried again, and when.
//!
//! See `docs/design.md#retries`.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use crate::name;
use crate::request::Ran;
use crate::request::Task;

/// Most attempts of one request.
pub const ATTEMPTS_MAX: u32 = 3;
/// Retries that a workspace may make at once, from its first request on. A cut zone breaks all
/// its streams at one moment, and a single request to a dead engine must not be lost.
const BURST: f64 = 10.0;
/// Mean backoff before the first retry is three quarters of this.
const BACKOFF: Duration = Duration::from_millis(20);
/// Longest backoff.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Retry tokens of each workspace: a fraction of its requests.
///
/// Each router keeps to its fraction, so that the fleet does as well.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    tokens: BTreeMap<name::Workspace, f64>,
}

impl Budget {
    /// Counts a request.
    pub(crate) fn deposit(&mut self, workspace: &name::Workspace, ratio: f64) {
        let tokens = self.tokens.entry(workspace.clone()).or_insert(BURST);
        *tokens = (*tokens + ratio).min(BURST);
    }

    /// Takes the token for one retry; false if there is none or the ratio is zero.
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

    /// Forgets a workspace.
    pub(crate) fn forget(&mut self, workspace: &name::Workspace) {
        self.tokens.remove(workspace);
    }

    /// Tokens left to a workspace.
    pub fn left(&self, workspace: &name::Workspace) -> f64 {
        self.tokens.get(workspace).copied().unwrap_or(0.0)
    }
}

/// Whether a request may be tried again after its last attempt, apart from budget and time.
///
/// Non-idempotent work gets one attempt.
pub fn eligible(task: &Task) -> bool {
    task.request.idempotent && task.tries < ATTEMPTS_MAX
}

/// The longest time until the next attempt, exponential in the tries so far.
pub fn longest(tries: u32) -> Duration {
    let doubled = BACKOFF * (1 << tries.saturating_sub(1).min(10));
    doubled.min(BACKOFF_MAX)
}

/// The time until the next attempt, of which half is random.
pub fn backoff<R: Rng>(tries: u32, rng: &mut R) -> Duration {
    let longest = longest(tries).as_micros() as u64;
    Duration::from_micros(rng.random_range(longest / 2..=longest))
}

/// Whether a request may have run after an attempt that ended with `attempt`.
pub const fn ran(before: Ran, attempt: Ran) -> Ran {
    match (before, attempt) {
        (Ran::NotRun, Ran::NotRun) => Ran::NotRun,
        _ => Ran::Unknown,
    }
}
