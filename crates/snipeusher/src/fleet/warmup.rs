//! Limits of upstreams that are warming up, and this router's part of them.
//!
//! An upstream that has just started or has lost its warm state crashes if it gets many more
//! requests in a second than it accepts. No router sees what the others send, so the bound is
//! divided into permits, each of which sends at most one request in any second, and the permits are
//! divided among the routers by rendezvous hashing. See `docs/design/warmup.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Upstream;
use super::bucket::Bucket;
use super::rate::Routers;
use super::rate::divide;
use crate::name;
use crate::route;
use crate::time::Time;

/// Longest time for which an upstream is cold.
const COLD_MAX: Duration = Duration::from_mins(1);
/// Least time between two requests of one permit. What exceeds a second covers differences in the
/// time that requests take to the upstream.
const PERMIT_INTERVAL_S: f64 = 1.075;
/// Permits for each request a second. More than one, so that a permit whose next request comes late
/// costs no throughput.
const PERMITS_PER_REQUEST: f64 = 1.25;
/// Share of the bound that is divided into permits. The rest covers routers that count as senders
/// by an outdated list of routers.
const PERMIT_SHARE: f64 = 2.0 / 3.0;
/// Part of the bound that routers leave unused if they do not know all others, since these may
/// still divide the permits as before.
const SEPARATION_RESERVE: f64 = 2.0;
/// Requests that a router may save up at most. Those beyond one make up for requests that come
/// later than their token.
const CAPACITY_MAX: f64 = 1.25;
/// Time for which routers that are no longer known count as running but separated from this one.
const REMEMBERED_FOR: Duration = Duration::from_hours(2);
/// Time for which the list of routers has to be nearly complete before this router uses permits. A
/// router that starts hears of eight or more others a second.
const SETTLING: Duration = Duration::from_secs(5);
/// Routers that may be missing from a list that is nearly complete, if it is short.
const NEW_MAX: usize = 2;
/// The same as a fraction of a long list: one in this many. Routers of a large fleet that start
/// together would otherwise use permits while each knows only some of the others.
const NEW_FRACTION: usize = 16;
/// Time after which the number of permits doubles while the limit ends.
const RAMP_STEP: Duration = Duration::from_millis(250);
/// Such steps before the limit has ended.
const RAMP_STEPS: u32 = 4;
/// When to retry a request whose upstream gets requests of other routers only.
const OTHERS_RETRY: Duration = Duration::from_millis(500);

/// Requests that an upstream may get in any second while it is warming up: `over` for each that it
/// accepts, and `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Factor of the accepted requests a second.
    pub over: f64,
    /// Requests on top.
    pub slack: f64,
}

impl Default for Bound {
    fn default() -> Self {
        Self {
            over: 1.5,
            slack: 5.0,
        }
    }
}

/// The limit of the upstreams of a service, as permits.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Limit {
    /// Requests a second that an upstream accepts from all routers.
    per_s: f64,
    /// Requests that it may get in any second.
    most: f64,
    /// Permits of all routers together.
    permits: f64,
}

impl Limit {
    fn new(per_s: f64, bound: Bound) -> Self {
        let most = (per_s * bound.over + bound.slack).floor();
        let permits = (per_s * PERMITS_PER_REQUEST).ceil();
        let permits = permits.min((most * PERMIT_SHARE).floor()).max(1.0);
        Self {
            per_s,
            most,
            permits,
        }
    }

    /// Permits of the known routers together, if they are `live` of `all`. The parts of a fleet that
    /// is separated add up to less than the bound.
    fn permits_of(&self, live: u32, all: u32) -> f64 {
        if live >= all {
            return self.permits;
        }
        let most = (self.most - SEPARATION_RESERVE).max(0.0);
        let part = (most * f64::from(live) / f64::from(all)).floor();
        part.min(self.permits)
    }
}

/// The routers that share the permits, as far as this one knows.
#[derive(Clone, Debug)]
struct Senders {
    /// Other routers that are known or were known recently, by the hash of their hosts.
    known: BTreeMap<u64, Known>,
    /// Whether there are other routers, of which none has been heard of yet.
    awaits_peers: bool,
    counts: RouterCounts,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    first_listed: Time,
    last_listed: Time,
}

/// What this router's permits depend on besides the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RouterCounts {
    /// Differs after each change of the known routers.
    generation: u64,
    /// Routers that are known to run, this one included.
    live: u32,
    /// The same, and those that may be separated from this one.
    all: u32,
    /// When this router knows the others well enough to use permits.
    settled_at: Time,
}

impl Default for RouterCounts {
    fn default() -> Self {
        Self {
            generation: 0,
            live: 1,
            all: 1,
            settled_at: Time::default(),
        }
    }
}

impl Senders {
    /// Applies the list of running routers.
    fn update(&mut self, now: Time, routers: &Routers, is_changed: bool) {
        self.awaits_peers &= routers.others().is_empty();
        for host in routers.others() {
            let known = self.known.entry(*host).or_insert(Known {
                first_listed: now,
                last_listed: now,
            });
            known.last_listed = now;
        }
        self.known
            .retain(|_, known| now.since(known.last_listed) < REMEMBERED_FOR);
        let all = routers.count().max(self.known.len() + 1);
        let counts = RouterCounts {
            generation: self.counts.generation,
            live: routers.others().len() as u32 + 1,
            all: all as u32,
            settled_at: self.settled_at(routers),
        };
        if is_changed || counts != self.counts {
            self.counts = counts;
            self.counts.generation += 1;
        }
    }

    /// When the list has been nearly complete for the required time.
    fn settled_at(&self, routers: &Routers) -> Time {
        if self.awaits_peers {
            return Time::NEVER;
        }
        let others = routers.others();
        let known = others.iter().filter_map(|host| self.known.get(host));
        let mut first_listed: Vec<Time> = known.map(|known| known.first_listed).collect();
        if first_listed.is_empty() {
            return Time::default();
        }
        let new = (others.len() / NEW_FRACTION).max(NEW_MAX);
        let index = new.min(first_listed.len() - 1);
        let newest_first = |left: &Time, right: &Time| right.cmp(left);
        let (_newer, last, _older) = first_listed.select_nth_unstable_by(index, newest_first);
        *last + SETTLING
    }
}

/// Limits of services, and the routers that share them.
#[derive(Clone, Debug)]
pub(super) struct Warmups {
    services: BTreeMap<name::Service, route::Warmup>,
    bound: Bound,
    senders: Senders,
}

impl Default for Warmups {
    fn default() -> Self {
        Self {
            services: BTreeMap::new(),
            bound: Bound::default(),
            senders: Senders {
                known: BTreeMap::new(),
                awaits_peers: false,
                counts: RouterCounts::default(),
            },
        }
    }
}

impl Warmups {
    /// Sets what a cold upstream may get.
    pub(super) const fn set_bound(&mut self, bound: Bound) {
        self.bound = bound;
    }

    /// Sets the limits by service.
    pub(super) fn set_services(
        &mut self,
        services: impl Iterator<Item = (name::Service, route::Warmup)>,
    ) {
        self.services = services.collect();
    }

    /// The limit of a service, if any.
    pub(super) fn get(&self, service: &name::Service) -> Option<&route::Warmup> {
        self.services.get(service)
    }

    /// Whether any service has a limit.
    pub(super) fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Records that there are other routers, of which none is known yet.
    pub(super) fn await_peers(&mut self) {
        self.senders.awaits_peers = true;
        self.senders.counts.settled_at = Time::NEVER;
        self.senders.counts.generation += 1;
    }

    /// Applies the list of running routers.
    pub(super) fn set_routers(&mut self, now: Time, routers: &Routers, is_changed: bool) {
        self.senders.update(now, routers, is_changed);
    }

    /// Determines this router's part of the limit of an upstream.
    pub(super) fn update(&self, now: Time, upstream: &mut Upstream, routers: &Routers) {
        let limit = self.services.get(&upstream.entry.service);
        let limit = limit.map(|limit| Limit::new(limit.per_s, self.bound));
        let key = upstream.id_hash;
        let counts = self.senders.counts;
        let rank = || routers.rank(key) as u32;
        upstream.warmup.update(now, limit, counts, rank);
    }
}

/// Whether an upstream is warming up, and what this router may send it meanwhile.
#[derive(Clone, Debug, Default)]
pub struct Warmup {
    limit: Option<Limit>,
    /// Until when it is cold by its entry.
    stated_until: Option<Time>,
    /// Until when it is cold since an evacuation of its zone ended.
    assumed_until: Option<Time>,
    /// Rank of this router among the known ones.
    rank: u32,
    counts: RouterCounts,
    bucket: Bucket,
    /// Whether the bucket has to be replaced, since a limit begins.
    needs_new_bucket: bool,
    /// Whether the present warm-up has been taken as news.
    is_reported: bool,
}

/// Stage of a warm-up.
#[derive(Clone, Copy, Debug)]
struct Stage {
    /// Doublings of the number of permits since the upstream became warm; `None` while it is cold.
    step: Option<u32>,
    begins_at: Time,
    ends_at: Time,
}

impl Warmup {
    /// Time for which the upstream is still cold, if its service has a limit.
    pub fn remaining(&self, now: Time) -> Option<Duration> {
        self.limit?;
        let remaining = self.until().since(now);
        (!remaining.is_zero()).then_some(remaining)
    }

    /// The limit for all routers together while it is cold, in requests a second.
    pub fn limit(&self, now: Time) -> Option<f64> {
        self.remaining(now)?;
        Some(self.limit?.per_s)
    }

    /// Remaining time by its entry, for peers. It does not depend on a limit.
    pub(super) fn stated(&self, now: Time) -> Duration {
        self.stated_until.unwrap_or_default().since(now)
    }

    /// Records that its entry states that it is cold for a time, which may be zero.
    pub(super) fn record_entry(&mut self, now: Time, cold: Duration) {
        let was_warm = self.is_warm(now);
        self.stated_until = if cold.is_zero() {
            self.stated_until.map(|until| until.min(now))
        } else {
            Some(now + cold.min(COLD_MAX))
        };
        self.begin(now, was_warm);
    }

    /// Records that it is cold for a time, whatever its entry states.
    pub(super) fn assume(&mut self, now: Time, cold: Duration) {
        let was_warm = self.is_warm(now);
        let until = now + cold.min(COLD_MAX);
        self.assumed_until = self.assumed_until.max(Some(until));
        self.begin(now, was_warm);
    }

    /// Starts with a new bucket, unless the last limit has not quite ended.
    fn begin(&mut self, now: Time, was_warm: bool) {
        if was_warm && now < self.until() {
            self.needs_new_bucket = true;
            self.is_reported = false;
        }
    }

    /// Resets it, since another process has taken the place of the upstream.
    pub(super) fn reset(&mut self) {
        *self = Self {
            limit: self.limit,
            rank: self.rank,
            counts: self.counts,
            ..Self::default()
        };
    }

    /// Remaining time if this has not been taken as news since it became cold.
    pub(super) fn take_news(&mut self, now: Time) -> Option<Duration> {
        let remaining = self.remaining(now)?;
        let is_news = !std::mem::replace(&mut self.is_reported, true);
        is_news.then_some(remaining)
    }

    /// When a request may be sent, here or by another router; `None` if at once.
    pub(super) fn available_at(&self, now: Time) -> Option<Time> {
        let stage = self.stage(now)?;
        let has_permits = self.permits(now, stage) > 0;
        let bucket = self.bucket_at(now, stage);
        if has_permits && bucket.tokens(now) >= 1.0 {
            return None;
        }
        let wait = bucket.wait(now).filter(|_| has_permits);
        let at = now + wait.unwrap_or(OTHERS_RETRY);
        Some(at.min(stage.ends_at))
    }

    /// Whether it is cold and this router has no permits for it.
    pub(super) fn is_withheld(&self, now: Time) -> bool {
        let stage = self.stage(now).filter(|stage| stage.step.is_none());
        stage.is_some_and(|stage| self.permits(now, stage) == 0)
    }

    /// Whether the router with a rank has permits for it.
    pub(super) fn has_permits(&self, rank: u32) -> bool {
        self.limit
            .is_none_or(|limit| divide(self.total(&limit, None), self.counts.live, rank) > 0)
    }

    /// Counts a request that is sent to it.
    pub(super) fn record_sent(&mut self, now: Time) {
        if let Some(stage) = self.stage(now) {
            self.bucket = self.bucket_at(now, stage);
            self.bucket.take(now);
        }
    }

    /// Applies the limit of its service and the routers that share it.
    fn update(
        &mut self,
        now: Time,
        limit: Option<Limit>,
        counts: RouterCounts,
        rank: impl Fn() -> u32,
    ) {
        self.needs_new_bucket |= self.limit.is_none();
        self.limit = limit;
        let Some(stage) = self.stage(now) else {
            return;
        };
        if self.counts != counts {
            // What was gained before the change is kept.
            self.bucket = self.bucket_at(now, stage);
            self.counts = counts;
            self.rank = rank();
        }
        let rate = self.rate(now, stage);
        let capacity = self.capacity(now, stage);
        if std::mem::take(&mut self.needs_new_bucket) {
            self.bucket = Bucket::new(now, rate, capacity, self.first_tokens());
        } else {
            self.bucket.set_rate(now, rate, capacity);
        }
    }

    /// Whether no limit holds, whether or not its service has one.
    fn is_warm(&self, now: Time) -> bool {
        let until = self.until();
        until == Time::default() || now >= until + RAMP_STEP * RAMP_STEPS
    }

    fn until(&self) -> Time {
        let until = self.stated_until.max(self.assumed_until);
        until.unwrap_or_default()
    }

    /// The stage of its warm-up; `None` if it is warm or has no limit.
    fn stage(&self, now: Time) -> Option<Stage> {
        self.limit?;
        let until = self.until();
        if now < until {
            return Some(Stage {
                step: None,
                begins_at: self.counts.settled_at,
                ends_at: until,
            });
        }
        if self.is_warm(now) {
            return None;
        }
        let step = (now.since(until).as_micros() / RAMP_STEP.as_micros()) as u32;
        Some(Stage {
            step: Some(step),
            begins_at: until + RAMP_STEP * step,
            ends_at: until + RAMP_STEP * (step + 1),
        })
    }

    /// Permits of all known routers together.
    fn total(&self, limit: &Limit, step: Option<u32>) -> u32 {
        let RouterCounts { live, all, .. } = self.counts;
        match step {
            None => limit.permits_of(live, all) as u32,
            Some(step) => (limit.permits as u32).saturating_mul(2 << step),
        }
    }

    /// Permits of this router.
    fn permits(&self, now: Time, stage: Stage) -> u32 {
        let Some(limit) = &self.limit else {
            return 0;
        };
        if stage.step.is_none() && now < self.counts.settled_at {
            return 0;
        }
        divide(self.total(limit, stage.step), self.counts.live, self.rank)
    }

    /// What this router may send, in requests a second.
    fn rate(&self, now: Time, stage: Stage) -> f64 {
        let Some(limit) = &self.limit else {
            return 0.0;
        };
        let total = match stage.step {
            None => f64::from(self.total(limit, None)),
            Some(_) => limit.permits,
        };
        let each = (limit.per_s / total.max(1.0)).min(1.0 / PERMIT_INTERVAL_S);
        f64::from(self.permits(now, stage)) * each
    }

    /// Requests that this router may save up: as many as keep it to one for each permit in the least
    /// time between two of a permit.
    fn capacity(&self, now: Time, stage: Stage) -> f64 {
        let permits = f64::from(self.permits(now, stage));
        let gained = PERMIT_INTERVAL_S * self.rate(now, stage);
        (permits + 1.0 - gained).clamp(1.0, CAPACITY_MAX)
    }

    /// What the bucket holds when a limit begins: less than one request, and differing evenly
    /// between routers, so that they do not send at the same moment.
    fn first_tokens(&self) -> f64 {
        let Some(limit) = &self.limit else {
            return 0.0;
        };
        let count = self.total(limit, None).min(self.counts.live).max(1);
        f64::from(self.rank % count) / f64::from(count)
    }

    /// The bucket with the rate of the present stage, which holds since the stage began.
    fn bucket_at(&self, now: Time, stage: Stage) -> Bucket {
        let mut bucket = self.bucket;
        let from = stage.begins_at.min(now);
        bucket.set_rate(from, self.rate(now, stage), self.capacity(now, stage));
        bucket
    }
}
