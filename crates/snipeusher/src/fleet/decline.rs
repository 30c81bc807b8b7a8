//! Upstreams that crash if they have to decline too many requests.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::name;
use crate::time::Time;

/// Time for which a limit holds if no upstream of the service states it again. While it holds, all
/// of their answers state it.
const RETENTION: Duration = Duration::from_secs(5);

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

    /// Records what an upstream of a service stated. Returns whether this is news.
    pub(super) fn record(&mut self, now: Time, service: &name::Service, per_s: f64) -> bool {
        let known = self.get(now, service);
        let limit = Limit {
            per_s,
            heard_at: now,
        };
        self.0.insert(service.clone(), limit);
        known != Some(per_s)
    }
}
