//! What goes into a frame, most important first.

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

/// How long a changed upstream goes before the ones that are sent in turn.
const FRESH: Duration = Duration::from_secs(10);
/// How long the whole record of a new run goes before the ones that are sent in turn.
const NEWCOMER: Duration = Duration::from_secs(20);
/// Length of the phases in a frame up to which widely known ones are repeated too.
const WIDELY_KNOWN_BYTES: usize = 300;
/// Most prefixes that wait for room; older ones are of less use.
const PREFIXES_MAX: usize = 256;

/// Where the lists that are sent in turn go on.
#[derive(Debug, Default)]
pub(super) struct Cursor {
    upstream: Option<name::Upstream>,
    fresh: Option<name::Upstream>,
    peer: Option<name::Host>,
    newcomer: Option<name::Host>,
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
    /// Starts a frame that costs at most `cost` bytes with its HTTP headers.
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

    /// Adds the phases that are still being repeated, the least repeated first.
    pub(super) fn add_transitions(&mut self, builder: &mut Builder, reserve: usize) {
        let mut active: Vec<_> = self.rumors.iter_mut().collect();
        active.sort_unstable_by_key(|(_, rumor)| (rumor.widely_known(), rumor.sent));
        let room = builder.room();
        for (name, rumor) in active {
            let Some(record) = self.upstreams.map().get(name) else {
                continue;
            };
            // What is widely known must not make frames with news long.
            let long = rumor.widely_known() && room - builder.room() > WIDELY_KNOWN_BYTES;
            if long || builder.room() < reserve || !builder.transition(transition(name, record)) {
                return;
            }
            rumor.sent += 1;
        }
    }

    /// Fills a digest for a regular round.
    pub(super) fn fill(&mut self, builder: &mut Builder, distance: Distance) {
        let room = builder.room();
        self.add_transitions(builder, room / 2);
        let room = builder.room();
        self.add_fresh(builder, room / 2);
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

    fn add_fresh(&mut self, builder: &mut Builder, reserve: usize) {
        let mut last = None;
        let now = self.now;
        let records = in_turn(self.upstreams.map(), self.cursor.fresh.as_ref());
        for (name, record) in records.filter(|(_, record)| now.since(record.changed) < FRESH) {
            if builder.room() < reserve || !add(builder, name, record) {
                break;
            }
            last = Some(name.clone());
        }
        self.cursor.fresh = last.or_else(|| self.cursor.fresh.take());
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
        for (host, peer) in in_turn(self.peers.map(), self.cursor.heartbeat.as_ref()) {
            // A suspected router's heartbeat has not grown and tells nobody anything.
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

    /// Adds whole records of routers: those of new runs, which others know only as a name of the
    /// host list, or of all in turn.
    fn add_peers(&mut self, builder: &mut Builder, reserve: usize, new: bool) {
        let mut last = None;
        let cursor = if new {
            &mut self.cursor.newcomer
        } else {
            &mut self.cursor.peer
        };
        for (host, peer) in in_turn(self.peers.map(), cursor.as_ref()) {
            let known = peer.incarnation > name::Incarnation::default();
            let wanted = !new || self.now.since(peer.since) < NEWCOMER;
            if peer.suspect || !known || !wanted {
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
        for (name, record) in in_turn(self.upstreams.map(), self.cursor.upstream.as_ref()) {
            if add(builder, name, record) {
                last = Some(name.clone());
                continue;
            }
            if last.is_none() {
                // It gets one wide frame; one that fits into none must not hold up the rest.
                self.wide = self.oversize.as_ref() != Some(name);
                self.oversize = Some(name.clone());
                last = (!self.wide).then(|| name.clone());
            }
            break;
        }
        self.cursor.upstream = last.or_else(|| self.cursor.upstream.take());
    }
}

fn add(builder: &mut Builder, name: &name::Upstream, record: &Record) -> bool {
    // Of a gone upstream only the phase matters.
    let Some(fact) = record.fact.as_ref().filter(|_| record.phase < Phase::Gone) else {
        return builder.transition(transition(name, record));
    };
    let entry = wire::Upstream {
        name: name.clone(),
        address: fact.address.clone(),
        place: 0,
        incarnation: record.incarnation,
        sequence: fact.sequence,
        phase: wire::phase_code(record.phase),
        kind: 0,
    };
    builder.upstream(entry, &fact.place, &fact.kind)
}

fn transition(name: &name::Upstream, record: &Record) -> wire::Transition {
    wire::Transition {
        name: name.clone(),
        incarnation: record.incarnation,
        phase: wire::phase_code(record.phase),
    }
}

/// The entries of a map from the one after `last` on, around once.
fn in_turn<'a, K: Ord, V>(
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
