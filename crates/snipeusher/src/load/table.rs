//! The load of all upstreams as known to one router.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::hash;
use crate::name;
use crate::request::Target;
use crate::time::Time;

use super::Pool;
use super::Report;
use super::Share;
use super::Strategy;
use super::Upstream;
use super::View;
use super::WORK_MAX;
use super::Work;

/// Time after which a peer's announced work expires.
const PEER_TTL: Duration = Duration::from_secs(5);

/// Assumed age of a peer's announcement; peers announce every 500 ms.
const ANNOUNCEMENT_AGE: Duration = Duration::from_millis(500);

/// Index of an upstream in the table; it is reused after the upstream is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slot(pub u32);

/// The values of an upstream that placement reads, kept in a dense array.
#[derive(Clone, Copy, Debug)]
pub struct Summary {
    /// Estimated work outstanding.
    pub estimate: u64,
    /// Work beyond which further requests would only queue, scaled by `factor`.
    pub capacity: u64,
    /// Slow-start factor.
    pub factor: f64,
    /// Work that peers are assumed to have added since their last announcement: each as much as
    /// this router added.
    ///
    /// Without it, all routers fill the same free capacity at once, and the load oscillates
    /// around the capacity with each gossip round.
    pub unreported: u64,
}

/// Work announced by one peer.
#[derive(Clone, Debug)]
struct Announcement {
    received_at: Time,
    work: Vec<(Slot, u64)>,
}

/// The load of all upstreams, with their current estimates.
#[derive(Clone, Debug, Default)]
pub struct Table<S> {
    strategy: S,
    capacity: u64,
    slots: BTreeMap<name::Upstream, Slot>,
    upstreams: Vec<Upstream>,
    summaries: Vec<Summary>,
    free: Vec<Slot>,
    pools: Vec<Pool>,
    targets: BTreeMap<Target, u32>,
    peers: BTreeMap<name::Host, Announcement>,
}

impl<S: Strategy> Table<S> {
    /// Creates a table without upstreams; `capacity` holds for each upstream until its reports
    /// show another.
    pub fn new(capacity: Work) -> Self {
        Self {
            capacity: capacity.0,
            ..Self::default()
        }
    }

    /// The strategy that estimates load.
    pub const fn strategy(&self) -> &S {
        &self.strategy
    }

    /// The slot of the upstream with that name.
    pub fn slot(&self, name: &name::Upstream) -> Option<Slot> {
        self.slots.get(name).copied()
    }

    /// The load state of an upstream.
    pub fn upstream(&self, slot: Slot) -> &Upstream {
        &self.upstreams[slot.0 as usize]
    }

    /// Resets what was known of an earlier incarnation of an upstream.
    pub(crate) fn restart(&mut self, slot: Slot, incarnation: name::Incarnation) {
        let capacity = self.capacity;
        self.upstream_mut(slot).restart(incarnation, capacity);
    }

    /// Gives access to fields that the estimate does not depend on.
    pub(crate) fn upstream_mut(&mut self, slot: Slot) -> &mut Upstream {
        &mut self.upstreams[slot.0 as usize]
    }

    /// The values of an upstream that placement reads.
    pub fn summary(&self, slot: Slot) -> Summary {
        self.summaries[slot.0 as usize]
    }

    /// All known upstreams, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (Slot, &Upstream)> {
        self.slots
            .values()
            .map(|slot| (*slot, self.upstream(*slot)))
    }

    /// The upstreams that can serve a target, or `None` if none ever could.
    pub fn pool(&self, target: &Target) -> Option<&Pool> {
        let index = self.targets.get(target)?;
        self.pools.get(*index as usize)
    }

    /// Returns whether an upstream belongs to a pool.
    pub fn serves(&self, slot: Slot, pool: &Pool) -> bool {
        let index = self.targets.get(&pool.target);
        index.is_some_and(|index| self.upstream(slot).pools.contains(index))
    }

    /// All pools.
    pub fn pools(&self) -> &[Pool] {
        &self.pools
    }

    /// Number of routers whose work is known, including this one.
    pub fn routers(&self) -> u32 {
        self.peers.len() as u32 + 1
    }

    /// Estimated work of all upstreams that accept new work for a target.
    pub fn total(&self, target: &Target) -> Work {
        Work(self.pool(target).map_or(0, |pool| pool.total))
    }

    /// Returns the slot of an upstream, which is added if it is unknown.
    pub(crate) fn insert(&mut self, name: &name::Upstream) -> Slot {
        if let Some(slot) = self.slot(name) {
            return slot;
        }
        let node = hash::bytes(name.as_str().as_bytes());
        let upstream = Upstream::new(name.clone(), node, self.capacity);
        let summary = Summary {
            estimate: 0,
            capacity: upstream.capacity,
            factor: 1.0,
            unreported: 0,
        };
        let slot = if let Some(slot) = self.free.pop() {
            let epoch = self.upstream(slot).epoch.wrapping_add(1);
            self.upstreams[slot.0 as usize] = Upstream { epoch, ..upstream };
            self.summaries[slot.0 as usize] = summary;
            slot
        } else {
            self.upstreams.push(upstream);
            self.summaries.push(summary);
            Slot(self.upstreams.len() as u32 - 1)
        };
        self.slots.insert(name.clone(), slot);
        slot
    }

    /// Removes an upstream; returns false, without effect, while own work is in flight there.
    pub(crate) fn remove(&mut self, slot: Slot) -> bool {
        if self.upstream(slot).own.get() > 0 {
            return false;
        }
        self.set_targets(slot, &BTreeSet::new());
        for announcement in self.peers.values_mut() {
            announcement.work.retain(|(other, _)| *other != slot);
        }
        let upstream = self.upstream_mut(slot);
        // The next upstream in this slot must not inherit knowledge about the cache.
        upstream.epoch = upstream.epoch.wrapping_add(1);
        let name = upstream.name.clone();
        if self.slots.remove(&name).is_some() {
            self.free.push(slot);
        }
        true
    }

    /// Sets the targets that an upstream serves; empty for one that is not live.
    pub(crate) fn set_targets(&mut self, slot: Slot, targets: &BTreeSet<Target>) {
        self.clear_targets(slot);
        let ejected = u32::from(self.upstream(slot).ejected);
        let mut pools = Vec::with_capacity(targets.len());
        for target in targets {
            let index = self.index(target);
            let pool = &mut self.pools[index as usize];
            pool.live += 1;
            pool.ejected += ejected;
            pools.push(index);
        }
        self.upstream_mut(slot).pools = pools;
        self.list(slot);
    }

    /// Sets whether an upstream accepts new work and whether it is ejected.
    pub(crate) fn set_open(&mut self, slot: Slot, open: bool, ejected: bool) {
        self.unlist(slot);
        let before = self.upstream(slot).ejected;
        for index in self.upstream(slot).pools.clone() {
            let pool = &mut self.pools[index as usize];
            pool.ejected = pool.ejected + u32::from(ejected) - u32::from(before);
        }
        let upstream = self.upstream_mut(slot);
        upstream.open = open;
        upstream.ejected = ejected;
        self.list(slot);
    }

    /// Changes the router's own work at an upstream.
    pub(crate) fn change_own(&mut self, now: Time, slot: Slot, add: Work, remove: Work) {
        let upstream = self.upstream_mut(slot);
        let value = upstream.own.get().saturating_add(add.0);
        upstream.own.set(now, value.saturating_sub(remove.0));
        self.update(now, slot);
    }

    /// Changes the work granted to peers at an upstream.
    pub(crate) fn change_granted(&mut self, now: Time, slot: Slot, add: Work, remove: Work) {
        let upstream = self.upstream_mut(slot);
        upstream.granted = upstream
            .granted
            .saturating_add(add.0)
            .saturating_sub(remove.0);
        self.update(now, slot);
    }

    /// Records a report; returns false if it is out of order.
    pub(crate) fn record_report(&mut self, now: Time, slot: Slot, report: &Report) -> bool {
        let recorded = self.upstream_mut(slot).record(now, report);
        if recorded {
            self.update(now, slot);
        }
        recorded
    }

    /// Recomputes the estimate of an upstream.
    pub(crate) fn refresh_estimate(&mut self, now: Time, slot: Slot) {
        self.update(now, slot);
    }

    /// Lowers the capacity of an upstream that declined a request.
    pub(crate) fn lower_capacity(&mut self, now: Time, slot: Slot) {
        self.upstream_mut(slot).lower_capacity();
        self.update(now, slot);
    }

    /// Replaces a peer's announced work; returns the names of unknown upstreams in it.
    ///
    /// Work at one upstream is capped at [`WORK_MAX`].
    pub(crate) fn set_peer(
        &mut self,
        now: Time,
        host: name::Host,
        share: &Share,
    ) -> Vec<name::Upstream> {
        self.remove_peer(now, &host);
        let mut work = Vec::with_capacity(share.in_flight.len());
        let mut unknown = Vec::new();
        for (name, announced) in &share.in_flight {
            match self.slot(name) {
                Some(slot) => work.push((slot, announced.0.min(WORK_MAX))),
                None => unknown.push(name.clone()),
            }
        }
        for (slot, announced) in &work {
            self.change_peers(now, *slot, *announced, 0);
        }
        let received_at = now;
        self.peers.insert(host, Announcement { received_at, work });
        unknown
    }

    /// Removes a peer's announced work.
    pub(crate) fn remove_peer(&mut self, now: Time, host: &name::Host) {
        let Some(announcement) = self.peers.remove(host) else {
            return;
        };
        for (slot, work) in announcement.work {
            self.change_peers(now, slot, 0, work);
        }
    }

    /// Recomputes everything that changes with time: weights of reports, slow starts and peers'
    /// work. Returns the peers whose announcements expired.
    pub(crate) fn refresh(&mut self, now: Time) -> Vec<name::Host> {
        let expired: Vec<name::Host> = self
            .peers
            .iter()
            .filter(|(_, announcement)| now.since(announcement.received_at) > PEER_TTL)
            .map(|(host, _)| host.clone())
            .collect();
        for host in &expired {
            self.remove_peer(now, host);
        }
        for index in 0..self.pools.len() {
            self.pools[index].typical = self.typical(now, &self.pools[index]);
        }
        for index in 0..self.upstreams.len() {
            self.update(now, Slot(index as u32));
        }
        for index in 0..self.pools.len() {
            let slots = &self.pools[index].slots;
            let factors = slots.iter().map(|slot| self.summary(*slot).factor).sum();
            self.pools[index].factors = factors;
        }
        expired
    }

    fn typical(&self, now: Time, pool: &Pool) -> View {
        let mut sum = View::default();
        let mut count = 0;
        for slot in &pool.slots {
            let upstream = self.upstream(*slot);
            let Some(reading) = upstream.report else {
                continue;
            };
            if upstream.freshness(now) < 1.0 {
                continue;
            }
            count += 1;
            sum.reported.0 += reading.work;
            sum.own_reported.0 += reading.own;
            sum.peers_reported.0 += reading.peers;
        }
        let mean = |work: Work| Work(work.0.checked_div(count).unwrap_or(0));
        View {
            reported: mean(sum.reported),
            own_reported: mean(sum.own_reported),
            peers_reported: mean(sum.peers_reported),
            ..View::default()
        }
    }

    fn change_peers(&mut self, now: Time, slot: Slot, add: u64, remove: u64) {
        let upstream = self.upstream_mut(slot);
        let value = upstream.peers.get().saturating_add(add);
        upstream.peers.set(now, value.saturating_sub(remove));
        self.update(now, slot);
    }

    /// Recomputes the summary of an upstream.
    fn update(&mut self, now: Time, slot: Slot) {
        let upstream = &self.upstreams[slot.0 as usize];
        let pool = upstream
            .pools
            .first()
            .map(|index| &self.pools[*index as usize]);
        let typical = pool.map_or_else(View::default, |pool| pool.typical);
        let view = upstream.view(now, &typical, self.routers());
        let factor = upstream.factor(now);
        let estimate = self.strategy.estimate(&view).0;
        let announced_at = Time(now.0.saturating_sub(ANNOUNCEMENT_AGE.as_micros() as u64));
        let own_before = upstream.own.at(announced_at);
        let own_added = upstream.own.get().saturating_sub(own_before);
        let unreported = own_added.saturating_mul(u64::from(self.routers() - 1));
        let open = upstream.open;
        let summary = &mut self.summaries[slot.0 as usize];
        let before = summary.estimate;
        summary.estimate = estimate;
        summary.capacity = (upstream.capacity as f64 * factor) as u64;
        summary.factor = factor;
        summary.unreported = unreported;
        if !open {
            return;
        }
        for index in &self.upstreams[slot.0 as usize].pools {
            let total = &mut self.pools[*index as usize].total;
            *total = total.saturating_sub(before).saturating_add(estimate);
        }
    }

    fn index(&mut self, target: &Target) -> u32 {
        if let Some(index) = self.targets.get(target) {
            return *index;
        }
        // A pool without live upstreams is replaced by the new one, so that the pools of former
        // versions do not accumulate.
        let empty = self.pools.iter().position(|pool| pool.live == 0);
        let pool = Pool::new(target.clone());
        let index = if let Some(index) = empty {
            self.targets.remove(&self.pools[index].target);
            self.pools[index] = pool;
            index as u32
        } else {
            self.pools.push(pool);
            self.pools.len() as u32 - 1
        };
        self.targets.insert(target.clone(), index);
        index
    }

    fn clear_targets(&mut self, slot: Slot) {
        self.unlist(slot);
        let pools = std::mem::take(&mut self.upstream_mut(slot).pools);
        let ejected = u32::from(self.upstream(slot).ejected);
        for index in pools {
            let pool = &mut self.pools[index as usize];
            pool.live -= 1;
            pool.ejected -= ejected;
        }
    }

    fn unlist(&mut self, slot: Slot) {
        self.set_listed(slot, false);
    }

    fn list(&mut self, slot: Slot) {
        self.set_listed(slot, true);
    }

    /// Adds an open upstream to the lists of its pools, or removes it.
    fn set_listed(&mut self, slot: Slot, listed: bool) {
        let upstream = &self.upstreams[slot.0 as usize];
        let summary = self.summaries[slot.0 as usize];
        if !upstream.open {
            return;
        }
        for index in &upstream.pools {
            let pool = &mut self.pools[*index as usize];
            if listed {
                pool.insert(slot, upstream.node);
                pool.total = pool.total.saturating_add(summary.estimate);
                pool.factors += summary.factor;
            } else {
                pool.remove(slot);
                pool.total = pool.total.saturating_sub(summary.estimate);
                pool.factors = (pool.factors - summary.factor).max(0.0);
            }
        }
    }
}
