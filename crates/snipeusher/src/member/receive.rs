//! Processing of received frames.

use super::Action;
use super::Member;
use super::peers::Outcome;
use super::upstreams::Change;
use super::upstreams::Report;
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
            // The reply has the later incarnation, so that the sender raises its own above it.
            self.queue_reply(&frame.from.address, from.as_str());
            return;
        }
        self.merge_peer(&frame.from, &place);
        self.peers.end_backoff(&from);
        if let Some((incarnation, heartbeat)) = frame.known {
            self.raise_incarnation(incarnation, heartbeat);
        }
        self.apply_peers(&frame);
        self.apply_upstreams(&frame);
        let shares = &mut self.shares;
        let changed_share = frame
            .loads
            .and_then(|loads| shares.record(self.now, &from, loads, frame.usages));
        if let Some(share) = changed_share {
            let host = from.clone();
            self.actions.push_back(Action::Share { host, share });
        }
        if frame.digest != self.digest {
            let digest = frame.digest;
            self.actions.push_back(Action::Digest(from.clone(), digest));
        }
        for part in frame.parts {
            let message = self.messages.receive(part);
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

    fn apply_peers(&mut self, frame: &Frame) {
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
                self.raise_incarnation(peer.incarnation, peer.heartbeat);
                continue;
            }
            self.merge_peer(peer, place);
        }
    }

    fn apply_upstreams(&mut self, frame: &Frame) {
        for transition in &frame.transitions {
            let phase = wire::phase_from_code(transition.phase);
            let known = self.upstreams.map().contains_key(&transition.name);
            let change = self.upstreams.merge_phase(
                self.now,
                &transition.name,
                transition.incarnation,
                phase,
            );
            self.publish_received(&transition.name, change, known);
            self.record_known_by(
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
            let report = Report {
                sequence: entry.sequence,
                address: entry.address.clone(),
                place: place.clone(),
                kind: kind.clone(),
            };
            let phase = wire::phase_from_code(entry.phase);
            let known = self.upstreams.map().contains_key(&entry.name);
            let change = self.upstreams.merge_report(
                self.now,
                &entry.name,
                entry.incarnation,
                phase,
                report,
            );
            self.publish_received(&entry.name, change, known);
            self.record_known_by(&frame.from.host, &entry.name, entry.incarnation, phase);
        }
    }

    /// Publishes a change received from a peer. The departure of an upstream unknown until now
    /// starts no rumor; otherwise, a router that starts or reconnects would send every departure to
    /// the whole fleet again.
    fn publish_received(&mut self, name: &name::Upstream, change: Change, known: bool) {
        let suppress_rumor = change == Change::Leaving && !known;
        let change = if suppress_rumor {
            Change::State
        } else {
            change
        };
        self.publish_change(name, change, true);
    }

    /// Records that the sender of a frame already knows a departure, since the frame contains it.
    fn record_known_by(
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

    fn merge_peer(&mut self, peer: &wire::Peer, place: &wire::Place) {
        if self.peers.merge(self.now, peer, place) == Outcome::Recovered {
            let host = peer.host.clone();
            self.actions.push_back(Action::Recovered(host));
        }
    }

    /// Raises this router's incarnation above that of another process with the same name, which had
    /// a higher incarnation, or the same one and a higher heartbeat.
    fn raise_incarnation(&mut self, incarnation: name::Incarnation, heartbeat: u64) {
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
