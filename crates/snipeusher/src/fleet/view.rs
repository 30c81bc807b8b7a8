//! One router's view of all upstreams.

mod budgets;
mod leaving;
mod reachability;
mod statements;
mod versions;
mod warming;

use std::collections::BTreeMap;
use std::time::Duration;

use super::Decision;
use super::Delta;
use super::Entry;
use super::Limits;
use super::List;
use super::Outage;
use super::Outcome;
use super::Query;
use super::Regions;
use super::Report;
use super::Roster;
use super::Source;
use super::Update;
use super::Upstream;
use super::builds::Builds;
use super::choice;
use super::choice::ServiceLimits;
use super::decline;
use super::decline::DeclineLimits;
use super::drain::Drains;
use super::rate::Routers;
use super::residence::Residence;
use super::retries::Retries;
use super::warmup::Warmups;
use super::zone::Zone;
use crate::hash;
use crate::kv::Revision;
use crate::name;
use crate::route::Homes;
use crate::time::Time;

/// Requests that each router may have in flight at one upstream, however many routers share its
/// connections: at any moment most routers have none there.
const CONNECTION_SHARE_MIN: u32 = 2;

/// Settings of a [`Fleet`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// This router's availability zone.
    pub zone: name::Zone,
    /// Regions of the availability zones.
    pub regions: Regions,
    /// Limits of the retries to one service.
    pub retries: Limits,
    /// Time for which an upstream that leaves still serves requests.
    pub drain: Duration,
    /// Longest pause that an upstream may ask for.
    pub pause_max: Duration,
}

/// One router's view of all upstreams: registration, load, health and retry budgets.
#[derive(Debug)]
pub struct Fleet {
    settings: Settings,
    roster: Roster,
    upstreams: Vec<Upstream>,
    slots: BTreeMap<name::Upstream, usize>,
    /// All upstreams by service.
    members: BTreeMap<name::Service, Vec<usize>>,
    ready: BTreeMap<name::Service, Vec<usize>>,
    /// Ready upstreams in evacuated zones.
    evacuated: BTreeMap<name::Service, Vec<usize>>,
    pub(super) drains: Drains,
    builds: Builds,
    /// When the next retained entry of the roster expires.
    refresh_at: Option<Time>,
    retries: Retries,
    zones: BTreeMap<name::Zone, Zone>,
    residences: BTreeMap<name::Service, Residence>,
    /// News to report to peers.
    outage: Outage,
    routers: usize,
    sharers: Routers,
    decline_limits: DeclineLimits,
    warmups: Warmups,
}

impl Fleet {
    /// Creates an empty view.
    pub fn new(settings: Settings) -> Self {
        Self {
            roster: Roster::new(settings.drain),
            upstreams: Vec::new(),
            slots: BTreeMap::new(),
            members: BTreeMap::new(),
            ready: BTreeMap::new(),
            evacuated: BTreeMap::new(),
            drains: Drains::default(),
            builds: Builds::default(),
            refresh_at: None,
            retries: Retries::new(settings.retries),
            zones: BTreeMap::new(),
            residences: BTreeMap::new(),
            outage: Outage::default(),
            routers: 1,
            sharers: Routers::default(),
            decline_limits: DeclineLimits::default(),
            warmups: Warmups::default(),
            settings,
        }
    }

    /// The upstreams registered in the store.
    pub const fn roster(&self) -> &Roster {
        &self.roster
    }

    /// The view of one upstream.
    pub fn upstream(&self, id: &name::Upstream) -> Option<&Upstream> {
        self.slots.get(id).map(|slot| &self.upstreams[*slot])
    }

    /// All known upstreams, including removed ones that still have requests in flight.
    pub fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }

    /// Sets the number of routers that share retry budgets and connections.
    pub const fn set_routers(&mut self, routers: usize) {
        self.routers = routers;
    }

    /// Sets the hosts of this router and of the others that it knows, which share the rate limits
    /// of upstreams.
    pub fn set_hosts<'a>(
        &mut self,
        now: Time,
        own: &name::Host,
        others: impl Iterator<Item = &'a name::Host>,
    ) {
        let id = |host: &name::Host| hash::bytes(host.as_str().as_bytes());
        let sharers = Routers::new(id(own), others.map(id).collect(), self.routers);
        let is_changed = self.sharers != sharers;
        self.warmups.set_routers(now, &sharers, is_changed);
        if !is_changed {
            return;
        }
        self.sharers = sharers;
        for upstream in &mut self.upstreams {
            let share = |per_s| self.sharers.share(upstream.id_hash, per_s);
            upstream.rate.update(now, share);
        }
        self.divide_slots(now);
        self.divide_permits(now);
    }

    /// Changes of the store's entries after a revision, for a peer. Upstreams that are warming up
    /// are listed with the time that remains, if their service has a limit: routers of earlier
    /// builds cannot read it.
    pub fn changes_since(&self, now: Time, revision: Revision) -> Delta {
        let mut delta = self.roster.changes_since(now, revision);
        let cold = delta.entries.iter_mut().filter(|entry| entry.cold_ms > 0);
        for entry in cold {
            let upstream = self.upstream(&entry.id);
            let limited = upstream.filter(|_| self.warmups.get(&entry.service).is_some());
            let remaining = limited.map(|upstream| upstream.warmup.stated(now));
            entry.cold_ms = remaining.unwrap_or_default().as_millis() as u32;
        }
        delta
    }

    /// See [`Roster::store_disconnected`].
    pub fn store_disconnected(&mut self) {
        self.roster.store_disconnected();
    }

    /// See [`Roster::store_reconnected`].
    pub fn store_reconnected(&mut self, now: Time, was_down: bool) {
        self.roster.store_reconnected(now, was_down);
    }

    /// Applies an entry of the store.
    pub fn upsert(&mut self, now: Time, entry: Entry) {
        self.apply(now, [Update::Written(entry)]);
    }

    /// Applies the removal of an entry of the store.
    pub fn remove(&mut self, now: Time, id: &name::Upstream, revision: Revision) {
        self.apply(now, [Update::Removed(id.clone(), revision)]);
    }

    /// Applies changes of the store that arrived together. The indexes, whose size is that of the
    /// fleet, are updated once for all of them.
    pub fn apply(&mut self, now: Time, updates: impl IntoIterator<Item = Update>) {
        for update in updates {
            match update {
                Update::Written(entry) => self.roster.upsert(entry),
                Update::Removed(id, revision) => self.roster.remove(now, &id, revision),
                Update::Evacuated(zone, revision) => self.roster.evacuate(zone, revision),
                Update::EvacuationEnded(zone, revision) => {
                    self.roster.end_evacuation(zone, revision);
                }
            }
        }
        self.refresh(now);
        self.record_evacuations(now, Source::Store);
    }

    /// Records that all changes of the store up to a revision have been applied.
    pub fn advance_to(&mut self, revision: Revision) {
        self.roster.advance_to(revision);
    }

    /// Applies a complete list of a store without evacuations; see [`Self::replace`].
    pub fn replace_all(&mut self, now: Time, revision: Revision, entries: Vec<Entry>) {
        let list = List {
            revision,
            entries,
            ..List::default()
        };
        self.replace(now, list);
    }

    /// Applies a complete list of the store.
    pub fn replace(&mut self, now: Time, list: List) {
        self.roster.replace(now, list);
        self.refresh(now);
        self.record_evacuations(now, Source::Store);
    }

    /// Applies a peer's delta of the store's entries.
    pub fn merge(&mut self, now: Time, delta: Delta) {
        self.roster.merge(now, delta);
        self.refresh(now);
        self.record_evacuations(now, Source::Peer);
    }

    /// Chooses an upstream for a request.
    pub fn choose(&mut self, now: Time, query: &Query<'_>) -> Decision {
        self.expire(now);
        self.record_silent_upstreams(now);
        let ready = self.ready.get(query.service).map_or(&[][..], Vec::as_slice);
        if ready.is_empty() && self.evacuated.contains_key(query.service) {
            return choice::refuse_evacuated(query);
        }
        let is_unreachable =
            |zone: &name::Zone| self.zones.get(zone).is_some_and(Zone::is_unreachable);
        let connection_share = self.connection_share(query.max_connections);
        let members = self.members.get(query.service);
        let limits = ServiceLimits {
            members: members.map_or(&[][..], Vec::as_slice),
            connection_share: connection_share.max(CONNECTION_SHARE_MIN),
            needs_room: self.needs_room(now, query.service),
            residence_s: self.residence(query.service).mean_s(),
        };
        choice::choose(now, &self.upstreams, ready, is_unreachable, limits, query)
    }

    /// How long requests stay at the upstreams of a service.
    fn residence(&self, service: &name::Service) -> Residence {
        self.residences.get(service).copied().unwrap_or_default()
    }

    /// Whether the upstreams of a service get only requests for which they have room.
    fn needs_room(&self, now: Time, service: &name::Service) -> bool {
        self.decline_limits.get(now, service).is_some()
    }

    /// Whether requests for a service are better relayed to a peer: this router reaches no upstream
    /// of it, or has no free slot at those that can decline few requests.
    pub fn needs_relay(&self, now: Time, service: &name::Service) -> bool {
        self.needs_relay_within(now, service, &Homes::default())
    }

    /// The same for requests with home regions, which other upstreams cannot serve. No peer can
    /// serve them either if none is ready there.
    pub fn needs_relay_within(&self, now: Time, service: &name::Service, homes: &Homes) -> bool {
        let is_free = |upstream: &Upstream| upstream.available_at(now, true).is_none();
        let mut upstreams = self.ready_at_home(service, homes).peekable();
        if !homes.is_anywhere() && upstreams.peek().is_none() {
            return false;
        }
        let is_full = self.needs_room(now, service) && !upstreams.any(is_free);
        is_full
            || self.is_withheld(now, service, homes)
            || self.is_unreachable_within(service, homes)
    }

    /// Whether all upstreams of a service are warming up and get requests of other routers only.
    fn is_withheld(&self, now: Time, service: &name::Service, homes: &Homes) -> bool {
        let mut upstreams = self.ready_at_home(service, homes).peekable();
        upstreams.peek().is_some() && upstreams.all(|upstream| upstream.warmup.is_withheld(now))
    }

    /// Whether a router has slots at upstreams of a service that can decline few requests, or may
    /// send to one if all are warming up. At other services each router has.
    pub fn has_slots(&self, now: Time, service: &name::Service, host: &name::Host) -> bool {
        self.has_slots_within(now, service, host, &Homes::default())
    }

    /// The same for requests with home regions, which other upstreams cannot serve.
    pub fn has_slots_within(
        &self,
        now: Time,
        service: &name::Service,
        host: &name::Host,
        homes: &Homes,
    ) -> bool {
        let router = hash::bytes(host.as_str().as_bytes());
        let may_send = |upstream: &Upstream| {
            let rank = self.sharers.rank_of(router, upstream.id_hash);
            upstream.warmup.has_permits(rank as u32)
        };
        let mut upstreams = self.ready_at_home(service, homes);
        if self.is_withheld(now, service, homes) && !upstreams.any(may_send) {
            return false;
        }
        let mut upstreams = self.ready_at_home(service, homes);
        !self.needs_room(now, service)
            || upstreams.any(|upstream| self.sharers.slots_of(router, upstream) > 0)
    }

    fn ready_upstreams(&self, service: &name::Service) -> impl Iterator<Item = &Upstream> {
        let ready = self.ready.get(service).map_or(&[][..], Vec::as_slice);
        ready.iter().map(|slot| &self.upstreams[*slot])
    }

    fn ready_at_home(
        &self,
        service: &name::Service,
        homes: &Homes,
    ) -> impl Iterator<Item = &Upstream> {
        let ready = self.ready_upstreams(service);
        ready.filter(|upstream| homes.admits(upstream.region.as_ref()))
    }

    /// The refusal of a request which no upstream may get because of its home regions, if so.
    pub fn refuse_at_home(
        &mut self,
        now: Time,
        service: &name::Service,
        homes: &Homes,
    ) -> Option<Decision> {
        self.expire(now);
        choice::refuse_at_home(self.ready_upstreams(service), homes)
    }

    /// This router's share of the connections that one upstream accepts from all routers; zero if
    /// there are more routers than connections.
    ///
    /// Upstreams reset connections beyond their limit, and a request sent on one may have run.
    pub fn connection_share(&self, connections: u32) -> u32 {
        if connections == 0 {
            return u32::MAX;
        }
        let routers = u32::try_from(self.routers).unwrap_or(u32::MAX);
        connections / routers.max(1)
    }

    /// Whether an upstream may get new requests.
    pub fn is_ready(&self, now: Time, id: &name::Upstream) -> bool {
        self.roster.is_ready(now, id)
    }

    /// The number of routers that share retry budgets and connections.
    pub const fn routers(&self) -> usize {
        self.routers
    }

    /// Whether the retry budget and an available untried upstream allow another attempt.
    pub fn has_alternative(&mut self, now: Time, query: &Query<'_>) -> bool {
        let ready = self.ready.get(query.service).map_or(&[][..], Vec::as_slice);
        let upstreams = ready.iter().map(|slot| &self.upstreams[*slot]);
        let needs_room = self.needs_room(now, query.service);
        let mut others = upstreams.filter(|upstream| query.admits(now, upstream, needs_room));
        others.any(|upstream| upstream.health.is_available(now))
            && self.retries.can_retry(now, query.service, self.routers)
    }

    /// Records that a request was sent to an upstream.
    pub fn record_sent(&mut self, now: Time, id: &name::Upstream) {
        if let Some(upstream) = self.upstream_mut(id) {
            upstream.load.record_sent();
            upstream.rate.record_sent(now);
            upstream.warmup.record_sent(now);
            upstream.health.record_sent();
            upstream.overdue.record_sent(now);
            upstream.silent_since.get_or_insert(now);
            let service = upstream.entry.service.clone();
            self.residences.entry(service).or_default().record_sent(now);
        }
    }

    /// Records the load that an upstream reported.
    pub fn record_load(&mut self, now: Time, id: &name::Upstream, report: Report) {
        if let Some(upstream) = self.upstream_mut(id) {
            let load = report.running.saturating_add(report.waiting);
            upstream.load.record(now, load);
            upstream.pace.record(now, report.pace);
        }
    }

    /// Records the end of a request at an upstream. Returns true if this ejects the upstream or
    /// newly marks it unreachable.
    pub fn record_outcome(&mut self, now: Time, id: &name::Upstream, outcome: Outcome) -> bool {
        let service_rate = self.service_failure_rate(id);
        let backoff = self.backoff(now, id);
        self.record_end(now, id);
        let Some(upstream) = self.upstream_mut(id) else {
            return false;
        };
        upstream.load.record_end();
        let is_idle = upstream.load.in_flight() == 0;
        upstream.stop_unless_read();
        if let Some(backoff) = backoff.filter(|_| outcome == Outcome::Declined) {
            upstream.backoff_until = Some(now + backoff);
        }
        let is_news = outcome == Outcome::Unreachable && !upstream.health.is_unreachable();
        let ejected = upstream.health.record_outcome(now, outcome, service_rate);
        if outcome == Outcome::Unreachable {
            let zone = upstream.entry.zone.clone();
            self.record_zone_loss(zone);
        }
        if is_news {
            self.outage.upstreams.push(id.clone());
        }
        if is_idle {
            self.record_drained(id);
        }
        ejected
    }

    fn record_end(&mut self, now: Time, id: &name::Upstream) {
        let Some(slot) = self.slots.get(id) else {
            return;
        };
        let service = &self.upstreams[*slot].entry.service;
        if let Some(residence) = self.residences.get_mut(service) {
            residence.record_end(now);
        }
    }

    /// Time for which this router stays away from an upstream that has declined its request, if the
    /// upstream can decline few.
    fn backoff(&self, now: Time, id: &name::Upstream) -> Option<Duration> {
        let service = &self.upstream(id)?.entry.service;
        let per_s = self.decline_limits.get(now, service)?;
        Some(decline::backoff(per_s))
    }

    /// Mean failure rate of the other upstreams of the same service.
    fn service_failure_rate(&self, id: &name::Upstream) -> f64 {
        let Some(service) = self.upstream(id).map(|upstream| &upstream.entry.service) else {
            return 0.0;
        };
        let slots = self.ready.get(service).map_or(&[][..], Vec::as_slice);
        let others = slots.iter().map(|slot| &self.upstreams[*slot]);
        let others =
            others.filter(|upstream| upstream.entry.id != *id && !upstream.health.is_ejected());
        let (sum, count) = others.fold((0.0, 0_u32), |(sum, count), upstream| {
            (sum + upstream.health.failure_rate(), count + 1)
        });
        sum / f64::from(count.max(1))
    }

    fn upstream_mut(&mut self, id: &name::Upstream) -> Option<&mut Upstream> {
        let slot = *self.slots.get(id)?;
        Some(&mut self.upstreams[slot])
    }

    /// Drops what the roster retained until `now`.
    pub fn expire(&mut self, now: Time) {
        if self.refresh_at.is_some_and(|at| at <= now) {
            self.refresh(now);
            self.record_evacuations(now, Source::Expiry);
        }
    }

    /// Drops the times of services without upstreams, and counts the requests in flight again, since
    /// an entry may have changed its service.
    fn update_residences(&mut self, now: Time) {
        let upstreams = &self.upstreams;
        self.residences.retain(|service, residence| {
            let of_service = upstreams
                .iter()
                .filter(|upstream| upstream.entry.service == *service);
            let mut counts = of_service
                .map(|upstream| upstream.load.in_flight())
                .peekable();
            let is_used = counts.peek().is_some();
            residence.set_in_flight(now, counts.sum());
            is_used
        });
    }

    /// Updates the upstreams and their indexes from the roster.
    fn refresh(&mut self, now: Time) {
        self.roster.expire(now);
        self.refresh_at = self.roster.next_expiry();
        let roster = &self.roster;
        // A removed upstream stays until its requests in flight have ended.
        self.upstreams.retain(|upstream| {
            roster.get(&upstream.entry.id).is_some() || upstream.load.in_flight() > 0
        });
        self.slots = (0..)
            .zip(&self.upstreams)
            .map(|(slot, upstream)| (upstream.entry.id.clone(), slot))
            .collect();
        for entry in roster.entries() {
            if let Some(slot) = self.slots.get(&entry.id) {
                let Settings { zone, regions, .. } = &self.settings;
                self.upstreams[*slot].update(now, entry.clone(), zone, regions);
            } else {
                self.slots.insert(entry.id.clone(), self.upstreams.len());
                let Settings { zone, regions, .. } = &self.settings;
                let upstream = Upstream::new(now, entry.clone(), zone, regions);
                self.upstreams.push(upstream);
            }
        }
        self.builds
            .update(now, roster.revision().era, roster.entries());
        self.update_residences(now);
        let roster = &self.roster;
        self.members.clear();
        for (slot, upstream) in self.upstreams.iter().enumerate() {
            let service = upstream.entry.service.clone();
            self.members.entry(service).or_default().push(slot);
        }
        self.ready.clear();
        self.evacuated.clear();
        for entry in roster.ready(now) {
            let index = if roster.is_evacuated(now, &entry.zone) {
                &mut self.evacuated
            } else {
                &mut self.ready
            };
            let slots = index.entry(entry.service.clone()).or_default();
            slots.extend(self.slots.get(&entry.id));
        }
        self.divide_slots(now);
        self.divide_permits(now);
    }
}
