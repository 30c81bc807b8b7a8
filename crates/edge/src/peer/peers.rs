//! The routers that one router knows.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::Bound;
use std::time::Duration;

use snipeusher::name;
use snipeusher::time::Time;

use super::Digest;
use super::Member;

/// A router that nobody has heard of for this time is forgotten.
const FORGET: Duration = Duration::from_secs(20);
/// A router counts among those that share the repeats for this time after it was heard of.
const COUNTED: Duration = Duration::from_secs(12);
/// Members that a digest names; the next digest names the next ones.
const NAMED_MAX: usize = 8;
/// Routers of the own availability zone that are asked before one of another zone. Bytes between
/// zones are dear, and each zone reads the store for itself.
const NEAR_RUN: usize = 3;

#[derive(Clone, Debug)]
struct Known {
    address: SocketAddr,
    zone: name::Zone,
    heard: Time,
}

/// The routers that one router knows, and whose turn it is.
#[derive(Clone, Debug)]
pub struct Peers {
    host: name::Host,
    zone: name::Zone,
    seeds: Vec<SocketAddr>,
    known: BTreeMap<name::Host, Known>,
    turns: VecDeque<SocketAddr>,
    /// The last member that a digest named.
    named: Option<name::Host>,
}

impl Peers {
    /// Starts with addresses whose routers are not known.
    pub fn new(host: name::Host, zone: name::Zone, own: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let others = seeds.iter().filter(|seed| **seed != own);
        Self {
            host,
            zone,
            seeds: others.copied().collect(),
            known: BTreeMap::new(),
            turns: VecDeque::new(),
            named: None,
        }
    }

    /// How many other routers are believed to run.
    pub fn len(&self, now: Time) -> usize {
        let known = self.known.values();
        let counted = known
            .filter(|known| now.since(known.heard) < COUNTED)
            .count();
        counted.max(self.seeds.len())
    }

    /// Some of the routers, others each time.
    pub fn members(&mut self, now: Time) -> Vec<Member> {
        let after = self.named.take();
        let after = after.map_or(Bound::Unbounded, Bound::Excluded);
        let rest = self.known.range((after, Bound::Unbounded));
        let all = rest.chain(&self.known).take(self.known.len());
        let members: Vec<Member> = all
            .take(NAMED_MAX)
            .map(|(host, known)| Member {
                host: host.clone(),
                zone: known.zone.clone(),
                address: known.address,
                heard_ms: now.since(known.heard).as_millis() as u64,
            })
            .collect();
        self.named = members.last().map(|member| member.host.clone());
        members
    }

    /// Some routers to pass news on to, one of another availability zone among them; `random`
    /// picks them.
    pub fn sample(&self, count: usize, random: u64) -> Vec<SocketAddr> {
        let (near, far) = self.split(random);
        let far_first = far.iter().take(1);
        let rest = near.iter().chain(far.iter().skip(1));
        far_first.chain(rest).take(count).copied().collect()
    }

    /// Takes a digest that came from the router itself.
    pub fn record(&mut self, now: Time, digest: &Digest) {
        self.update(&digest.host, &digest.zone, digest.address, now);
        for member in &digest.members {
            let age = Duration::from_millis(member.heard_ms);
            let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
            let heard = Time(now.0.saturating_sub(age));
            self.update(&member.host, &member.zone, member.address, heard);
        }
        self.known
            .retain(|_, known| now.since(known.heard) < FORGET);
    }

    /// The next router to exchange with; `random` shuffles each round.
    pub fn next(&mut self, random: u64) -> Option<SocketAddr> {
        if self.turns.is_empty() {
            self.turns = self.round(random).into();
        }
        self.turns.pop_front()
    }

    /// Puts a router before all others, such as one that knows more.
    pub fn prefer(&mut self, address: SocketAddr) {
        if self.turns.front() != Some(&address) {
            self.turns.push_front(address);
        }
    }

    /// Whether an availability zone is the own one.
    pub fn is_local(&self, zone: &name::Zone) -> bool {
        self.zone == *zone
    }

    /// One round: each router of the own zone once, others in between, unknown seeds at last.
    fn round(&self, random: u64) -> Vec<SocketAddr> {
        let (near, far) = self.split(random);
        let mut round = Vec::with_capacity(self.known.len() + self.seeds.len());
        if near.is_empty() {
            round.extend(far);
        } else {
            let mut far = far.into_iter();
            for run in near.chunks(NEAR_RUN) {
                round.extend(run);
                round.extend(far.next());
            }
        }
        let addresses = || self.known.values().map(|known| known.address);
        let is_known = |seed: &SocketAddr| addresses().any(|address| address == *seed);
        round.extend(self.seeds.iter().filter(|seed| !is_known(seed)));
        round
    }

    /// The routers of the own zone and the others, each from a random one on.
    fn split(&self, random: u64) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let known = self.known.values();
        let (near, far): (Vec<_>, Vec<_>) = known.partition(|known| self.is_local(&known.zone));
        let rotated = |known: Vec<&Known>| {
            let mut addresses: Vec<SocketAddr> = known.iter().map(|known| known.address).collect();
            let count = addresses.len().max(1) as u64;
            addresses.rotate_left((random % count) as usize);
            addresses
        };
        (rotated(near), rotated(far))
    }

    fn update(&mut self, host: &name::Host, zone: &name::Zone, address: SocketAddr, heard: Time) {
        if self.host == *host {
            return;
        }
        let newer = Known {
            address,
            zone: zone.clone(),
            heard,
        };
        match self.known.get_mut(host) {
            Some(known) if known.heard <= heard => *known = newer,
            Some(_) => {}
            None => {
                self.known.insert(host.clone(), newer);
            }
        }
    }
}
