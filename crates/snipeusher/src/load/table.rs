//! The load of all upstreams as one router knows it.

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

/// A peer's work counts for this long after it was told.
const PEER_TTL: Duration = Duration::from_secs(5);

/// Mean age of what a peer told: it tells every 500 ms.
const GOSSIP: Duration = Duration::from_millis(500);

/// Index of an upstream in the table, reused after the upstream is forgotten.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slot(pub u32);

/// What placement reads of each upstream, kept dense.
#[derive(Clone, Copy, Debug)]
pub struct Summary {
    /// Estimated work outstanding.
    pub estimate: u64,
    /// Work beyond which it would only queue, during slow start a part of it.
    pub capacity: u64,
    /// Slow-start factor.
    pub factor: f64,
    /// Work that peers are taken to have added since they told last: as much as this router.
    ///
    /// Without it, all routers that learn of the same free room fill it at once, and the load
    /// swings about the capacity with each round of gossip.
    pub unreported: u64,
}

#[derive(Clone, Debug)]
struct Told {
    at: Time,
    work: Vec<(Slot, u64)>,
}

/// The load of all upstreams, with estimates kept up to date.
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
    peers: BTreeMap<name::Host, Told>,
}

impl<S: Strategy> Table<S> {
    /// Starts without upstreams; `capacity` is what each may hold until its reports tell.
    pub fn new(capacity: Work) -> Self {
        Self {
            capacity: capacity.0,
            ..Self::default()
        }
    }

    /// The way it judges load.
    pub const fn strategy(&self) -> &S {
        &self.strategy
    }

    /// The upstream of that name.
    pub fn slot(&self, name: &name::Upstream) -> Option<Slot> {
        self.slots.get(name).copied()
    }

    /// What is known of an upstream.
    pub fn upstream(&self, slot: Slot) -> &Upstream {
        &self.upstreams[slot.0 as usize]
    }

    /// Forgets what only held for an earlier run of an upstream.
    pub(crate) fn restart(&mut self, slot: Slot, incarnation: name::Incarnation) {
        let capacity = self.capacity;
        self.upstream_mut(slot).restart(incarnation, capacity);
    }

    /// Lets a caller change what does not touch the estimate.
    pub(crate) fn upstream_mut(&mut self, slot: Slot) -> &mut Upstream {
        &mut self.upstreams[slot.0 as usize]
    }

    /// What placement reads of an upstream.
    pub fn summary(&self, slot: Slot) -> Summary {
        self.summaries[slot.0 as usize]
    }

    /// The upstreams known, in order of name.
    pub fn iter(&self) -> impl Iterator<Item = (Slot, &Upstream)> {
        self.slots
            .values()
            .map(|slot| (*slot, self.upstream(*slot)))
    }

    /// The upstreams that can serve a target, if one ever could.
    pub fn pool(&self, target: &Target) -> Option<&Pool> {
        let index = self.targets.get(target)?;
        self.pools.get(*index as usize)
    }

    /// Whether an upstream belongs to a pool.
    pub fn serves(&self, slot: Slot, pool: &Pool) -> bool {
        let index = self.targets.get(&pool.target);
        index.is_some_and(|index| self.upstream(slot).pools.contains(index))
    }

    /// All pools.
    pub fn pools(&self) -> &[Pool] {
        &self.pools
    }

    /// Routers whose work is known, this one included.
    pub fn routers(&self) -> u32 {
        self.peers.len() as u32 + 1
    }

    /// Estimated work of all upstreams of a pool that take new work.
    pub fn total(&self, target: &Target) -> Work {
        Work(self.pool(target).map_or(0, |pool| pool.total))
    }

    /// Adds an upstream, or finds it.
    pub(crate) fn enter(&mut self, name: &name::Upstream) -> Slot {
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

    /// Forgets an upstream; refused while own work is in flight there.
    pub(crate) fn forget(&mut self, slot: Slot) -> bool {
        if self.upstream(slot).own.get() > 0 {
            return false;
        }
        self.serve(slot, &BTreeSet::new());
        for told in self.peers.values_mut() {
            told.work.retain(|(other, _)| *other != slot);
        }
        let upstream = self.upstream_mut(slot);
        // What was learned of its cache must not count for the slot's next user.
        upstream.epoch = upstream.epoch.wrapping_add(1);
        let name = upstream.name.clone();
        if self.slots.remove(&name).is_some() {
            self.free.push(slot);
        }
        true
    }

    /// Sets what an upstream serves while it is live; nothing if it is not.
    pub(crate) fn serve(&mut self, slot: Slot, targets: &BTreeSet<Target>) {
        self.leave_pools(slot);
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
        self.join_open(slot);
    }

    /// Sets whether an upstream takes new work, and whether that is because it is ejected.
    pub(crate) fn open(&mut self, slot: Slot, open: bool, ejected: bool) {
        self.leave_open(slot);
        let before = self.upstream(slot).ejected;
        for index in self.upstream(slot).pools.clone() {
            let pool = &mut self.pools[index as usize];
            pool.ejected = pool.ejected + u32::from(ejected) - u32::from(before);
        }
        let upstream = self.upstream_mut(slot);
        upstream.open = open;
        upstream.ejected = ejected;
        self.join_open(slot);
    }

    /// Changes the own work at an upstream.
    pub(crate) fn own(&mut self, now: Time, slot: Slot, add: Work, remove: Work) {
        let upstream = self.upstream_mut(slot);
        let value = upstream.own.get().saturating_add(add.0);
        upstream.own.set(now, value.saturating_sub(remove.0));
        self.update(now, slot);
    }

    /// Changes the work granted to peers at an upstream.
    pub(crate) fn granted(&mut self, now: Time, slot: Slot, add: Work, remove: Work) {
        let upstream = self.upstream_mut(slot);
        upstream.granted = upstream
            .granted
            .saturating_add(add.0)
            .saturating_sub(remove.0);
        self.update(now, slot);
    }

    /// Takes a report; false if it is out of order.
    pub(crate) fn report(&mut self, now: Time, slot: Slot, report: &Report) -> bool {
        let taken = self.upstream_mut(slot).take(now, report);
        if taken {
            self.update(now, slot);
        }
        taken
    }

    /// Brings the estimate of an upstream up to date.
    pub(crate) fn refreshed(&mut self, now: Time, slot: Slot) {
        self.update(now, slot);
    }

    /// Lowers the capacity of an upstream that declined a request.
    pub(crate) fn declined(&mut self, now: Time, slot: Slot) {
        self.upstream_mut(slot).declined();
        self.update(now, slot);
    }

    /// Takes a peer's work in place of what it told last; returns the names it does not know.
    ///
    /// Work beyond [`WORK_MAX`] at one upstream counts as that.
    pub(crate) fn peer(
        &mut self,
        now: Time,
        host: name::Host,
        share: &Share,
    ) -> Vec<name::Upstream> {
        self.drop_peer(now, &host);
        let mut work = Vec::with_capacity(share.in_flight.len());
        let mut unknown = Vec::new();
        for (name, told) in &share.in_flight {
            match self.slot(name) {
                Some(slot) => work.push((slot, told.0.min(WORK_MAX))),
                None => unknown.push(name.clone()),
            }
        }
        for (slot, told) in &work {
            self.peers_at(now, *slot, *told, 0);
        }
        self.peers.insert(host, Told { at: now, work });
        unknown
    }

    /// Drops a peer's work.
    pub(crate) fn drop_peer(&mut self, now: Time, host: &name::Host) {
        let Some(told) = self.peers.remove(host) else {
            return;
        };
        for (slot, work) in told.work {
            self.peers_at(now, slot, 0, work);
        }
    }

    /// Ages reports, slow starts and peers' work; returns the peers that fell silent.
    pub(crate) fn refresh(&mut self, now: Time) -> Vec<name::Host> {
        let silent: Vec<name::Host> = self
            .peers
            .iter()
            .filter(|(_, told)| now.since(told.at) > PEER_TTL)
            .map(|(host, _)| host.clone())
            .collect();
        for host in &silent {
            self.drop_peer(now, host);
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
        silent
    }

    fn typical(&self, now: Time, pool: &Pool) -> View {
        let mut sum = View::default();
        let mut count = 0;
        for slot in &pool.slots {
            let upstream = self.upstream(*slot);
            let Some(seen) = upstream.report else {
                continue;
            };
            if upstream.freshness(now) < 1.0 {
                continue;
            }
            count += 1;
            sum.reported.0 += seen.work;
            sum.own_reported.0 += seen.own;
            sum.peers_reported.0 += seen.peers;
        }
        let mean = |work: Work| Work(work.0.checked_div(count).unwrap_or(0));
        View {
            reported: mean(sum.reported),
            own_reported: mean(sum.own_reported),
            peers_reported: mean(sum.peers_reported),
            ..View::default()
        }
    }

    fn peers_at(&mut self, now: Time, slot: Slot, add: u64, remove: u64) {
        let upstream = self.upstream_mut(slot);
        let value = upstream.peers.get().saturating_add(add);
        upstream.peers.set(now, value.saturating_sub(remove));
        self.update(now, slot);
    }

    /// Recomputes what placement reads of an upstream.
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
        let told = Time(now.0.saturating_sub(GOSSIP.as_micros() as u64));
        let grown = upstream.own.get().saturating_sub(upstream.own.at(told));
        let unreported = grown.saturating_mul(u64::from(self.routers() - 1));
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
        // A pool that lost its last upstream makes room for a new one, so that versions that
        // come and go do not add up.
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

    fn leave_pools(&mut self, slot: Slot) {
        self.leave_open(slot);
        let pools = std::mem::take(&mut self.upstream_mut(slot).pools);
        let ejected = u32::from(self.upstream(slot).ejected);
        for index in pools {
            let pool = &mut self.pools[index as usize];
            pool.live -= 1;
            pool.ejected -= ejected;
        }
    }

    fn leave_open(&mut self, slot: Slot) {
        self.join(slot, false);
    }

    fn join_open(&mut self, slot: Slot) {
        self.join(slot, true);
    }

    /// Puts an open upstream into the lists of its pools, or takes it out.
    fn join(&mut self, slot: Slot, enter: bool) {
        let upstream = &self.upstreams[slot.0 as usize];
        let summary = self.summaries[slot.0 as usize];
        if !upstream.open {
            return;
        }
        for index in &upstream.pools {
            let pool = &mut self.pools[*index as usize];
            if enter {
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
