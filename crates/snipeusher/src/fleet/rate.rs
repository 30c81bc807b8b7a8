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
use super::bucket::Bucket;
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

    /// Hashes of the hosts of the other routers that are known to run.
    pub(super) fn others(&self) -> &[u64] {
        &self.others
    }

    /// Routers that are assumed to run, at least one.
    pub(super) fn count(&self) -> usize {
        self.count.max(self.others.len() + 1)
    }

    /// Number of other routers that rank before a router at an upstream, given the hashes of the
    /// upstream and of the router's host.
    pub(super) fn rank_of(&self, router: u64, upstream: u64) -> usize {
        let own = hash::score(upstream, router);
        let all = self.others.iter().chain([&self.own]);
        let before = all.filter(|other| hash::score(upstream, **other) > own);
        before.count()
    }

    /// The rank of this router.
    pub(super) fn rank(&self, upstream: u64) -> usize {
        self.rank_of(self.own, upstream)
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
        let rank = self.rank_of(router, upstream.id_hash);
        divide(slots, self.count() as u32, rank as u32)
    }

    /// This router's share of a limit of an upstream, in requests a second.
    pub(super) fn share(&self, upstream: u64, per_s: f64) -> f64 {
        let per_s = per_s.max(RATE_MIN);
        let sharers = (per_s + SHARERS).min(self.count() as f64).floor();
        if (self.rank(upstream) as f64) < sharers {
            per_s / sharers
        } else {
            0.0
        }
    }
}

/// The part of the router with a rank, if a number of units is divided evenly among routers.
pub(super) fn divide(units: u32, routers: u32, rank: u32) -> u32 {
    let routers = routers.max(1);
    units / routers + u32::from(rank < units % routers)
}

/// What is known of the rate limit of an upstream.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    held: Option<Held>,
    /// When the upstream last stated a limit or, by answering without one, that it has none.
    heard_at: Time,
    /// When it was heard that a limit has ended.
    ended_at: Option<Time>,
}

/// A limit that holds.
#[derive(Clone, Copy, Debug)]
struct Held {
    /// The limit for all routers, in requests a second.
    per_s: f64,
    /// What this router may send.
    bucket: Bucket,
}

/// Tokens that a router with a share of a limit may save up.
fn capacity(share: f64) -> f64 {
    (share * BURST_TIME.as_secs_f64()).max(1.0)
}

impl Rate {
    /// The limit for all routers together, in requests a second.
    pub fn limit(&self, now: Time) -> Option<f64> {
        let held = self.held.as_ref()?;
        (now.since(self.heard_at) < RETENTION).then_some(held.per_s)
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
        let held = self.held.as_ref();
        self.limit(now).is_some() && held.is_some_and(|held| held.bucket.tokens(now) < 1.0)
    }

    /// When a request may be sent, here or by another router; `None` if at once.
    pub(super) fn available_at(&self, now: Time) -> Option<Time> {
        if !self.is_exhausted(now) {
            return None;
        }
        let held = self.held.as_ref()?;
        Some(now + held.bucket.wait(now).unwrap_or(OTHERS_RETRY))
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
            self.held = None;
            self.ended_at = known.map_or(self.ended_at, |_| Some(now));
            return known.is_some();
        };
        let share = share(per_s);
        // What was sent before the limit was known counts as well, so nothing is saved up.
        let held = self.held.filter(|_| known.is_some());
        let mut held = held.unwrap_or(Held {
            per_s,
            bucket: Bucket::new(now, share, capacity(share), 0.0),
        });
        held.bucket.set_rate(now, share, capacity(share));
        held.per_s = per_s;
        self.held = Some(held);
        known != Some(per_s)
    }

    /// Applies a change of the routers that share the limit.
    pub(super) fn update(&mut self, now: Time, share: impl Fn(f64) -> f64) {
        if let Some(held) = &mut self.held {
            let share = share(held.per_s);
            held.bucket.set_rate(now, share, capacity(share));
        }
    }

    /// Counts a request that is sent to the upstream.
    pub(super) fn record_sent(&mut self, now: Time) {
        if let Some(held) = &mut self.held {
            held.bucket.take(now);
        }
    }
}
