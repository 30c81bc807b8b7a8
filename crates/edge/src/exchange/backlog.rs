//! How long a response waits for a caller that reads slowly.
//!
//! While the caller does not read, the router does not read from the upstream either. Upstreams abort
//! a response that stays unread for some seconds.

use std::time::Duration;

/// Wait for an upstream from which on it has nothing unread.
const CAUGHT_UP_AFTER: Duration = Duration::from_millis(20);
/// Time in which a caller did not read from which on an upstream may have aborted the response for
/// that reason.
const UNREAD_MIN: Duration = Duration::from_millis(500);

/// Time that the caller did not read since the router last waited for the upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backlog(Duration);

impl Backlog {
    /// Records that the router waited for the upstream.
    pub(super) fn record_wait(&mut self, time: Duration) {
        if time >= CAUGHT_UP_AFTER {
            self.0 = Duration::ZERO;
        }
    }

    /// Records that the router waited for the caller.
    pub(super) const fn record_unread(&mut self, time: Duration) {
        self.0 = self.0.saturating_add(time);
    }

    /// Whether the upstream may have aborted the response since it was not read.
    pub(super) fn explains_abort(&self) -> bool {
        self.0 >= UNREAD_MIN
    }
}
