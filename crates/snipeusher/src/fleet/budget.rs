//! How many repeats of requests the fleet may send to a service.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// Length of a bucket of the window.
const BUCKET_MS: u64 = 500;
/// Part of the allowance that is used, so that a router which has just joined and is not yet
/// counted by the others does not push the fleet over it.
const MARGIN: f64 = 0.85;

/// The allowance of the whole fleet for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Repeats for each request within the window.
    pub ratio: f64,
    /// Repeats beyond that within the window, for all routers together.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 50.0,
            window: Duration::from_secs(10),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    since: Time,
    requests: u32,
    repeats: u32,
}

/// Repeats of requests that this router may send to one service.
///
/// Each router takes the ratio of its own requests and an equal part of the slack, so that the
/// sum over all routers keeps to the bound while none counts the others' repeats.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    buckets: VecDeque<Bucket>,
}

impl Budget {
    /// Counts a request that a caller sent.
    pub fn request(&mut self, now: Time) {
        self.bucket(now).requests += 1;
    }

    /// Takes one repeat, or returns false if the allowance is used up.
    ///
    /// `routers` is how many routers share the slack.
    pub fn repeat(&mut self, now: Time, bounds: &Bounds, routers: usize) -> bool {
        let allowed = self.allows(now, bounds, routers);
        if allowed {
            self.bucket(now).repeats += 1;
        }
        allowed
    }

    /// Whether a repeat would be allowed.
    pub fn allows(&mut self, now: Time, bounds: &Bounds, routers: usize) -> bool {
        self.left(now, bounds, routers) >= 1.0
    }

    /// Repeats that are left at `now`.
    pub fn left(&mut self, now: Time, bounds: &Bounds, routers: usize) -> f64 {
        self.expire(now, bounds.window);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        let slack = bounds.slack / routers.max(1) as f64;
        let allowed = MARGIN * (bounds.ratio * f64::from(requests) + slack);
        (allowed - f64::from(repeats)).max(0.0)
    }

    fn bucket(&mut self, now: Time) -> &mut Bucket {
        let is_current = self
            .buckets
            .back()
            .is_some_and(|last| now.since(last.since) < Duration::from_millis(BUCKET_MS));
        if !is_current {
            self.buckets.push_back(Bucket {
                since: now,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn expire(&mut self, now: Time, window: Duration) {
        // A bucket counts until all of it has left the window.
        let keep = window + Duration::from_millis(BUCKET_MS);
        while self
            .buckets
            .front()
            .is_some_and(|first| now.since(first.since) > keep)
        {
            self.buckets.pop_front();
        }
    }
}
