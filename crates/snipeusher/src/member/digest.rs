//! Selects the content of frames, most important entries first.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::ops::Bound;
use std::time::Duration;

use super::Member;
use super::peers::Distance;
use super::upstreams::Record;
use crate::load::Work;
use crate::name;
use crate::upstream::Phase;
use crate::wire;
use crate::wire::Builder;
use crate::wire::OVERHEAD_BYTES;

/// How long a changed upstream has priority over the upstreams that are sent in rotation.
const CHANGED_PRIORITY: Duration = Duration::from_secs(10);
/// How long the full record of a new incarnation has priority over records sent in rotation.
const NEW_INCARNATION_PRIORITY: Duration = Duration::from_secs(20);
/// Widely known rumors are added only while the transitions of a frame take fewer bytes.
const WIDELY_KNOWN_BYTES_MAX: usize = 300;
/// Maximum number of queued prefixes; the oldest are dropped first because they are less useful.
const PREFIXES_MAX: usize = 256;

/// Positions in the lists that are sent in rotation, each the last entry sent.
#[derive(Debug, Default)]
pub(super) struct Cursor {
    upstream: Option<name::Upstream>,
    changed_upstream: Option<name::Upstream>,
    peer: Option<name::Host>,
    new_peer: Option<name::Host>,
    heartbeat: Option<name::Host>,
    pub(super) prefixes: VecDeque<wire::Prefix>,
}

impl Cursor {
    pub(super) fn queue(&mut self, prefixes: Vec<wire::Prefix>) {
        self.prefixes.extend(prefixes);
        let excess = self.prefixes.len().saturating_sub(PREFIXES_MAX);
        self.prefixes.drain(..excess);
    }
}

impl Member {
    /// Starts a frame of at most `cost` bytes, including HTTP overhead.
    pub(super) fn start_frame(&mut self, to: &str, cost: usize) -> Builder {
        self.heartbeat += 1;
        let known = self.peers.map().get(to);
        let header = wire::Header {
            from: wire::Peer {
                host: self.settings.host.clone(),
                address: self.settings.address.clone(),
                place: 0,
                incarnation: self.incarnation,
                heartbeat: self.heartbeat,
            },
            place: self.settings.place.clone(),
            to: to.to_owned(),
            sent_ms: self.wall_ms(),
            known: known.map(|peer| (peer.incarnation, peer.heartbeat)),
            digest: self.digest,
        };
        Builder::new(header, cost.saturating_sub(OVERHEAD_BYTES))
    }

    /// Adds the departures that are still being sent, those sent least often first.
    pub(super) fn add_transitions(&mut self, builder: &mut Builder, reserve: usize) {
        let mut active: Vec<_> = self.rumors.iter_mut().collect();
        active.sort_unstable_by_key(|(_, rumor)| (rumor.widely_known(), rumor.sent));
        let room = builder.room();
        for (name, rumor) in active {
            let Some(record) = self.upstreams.map().get(name) else {
                continue;
            };
            // Widely known rumors must not make urgent frames longer.
            let skip = rumor.widely_known() && room - builder.room() > WIDELY_KNOWN_BYTES_MAX;
            if skip
                || builder.room() < reserve
                || !builder.transition(phase_transition(name, record))
            {
                return;
            }
            rumor.sent += 1;
        }
    }

    /// Fills a digest for a regular round.
    pub(super) fn fill_digest(&mut self, builder: &mut Builder, distance: Distance) {
        let room = builder.room();
        self.add_transitions(builder, room / 2);
        let room = builder.room();
        self.add_changed_upstreams(builder, room / 2);
        let room = builder.room();
        if distance < Distance::Far {
            self.add_usages(builder, room * 3 / 4);
            self.add_loads(builder, room / 2);
        }
        let room = builder.room();
        self.add_heartbeats(builder, room / 2);
        let room = builder.room();
        self.add_peers(builder, room / 3, true);
        let room = builder.room();
        self.add_peers(builder, room * 3 / 4, false);
        self.add_upstreams(builder);
        while let Some(prefix) = self.cursor.prefixes.front() {
            if !builder.prefix(prefix.clone()) {
                break;
            }
            self.cursor.prefixes.pop_front();
        }
    }

    fn add_changed_upstreams(&mut self, builder: &mut Builder, reserve: usize) {
        let mut last = None;
        let now = self.now;
        let records = rotate_after(self.upstreams.map(), self.cursor.changed_upstream.as_ref());
        for (name, record) in
            records.filter(|(_, record)| now.since(record.changed) < CHANGED_PRIORITY)
        {
            if builder.room() < reserve || !add_record(builder, name, record) {
                break;
            }
            last = Some(name.clone());
        }
        self.cursor.changed_upstream = last.or_else(|| self.cursor.changed_upstream.take());
    }

    fn add_usages(&self, builder: &mut Builder, reserve: usize) {
        let share = &self.share;
        let work = |map: &BTreeMap<name::Workspace, Work>, name| {
            map.get(name).copied().unwrap_or_default()
        };
        let names: BTreeSet<_> = share.running.keys().chain(share.waiting.keys()).collect();
        let mut usages: Vec<_> = names
            .into_iter()
            .map(|name| wire::Usage {
                workspace: name.clone(),
                running: work(&share.running, name),
                waiting: work(&share.waiting, name),
            })
            .collect();
        usages.sort_by_key(|usage| Reverse(usage.running.0.saturating_add(usage.waiting.0)));
        builder.start_loads();
        for usage in usages {
            if builder.room() < reserve || !builder.usage(usage) {
                return;
            }
        }
    }

    fn add_loads(&self, builder: &mut Builder, reserve: usize) {
        let mut loads: Vec<_> = self.share.in_flight.iter().collect();
        loads.sort_unstable_by(|left, right| right.1.cmp(left.1));
        builder.start_loads();
        for (upstream, work) in loads {
            let load = wire::Load {
                upstream: upstream.clone(),
                work: *work,
            };
            if builder.room() < reserve || !builder.load(load) {
                return;
            }
        }
    }

    fn add_heartbeats(&mut self, builder: &mut Builder, reserve: usize) {
        let mut last = None;
        for (host, peer) in rotate_after(self.peers.map(), self.cursor.heartbeat.as_ref()) {
            // The heartbeat of a suspected router has not grown, so it is of no use to others.
            if peer.suspect || peer.incarnation == name::Incarnation::default() {
                continue;
            }
            let entry = wire::Heartbeat {
                incarnation_id: peer.incarnation_id,
                heartbeat: peer.heartbeat,
            };
            if builder.room() < reserve || !builder.heartbeat(entry) {
                break;
            }
            last = Some(host.clone());
        }
        self.cursor.heartbeat = last.or_else(|| self.cursor.heartbeat.take());
    }

    /// Adds full records of routers: only those with a new incarnation, which others may know only
    /// by name from the host list, if `new` is set, and otherwise all in rotation.
    fn add_peers(&mut self, builder: &mut Builder, reserve: usize, new: bool) {
        let mut last = None;
        let cursor = if new {
            &mut self.cursor.new_peer
        } else {
            &mut self.cursor.peer
        };
        for (host, peer) in rotate_after(self.peers.map(), cursor.as_ref()) {
            let has_incarnation = peer.incarnation > name::Incarnation::default();
            let selected =
                !new || self.now.since(peer.incarnation_since) < NEW_INCARNATION_PRIORITY;
            if peer.suspect || !has_incarnation || !selected {
                continue;
            }
            let entry = wire::Peer {
                host: host.clone(),
                address: peer.address.clone(),
                place: 0,
                incarnation: peer.incarnation,
                heartbeat: peer.heartbeat,
            };
            if builder.room() < reserve || !builder.peer(entry, &peer.place) {
                break;
            }
            last = Some(host.clone());
        }
        if last.is_some() {
            *cursor = last;
        }
    }

    fn add_upstreams(&mut self, builder: &mut Builder) {
        let mut last = None;
        for (name, record) in rotate_after(self.upstreams.map(), self.cursor.upstream.as_ref()) {
            if add_record(builder, name, record) {
                last = Some(name.clone());
                continue;
            }
            if last.is_none() {
                // The record is tried once in a large frame. If it doesn't fit there either, it is
                // skipped, so that it does not block the others.
                self.use_large_frame = self.large_upstream.as_ref() != Some(name);
                self.large_upstream = Some(name.clone());
                last = (!self.use_large_frame).then(|| name.clone());
            }
            break;
        }
        self.cursor.upstream = last.or_else(|| self.cursor.upstream.take());
    }
}

fn add_record(builder: &mut Builder, name: &name::Upstream, record: &Record) -> bool {
    // For a removed upstream, only the phase is needed.
    let Some(report) = record
        .report
        .as_ref()
        .filter(|_| record.phase < Phase::Gone)
    else {
        return builder.transition(phase_transition(name, record));
    };
    let entry = wire::Upstream {
        name: name.clone(),
        address: report.address.clone(),
        place: 0,
        incarnation: record.incarnation,
        sequence: report.sequence,
        phase: wire::phase_code(record.phase),
        kind: 0,
    };
    builder.upstream(entry, &report.place, &report.kind)
}

fn phase_transition(name: &name::Upstream, record: &Record) -> wire::Transition {
    wire::Transition {
        name: name.clone(),
        incarnation: record.incarnation,
        phase: wire::phase_code(record.phase),
    }
}

/// Iterates once over all entries of a map, starting after `last` and wrapping around.
fn rotate_after<'a, K: Ord, V>(
    map: &'a BTreeMap<K, V>,
    last: Option<&K>,
) -> impl Iterator<Item = (&'a K, &'a V)> + use<'a, K, V> {
    let (after, before) = match last {
        None => (map.range::<K, _>(..), None),
        Some(last) => {
            let after = map.range((Bound::Excluded(last), Bound::Unbounded));
            (after, Some(map.range(..=last)))
        }
    };
    after.chain(before.into_iter().flatten())
}
