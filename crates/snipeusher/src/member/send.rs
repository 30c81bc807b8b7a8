//! Frames that go out: regular rounds, urgent news, answers and messages.

use std::time::Duration;

use super::Action;
use super::Member;
use super::REPEAT;
use super::ROUND;
use super::Rumor;
use super::budget::Purpose;
use super::peers::Distance;
use crate::config;
use crate::load;
use crate::time::Time;
use crate::wire::Builder;
use crate::wire::FRAME_BYTES_MAX;
use crate::wire::OVERHEAD_BYTES;

/// Bounds of the cost of a digest. Below the lower one, most of a frame is its head and HTTP
/// headers; above the upper one, fewer and larger frames spread news more slowly.
const DIGEST_BYTES: std::ops::RangeInclusive<usize> = 700..=1_400;
/// News that arrives together, as from a failing rack, goes out together: sent one by one, it
/// uses up the budget of the second with the first.
const GATHER_SEEN: Duration = Duration::from_millis(100);
/// The same for news of peers, which have gathered it already.
const GATHER_TOLD: Duration = Duration::from_millis(20);
/// Time between two waves of urgent frames.
const URGENT_REPEAT: Duration = Duration::from_millis(250);
/// Frames of a wave whose news is widely known: they find the routers that it missed.
const WIDELY_KNOWN_FRAMES: u32 = 2;
/// A suspected router is tried in one of this many rounds, so that a healed cut is found.
const SUSPECT_ROUNDS: u64 = 4;
/// A seed is tried in one of this many rounds.
const SEED_ROUNDS: u64 = 8;
/// Most bytes of a frame without entries; names in it are bounded.
const HEAD_BYTES: usize = 500;
/// Most answers that wait.
const ANSWERS_MAX: usize = 64;

impl Member {
    /// When [`super::Event::Tick`] must come at the latest.
    pub fn next_wake(&self) -> Time {
        self.next_round.min(self.next_urgent).min(self.next_message)
    }

    /// Sends what is due and fits into the budget.
    pub(super) fn advance(&mut self) {
        if self.now >= self.next_round {
            self.start_round();
        }
        if self.now >= self.next_urgent {
            self.send_urgent();
        }
        self.send_answers();
        self.send_messages();
    }

    /// Starts to tell all routers of news, which this router saw itself or was told.
    pub(super) fn spread(&mut self, told: bool) {
        let gather = if told { GATHER_TOLD } else { GATHER_SEEN };
        self.next_urgent = self.next_urgent.min(self.now + gather);
    }

    /// Takes the digest of the own configuration; a new one brings the next round forward.
    ///
    /// A change must be in force everywhere within 3 s, and over several hops the wait for each
    /// round adds up.
    pub(super) fn set_digest(&mut self, digest: config::Digest) {
        if self.digest != digest {
            self.digest = digest;
            self.next_round = self.next_round.min(self.now + GATHER_TOLD);
        }
    }

    /// Queues a frame that tells a router of this one's state, once for each round.
    pub(super) fn answer(&mut self, address: &str, host: &str) {
        if self.answers.len() < ANSWERS_MAX && !self.answers.contains_key(address) {
            let answer = (host.to_owned(), false);
            self.answers.insert(address.to_owned(), answer);
        }
    }

    fn start_round(&mut self) {
        // After a pause the missed rounds are not made up for.
        self.next_round = self.now + ROUND;
        self.round += 1;
        self.answers.retain(|_, (_, sent)| !*sent);
        for host in self.peers.review(self.now) {
            self.messages.forget(&host);
            self.actions.push_back(Action::Suspected(host));
        }
        for host in self.shares.expire(self.now) {
            let share = load::Share::default();
            self.actions.push_back(Action::Share { host, share });
        }
        self.send_digests();
    }

    fn digest_bytes(&self) -> usize {
        let quarter = self.settings.budget_bytes as usize / 4;
        quarter.clamp(*DIGEST_BYTES.start(), *DIGEST_BYTES.end())
    }

    /// Cost of the largest frame, which leaves room in the budget for another in the same second.
    fn wide_bytes(&self) -> usize {
        (self.settings.budget_bytes as usize * 3 / 8).min(FRAME_BYTES_MAX / 2)
    }

    fn send_digests(&mut self) {
        let cost = self.digest_bytes();
        // Rounds may use three quarters of the budget, and there are two in a second.
        let frames = self.settings.budget_bytes as usize * 3 / 8 / cost;
        let in_zone = frames.saturating_sub(1).max(1);
        let cross_every = if frames >= 3 { 1 } else { 2 };
        if !self.widely_known() {
            // Waves of urgent frames need the rest of the budget.
            self.send_digest(Some(Distance::Zone), false, cost);
            return;
        }
        for _ in 0..in_zone {
            self.send_digest(Some(Distance::Zone), false, cost);
        }
        if self.round.is_multiple_of(SUSPECT_ROUNDS) {
            self.send_digest(None, true, cost);
        }
        if self.round.is_multiple_of(SEED_ROUNDS) || self.round == 1 {
            self.send_to_seed(cost);
        }
        if self.round.is_multiple_of(4 * cross_every) {
            self.send_digest(Some(Distance::Far), false, cost);
        }
        if self.round.is_multiple_of(cross_every) {
            self.send_digest(Some(Distance::Region), false, cost);
        }
    }

    fn send_digest(&mut self, distance: Option<Distance>, suspect: bool, cost: usize) {
        let next = self.peers.next(self.now, distance, suspect, &mut self.rng);
        let Some(host) = next else {
            return;
        };
        let Some(peer) = self.peers.map().get(&host) else {
            return;
        };
        let address = peer.address.clone();
        let distance = self.peers.distance(peer);
        let wide = if std::mem::take(&mut self.wide) {
            self.wide_bytes()
        } else {
            0
        };
        let cost = cost.max(wide);
        let mut builder = self.start_frame(host.as_str(), cost);
        self.fill(&mut builder, distance);
        self.send(address, builder, Purpose::Regular);
    }

    fn send_to_seed(&mut self, cost: usize) {
        let own = &self.settings.address;
        let known = |address: &String| {
            let mut peers = self.peers.map().values();
            peers.any(|peer| peer.address == *address && !peer.suspect)
        };
        let seeds = self.settings.seeds.iter();
        let unknown: Vec<_> = seeds
            .filter(|seed| *seed != own && !known(seed))
            .cloned()
            .collect();
        if unknown.is_empty() {
            return;
        }
        let turn = (self.round / SEED_ROUNDS) as usize % unknown.len();
        let address = unknown[turn].clone();
        let mut builder = self.start_frame(&address, cost);
        self.fill(&mut builder, Distance::Zone);
        self.send(address, builder, Purpose::Regular);
    }

    /// Sends one wave of urgent frames and plans the next.
    fn send_urgent(&mut self) {
        let now = self.now;
        self.rumors
            .retain(|_, rumor| now.since(rumor.since) < REPEAT);
        if self.rumors.is_empty() {
            self.urgent.clear();
            self.next_urgent = Time::NEVER;
            return;
        }
        self.next_urgent = now + URGENT_REPEAT;
        if self.urgent.is_empty() {
            self.urgent = self.peers.fan_out(&mut self.rng).into();
        }
        // Half of what urgent frames may cost in a second, so that the next wave, or other news,
        // finds the other half.
        let most = self.settings.budget_bytes * 3 / 8;
        let wide = self.widely_known();
        let mut left = if wide { WIDELY_KNOWN_FRAMES } else { u32::MAX };
        let mut spent = 0;
        while let Some(host) = self.urgent.front().cloned() {
            let mut rumors = self.rumors.values();
            let told = rumors.all(|rumor| rumor.known_by.contains(&host));
            let Some(peer) = self.peers.map().get(&host).filter(|_| !told) else {
                self.urgent.pop_front();
                continue;
            };
            let address = peer.address.clone();
            // Room for a rack that leaves together; the frame is no longer than its content.
            let mut builder = self.start_frame(host.as_str(), self.wide_bytes());
            self.add_transitions(&mut builder, 0);
            let Some(bytes) = self.send(address, builder, Purpose::Urgent) else {
                return;
            };
            self.urgent.pop_front();
            spent += bytes;
            left -= 1;
            if left == 0 || spent + bytes > most {
                return;
            }
        }
    }

    /// Whether all news that is being repeated has spread.
    fn widely_known(&self) -> bool {
        let mut rumors = self.rumors.values();
        rumors.all(Rumor::widely_known)
    }

    fn send_answers(&mut self) {
        let waiting = self.answers.iter().filter(|(_, (_, sent))| !*sent);
        let waiting: Vec<_> = waiting
            .map(|(address, (host, _))| (address.clone(), host.clone()))
            .collect();
        let cost = *DIGEST_BYTES.start();
        for (address, host) in waiting {
            let builder = self.start_frame(&host, cost);
            if self
                .send(address.clone(), builder, Purpose::Regular)
                .is_none()
            {
                return;
            }
            if let Some((_, sent)) = self.answers.get_mut(&address) {
                *sent = true;
            }
        }
    }

    fn send_messages(&mut self) {
        // Large frames, since each costs its head and HTTP headers again.
        let most = self.wide_bytes();
        self.next_message = Time::NEVER;
        while let Some(host) = self.messages.next(self.served.as_ref()) {
            // A short question must not wait for the room of a whole frame.
            let cost = most.min(OVERHEAD_BYTES + HEAD_BYTES + self.messages.size(&host));
            let free = self
                .budget
                .frees_at(self.now, Purpose::Message, cost as u32);
            if free > self.now {
                // Not later than it fits, since a change must be in force everywhere within 3 s.
                self.next_message = free;
                return;
            }
            let Some(peer) = self.peers.map().get(&host) else {
                self.messages.forget(&host);
                continue;
            };
            let address = peer.address.clone();
            let mut builder = self.start_frame(host.as_str(), cost);
            self.messages.fill(&host, &mut builder);
            self.served = Some(host);
            self.send(address, builder, Purpose::Message);
        }
    }

    /// Sends a frame if it fits into the budget; gives its cost.
    fn send(&mut self, to: String, builder: Builder, purpose: Purpose) -> Option<u32> {
        let envelope = self.authenticator.sign(&builder.finish());
        let bytes = (envelope.body.len() + OVERHEAD_BYTES) as u32;
        let messages = self.messages.waiting();
        if !self.budget.spend(self.now, purpose, bytes, messages) {
            return None;
        }
        self.actions.push_back(Action::Send { to, envelope });
        Some(bytes)
    }
}
