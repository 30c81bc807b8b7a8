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

#[derive(Clone, Debug)]
struct Known {
    address: SocketAddr,
    heard: Time,
}

/// The routers that one router knows, and whose turn it is.
#[derive(Clone, Debug, Default)]
pub struct Book {
    host: Option<name::Host>,
    seeds: Vec<SocketAddr>,
    known: BTreeMap<name::Host, Known>,
    turns: VecDeque<SocketAddr>,
    /// The last member that a digest named.
    named: Option<name::Host>,
}

impl Book {
    /// Starts with addresses whose routers are not known.
    pub fn new(host: name::Host, own: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let others = seeds.iter().filter(|seed| **seed != own);
        Self {
            host: Some(host),
            seeds: others.copied().collect(),
            ..Self::default()
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
                address: known.address,
                heard_ms: now.since(known.heard).as_millis() as u64,
            })
            .collect();
        self.named = members.last().map(|member| member.host.clone());
        members
    }

    /// Some routers to pass news on to; `random` picks them.
    pub fn some(&self, count: usize, random: u64) -> Vec<SocketAddr> {
        let start = random as usize % self.known.len().max(1);
        let from_start = self.known.values().skip(start);
        let all = from_start.chain(self.known.values()).take(self.known.len());
        all.take(count).map(|known| known.address).collect()
    }

    /// Takes a digest that came from the router itself.
    pub fn heard(&mut self, now: Time, digest: &Digest) {
        self.learn(digest.host.clone(), digest.address, now);
        for member in &digest.members {
            let age = Duration::from_millis(member.heard_ms);
            let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
            let heard = Time(now.0.saturating_sub(age));
            self.learn(member.host.clone(), member.address, heard);
        }
        self.known
            .retain(|_, known| now.since(known.heard) < FORGET);
    }

    /// The next router to exchange with; `random` shuffles each round.
    pub fn next(&mut self, random: u64) -> Option<SocketAddr> {
        if self.turns.is_empty() {
            self.turns = self.known.values().map(|known| known.address).collect();
            let unknown = self.seeds.iter().filter(|seed| !self.turns.contains(seed));
            let unknown: Vec<SocketAddr> = unknown.copied().collect();
            self.turns.extend(unknown);
            let count = self.turns.len();
            if count > 0 {
                self.turns.rotate_left((random % count as u64) as usize);
            }
        }
        self.turns.pop_front()
    }

    /// Puts a router before all others, such as one that knows more.
    pub fn prefer(&mut self, address: SocketAddr) {
        if self.turns.front() != Some(&address) {
            self.turns.push_front(address);
        }
    }

    fn learn(&mut self, host: name::Host, address: SocketAddr, heard: Time) {
        if self.host.as_ref() == Some(&host) {
            return;
        }
        let known = self.known.entry(host).or_insert(Known { address, heard });
        if known.heard <= heard {
            *known = Known { address, heard };
        }
    }
}
