//! Frames that arrive.

use super::Action;
use super::Member;
use super::peers::Heard;
use super::upstreams::Change;
use super::upstreams::Fact;
use crate::name;
use crate::upstream::Phase;
use crate::wire;
use crate::wire::Frame;
use crate::wire::Refusal;

impl Member {
    pub(super) fn receive(&mut self, body: &[u8], proof: &str) {
        let Ok(frame) = self.authenticator.verify(self.wall_ms(), body, proof) else {
            return;
        };
        let from = frame.from.host.clone();
        let Some(place) = frame.places.get(usize::from(frame.from.place)).cloned() else {
            return;
        };
        let known = self.peers.map().get(&from).map(|peer| peer.incarnation);
        if known.is_some_and(|known| known > frame.from.incarnation) {
            self.authenticator.count(Refusal::Incarnation);
            // The answer carries the later incarnation, above which the sender then moves.
            self.answer(&frame.from.address, from.as_str());
            return;
        }
        self.meet(&frame.from, &place);
        self.peers.reachable(&from);
        if let Some((incarnation, heartbeat)) = frame.known {
            self.move_above(incarnation, heartbeat);
        }
        self.take_peers(&frame);
        self.take_upstreams(&frame);
        let shares = &mut self.shares;
        let taken = frame
            .loads
            .and_then(|loads| shares.take(self.now, &from, loads, frame.usages));
        if let Some(share) = taken {
            let host = from.clone();
            self.actions.push_back(Action::Share { host, share });
        }
        if frame.digest != self.digest {
            let digest = frame.digest;
            self.actions.push_back(Action::Digest(from.clone(), digest));
        }
        for part in frame.parts {
            let message = self.messages.take(part);
            let exchange = message.and_then(|bytes| rmp_serde::from_slice(&bytes).ok());
            if let Some(exchange) = exchange {
                let exchange = Action::Exchange(from.clone(), exchange);
                self.actions.push_back(exchange);
            }
        }
        if !frame.prefixes.is_empty() {
            self.actions.push_back(Action::Prefixes(frame.prefixes));
        }
    }

    fn take_peers(&mut self, frame: &Frame) {
        for heartbeat in &frame.heartbeats {
            if let Some(host) = self.peers.record_heartbeat(self.now, *heartbeat) {
                self.actions.push_back(Action::Recovered(host));
            }
        }
        for peer in &frame.peers {
            let Some(place) = frame.places.get(usize::from(peer.place)) else {
                continue;
            };
            if peer.host == self.settings.host {
                self.move_above(peer.incarnation, peer.heartbeat);
                continue;
            }
            self.meet(peer, place);
        }
    }

    fn take_upstreams(&mut self, frame: &Frame) {
        for transition in &frame.transitions {
            let phase = wire::phase_from_code(transition.phase);
            let known = self.upstreams.map().contains_key(&transition.name);
            let change =
                self.upstreams
                    .phase(self.now, &transition.name, transition.incarnation, phase);
            self.learned(&transition.name, change, known);
            self.heard_from(
                &frame.from.host,
                &transition.name,
                transition.incarnation,
                phase,
            );
        }
        for entry in &frame.upstreams {
            let place = frame.places.get(usize::from(entry.place));
            let kind = frame.kinds.get(usize::from(entry.kind));
            let (Some(place), Some(kind)) = (place, kind) else {
                continue;
            };
            let fact = Fact {
                sequence: entry.sequence,
                address: entry.address.clone(),
                place: place.clone(),
                kind: kind.clone(),
            };
            let phase = wire::phase_from_code(entry.phase);
            let known = self.upstreams.map().contains_key(&entry.name);
            let change = self
                .upstreams
                .fact(self.now, &entry.name, entry.incarnation, phase, fact);
            self.learned(&entry.name, change, known);
            self.heard_from(&frame.from.host, &entry.name, entry.incarnation, phase);
        }
    }

    /// Passes on what a peer told. That an upstream unknown here leaves is no news to spread:
    /// a router that starts or comes back would repeat every departure to the whole fleet.
    fn learned(&mut self, name: &name::Upstream, change: Change, known: bool) {
        let quiet = change == Change::Leaving && !known;
        let change = if quiet { Change::State } else { change };
        self.changed(name, change, true);
    }

    /// Notes that a peer need not be told what it told itself.
    fn heard_from(
        &mut self,
        host: &name::Host,
        name: &name::Upstream,
        incarnation: name::Incarnation,
        phase: Phase,
    ) {
        let Some(rumor) = self.rumors.get_mut(name) else {
            return;
        };
        let record = self.upstreams.map().get(name);
        let current = record.is_some_and(|record| record.incarnation == incarnation);
        if current && phase >= Phase::Leaving {
            rumor.known_by.insert(host.clone());
        }
    }

    fn meet(&mut self, peer: &wire::Peer, place: &wire::Place) {
        if self.peers.hear(self.now, peer, place) == Heard::Recovered {
            let host = peer.host.clone();
            self.actions.push_back(Action::Recovered(host));
        }
    }

    /// Moves above another run of the same name, whether it had a higher incarnation or the same
    /// one with more frames sent.
    fn move_above(&mut self, incarnation: name::Incarnation, heartbeat: u64) {
        if (incarnation, heartbeat) <= (self.incarnation, self.heartbeat) {
            return;
        }
        if let Some(above) = incarnation.0.checked_add(1) {
            self.incarnation = name::Incarnation(above);
            self.heartbeat = 0;
        } else {
            self.incarnation = incarnation;
            self.heartbeat = heartbeat;
        }
        self.actions
            .push_back(Action::Incarnation(self.incarnation));
    }
}
