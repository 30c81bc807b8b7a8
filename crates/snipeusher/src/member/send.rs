//! Sending of frames: regular rounds, urgent changes, replies and configuration messages.

use std::time::Duration;

use super::Action;
use super::Member;
use super::ROUND;
use super::RUMOR_LIFETIME;
use super::Rumor;
use super::budget::Purpose;
use super::peers::Distance;
use crate::config;
use crate::load;
use crate::time::Time;
use crate::wire::Builder;
use crate::wire::FRAME_BYTES_MAX;
use crate::wire::OVERHEAD_BYTES;

/// Smallest and largest size of a digest with HTTP overhead. Smaller frames consist mostly of the
/// frame header and HTTP headers; larger ones are sent less often, which slows down spreading.
const DIGEST_BYTES: std::ops::RangeInclusive<usize> = 700..=1_400;
/// Delay of urgent frames after a change that this router observed, so that the changes of a
/// failing rack go out together. Sent one by one, the first of them uses up the budget of the
/// second.
const GATHER_LOCAL: Duration = Duration::from_millis(100);
/// Delay of urgent frames after a change received from a peer, which has collected changes already.
const GATHER_RECEIVED: Duration = Duration::from_millis(20);
/// Interval between waves of urgent frames.
const URGENT_INTERVAL: Duration = Duration::from_millis(250);
/// Frames of a wave whose rumors are all widely known; they reach the routers that were missed.
const WIDELY_KNOWN_FRAMES: u32 = 2;
/// A suspected router is contacted once in this many rounds, to detect that a partition has healed.
const SUSPECT_ROUNDS: u64 = 4;
/// A seed is contacted once in this many rounds.
const SEED_ROUNDS: u64 = 8;
/// Largest frame without entries; the length of the names in its header is limited.
const HEADER_BYTES_MAX: usize = 500;
/// Maximum number of replies in one round.
const REPLIES_MAX: usize = 64;

impl Member {
    /// Latest time for the next [`super::Event::Tick`].
    pub fn next_wake(&self) -> Time {
        self.next_round.min(self.next_urgent).min(self.next_message)
    }

    /// Sends all frames that are due and fit into the budget.
    pub(super) fn advance(&mut self) {
        if self.now >= self.next_round {
            self.start_round();
        }
        if self.now >= self.next_urgent {
            self.send_urgent();
        }
        self.send_replies();
        self.send_messages();
    }

    /// Schedules urgent frames after a change, with the delay for its origin.
    pub(super) fn schedule_urgent(&mut self, from_peer: bool) {
        let gather = if from_peer {
            GATHER_RECEIVED
        } else {
            GATHER_LOCAL
        };
        self.next_urgent = self.next_urgent.min(self.now + gather);
    }

    /// Sets the digest of this router's configuration; if it is new, the next round starts early.
    ///
    /// A change must be in force on all routers within 3 s, and waiting for a regular round at each
    /// hop would add up.
    pub(super) fn set_digest(&mut self, digest: config::Digest) {
        if self.digest != digest {
            self.digest = digest;
            self.next_round = self.next_round.min(self.now + GATHER_RECEIVED);
        }
    }

    /// Queues a reply to a router with an outdated incarnation, at most one in each round.
    pub(super) fn queue_reply(&mut self, address: &str, host: &str) {
        if self.replies.len() < REPLIES_MAX && !self.replies.contains_key(address) {
            let reply = (host.to_owned(), false);
            self.replies.insert(address.to_owned(), reply);
        }
    }

    fn start_round(&mut self) {
        // Rounds missed during a pause are skipped.
        self.next_round = self.now + ROUND;
        self.round += 1;
        self.replies.retain(|_, (_, sent)| !*sent);
        for host in self.peers.check_liveness(self.now) {
            self.messages.discard(&host);
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

    /// Size of a large frame with HTTP overhead; the budget has room for two of them in a second.
    fn large_frame_bytes(&self) -> usize {
        (self.settings.budget_bytes as usize * 3 / 8).min(FRAME_BYTES_MAX / 2)
    }

    fn send_digests(&mut self) {
        let cost = self.digest_bytes();
        // Rounds may use three quarters of the budget, and there are two rounds in a second.
        let frames = self.settings.budget_bytes as usize * 3 / 8 / cost;
        let zone_frames = frames.saturating_sub(1).max(1);
        let cross_zone_interval = if frames >= 3 { 1 } else { 2 };
        if !self.widely_known() {
            // The rest of the budget is for urgent frames.
            self.send_digest(Some(Distance::Zone), false, cost);
            return;
        }
        for _ in 0..zone_frames {
            self.send_digest(Some(Distance::Zone), false, cost);
        }
        if self.round.is_multiple_of(SUSPECT_ROUNDS) {
            self.send_digest(None, true, cost);
        }
        if self.round.is_multiple_of(SEED_ROUNDS) || self.round == 1 {
            self.send_to_seed(cost);
        }
        if self.round.is_multiple_of(4 * cross_zone_interval) {
            self.send_digest(Some(Distance::Far), false, cost);
        }
        if self.round.is_multiple_of(cross_zone_interval) {
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
        let minimum = if std::mem::take(&mut self.use_large_frame) {
            self.large_frame_bytes()
        } else {
            0
        };
        let cost = cost.max(minimum);
        let mut builder = self.start_frame(host.as_str(), cost);
        self.fill_digest(&mut builder, distance);
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
        self.fill_digest(&mut builder, Distance::Zone);
        self.send(address, builder, Purpose::Regular);
    }

    /// Sends one wave of urgent frames and schedules the next.
    fn send_urgent(&mut self) {
        let now = self.now;
        self.rumors
            .retain(|_, rumor| now.since(rumor.since) < RUMOR_LIFETIME);
        if self.rumors.is_empty() {
            self.urgent_receivers.clear();
            self.next_urgent = Time::NEVER;
            return;
        }
        self.next_urgent = now + URGENT_INTERVAL;
        if self.urgent_receivers.is_empty() {
            self.urgent_receivers = self.peers.fan_out(&mut self.rng).into();
        }
        // A wave uses half of the limit of urgent frames, so that the other half is available to
        // the next wave and to new changes.
        let wave_bytes_max = self.settings.budget_bytes * 3 / 8;
        let widely_known = self.widely_known();
        let mut remaining = if widely_known {
            WIDELY_KNOWN_FRAMES
        } else {
            u32::MAX
        };
        let mut spent = 0;
        while let Some(host) = self.urgent_receivers.front().cloned() {
            let mut rumors = self.rumors.values();
            let knows_all = rumors.all(|rumor| rumor.known_by.contains(&host));
            let Some(peer) = self.peers.map().get(&host).filter(|_| !knows_all) else {
                self.urgent_receivers.pop_front();
                continue;
            };
            let address = peer.address.clone();
            // The limit has room for the departures of a whole rack; most frames are far shorter.
            let mut builder = self.start_frame(host.as_str(), self.large_frame_bytes());
            self.add_transitions(&mut builder, 0);
            let Some(bytes) = self.send(address, builder, Purpose::Urgent) else {
                return;
            };
            self.urgent_receivers.pop_front();
            spent += bytes;
            remaining -= 1;
            if remaining == 0 || spent + bytes > wave_bytes_max {
                return;
            }
        }
    }

    /// Whether all rumors are widely known.
    fn widely_known(&self) -> bool {
        let mut rumors = self.rumors.values();
        rumors.all(Rumor::widely_known)
    }

    fn send_replies(&mut self) {
        let waiting = self.replies.iter().filter(|(_, (_, sent))| !*sent);
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
            if let Some((_, sent)) = self.replies.get_mut(&address) {
                *sent = true;
            }
        }
    }

    fn send_messages(&mut self) {
        // Large frames, because each frame adds its header and HTTP headers.
        let frame_bytes_max = self.large_frame_bytes();
        self.next_message = Time::NEVER;
        while let Some(host) = self.messages.next(self.last_message_peer.as_ref()) {
            // A short message must not wait until the budget has room for a large frame.
            let cost =
                frame_bytes_max.min(OVERHEAD_BYTES + HEADER_BYTES_MAX + self.messages.size(&host));
            let available_at = self
                .budget
                .frees_at(self.now, Purpose::Message, cost as u32);
            if available_at > self.now {
                // As soon as it fits, because a change must be in force on all routers within 3 s.
                self.next_message = available_at;
                return;
            }
            let Some(peer) = self.peers.map().get(&host) else {
                self.messages.discard(&host);
                continue;
            };
            let address = peer.address.clone();
            let mut builder = self.start_frame(host.as_str(), cost);
            self.messages.fill_frame(&host, &mut builder);
            self.last_message_peer = Some(host);
            self.send(address, builder, Purpose::Message);
        }
    }

    /// Sends a frame if it fits into the budget; returns its size with HTTP overhead.
    fn send(&mut self, to: String, builder: Builder, purpose: Purpose) -> Option<u32> {
        let envelope = self.authenticator.sign(&builder.finish());
        let bytes = (envelope.body.len() + OVERHEAD_BYTES) as u32;
        let messages_queued = self.messages.waiting();
        if !self.budget.spend(self.now, purpose, bytes, messages_queued) {
            return None;
        }
        self.actions.push_back(Action::Send { to, envelope });
        Some(bytes)
    }
}
