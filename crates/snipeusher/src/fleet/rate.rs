//! Rate limits that upstreams state, and this router's share of them.
//!
//! An upstream in trouble states how many requests a second it takes from all routers together. No
//! router sees what the others send, so the limit is divided: a few routers, the same for all by
//! rendezvous hashing, get an equal share each, and the others send nothing. Shares of less than a
//! request a second or so would add up to a burst if all routers had saved one request each. See
//! `docs/platform.md#rate-limits`.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Upstream;
use crate::hash;
use crate::name;
use crate::time::Time;

/// Routers that share a limit, beside one for each request a second. Each may send one request at
/// once, so this bounds the burst of all of them.
const SHARERS: f64 = 3.0;
/// Time in which a router that does not use its share saves requests for a burst.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Lowest rate in requests a second. An upstream that gets nothing cannot tell that its limit has
/// ended.
const RATE_MIN: f64 = 0.25;
/// Time for which a limit holds if nothing more is heard of the upstream.
const RETENTION: Duration = Duration::from_secs(30);
/// When to retry a request whose upstream is shared by other routers only.
const OTHERS_RETRY: Duration = Duration::from_millis(500);

/// What an upstream stated about its rate limit, as sent to peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateLimit {
    /// The upstream.
    pub upstream: name::Upstream,
    /// Its incarnation.
    pub incarnation: name::Incarnation,
    /// Requests a second that it takes from all routers together; `None` if the limit has ended.
    pub per_s: Option<f64>,
    /// Time since the statement in milliseconds.
    pub age_ms: u32,
}

/// The routers of the fleet, as hashes of their hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Routers {
    own: u64,
    others: Vec<u64>,
    /// Routers that are assumed to run, of which some may not be known yet.
    count: usize,
}

impl Routers {
    pub(super) const fn new(own: u64, others: Vec<u64>, count: usize) -> Self {
        Self { own, others, count }
    }

    /// How many of the slots of an upstream this router has for itself. All routers together have
    /// them all.
    pub(super) fn own_slots(&self, upstream: &Upstream) -> u32 {
        self.slots_of(self.own, upstream)
    }

    /// The same for any router, given the hash of its host. An upstream that states no slots has
    /// one for each router.
    pub(super) fn slots_of(&self, router: u64, upstream: &Upstream) -> u32 {
        let Some(slots) = upstream.entry.slots else {
            return 1;
        };
        let count = self.count.max(self.others.len() + 1).max(1) as u32;
        let score = |router| hash::score(upstream.id_hash, router);
        let all = self.others.iter().chain([&self.own]);
        let before = all.filter(|other| score(**other) > score(router));
        let has_one_more = (before.count() as u32) < slots % count;
        slots / count + u32::from(has_one_more)
    }

    /// This router's share of a limit of an upstream, in requests a second.
    pub(super) fn share(&self, upstream: u64, per_s: f64) -> f64 {
        let per_s = per_s.max(RATE_MIN);
        let count = self.count.max(self.others.len() + 1).max(1);
        let sharers = (per_s + SHARERS).min(count as f64).floor();
        let own = hash::score(upstream, self.own);
        let others = self.others.iter();
        let before = others.filter(|other| hash::score(upstream, **other) > own);
        if (before.count() as f64) < sharers {
            per_s / sharers
        } else {
            0.0
        }
    }
}

/// What is known of the rate limit of an upstream.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    bucket: Option<Bucket>,
    /// When the upstream last stated a limit or, by answering without one, that it has none.
    heard_at: Time,
    /// When it was heard that a limit has ended.
    ended_at: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// The limit for all routers, in requests a second.
    per_s: f64,
    /// This router's share of it.
    share: f64,
    /// Requests that this router might send at `filled_at`.
    tokens: f64,
    filled_at: Time,
}

impl Bucket {
    fn tokens(&self, now: Time) -> f64 {
        let most = (self.share * BURST_TIME.as_secs_f64()).max(1.0);
        let gained = self.share * now.since(self.filled_at).as_secs_f64();
        (self.tokens + gained).min(most)
    }

    fn set_share(&mut self, now: Time, share: f64) {
        self.tokens = self.tokens(now);
        self.filled_at = now;
        self.share = share;
    }
}

impl Rate {
    /// The limit for all routers together, in requests a second.
    pub fn limit(&self, now: Time) -> Option<f64> {
        let bucket = self.bucket.as_ref()?;
        (now.since(self.heard_at) < RETENTION).then_some(bucket.per_s)
    }

    /// What has to be told to peers: the limit, or `None` if it ended not long ago, and how long
    /// ago the upstream stated so.
    pub(super) fn stated(&self, now: Time) -> Option<(Duration, Option<f64>)> {
        let limit = self.limit(now);
        let has_ended = self.ended_at.is_some_and(|at| now.since(at) < RETENTION);
        (limit.is_some() || has_ended).then(|| (now.since(self.heard_at), limit))
    }

    /// Whether this router has sent its share.
    pub fn is_exhausted(&self, now: Time) -> bool {
        let bucket = self.bucket.as_ref();
        self.limit(now).is_some() && bucket.is_some_and(|bucket| bucket.tokens(now) < 1.0)
    }

    /// When a request may be sent, here or by another router; `None` if at once.
    pub(super) fn available_at(&self, now: Time) -> Option<Time> {
        if !self.is_exhausted(now) {
            return None;
        }
        let bucket = self.bucket.as_ref()?;
        let missing = 1.0 - bucket.tokens(now);
        let wait = Duration::try_from_secs_f64(missing / bucket.share);
        Some(now + wait.unwrap_or(OTHERS_RETRY))
    }

    /// Records what the upstream stated at a time, unless something newer is known. `share` gives
    /// this router's share of a limit. Returns whether this is news.
    pub(super) fn record(
        &mut self,
        now: Time,
        at: Time,
        per_s: Option<f64>,
        share: impl Fn(f64) -> f64,
    ) -> bool {
        if at < self.heard_at {
            return false;
        }
        let known = self.limit(now);
        self.heard_at = at;
        let Some(per_s) = per_s else {
            self.bucket = None;
            self.ended_at = known.map_or(self.ended_at, |_| Some(now));
            return known.is_some();
        };
        let share = share(per_s);
        // What was sent before the limit was known counts as well, so nothing is saved up.
        let bucket = self.bucket.filter(|_| known.is_some());
        let mut bucket = bucket.unwrap_or(Bucket {
            per_s,
            share,
            tokens: 0.0,
            filled_at: now,
        });
        bucket.set_share(now, share);
        bucket.per_s = per_s;
        self.bucket = Some(bucket);
        known != Some(per_s)
    }

    /// Applies a change of the routers that share the limit.
    pub(super) fn update(&mut self, now: Time, share: impl Fn(f64) -> f64) {
        if let Some(bucket) = &mut self.bucket {
            bucket.set_share(now, share(bucket.per_s));
        }
    }

    /// Counts a request that is sent to the upstream.
    pub(super) fn record_sent(&mut self, now: Time) {
        if let Some(bucket) = &mut self.bucket {
            bucket.tokens = bucket.tokens(now) - 1.0;
            bucket.filled_at = now;
        }
    }
}
