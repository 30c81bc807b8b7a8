//! Limits of upstreams that are warming up.

use std::time::Duration;

use super::Fleet;
use crate::fleet::warmup::Bound;
use crate::name;
use crate::route;
use crate::time::Time;

impl Fleet {
    /// Records that there are other routers, of which none is known yet.
    pub fn await_peers(&mut self, now: Time) {
        self.warmups.await_peers();
        self.divide_permits(now);
    }

    /// Sets what upstreams may get in any second while they are warming up.
    pub fn set_warmup_bound(&mut self, now: Time, bound: Bound) {
        self.warmups.set_bound(bound);
        self.divide_permits(now);
    }

    /// Sets the limits of upstreams that are warming up, by service. Other services have none.
    pub fn set_warmups(
        &mut self,
        now: Time,
        services: impl Iterator<Item = (name::Service, route::Warmup)>,
    ) {
        let had_none = self.warmups.is_empty();
        self.warmups.set_services(services);
        if !had_none || !self.warmups.is_empty() {
            self.update_permits(now);
        }
    }

    /// Marks all upstreams of a zone as cold for the time that their service's limit states, since
    /// they have got no requests. Returns their number.
    pub fn start_warmup(&mut self, now: Time, zone: &name::Zone) -> usize {
        let mut count = 0;
        for upstream in &mut self.upstreams {
            let limit = self.warmups.get(&upstream.entry.service);
            if let Some(limit) = limit.filter(|_| upstream.entry.zone == *zone) {
                upstream.warmup.assume(now, limit.duration);
                count += 1;
            }
        }
        self.divide_permits(now);
        count
    }

    /// Upstreams that have become cold since the last call, and for how long.
    pub fn take_warmups(&mut self, now: Time) -> Vec<(name::Upstream, Duration)> {
        if self.warmups.is_empty() {
            return Vec::new();
        }
        let upstreams = self.upstreams.iter_mut();
        let started = upstreams.filter_map(|upstream| {
            let remaining = upstream.warmup.take_news(now)?;
            Some((upstream.entry.id.clone(), remaining))
        });
        started.collect()
    }

    /// Determines this router's part of the limits of upstreams that are warming up.
    pub(super) fn divide_permits(&mut self, now: Time) {
        if !self.warmups.is_empty() {
            self.update_permits(now);
        }
    }

    pub(super) fn update_permits(&mut self, now: Time) {
        for upstream in &mut self.upstreams {
            self.warmups.update(now, upstream, &self.sharers);
        }
    }
}
