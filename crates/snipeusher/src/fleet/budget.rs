//! Retry budget: limits the retries that the fleet sends to a service.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

const BUCKET_MS: u64 = 500;
/// Fraction of the limit that routers use. The rest covers a router that has just joined and that
/// the others don't count yet.
const USABLE_FRACTION: f64 = 0.85;

/// Limits of the retries that all routers together send to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Retries allowed per request within the window.
    pub ratio: f64,
    /// Further retries within the window, shared by all routers.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 50.0,
            window: Duration::from_secs(10),
        }
    }
}

/// Requests and retries of one service within a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Spending {
    /// New requests of callers.
    pub requests: u32,
    /// Retries that were sent.
    pub retries: u32,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    since: Time,
    requests: u32,
    retries: u32,
}

/// Budget of the retries that this router may send to one service.
///
/// Each router may use the ratio of its own requests and an equal share of the slack. So the total
/// over all routers stays within the limits, although no router counts the retries of the others.
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
    pub fn try_retry(&mut self, now: Time, limits: &Limits, routers: usize) -> bool {
        let allowed = self.can_retry(now, limits, routers);
        if allowed {
            self.current_bucket(now).retries += 1;
        }
        allowed
    }

    /// Whether at least one retry remains.
    pub fn can_retry(&mut self, now: Time, limits: &Limits, routers: usize) -> bool {
        self.remaining(now, limits, routers) >= 1.0
    }

    /// Retries remaining at `now`.
    pub fn remaining(&mut self, now: Time, limits: &Limits, routers: usize) -> f64 {
        let Spending { requests, retries } = self.spending(now, limits.window);
        let slack = limits.slack / routers.max(1) as f64;
        let allowed = USABLE_FRACTION * (limits.ratio * f64::from(requests) + slack);
        (allowed - f64::from(retries)).max(0.0)
    }

    /// Requests and retries within the window that ends at `now`.
    pub fn spending(&mut self, now: Time, window: Duration) -> Spending {
        self.expire(now, window);
        let mut spending = Spending::default();
        for bucket in &self.buckets {
            spending.requests += bucket.requests;
            spending.retries += bucket.retries;
        }
        spending
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
