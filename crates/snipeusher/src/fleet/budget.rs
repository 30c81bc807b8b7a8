//! Retry budget: limits the retries that the fleet sends to a service.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::time::Time;

/// Length of the spans in which requests and retries are counted.
const BUCKET: Duration = Duration::from_millis(500);
/// Fraction of the limit that routers use. The rest covers a router that has just joined and that
/// the others don't count yet.
const USABLE_FRACTION: f64 = 0.85;

/// Share of its part by which a router may exceed it before others count what is beyond. Routers that
/// get the callers of another one use up what they earn by them at once, so they take its retries over
/// ahead of that.
const OVERDRAFT_MAX: f64 = 0.25;

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

/// Requests and retries of one service within a span of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spending {
    /// New requests of callers.
    pub requests: u32,
    /// Retries that were sent.
    pub retries: u32,
}

/// What was spent in a span of time, as a router states it to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Span {
    /// Milliseconds since the span began.
    pub age_ms: u32,
    /// What was spent in it.
    pub spending: Spending,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    since: Time,
    /// Its age at that time, if an earlier process has counted it.
    age_before: Duration,
    spending: Spending,
}

impl Bucket {
    fn age(&self, now: Time) -> Duration {
        now.since(self.since) + self.age_before
    }

    fn span(&self, now: Time, spending: Spending) -> Span {
        Span {
            age_ms: u32::try_from(self.age(now).as_millis()).unwrap_or(u32::MAX),
            spending,
        }
    }
}

/// Budget of the retries that this router may send to one service.
///
/// Each router may use the ratio of its own requests and an equal share of the slack. So the total
/// over all routers stays within the limits, although no router counts the retries of the others. If
/// the callers of a router move to others, which then earn retries by the same requests, it hands the
/// retries beyond its part over to them.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    buckets: VecDeque<Bucket>,
}

impl Budget {
    /// Counts a new request of a caller.
    pub fn record_request(&mut self, now: Time) {
        self.current(now).requests += 1;
    }

    /// Uses up one retry; returns false if none remains.
    ///
    /// `routers` is the number of routers that share the slack.
    pub fn try_retry(&mut self, now: Time, limits: &Limits, routers: usize) -> bool {
        let allowed = self.can_retry(now, limits, routers);
        if allowed {
            self.current(now).retries += 1;
        }
        allowed
    }

    /// Whether at least one retry remains.
    pub fn can_retry(&mut self, now: Time, limits: &Limits, routers: usize) -> bool {
        self.remaining(now, limits, routers) >= 1.0
    }

    /// Retries remaining at `now`.
    pub fn remaining(&mut self, now: Time, limits: &Limits, routers: usize) -> f64 {
        let part = self.part(now, limits, routers);
        (part - self.retries(now, limits)).max(0.0)
    }

    /// Retries within the window too far beyond the part of this router, rounded down. It exceeds its
    /// part without a further retry once the requests that it earned it by have left the window.
    pub fn overdraft(&mut self, now: Time, limits: &Limits, routers: usize) -> u32 {
        let part = self.part(now, limits, routers);
        let overdraft = self.retries(now, limits) - part * (1.0 + OVERDRAFT_MAX);
        overdraft.max(0.0) as u32
    }

    /// Retries within the window beyond the part of this router, rounded up. None of them may go
    /// uncounted if the router is lost, since it sends nothing that would use its part.
    pub fn excess(&mut self, now: Time, limits: &Limits, routers: usize) -> u32 {
        let part = self.part(now, limits, routers);
        let excess = self.retries(now, limits) - part;
        excess.max(0.0).ceil() as u32
    }

    /// Retries of others that this router can count, rounded down, so that it is not too far beyond its
    /// part itself. It sends none until it is within it.
    pub fn credit(&mut self, now: Time, limits: &Limits, routers: usize) -> u32 {
        let part = self.part(now, limits, routers);
        let credit = part * (1.0 + OVERDRAFT_MAX) - self.retries(now, limits);
        credit.max(0.0) as u32
    }

    /// What this router may spend in the window that ends at `now`.
    fn part(&mut self, now: Time, limits: &Limits, routers: usize) -> f64 {
        let requests = self.spending(now, limits.window).requests;
        let slack = limits.slack / routers.max(1) as f64;
        USABLE_FRACTION * (limits.ratio * f64::from(requests) + slack)
    }

    fn retries(&mut self, now: Time, limits: &Limits) -> f64 {
        f64::from(self.spending(now, limits.window).retries)
    }

    /// The newest retries, without the requests beside them: as many as are asked for and counted.
    pub fn newest_retries(&self, now: Time, count: u32) -> Vec<Span> {
        let mut left = count;
        let newest = self.buckets.iter().rev().map(|bucket| {
            let retries = bucket.spending.retries.min(left);
            left -= retries;
            bucket.span(
                now,
                Spending {
                    requests: 0,
                    retries,
                },
            )
        });
        newest.filter(|span| span.spending.retries > 0).collect()
    }

    /// Counts the newest retries no longer, since another router does.
    pub fn release(&mut self, count: u32) {
        let mut left = count;
        for bucket in self.buckets.iter_mut().rev() {
            let released = bucket.spending.retries.min(left);
            bucket.spending.retries -= released;
            left -= released;
        }
    }

    /// Requests and retries within the window that ends at `now`.
    pub fn spending(&mut self, now: Time, window: Duration) -> Spending {
        self.expire(now, window);
        let buckets = self.buckets.iter().map(|bucket| bucket.spending);
        buckets.fold(Spending::default(), |sum, spending| Spending {
            requests: sum.requests.saturating_add(spending.requests),
            retries: sum.retries.saturating_add(spending.retries),
        })
    }

    /// What was spent within the window, to be stated to others; empty if no retry was sent.
    pub fn spans(&mut self, now: Time, window: Duration) -> Vec<Span> {
        if self.spending(now, window).retries == 0 {
            return Vec::new();
        }
        let buckets = self.buckets.iter();
        let spans = buckets.map(|bucket| bucket.span(now, bucket.spending));
        spans.collect()
    }

    /// Adds what an earlier process of this router, or another one, has spent.
    pub fn add_earlier(&mut self, now: Time, spans: &[Span]) {
        let earlier = spans.iter().map(|span| Bucket {
            since: now,
            age_before: Duration::from_millis(u64::from(span.age_ms)),
            spending: span.spending,
        });
        self.buckets.extend(earlier);
        let buckets = self.buckets.make_contiguous();
        buckets.sort_by_key(|bucket| Reverse(bucket.age(now)));
    }

    fn current(&mut self, now: Time) -> &mut Spending {
        let last = self.buckets.back();
        if last.is_none_or(|last| last.age(now) >= BUCKET) {
            self.buckets.push_back(Bucket {
                since: now,
                age_before: Duration::ZERO,
                spending: Spending::default(),
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last].spending
    }

    fn expire(&mut self, now: Time, window: Duration) {
        // A bucket counts until its newest request is older than the window.
        let lifetime = window + BUCKET;
        while self
            .buckets
            .front()
            .is_some_and(|first| first.age(now) > lifetime)
        {
            self.buckets.pop_front();
        }
    }
}
