//! The set of known peers and the order of exchanges with them.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::Bound;
use std::time::Duration;

use snipeusher::hash;
use snipeusher::name;
use snipeusher::stream;
use snipeusher::time::Time;

use super::Digest;
use super::Member;
use super::holders::Holder;
use super::holders::Holders;

/// A router is removed if no router has received a digest from it for this time.
const EXPIRY: Duration = Duration::from_secs(20);
/// Time after its last digest for which a router ranks as a holder of records of streams. A router
/// that is cut off from the others must not take itself for the only holder during a release.
pub(super) const HOLDER_FOR: Duration = Duration::from_mins(1);
/// A router counts as running, and gets a share of the retry budget, for this time after its last
/// digest.
const COUNTED_FOR: Duration = Duration::from_secs(12);
/// Time after its last digest for which a peer counts as reaching the services that the digest did
/// not list as unreachable.
const REACH_FOR: Duration = Duration::from_secs(2);
/// Time for which a router that was found by its record is contacted. Its record may be older than
/// its end.
const INTRODUCED_FOR: Duration = Duration::from_secs(10);
/// Maximum number of members listed in a digest; the next digest lists the next ones.
const MEMBERS_MAX: usize = 8;
/// Exchanges within the own availability zone for each one with another zone. Traffic between zones
/// is expensive, and each zone has its own readers of the store.
const LOCAL_EXCHANGES: usize = 3;

#[derive(Clone, Debug)]
struct Known {
    address: SocketAddr,
    zone: name::Zone,
    last_seen: Time,
    reach: Option<Reach>,
}

/// What a peer's last digest said of its links to upstreams.
#[derive(Clone, Debug)]
struct Reach {
    received_at: Time,
    /// Services of which it can reach no upstream.
    unreachable: Vec<name::Service>,
}

/// The known peers of a router, and the queue of exchanges with them.
#[derive(Clone, Debug)]
pub struct Peers {
    host: name::Host,
    zone: name::Zone,
    seeds: Vec<SocketAddr>,
    /// Routers that were found by their records, and when.
    introduced: BTreeMap<SocketAddr, Time>,
    known: BTreeMap<name::Host, Known>,
    /// Routers that were removed a short time ago.
    lost: BTreeMap<name::Host, Known>,
    queue: VecDeque<SocketAddr>,
    /// The last member listed in a digest.
    last_listed: Option<name::Host>,
    /// Whether any peer was ever known.
    was_contacted: bool,
    /// Whether a peer in another availability zone was ever known.
    has_other_zones: bool,
}

impl Peers {
    /// Starts with seed addresses, whose routers are not known yet.
    pub fn new(host: name::Host, zone: name::Zone, own: SocketAddr, seeds: &[SocketAddr]) -> Self {
        Self {
            host,
            zone,
            seeds: without(seeds, own),
            introduced: BTreeMap::new(),
            known: BTreeMap::new(),
            lost: BTreeMap::new(),
            queue: VecDeque::new(),
            last_listed: None,
            was_contacted: false,
            has_other_zones: false,
        }
    }

    /// Replaces the seeds; peers that are known stay so.
    pub fn set_seeds(&mut self, own: SocketAddr, seeds: &[SocketAddr]) {
        self.seeds = without(seeds, own);
        self.queue.extend(self.unknown_seeds());
    }

    /// Whether the settings name other routers and none of them is known to run.
    pub fn lacks_seeds(&self, now: Time) -> bool {
        let mut running = self.running(now);
        let knows_any = running.any(|(_, known)| self.seeds.contains(&known.address));
        !self.seeds.is_empty() && !knows_any
    }

    /// Has a router contacted next that was found by its record, unless it is known. Returns whether it
    /// is contacted.
    pub fn introduce(&mut self, now: Time, host: &name::Host, address: SocketAddr) -> bool {
        self.introduced
            .retain(|_, at| now.since(*at) < INTRODUCED_FOR);
        let is_known = self
            .known
            .get(host)
            .is_some_and(|known| known.address == address);
        if is_known || self.host == *host {
            return false;
        }
        self.introduced.insert(address, now);
        self.prefer(address);
        true
    }

    /// Whether there is no sign of other routers. One that has lost its peers is not alone.
    pub const fn is_alone(&self) -> bool {
        self.seeds.is_empty() && !self.was_contacted
    }

    /// Whether the fleet has routers in other availability zones, even if all of them are lost.
    pub const fn has_other_zones(&self) -> bool {
        self.has_other_zones
    }

    /// Number of other routers that are assumed to run, at least the number of seeds.
    pub fn len(&self, now: Time) -> usize {
        self.hosts(now).count().max(self.seeds.len())
    }

    /// The other routers that are known to run.
    pub fn hosts(&self, now: Time) -> impl Iterator<Item = &name::Host> {
        self.running(now).map(|(host, _)| host)
    }

    fn running(&self, now: Time) -> impl Iterator<Item = (&name::Host, &Known)> {
        let known = self.known.iter();
        known.filter(move |(_, known)| now.since(known.last_seen) < COUNTED_FOR)
    }

    /// The next members to list in a digest.
    pub fn members(&mut self, now: Time) -> Vec<Member> {
        let after = self.last_listed.take();
        let after = after.map_or(Bound::Unbounded, Bound::Excluded);
        let rest = self.known.range((after, Bound::Unbounded));
        let all = rest.chain(&self.known).take(self.known.len());
        let members: Vec<Member> = all
            .take(MEMBERS_MAX)
            .map(|(host, known)| Member {
                host: host.clone(),
                zone: known.zone.clone(),
                address: known.address,
                heard_ms: now.since(known.last_seen).as_millis() as u64,
            })
            .collect();
        self.last_listed = members.last().map(|member| member.host.clone());
        members
    }

    /// Peers to send a change to, one of them in another availability zone if there is any; they
    /// are chosen by `random`.
    pub fn sample(&self, count: usize, random: u64) -> Vec<SocketAddr> {
        let (local, remote) = self.split(random);
        let one_remote = remote.iter().take(1);
        let rest = local.iter().chain(remote.iter().skip(1));
        one_remote.chain(rest).take(count).copied().collect()
    }

    /// Peers of the own availability zone, chosen by `random`.
    pub fn sample_local(&self, count: usize, random: u64) -> Vec<SocketAddr> {
        let (mut local, _) = self.split(random);
        local.truncate(count);
        local
    }

    /// The first peers by rendezvous hashing of a key. Peers of the own availability zone come
    /// first, since callers reach the routers of their zone.
    pub fn ranked(&self, key: u64, count: usize) -> Vec<SocketAddr> {
        let known = self.known.iter();
        let candidates = known.map(|(host, known)| (host, &known.zone, known.address));
        rank(candidates, &self.zone, key, count)
    }

    /// The first peers of other availability zones by rendezvous hashing of a key.
    pub fn ranked_elsewhere(&self, key: u64, count: usize) -> Vec<SocketAddr> {
        let known = self.known.iter();
        let elsewhere = known.filter(|(_, known)| !self.is_local(&known.zone));
        let candidates = elsewhere.map(|(host, known)| (host, &known.zone, known.address));
        rank(candidates, &self.zone, key, count)
    }

    /// The routers that hold the record of a stream.
    pub fn holders(&self, stream: stream::Id) -> Holders {
        let peers = self.known.iter().chain(&self.lost);
        let peers = peers.map(|(host, known)| (host, &known.zone));
        let hosts = stream::holders(stream, peers.chain([(&self.host, &self.zone)]));
        let holder = |host: &name::Host| {
            let known = self.known.get(host).or_else(|| self.lost.get(host))?;
            Some(Holder {
                host: host.clone(),
                address: known.address,
            })
        };
        Holders {
            peers: hosts.iter().filter_map(|host| holder(host)).collect(),
            include_self: hosts.contains(&&self.host),
            fingerprint: stream::fingerprint(&hosts),
        }
    }

    /// When the last digest of a peer was received by any router.
    pub fn last_seen(&self, host: &name::Host) -> Option<Time> {
        self.known.get(host).map(|known| known.last_seen)
    }

    /// The routers that rank first for the host of another router, by the host's name and zone. Here
    /// `own` is the address of this router, which may be one of them.
    pub fn ranked_for(
        &self,
        host: &name::Host,
        zone: &name::Zone,
        own: SocketAddr,
        count: usize,
    ) -> Vec<SocketAddr> {
        let known = self.known.iter();
        let peers = known.map(|(host, known)| (host, &known.zone, known.address));
        let all = peers.chain([(&self.host, &self.zone, own)]);
        let others = all.filter(|(other, ..)| *other != host);
        rank(others, zone, host_key(host), count)
    }

    /// Peers that reach upstreams of a service as far as is known, those of the own availability
    /// zone first; the order among them is given by `random`.
    pub fn reaching(
        &self,
        now: Time,
        service: &name::Service,
        random: u64,
    ) -> Vec<(&name::Host, SocketAddr)> {
        let reaches = |known: &Known| {
            let reach = known.reach.as_ref();
            reach.is_some_and(|reach| {
                let is_recent = now.since(reach.received_at) < REACH_FOR;
                is_recent && !reach.unreachable.contains(service)
            })
        };
        let reaching = self.known.iter().filter(|(_, known)| reaches(known));
        let mut reaching: Vec<_> = reaching.collect();
        reaching.sort_by_cached_key(|(host, known)| {
            let score = hash::score(random, hash::bytes(host.as_str().as_bytes()));
            (!self.is_local(&known.zone), score)
        });
        let peers = reaching.into_iter();
        peers.map(|(host, known)| (host, known.address)).collect()
    }

    /// The host of a known peer.
    pub fn host(&self, address: SocketAddr) -> Option<&name::Host> {
        let mut known = self.known.iter();
        known
            .find(|(_, known)| known.address == address)
            .map(|(host, _)| host)
    }

    /// The address of a known peer.
    pub fn address(&self, host: &name::Host) -> Option<SocketAddr> {
        self.known.get(host).map(|known| known.address)
    }

    /// The availability zone of a known peer.
    pub fn zone(&self, host: &name::Host) -> Option<&name::Zone> {
        self.known.get(host).map(|known| &known.zone)
    }

    /// Records the sender of a digest and the members listed in it.
    pub fn record(&mut self, now: Time, digest: &Digest) {
        self.update(&digest.host, &digest.zone, digest.address, now);
        if let Some(known) = self.known.get_mut(&digest.host) {
            known.reach = Some(Reach {
                received_at: now,
                unreachable: digest.unreachable.clone(),
            });
        }
        for member in &digest.members {
            let age = Duration::from_millis(member.heard_ms);
            let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
            let last_seen = Time(now.0.saturating_sub(age));
            self.update(&member.host, &member.zone, member.address, last_seen);
        }
        self.expire(now);
        self.introduced
            .retain(|_, at| now.since(*at) < INTRODUCED_FOR);
    }

    /// The next peer to exchange with; each round starts at a random peer given by `random`.
    pub fn next(&mut self, random: u64) -> Option<SocketAddr> {
        if self.queue.is_empty() {
            self.queue = self.round(random).into();
        }
        self.queue.pop_front()
    }

    /// Moves a peer to the front of the queue, such as one with newer data or one just found.
    pub fn prefer(&mut self, address: SocketAddr) {
        if self.queue.front() != Some(&address) {
            self.queue.push_front(address);
        }
    }

    /// Whether an availability zone is that of this router.
    pub fn is_local(&self, zone: &name::Zone) -> bool {
        self.zone == *zone
    }

    /// One round of exchanges: each peer of the own zone once, peers of other zones in between,
    /// then the seeds that are not known.
    fn round(&self, random: u64) -> Vec<SocketAddr> {
        let (local, remote) = self.split(random);
        let mut round = Vec::with_capacity(self.known.len() + self.seeds.len());
        if local.is_empty() {
            round.extend(remote);
        } else {
            let mut remote = remote.into_iter();
            for run in local.chunks(LOCAL_EXCHANGES) {
                round.extend(run);
                round.extend(remote.next());
            }
        }
        round.extend(self.unknown_seeds());
        round.extend(self.unknown(self.introduced.keys().copied()));
        round
    }

    /// Seeds from which no digest was received yet.
    pub fn unknown_seeds(&self) -> Vec<SocketAddr> {
        self.unknown(self.seeds.iter().copied()).collect()
    }

    /// The addresses at which no router is known.
    fn unknown(
        &self,
        addresses: impl Iterator<Item = SocketAddr>,
    ) -> impl Iterator<Item = SocketAddr> {
        let is_known = |address| self.known.values().any(|known| known.address == address);
        addresses.filter(move |address| !is_known(*address))
    }

    /// Addresses of the peers in the own zone and of the others, each rotated by `random`.
    fn split(&self, random: u64) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let known = self.known.values();
        let (local, remote): (Vec<_>, Vec<_>) = known.partition(|known| self.is_local(&known.zone));
        let rotated = |known: Vec<&Known>| {
            let mut addresses: Vec<SocketAddr> = known.iter().map(|known| known.address).collect();
            let count = addresses.len().max(1) as u64;
            addresses.rotate_left((random % count) as usize);
            addresses
        };
        (rotated(local), rotated(remote))
    }

    /// Removes the routers that no router has heard of for some time.
    fn expire(&mut self, now: Time) {
        let expired = self
            .known
            .extract_if(.., |_, known| now.since(known.last_seen) >= EXPIRY);
        self.lost.extend(expired);
        self.lost
            .retain(|_, known| now.since(known.last_seen) < HOLDER_FOR);
    }

    fn update(
        &mut self,
        host: &name::Host,
        zone: &name::Zone,
        address: SocketAddr,
        last_seen: Time,
    ) {
        if self.host == *host {
            return;
        }
        match self.known.get_mut(host) {
            Some(known) if known.last_seen <= last_seen => {
                known.address = address;
                known.zone = zone.clone();
                known.last_seen = last_seen;
            }
            Some(_) => {}
            None => {
                self.was_contacted = true;
                self.has_other_zones |= !self.is_local(zone);
                self.lost.remove(host);
                let newer = Known {
                    address,
                    zone: zone.clone(),
                    last_seen,
                    reach: None,
                };
                self.known.insert(host.clone(), newer);
            }
        }
    }
}

/// The seeds other than the router itself.
fn without(seeds: &[SocketAddr], own: SocketAddr) -> Vec<SocketAddr> {
    let others = seeds.iter().filter(|seed| **seed != own);
    others.copied().collect()
}

/// Key by which routers rank for a host.
pub(super) fn host_key(host: &name::Host) -> u64 {
    hash::bytes(host.as_str().as_bytes())
}

/// The addresses of the routers that rank first for a key, those of a zone before the others.
fn rank<'a>(
    routers: impl Iterator<Item = (&'a name::Host, &'a name::Zone, SocketAddr)>,
    zone: &name::Zone,
    key: u64,
    count: usize,
) -> Vec<SocketAddr> {
    let ranks = routers.map(|(host, of_zone, address)| {
        let score = hash::score(key, host_key(host));
        (of_zone == zone, score, address)
    });
    let mut ranks: Vec<_> = ranks.collect();
    ranks.sort_unstable_by(|left, right| right.cmp(left));
    let ranks = ranks.into_iter().take(count);
    ranks.map(|(_, _, address)| address).collect()
}
