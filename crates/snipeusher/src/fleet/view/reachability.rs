//! Which upstreams and zones this router reaches, and what it reports of those that it does not.

use std::net::SocketAddr;

use super::Fleet;
use crate::fleet::Entry;
use crate::fleet::Outage;
use crate::fleet::Upstream;
use crate::fleet::zone::Zone;
use crate::hash;
use crate::name;
use crate::route::Homes;
use crate::time::Time;

impl Fleet {
    /// Services of which this router can reach no upstream, although some are ready. If peers reach
    /// them, the fault is in this router's links.
    pub fn unreachable_services(&self) -> Vec<name::Service> {
        let services = self.ready.keys();
        let unreachable = services.filter(|service| self.is_unreachable(service));
        unreachable.cloned().collect()
    }

    /// Whether a service has ready upstreams of which this router can reach none.
    pub fn is_unreachable(&self, service: &name::Service) -> bool {
        self.is_unreachable_within(service, &Homes::default())
    }

    /// Whether a service has ready upstreams in home regions of which this router can reach none.
    pub(super) fn is_unreachable_within(&self, service: &name::Service, homes: &Homes) -> bool {
        let mut upstreams = self.ready_at_home(service, homes).peekable();
        let is_unreachable = |upstream: &Upstream| {
            let zone = self.zones.get(&upstream.entry.zone);
            upstream.health.is_unreachable() || zone.is_some_and(Zone::is_unreachable)
        };
        upstreams.peek().is_some() && upstreams.all(is_unreachable)
    }

    /// Upstreams that share the way to one that was lost at a time: the others of its zone, or those
    /// of other zones if it is alone there. If they can't be reached either, the way is cut, unless
    /// they had been unreachable before. The order is given by `random`.
    pub fn neighbours(&self, id: &name::Upstream, at: Time, random: u64) -> Vec<&Entry> {
        let Some(upstream) = self.upstream(id) else {
            return Vec::new();
        };
        let zone = &upstream.entry.zone;
        let others = self.upstreams.iter().filter(|other| other.entry.id != *id);
        let (local, remote): (Vec<&Upstream>, Vec<&Upstream>) =
            others.partition(|other| other.entry.zone == *zone);
        let mut neighbours = if local.is_empty() { remote } else { local };
        neighbours.retain(|other| !other.health.was_unreachable_at(at));
        neighbours.sort_by_key(|other| hash::score(random, other.id_hash));
        neighbours.iter().map(|other| &other.entry).collect()
    }

    /// Upstreams to which a connection should be attempted now, since they or their zones are
    /// unreachable or have fallen silent.
    pub fn due_probes(&mut self, now: Time) -> Vec<(name::Upstream, SocketAddr)> {
        self.record_silent_upstreams(now);
        let mut due: Vec<usize> = self.due_zone_probes(now);
        for (slot, upstream) in self.upstreams.iter_mut().enumerate() {
            let zone = self.zones.get(&upstream.entry.zone);
            // One connection shows whether an unreachable zone is reachable again.
            let is_checked = zone.is_some_and(Zone::is_unreachable);
            let is_doubtful = !is_checked && std::mem::take(&mut upstream.is_doubtful);
            if (is_doubtful || upstream.health.is_probe_due(now)) && !due.contains(&slot) {
                due.push(slot);
            }
        }
        let due = due.into_iter().map(|slot| &self.upstreams[slot].entry);
        due.map(|entry| (entry.id.clone(), entry.address)).collect()
    }

    /// One upstream of each unreachable zone that is due for a connection attempt.
    pub(super) fn due_zone_probes(&mut self, now: Time) -> Vec<usize> {
        let mut due = Vec::new();
        for (name, zone) in &mut self.zones {
            let slots = (0..).zip(&self.upstreams);
            let slots: Vec<usize> = slots
                .filter(|(_, upstream)| upstream.entry.zone == *name)
                .map(|(slot, _)| slot)
                .collect();
            let index = zone.take_due_probe(now, slots.len());
            due.extend(index.map(|index| slots[index]));
        }
        due
    }

    /// What has become unreachable since the last call, for the peers of this router's zone;
    /// `None` if there is no news. A router that reaches nothing does not report it, since its own
    /// links may be the cause.
    pub fn take_outage(&mut self) -> Option<Outage> {
        let mut outage = std::mem::take(&mut self.outage);
        if self.unreachable_services().len() == self.ready.len() {
            outage.zones.clear();
            outage.upstreams.clear();
        }
        (!outage.is_empty()).then_some(outage)
    }

    /// Marks unreachable what a peer of the same zone reported, until a connection succeeds. News
    /// is passed on by [`Self::take_outage`]. Returns whether there was any.
    pub fn merge_outage(&mut self, now: Time, outage: &Outage) -> bool {
        for name in &outage.zones {
            // A report names zones of upstreams; others cannot be verified.
            let is_known = self.upstreams.iter().any(|known| known.entry.zone == *name);
            if is_known
                && self
                    .zones
                    .entry(name.clone())
                    .or_default()
                    .record_report(now)
            {
                self.outage.zones.push(name.clone());
            }
        }
        for leaving in &outage.leaving {
            self.leave(now, leaving);
        }
        for replaced in &outage.replaced {
            self.exclude_replaced(now, replaced);
        }
        for id in &outage.upstreams {
            let upstream = self.upstream_mut(id);
            if upstream.is_some_and(|upstream| upstream.record_report(now)) {
                self.outage.upstreams.push(id.clone());
            }
        }
        !self.outage.is_empty()
    }

    /// Records whether a connection to an upstream could be opened. Returns true if the upstream or
    /// its zone was unreachable until now.
    pub fn record_probe(&mut self, now: Time, id: &name::Upstream, is_connected: bool) -> bool {
        let Some(upstream) = self.upstream_mut(id) else {
            return false;
        };
        if is_connected {
            let was_unavailable = upstream.health.is_probe_due(now);
            upstream.health.record_connected();
            let zone = upstream.entry.zone.clone();
            let zone = self.zones.entry(zone).or_default();
            let was_unreachable = zone.is_unreachable();
            zone.record_activity();
            return was_unavailable || was_unreachable;
        }
        let is_doubted = upstream.is_silent(now) || upstream.overdue.is_active(now);
        if upstream.health.is_probe_due(now) || is_doubted {
            let is_news = !upstream.health.is_unreachable();
            upstream.health.record_unreachable(now);
            if is_news {
                self.outage.upstreams.push(id.clone());
            }
        }
        false
    }

    /// Records that an upstream sent something.
    pub fn record_activity(&mut self, now: Time, id: &name::Upstream) {
        let Some(upstream) = self.upstream_mut(id) else {
            return;
        };
        upstream.record_activity(now);
        let zone = upstream.entry.zone.clone();
        if let Some(zone) = self.zones.get_mut(&zone) {
            zone.record_activity();
        }
    }

    /// Records that a request was given up since its response was overdue. Others are preferred, and
    /// a connection attempt has to show if the upstream is reachable.
    pub fn record_overdue(&mut self, now: Time, id: &name::Upstream) {
        if let Some(upstream) = self.upstream_mut(id) {
            upstream.overdue.record(now);
            upstream.is_doubtful = true;
        }
    }

    /// Records that a response of an upstream is not read, since its caller does not read. Its
    /// silence then shows nothing.
    pub fn record_unread(&mut self, id: &name::Upstream) {
        if let Some(upstream) = self.upstream_mut(id) {
            upstream.record_unread();
        }
    }

    /// Records that it is read again.
    pub fn record_read(&mut self, now: Time, id: &name::Upstream) {
        if let Some(upstream) = self.upstream_mut(id) {
            upstream.record_read(now);
        }
    }

    /// Counts each upstream that fell silent as a loss of its availability zone, once per silence,
    /// and has its reachability checked.
    pub(super) fn record_silent_upstreams(&mut self, now: Time) {
        let silent = self
            .upstreams
            .iter_mut()
            .filter(|upstream| !upstream.silence_counted && upstream.is_silent(now));
        let mut zones = Vec::new();
        for upstream in silent {
            upstream.silence_counted = true;
            upstream.is_doubtful = true;
            zones.push(upstream.entry.zone.clone());
        }
        for zone in zones {
            self.record_zone_loss(zone);
        }
    }

    pub(super) fn record_zone_loss(&mut self, name: name::Zone) {
        let zone = self.zones.entry(name.clone()).or_default();
        if zone.record_loss() {
            self.outage.zones.push(name);
        }
    }
}
