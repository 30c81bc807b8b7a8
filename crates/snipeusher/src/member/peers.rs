//! Known routers and the detection of failed ones.
//!
//! A router is alive as long as its heartbeat grows, no matter which router forwarded the
//! heartbeat. Suspicions are not sent to other routers, so a single router that cannot reach a
//! peer never makes others drop it. Late or repeated messages cannot make a dead router look alive.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng as _;
use rand::seq::SliceRandom as _;
use rand_pcg::Pcg64;

use crate::name;
use crate::time::Time;
use crate::wire;

/// Time without a new heartbeat after which a router is suspected, without the allowance for the
/// size of the fleet.
const SUSPECT_AFTER: Duration = Duration::from_secs(6);
/// Added to [`SUSPECT_AFTER`] for each known router: a digest holds only part of the fleet, so
/// heartbeats take longer to spread in a larger one.
const SUSPECT_PER_PEER: Duration = Duration::from_millis(60);
/// Multiplies the timeout of a router that is only known from the host list: when the whole fleet
/// starts, records spread more slowly than heartbeats.
const LISTED_ONLY_FACTOR: u32 = 3;
/// Time without a heartbeat after which an unlisted router is removed; longer than the longest
/// partition of a region.
const REMOVE_AFTER: Duration = Duration::from_hours(2);
/// Maximum number of routers kept, several times the target fleet, to limit memory.
const PEERS_MAX: usize = 4_096;
/// Largest exponent of the backoff for a router that frames cannot be delivered to.
const BACKOFF_EXPONENT_MAX: u32 = 5;

/// What is known of another router.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Socket address.
    pub address: String,
    /// Zone and region.
    pub place: wire::Place,
    /// Current incarnation; zero until one is known.
    pub incarnation: name::Incarnation,
    /// Highest known heartbeat of that incarnation.
    pub heartbeat: u64,
    /// When the heartbeat last grew.
    pub last_heartbeat: Time,
    /// Whether the heartbeat has not grown for too long.
    pub suspect: bool,
    pub(super) incarnation_id: u32,
    /// When the incarnation became known.
    pub(super) incarnation_since: Time,
    listed: bool,
    failures: u32,
    retry_at: Time,
}

/// Distance of a router by zone and region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Distance {
    /// Same zone.
    Zone,
    /// Another zone of the region.
    Region,
    /// Another region.
    Far,
}

/// Result of merging a router's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The record is older than the known one.
    Stale,
    /// The record is as new as the known one or newer.
    Known,
    /// The record is newer, and the router was suspected before.
    Recovered,
}

/// All known routers except this one.
#[derive(Debug)]
pub(super) struct Peers {
    own: name::Host,
    place: wire::Place,
    map: BTreeMap<name::Host, Peer>,
    /// Routers by [`wire::incarnation_id`].
    by_incarnation_id: BTreeMap<u32, name::Host>,
    /// Remaining routers of the current rotation, by distance and whether they are suspected.
    rotations: BTreeMap<(Distance, bool), Vec<name::Host>>,
}

impl Peers {
    pub(super) const fn new(own: name::Host, place: wire::Place) -> Self {
        Self {
            own,
            place,
            map: BTreeMap::new(),
            by_incarnation_id: BTreeMap::new(),
            rotations: BTreeMap::new(),
        }
    }

    pub(super) const fn map(&self) -> &BTreeMap<name::Host, Peer> {
        &self.map
    }

    /// Merges a router's record from a frame.
    pub(super) fn merge(&mut self, now: Time, peer: &wire::Peer, place: &wire::Place) -> Outcome {
        if peer.host == self.own {
            return Outcome::Stale;
        }
        let Some(known) = self.map.get_mut(&peer.host) else {
            self.add(now, peer, place, false);
            return Outcome::Known;
        };
        let received = (peer.incarnation, peer.heartbeat);
        if received <= (known.incarnation, known.heartbeat) {
            return if received == (known.incarnation, known.heartbeat) {
                Outcome::Known
            } else {
                Outcome::Stale
            };
        }
        if known.incarnation != peer.incarnation {
            self.by_incarnation_id.remove(&known.incarnation_id);
            known.incarnation_id = wire::incarnation_id(&peer.host, peer.incarnation);
            known.incarnation_since = now;
            self.by_incarnation_id
                .insert(known.incarnation_id, peer.host.clone());
        }
        known.incarnation = peer.incarnation;
        known.heartbeat = peer.heartbeat;
        known.address.clone_from(&peer.address);
        known.place = place.clone();
        known.last_heartbeat = now;
        if std::mem::take(&mut known.suspect) {
            known.retry_at = now;
            return Outcome::Recovered;
        }
        Outcome::Known
    }

    /// Records a heartbeat; returns the router if it was suspected and is alive again.
    pub(super) fn record_heartbeat(
        &mut self,
        now: Time,
        update: wire::Heartbeat,
    ) -> Option<name::Host> {
        let host = self.by_incarnation_id.get(&update.incarnation_id)?;
        let known = self.map.get_mut(host)?;
        if update.heartbeat <= known.heartbeat {
            return None;
        }
        known.heartbeat = update.heartbeat;
        known.last_heartbeat = now;
        std::mem::take(&mut known.suspect).then(|| host.clone())
    }

    /// Ends the backoff for a router that a frame was received from.
    pub(super) fn end_backoff(&mut self, host: &name::Host) {
        if let Some(peer) = self.map.get_mut(host) {
            peer.failures = 0;
            peer.retry_at = Time::default();
        }
    }

    /// Backs off from the routers at an address that a frame could not be delivered to.
    pub(super) fn back_off(&mut self, now: Time, address: &str, interval: Duration) {
        let peers = self.map.values_mut();
        for peer in peers.filter(|peer| peer.address == address) {
            peer.failures = (peer.failures + 1).min(BACKOFF_EXPONENT_MAX);
            peer.retry_at = now + interval * (1 << peer.failures);
        }
    }

    /// Applies the routers of a host list. Unlisted routers are kept while their heartbeat grows.
    pub(super) fn apply_host_list(
        &mut self,
        now: Time,
        listed: &BTreeMap<name::Host, (String, wire::Place)>,
    ) {
        for (host, peer) in &mut self.map {
            peer.listed = listed.contains_key(host);
        }
        for (host, (address, place)) in listed {
            if *host == self.own || self.map.contains_key(host) {
                continue;
            }
            let peer = wire::Peer {
                host: host.clone(),
                address: address.clone(),
                place: 0,
                incarnation: name::Incarnation::default(),
                heartbeat: 0,
            };
            self.add(now, &peer, place, true);
        }
    }

    /// Suspects routers whose heartbeat has not grown in time and removes unlisted ones after
    /// [`REMOVE_AFTER`]; returns the newly suspected routers.
    pub(super) fn check_liveness(&mut self, now: Time) -> Vec<name::Host> {
        let count = u32::try_from(self.map.len()).unwrap_or(u32::MAX);
        let timeout = SUSPECT_AFTER + SUSPECT_PER_PEER.saturating_mul(count);
        let map = &mut self.map;
        map.retain(|_, known| known.listed || now.since(known.last_heartbeat) < REMOVE_AFTER);
        self.by_incarnation_id
            .retain(|_, host| map.contains_key(host));
        let mut suspected = Vec::new();
        for (host, known) in &mut self.map {
            let has_incarnation = known.incarnation > name::Incarnation::default();
            let timeout = if has_incarnation {
                timeout
            } else {
                timeout * LISTED_ONLY_FACTOR
            };
            if !known.suspect && now.since(known.last_heartbeat) > timeout {
                known.suspect = true;
                suspected.push(host.clone());
            }
        }
        suspected
    }

    /// Adds the length of a pause of this process to all timeouts, so that it causes no suspicion.
    pub(super) fn extend_timeouts(&mut self, pause: Duration) {
        for peer in self.map.values_mut() {
            peer.last_heartbeat = peer.last_heartbeat + pause;
        }
    }

    /// Returns the next router at the distance, in a shuffled rotation that visits each once.
    pub(super) fn next(
        &mut self,
        now: Time,
        distance: Option<Distance>,
        suspect: bool,
        rng: &mut Pcg64,
    ) -> Option<name::Host> {
        // Suspected routers are few, so one rotation holds them for all distances.
        let key = (distance.unwrap_or(Distance::Far), suspect);
        let mut refilled = false;
        loop {
            let queue = self.rotations.entry(key).or_default();
            if let Some(host) = queue.pop() {
                let eligible = self.map.get(&host).is_some_and(|peer| {
                    peer.suspect == suspect && (suspect || peer.retry_at <= now)
                });
                if eligible {
                    return Some(host);
                }
                continue;
            }
            if refilled {
                return None;
            }
            refilled = true;
            let mut hosts = self.select(distance, suspect);
            hosts.shuffle(rng);
            self.rotations.insert(key, hosts);
        }
    }

    /// All live routers in the order in which urgent frames are sent to them: shuffled, alternating
    /// between the own zone and the others so that neither has to wait for the other.
    pub(super) fn fan_out(&self, rng: &mut Pcg64) -> Vec<name::Host> {
        let mut zone = self.select(Some(Distance::Zone), false);
        let mut rest = self.select(Some(Distance::Region), false);
        rest.extend(self.select(Some(Distance::Far), false));
        zone.shuffle(rng);
        rest.shuffle(rng);
        let mut order = Vec::with_capacity(zone.len() + rest.len());
        let mut sides = [zone.into_iter(), rest.into_iter()];
        let mut turn = usize::from(rng.random_bool(0.5));
        loop {
            let next = sides[turn].next().or_else(|| sides[1 - turn].next());
            let Some(host) = next else {
                return order;
            };
            order.push(host);
            turn = 1 - turn;
        }
    }

    fn select(&self, distance: Option<Distance>, suspect: bool) -> Vec<name::Host> {
        self.map
            .iter()
            .filter(|(_, peer)| peer.suspect == suspect)
            .filter(|(_, peer)| distance.is_none_or(|selected| self.distance(peer) == selected))
            .map(|(host, _)| host.clone())
            .collect()
    }

    pub(super) fn distance(&self, peer: &Peer) -> Distance {
        if peer.place == self.place {
            Distance::Zone
        } else if peer.place.region == self.place.region {
            Distance::Region
        } else {
            Distance::Far
        }
    }

    fn add(&mut self, now: Time, peer: &wire::Peer, place: &wire::Place, listed: bool) {
        if self.map.len() >= PEERS_MAX {
            return;
        }
        let incarnation_id = wire::incarnation_id(&peer.host, peer.incarnation);
        let record = Peer {
            address: peer.address.clone(),
            place: place.clone(),
            incarnation: peer.incarnation,
            heartbeat: peer.heartbeat,
            last_heartbeat: now,
            suspect: false,
            incarnation_id,
            incarnation_since: now,
            listed,
            failures: 0,
            retry_at: Time::default(),
        };
        self.by_incarnation_id
            .insert(incarnation_id, peer.host.clone());
        self.map.insert(peer.host.clone(), record);
    }
}
