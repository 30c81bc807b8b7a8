//! What upstreams state of their load and limits, and what routers tell each other of it.

use super::Fleet;
use crate::fleet::DeclineLimit;
use crate::fleet::Observation;
use crate::fleet::RateLimit;
use crate::name;
use crate::time::Time;

/// Observations sent to a peer at once.
const OBSERVATIONS_MAX: usize = 40;
/// Statements about rate limits sent to a peer at once.
const RATE_LIMITS_MAX: usize = 10;
/// Observations that are left out for each of these statements, so that a digest keeps its size.
const OBSERVATIONS_PER_RATE_LIMIT: usize = 2;
/// The same for each statement of how many requests upstreams can decline. A service that cannot be
/// reached replaces one.
const OBSERVATIONS_PER_DECLINE_LIMIT: usize = 2;

impl Fleet {
    /// Determines this router's slots at the upstreams that can decline few requests.
    pub(super) fn divide_slots(&mut self, now: Time) {
        let limits = &self.decline_limits;
        let limited = self
            .upstreams
            .iter_mut()
            .filter(|upstream| limits.get(now, &upstream.entry.service).is_some());
        for upstream in limited {
            upstream.own_slots = self.sharers.own_slots(upstream);
        }
    }

    /// Merges load observations of a peer.
    pub fn merge_observations(&mut self, now: Time, observations: &[Observation]) {
        for observation in observations {
            if let Some(upstream) = self.upstream_mut(&observation.upstream) {
                let age = u64::from(observation.age_ms) * 1_000;
                let at = Time(now.0.saturating_sub(age));
                upstream.load.record(at, observation.load);
            }
        }
    }

    /// The newest load observations, to be sent to peers.
    pub fn observations(&self, now: Time) -> Vec<Observation> {
        let observed = self.upstreams.iter().filter_map(|upstream| {
            let (age, load) = upstream.load.latest(now)?;
            Some(Observation {
                upstream: upstream.entry.id.clone(),
                load,
                age_ms: age.as_millis() as u32,
            })
        });
        let mut observations: Vec<Observation> = observed.collect();
        observations.sort_unstable_by_key(|observation| observation.age_ms);
        let replaced = self.rate_limits(now).len() * OBSERVATIONS_PER_RATE_LIMIT
            + self.decline_limits(now).len() * OBSERVATIONS_PER_DECLINE_LIMIT
            + self.unreachable_services().len();
        observations.truncate(OBSERVATIONS_MAX.saturating_sub(replaced));
        observations
    }

    /// The newest statements of upstreams about their rate limits, to be sent to peers.
    pub fn rate_limits(&self, now: Time) -> Vec<RateLimit> {
        let stated = self.upstreams.iter().filter_map(|upstream| {
            let (age, per_s) = upstream.rate.stated(now)?;
            Some(RateLimit {
                upstream: upstream.entry.id.clone(),
                incarnation: upstream.entry.incarnation,
                per_s,
                age_ms: age.as_millis() as u32,
            })
        });
        let mut stated: Vec<RateLimit> = stated.collect();
        stated.sort_unstable_by_key(|limit| limit.age_ms);
        stated.truncate(RATE_LIMITS_MAX);
        stated
    }

    /// Merges what peers heard of the rate limits of upstreams.
    pub fn merge_rate_limits(&mut self, now: Time, limits: &[RateLimit]) {
        for limit in limits {
            let Some(slot) = self.slots.get(&limit.upstream) else {
                continue;
            };
            let upstream = &mut self.upstreams[*slot];
            if upstream.entry.incarnation != limit.incarnation {
                continue;
            }
            let age = u64::from(limit.age_ms) * 1_000;
            let at = Time(now.0.saturating_sub(age));
            let share = |per_s| self.sharers.share(upstream.id_hash, per_s);
            upstream.rate.record(now, at, limit.per_s, share);
        }
    }

    /// Records the rate limit that an upstream states, or that it states none. Returns whether this
    /// is news.
    pub fn record_rate_limit(
        &mut self,
        now: Time,
        id: &name::Upstream,
        per_s: Option<f64>,
    ) -> bool {
        let Some(slot) = self.slots.get(id) else {
            return false;
        };
        let upstream = &mut self.upstreams[*slot];
        let share = |per_s| self.sharers.share(upstream.id_hash, per_s);
        upstream.rate.record(now, now, per_s, share)
    }

    /// Records how many requests a second an upstream can decline before it crashes. Returns whether
    /// this is news of its service.
    pub fn record_decline_limit(&mut self, now: Time, id: &name::Upstream, per_s: f64) -> bool {
        let Some(slot) = self.slots.get(id) else {
            return false;
        };
        let service = &self.upstreams[*slot].entry.service;
        let is_news = self.decline_limits.record(now, now, service, per_s);
        if is_news {
            self.divide_slots(now);
        }
        is_news
    }

    /// How many requests upstreams can decline, by service, to be sent to peers.
    pub fn decline_limits(&self, now: Time) -> Vec<DeclineLimit> {
        self.decline_limits.list(now)
    }

    /// Merges what upstreams stated to peers.
    pub fn merge_decline_limits(&mut self, now: Time, limits: &[DeclineLimit]) {
        let mut is_news = false;
        for limit in limits {
            let age = u64::from(limit.age_ms) * 1_000;
            let at = Time(now.0.saturating_sub(age));
            let known = &mut self.decline_limits;
            is_news |= known.record(now, at, &limit.service, limit.per_s);
        }
        if is_news {
            self.divide_slots(now);
        }
    }
}
