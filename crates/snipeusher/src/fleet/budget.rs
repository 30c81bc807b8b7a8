//! Retry budget: limits the retries that the fleet sends to a service.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

const BUCKET_MS: u64 = 500;
/// Fraction of the allowance that routers use. The rest covers a router that has just joined and
/// that the others don't count yet.
const USABLE_FRACTION: f64 = 0.85;

/// Limits of the retries that all routers together send to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Retries allowed per request within the window.
    pub ratio: f64,
    /// Further retries within the window, shared by all routers.
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
    retries: u32,
}

/// Repeats of requests that this router may send to one service.
///
/// Each router takes the ratio of its own requests and an equal part of the slack, so that the
/// sum over all routers keeps to the bound while none counts the others' retries.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    buckets: VecDeque<Bucket>,
}

impl Budget {
    /// Counts a new request of a caller.
    pub fn record_request(&mut self, now: Time) {
        self.current_bucket(now).requests += 1;
    }

    /// Uses up one retry; returns false if none remains.
    ///
    /// `routers` is the number of routers that share the slack.
    pub fn try_retry(&mut self, now: Time, bounds: &Bounds, routers: usize) -> bool {
        let allowed = self.can_retry(now, bounds, routers);
        if allowed {
            self.current_bucket(now).retries += 1;
        }
        allowed
    }

    /// Whether at least one retry remains.
    pub fn can_retry(&mut self, now: Time, bounds: &Bounds, routers: usize) -> bool {
        self.remaining(now, bounds, routers) >= 1.0
    }

    /// Retries remaining at `now`.
    pub fn remaining(&mut self, now: Time, bounds: &Bounds, routers: usize) -> f64 {
        self.expire(now, bounds.window);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let slack = bounds.slack / routers.max(1) as f64;
        let allowed = USABLE_FRACTION * (bounds.ratio * f64::from(requests) + slack);
        (allowed - f64::from(retries)).max(0.0)
    }

    fn current_bucket(&mut self, now: Time) -> &mut Bucket {
        let is_current = self
            .buckets
            .back()
            .is_some_and(|last| now.since(last.since) < Duration::from_millis(BUCKET_MS));
        if !is_current {
            self.buckets.push_back(Bucket {
                since: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn expire(&mut self, now: Time, window: Duration) {
        // A bucket counts until its newest request is older than the window.
        let lifetime = window + Duration::from_millis(BUCKET_MS);
        while self
            .buckets
            .front()
            .is_some_and(|first| now.since(first.since) > lifetime)
        {
            self.buckets.pop_front();
        }
    }
}
