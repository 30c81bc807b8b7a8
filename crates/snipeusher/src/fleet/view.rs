//! One router's view of all upstreams.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::Account;
use super::Decision;
use super::DeclineLimit;
use super::Delta;
use super::Entry;
use super::Leaving;
use super::Limits;
use super::List;
use super::Observation;
use super::Outage;
use super::Outcome;
use super::Query;
use super::RateLimit;
use super::Regions;
use super::Report;
use super::Roster;
use super::Source;
use super::Spending;
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
use super::warmup::Bound;
use super::warmup::Warmups;
use super::zone::Zone;
use crate::archive::Versions;
use crate::hash;
use crate::kv::Revision;
use crate::name;
use crate::route;
use crate::route::Homes;
use crate::time::Time;

/// Requests that each router may have in flight at one upstream, however many routers share its
/// connections: at any moment most routers have none there.
const CONNECTION_SHARE_MIN: u32 = 2;
/// Observations sent to a peer at once.
const OBSERVATIONS_MAX: usize = 40;
/// Statements about rate limits sent to a peer at once.
const RATE_LIMITS_MAX: usize = 10;
/// Observations that are left out for each of these statements, so that a digest keeps its size.
const OBSERVATIONS_PER_RATE_LIMIT: usize = 2;
/// The same for each statement of how many requests upstreams can decline. A service that cannot be
/// reached replaces one.
const OBSERVATIONS_PER_DECLINE_LIMIT: usize = 2;

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
        let news = upstreams.filter_map(|upstream| {
            let remaining = upstream.warmup.take_news(now)?;
            Some((upstream.entry.id.clone(), remaining))
        });
        news.collect()
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

    /// Determines this router's part of the limits of upstreams that are warming up.
    fn divide_permits(&mut self, now: Time) {
        if !self.warmups.is_empty() {
            self.update_permits(now);
        }
    }

    fn update_permits(&mut self, now: Time) {
        for upstream in &mut self.upstreams {
            self.warmups.update(now, upstream, &self.sharers);
        }
    }

    /// Determines this router's slots at the upstreams that can decline few requests.
    fn divide_slots(&mut self, now: Time) {
        let limits = &self.decline_limits;
        let limited = self
            .upstreams
            .iter_mut()
            .filter(|upstream| limits.get(now, &upstream.entry.service).is_some());
        for upstream in limited {
            upstream.own_slots = self.sharers.own_slots(upstream);
        }
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

    /// Counts a caller's request to a service.
    pub fn record_request(&mut self, now: Time, service: &name::Service) {
        self.retries.record_request(now, service);
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
    fn is_unreachable_within(&self, service: &name::Service, homes: &Homes) -> bool {
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
    fn due_zone_probes(&mut self, now: Time) -> Vec<usize> {
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

    /// Records that an upstream said in a response that it shuts down. Returns whether this is
    /// news.
    pub fn record_leaving(&mut self, now: Time, id: &name::Upstream) -> bool {
        let Some(upstream) = self.upstream(id) else {
            return false;
        };
        let leaving = upstream.leaving();
        self.leave(now, &leaving)
    }

    /// Excludes an upstream that shuts down from new requests; news is passed on to peers.
    fn leave(&mut self, now: Time, leaving: &Leaving) -> bool {
        let is_news = self.roster.record_leaving(leaving);
        if is_news {
            self.outage.leaving.push(leaving.clone());
            self.refresh(now);
            self.record_evacuations(now, Source::Expiry);
        }
        is_news
    }

    /// Records that another upstream answered at the address of an upstream, whose entry is outdated.
    /// Returns whether this is news.
    pub fn record_replaced(&mut self, now: Time, id: &name::Upstream) -> bool {
        let Some(upstream) = self.upstream(id) else {
            return false;
        };
        let replaced = upstream.leaving();
        self.exclude_replaced(now, &replaced)
    }

    /// Excludes an upstream whose address another one has; news is passed on to peers.
    fn exclude_replaced(&mut self, now: Time, replaced: &Leaving) -> bool {
        let upstream = self.upstream_mut(&replaced.upstream);
        let upstream =
            upstream.filter(|upstream| upstream.entry.incarnation == replaced.incarnation);
        let is_news = upstream.is_some_and(|upstream| upstream.record_replaced(now));
        if is_news {
            self.outage.replaced.push(replaced.clone());
        }
        is_news
    }

    /// Whether an upstream said itself that it shuts down.
    pub fn has_announced_leaving(&self, upstream: &Upstream) -> bool {
        self.roster.is_announced(&upstream.leaving())
    }

    /// Records that an upstream asked this router to send it nothing for a time.
    pub fn record_pause(&mut self, now: Time, id: &name::Upstream, pause: Duration) {
        let pause = pause.min(self.settings.pause_max);
        if let Some(upstream) = self.upstream_mut(id) {
            upstream.paused_until = upstream.paused_until.max(Some(now + pause));
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
    fn record_silent_upstreams(&mut self, now: Time) {
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

    fn record_zone_loss(&mut self, name: name::Zone) {
        let zone = self.zones.entry(name.clone()).or_default();
        if zone.record_loss() {
            self.outage.zones.push(name);
        }
    }

    /// Whether an upstream may get new requests.
    pub fn is_ready(&self, now: Time, id: &name::Upstream) -> bool {
        self.roster.is_ready(now, id)
    }

    /// Whether upstreams of a service run several software versions or did so in the last minute.
    pub fn has_several_builds(&self, now: Time, service: &name::Service) -> bool {
        self.builds.has_several(now, service)
    }

    /// Whether upstreams of any service run several software versions or did so in the last minute.
    pub fn has_any_several_builds(&self, now: Time) -> bool {
        self.builds.has_any_several(now)
    }

    /// Learns the software versions that are recorded in the store.
    pub fn record_versions(&mut self, now: Time, recorded: Versions) {
        self.builds.record(now, recorded);
    }

    /// Learns the software versions of the upstreams that the store lists at present. The list of
    /// this router may be older.
    pub fn learn_listed_versions(&mut self, now: Time, listed: &Versions) {
        self.builds.learn(now, listed);
    }

    /// The software versions to be recorded in the store, if the record differs from them.
    pub fn unrecorded_versions(&self, now: Time) -> Option<Versions> {
        if !self.builds.is_known() {
            return None;
        }
        let versions = self.builds.to_record(now);
        (versions != *self.builds.recorded()).then_some(versions)
    }

    /// Time after which [`Self::sole_build`] can tell the version, if no second one appears.
    pub fn sole_build_in(
        &self,
        now: Time,
        service: &name::Service,
        age: Duration,
    ) -> Option<Duration> {
        self.builds.sole_in(now, service, age)
    }

    /// The only software version that upstreams of a service run now and ran in the last minute, if
    /// this router has known the upstreams for `age` or the store's record shows no other version.
    pub fn sole_build(
        &self,
        now: Time,
        service: &name::Service,
        age: Duration,
    ) -> Option<&name::Build> {
        self.builds.sole(now, service, age)
    }

    /// Uses up one retry of the service's budget; returns false if none remains.
    pub fn try_retry(&mut self, now: Time, service: &name::Service) -> bool {
        self.retries.try_retry(now, service, self.routers)
    }

    /// Records that an earlier process of this router may have spent its part of the retry budgets
    /// until `now`. No retry is allowed until [`Self::learn_past_retries`], or until the window has
    /// passed.
    pub fn await_past_retries(&mut self, now: Time) {
        self.retries.await_past(now);
    }

    /// Whether an earlier process may have spent retries that are not counted.
    pub fn are_past_retries_unknown(&self, now: Time) -> bool {
        self.retries.is_past_unknown(now)
    }

    /// Counts what an earlier process of this router spent, which is all of it.
    pub fn learn_past_retries(&mut self, now: Time, accounts: &[Account]) {
        self.retries.learn_past(now, accounts);
    }

    /// Sets the least number of routers to share retry budgets with, while this router knows few.
    pub const fn set_routers_min(&mut self, routers: usize) {
        self.retries.set_routers_min(routers);
    }

    /// What this router has spent of the retry budgets, to be stated to peers.
    pub fn accounts(&mut self, now: Time) -> Vec<Account> {
        self.retries.accounts(now)
    }

    /// Length of the window of the retry budgets.
    pub const fn retry_window(&self) -> Duration {
        self.settings.retries.window
    }

    /// The number of routers that share retry budgets and connections.
    pub const fn routers(&self) -> usize {
        self.routers
    }

    /// Retries that this router may still send at `now`, by service, rounded down.
    pub fn retries_remaining(&mut self, now: Time) -> Vec<(name::Service, u32)> {
        self.retries.remaining(now, self.routers)
    }

    /// Requests and retries of each service within the budget's window.
    pub fn spending(&mut self, now: Time) -> Vec<(name::Service, Spending)> {
        self.retries.spending(now)
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
        self.builds.update(now, roster.entries());
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
