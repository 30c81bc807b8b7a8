//! Upstreams with an overdue response.
//!
//! A router that gave up waiting for one response prefers other upstreams for all requests. After a
//! while one request tries the upstream again; the time doubles until the upstream sends something.
//! See `docs/platform.md#health`.

use std::time::Duration;

use crate::time::Time;

/// Time for which others are preferred after the first overdue response.
const AVOID_TIME: Duration = Duration::from_secs(1);
/// Doublings up to the longest time, which is eight seconds.
const DOUBLINGS_MAX: u32 = 3;

/// Whether other upstreams are preferred, since a response of this one is overdue.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overdue {
    until: Option<Time>,
    count: u32,
}

impl Overdue {
    /// Whether other upstreams are preferred at a time.
    pub fn is_active(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Records that a request was given up since its response was overdue.
    pub(super) fn record(&mut self, now: Time) {
        let time = AVOID_TIME * (1 << self.count.min(DOUBLINGS_MAX));
        self.until = Some(now + time);
        self.count = self.count.saturating_add(1);
    }

    /// Records that a request was sent. Once the time is over it is a trial, during which no
    /// further one is sent.
    pub(super) fn record_sent(&mut self, now: Time) {
        if self.until.is_some() && !self.is_active(now) {
            self.until = Some(now + AVOID_TIME);
        }
    }

    /// Records that the upstream sent something.
    pub(super) const fn record_activity(&mut self) {
        self.until = None;
        self.count = 0;
    }
}
