//! Upstreams that crash if they have to decline too many requests.
//!
//! Upstreams in trouble may state how many requests a second each of them can decline for want of
//! room. No router sees what the others send, so while the limit holds, the slots of each upstream
//! are divided among the routers by rendezvous hashing, and each uses only its own. After a request
//! that was declined all the same, a router stays away from that upstream for a while. See
//! `docs/platform.md#upstreams-that-can-decline-few-requests`.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Load;
use crate::name;
use crate::time::Time;

/// Time for which a limit holds if no upstream of the service states it again. While it holds, all
/// of their answers state it.
const RETENTION: Duration = Duration::from_secs(5);
/// Routers that may use the same slots of an upstream, since they do not know the same routers.
const OVERLAP: f64 = 4.0;
/// Bounds of the time for which a router stays away after a declined request.
const BACKOFF_MIN: Duration = Duration::from_millis(500);
const BACKOFF_MAX: Duration = Duration::from_secs(5);
/// Time in which a slot is likely to become free.
const SLOT_RETRY: Duration = Duration::from_millis(100);

/// How many requests a second each upstream of a service can decline, as sent to peers. Routers
/// without slots get no answers that state it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeclineLimit {
    /// The service.
    pub service: name::Service,
    /// The limit in requests a second.
    pub per_s: f64,
    /// Time since an upstream stated it, in milliseconds.
    pub age_ms: u32,
}

/// How many requests a second the upstreams of services can decline before they crash. All
/// upstreams of a service state the same, so it is known for each as soon as one has.
#[derive(Clone, Debug, Default)]
pub(super) struct DeclineLimits(BTreeMap<name::Service, Limit>);

#[derive(Clone, Copy, Debug)]
struct Limit {
    per_s: f64,
    heard_at: Time,
}

impl DeclineLimits {
    /// The limit of the upstreams of a service.
    pub(super) fn get(&self, now: Time, service: &name::Service) -> Option<f64> {
        let limit = self.0.get(service)?;
        (now.since(limit.heard_at) < RETENTION).then_some(limit.per_s)
    }

    /// Records what an upstream of a service stated at a time, unless something newer is known.
    /// Returns whether this is news.
    pub(super) fn record(
        &mut self,
        now: Time,
        at: Time,
        service: &name::Service,
        per_s: f64,
    ) -> bool {
        let known = self.get(now, service);
        let is_newer = self.0.get(service).is_none_or(|limit| limit.heard_at < at);
        if is_newer {
            let limit = Limit {
                per_s,
                heard_at: at,
            };
            self.0.insert(service.clone(), limit);
        }
        is_newer && known != Some(per_s)
    }

    /// The limits that hold, for peers.
    pub(super) fn list(&self, now: Time) -> Vec<DeclineLimit> {
        let held = self.0.iter().filter_map(|(service, limit)| {
            let per_s = self.get(now, service)?;
            Some(DeclineLimit {
                service: service.clone(),
                per_s,
                age_ms: now.since(limit.heard_at).as_millis() as u32,
            })
        });
        held.collect()
    }
}

/// Time for which a router stays away from an upstream that has declined its request, so that a few
/// routers that do the same keep below the limit.
pub(super) fn backoff(per_s: f64) -> Duration {
    let time = Duration::try_from_secs_f64(OVERLAP / per_s);
    time.unwrap_or(BACKOFF_MAX).clamp(BACKOFF_MIN, BACKOFF_MAX)
}

/// When an upstream is likely to have a free slot for this router, which has some of its slots for
/// itself; `None` if it has now.
pub(super) fn slot_free_at(now: Time, load: &Load, own_slots: u32) -> Option<Time> {
    (load.in_flight() >= own_slots).then(|| now + SLOT_RETRY)
}
