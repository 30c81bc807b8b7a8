//! The routers that this one knows.
//!
//! A router is alive as long as its heartbeat grows, whoever passes the heartbeat on. Nobody
//! sends accusations, so a single observer that cannot reach a router never makes others drop
//! it, and late or repeated messages cannot make a dead router look alive.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng as _;
use rand::seq::SliceRandom as _;
use rand_pcg::Pcg64;

use crate::name;
use crate::time::Time;
use crate::wire;

/// Silence after which a router is suspected, before the allowance for the size of the fleet.
const SUSPECT_AFTER: Duration = Duration::from_secs(6);
/// Allowance for each known router: digests hold a part of the fleet, so heartbeats take longer
/// to pass around in a larger one.
const SUSPECT_EACH: Duration = Duration::from_millis(60);
/// A router that is only known from the host list is given this many times the silence: after a
/// start of the whole fleet, records pass around more slowly than heartbeats.
const UNMET_FACTOR: u32 = 3;
/// Silence after which an unlisted router is forgotten; longer than a region is cut off.
const FORGET_AFTER: Duration = Duration::from_hours(2);
/// Most routers that are kept, several times the target, so that memory stays bounded.
const PEERS_MAX: usize = 4_096;
/// Highest exponent of the backoff towards a router whose frames cannot be delivered.
const BACKOFF_MAX: u32 = 5;

/// One router.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Socket address.
    pub address: String,
    /// Zone and region where it runs.
    pub place: wire::Place,
    /// Which run it is; zero until one is known.
    pub incarnation: name::Incarnation,
    /// Highest heartbeat of that run.
    pub heartbeat: u64,
    /// When the heartbeat was last seen to grow.
    pub last_heartbeat: Time,
    /// Whether nobody has heard from it for a while.
    pub suspect: bool,
    pub(super) incarnation_id: u32,
    /// When the run became known.
    pub(super) since: Time,
    listed: bool,
    failures: u32,
    not_before: Time,
}

/// How close a router is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Distance {
    /// Same zone.
    Zone,
    /// Another zone of the region.
    Region,
    /// Another region.
    Far,
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Heard {
    /// It is older than what is known.
    Stale,
    /// Nothing, or the heartbeat alone.
    Known,
    /// A suspected router is back.
    Recovered,
}

/// All known routers but this one.
#[derive(Debug)]
pub(super) struct Peers {
    own: name::Host,
    place: wire::Place,
    map: BTreeMap<name::Host, Peer>,
    /// Routers by the short name of their run.
    by_incarnation_id: BTreeMap<u32, name::Host>,
    rings: BTreeMap<(Distance, bool), Vec<name::Host>>,
}

impl Peers {
    pub(super) const fn new(own: name::Host, place: wire::Place) -> Self {
        Self {
            own,
            place,
            map: BTreeMap::new(),
            by_incarnation_id: BTreeMap::new(),
            rings: BTreeMap::new(),
        }
    }

    pub(super) const fn map(&self) -> &BTreeMap<name::Host, Peer> {
        &self.map
    }

    /// Takes a router's record from a frame.
    pub(super) fn hear(&mut self, now: Time, peer: &wire::Peer, place: &wire::Place) -> Heard {
        if peer.host == self.own {
            return Heard::Stale;
        }
        let Some(known) = self.map.get_mut(&peer.host) else {
            self.add(now, peer, place, false);
            return Heard::Known;
        };
        let fresh = (peer.incarnation, peer.heartbeat);
        if fresh <= (known.incarnation, known.heartbeat) {
            return if fresh == (known.incarnation, known.heartbeat) {
                Heard::Known
            } else {
                Heard::Stale
            };
        }
        if known.incarnation != peer.incarnation {
            self.by_incarnation_id.remove(&known.incarnation_id);
            known.incarnation_id = wire::incarnation_id(&peer.host, peer.incarnation);
            known.since = now;
            self.by_incarnation_id
                .insert(known.incarnation_id, peer.host.clone());
        }
        known.incarnation = peer.incarnation;
        known.heartbeat = peer.heartbeat;
        known.address.clone_from(&peer.address);
        known.place = place.clone();
        known.last_heartbeat = now;
        if std::mem::take(&mut known.suspect) {
            known.not_before = now;
            return Heard::Recovered;
        }
        Heard::Known
    }

    /// Takes a sign of life; gives the router if it is a suspected one that is back.
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

    /// Notes that frames of the router itself arrive, which ends the backoff towards it.
    pub(super) fn reachable(&mut self, host: &name::Host) {
        if let Some(peer) = self.map.get_mut(host) {
            peer.failures = 0;
            peer.not_before = Time::default();
        }
    }

    /// Backs off from a router whose frames cannot be delivered.
    pub(super) fn unreachable(&mut self, now: Time, address: &str, interval: Duration) {
        let peers = self.map.values_mut();
        for peer in peers.filter(|peer| peer.address == address) {
            peer.failures = (peer.failures + 1).min(BACKOFF_MAX);
            peer.not_before = now + interval * (1 << peer.failures);
        }
    }

    /// Takes the routers of a host list. Unlisted ones stay as long as they are heard from.
    pub(super) fn list(&mut self, now: Time, listed: &BTreeMap<name::Host, (String, wire::Place)>) {
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

    /// Suspects silent routers and forgets those that are long gone; gives the newly suspected.
    pub(super) fn review(&mut self, now: Time) -> Vec<name::Host> {
        let count = u32::try_from(self.map.len()).unwrap_or(u32::MAX);
        let patience = SUSPECT_AFTER + SUSPECT_EACH.saturating_mul(count);
        let map = &mut self.map;
        map.retain(|_, known| known.listed || now.since(known.last_heartbeat) < FORGET_AFTER);
        self.by_incarnation_id
            .retain(|_, host| map.contains_key(host));
        let mut silent = Vec::new();
        for (host, known) in &mut self.map {
            let met = known.incarnation > name::Incarnation::default();
            let patience = if met {
                patience
            } else {
                patience * UNMET_FACTOR
            };
            if !known.suspect && now.since(known.last_heartbeat) > patience {
                known.suspect = true;
                silent.push(host.clone());
            }
        }
        silent
    }

    /// Does not blame others for a pause of this process.
    pub(super) fn excuse(&mut self, pause: Duration) {
        for peer in self.map.values_mut() {
            peer.last_heartbeat = peer.last_heartbeat + pause;
        }
    }

    /// The next router of the distance in a shuffled order that visits each once per cycle.
    pub(super) fn next(
        &mut self,
        now: Time,
        distance: Option<Distance>,
        suspect: bool,
        rng: &mut Pcg64,
    ) -> Option<name::Host> {
        // A ring without a distance holds the suspects, which are few.
        let key = (distance.unwrap_or(Distance::Far), suspect);
        let mut refilled = false;
        loop {
            let queue = self.rings.entry(key).or_default();
            if let Some(host) = queue.pop() {
                let wanted = self.map.get(&host).is_some_and(|peer| {
                    peer.suspect == suspect && (suspect || peer.not_before <= now)
                });
                if wanted {
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
            self.rings.insert(key, hosts);
        }
    }

    /// All routers that are alive, in the order in which urgent news goes out: shuffled, with
    /// the own zone and the rest taking turns so that neither waits for the other.
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
            .filter(|(_, peer)| distance.is_none_or(|wanted| self.distance(peer) == wanted))
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
            since: now,
            listed,
            failures: 0,
            not_before: Time::default(),
        };
        self.by_incarnation_id
            .insert(incarnation_id, peer.host.clone());
        self.map.insert(peer.host.clone(), record);
    }
}
