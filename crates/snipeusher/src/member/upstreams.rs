//! The upstreams that this router knows.
//!
//! All merges take the larger of two values in a fixed order (incarnation, then phase and report
//! each by itself), so that views agree whatever the order in which news arrives. See
//! `docs/design.md#leaving`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::Listing;
use super::Role;
use crate::name;
use crate::time::Time;
use crate::upstream::Kind;
use crate::upstream::Phase;
use crate::upstream::State;
use crate::wire;

/// How long a gone upstream is remembered, so that late news of a peer does not revive it; longer
/// than a region is cut off.
const FORGET_AFTER: Duration = Duration::from_hours(2);
/// How long an unlisted upstream of the own zone must be silent before it counts as gone.
const GONE_AFTER: Duration = Duration::from_secs(30);
/// Most upstreams that are kept, several times the target, so that memory stays bounded.
const UPSTREAMS_MAX: usize = 16_384;

/// What is known of an upstream apart from its phase.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Fact {
    pub(super) sequence: u64,
    pub(super) address: String,
    pub(super) place: wire::Place,
    pub(super) kind: Kind,
}

/// One upstream.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) incarnation: name::Incarnation,
    pub(super) phase: Phase,
    pub(super) fact: Option<Fact>,
    pub(super) changed: Time,
    listed: bool,
    silent_since: Option<Time>,
}

/// What news changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// Nothing.
    None,
    /// The upstream's state, but it did not begin to leave.
    State,
    /// It stopped taking new work.
    Leaving,
}

/// All known upstreams.
#[derive(Debug, Default)]
pub(super) struct Upstreams {
    map: BTreeMap<name::Upstream, Record>,
}

impl Upstreams {
    pub(super) const fn map(&self) -> &BTreeMap<name::Upstream, Record> {
        &self.map
    }

    /// The state for the router's decisions, once enough is known.
    pub(super) fn state(&self, name: &name::Upstream) -> Option<State> {
        let record = self.map.get(name)?;
        let fact = record.fact.as_ref()?;
        Some(State {
            name: name.clone(),
            address: fact.address.clone(),
            zone: fact.place.zone.clone(),
            incarnation: record.incarnation,
            phase: record.phase,
            kind: fact.kind.clone(),
        })
    }

    /// Takes a phase of one run. It never moves back within the run.
    pub(super) fn phase(
        &mut self,
        now: Time,
        name: &name::Upstream,
        incarnation: name::Incarnation,
        phase: Phase,
    ) -> Change {
        let Some(record) = self.record(now, name, incarnation) else {
            return Change::None;
        };
        let replaced = record.incarnation < incarnation;
        if record.incarnation > incarnation || (!replaced && record.phase >= phase) {
            return Change::None;
        }
        record.changed = now;
        if replaced {
            record.incarnation = incarnation;
            record.silent_since = None;
            // The old run's facts stay for display; any report of the new run replaces them.
            if let Some(fact) = &mut record.fact {
                fact.sequence = 0;
            }
        }
        let news = phase >= Phase::Leaving && (replaced || record.phase < Phase::Leaving);
        record.phase = phase;
        if news { Change::Leaving } else { Change::State }
    }

    /// Takes what an upstream serves in one run.
    pub(super) fn fact(
        &mut self,
        now: Time,
        name: &name::Upstream,
        incarnation: name::Incarnation,
        phase: Phase,
        fact: Fact,
    ) -> Change {
        let change = self.phase(now, name, incarnation, phase);
        let Some(record) = self.map.get_mut(name) else {
            return Change::None;
        };
        if record.incarnation > incarnation {
            return change;
        }
        let newer = record.fact.as_ref().is_none_or(|known| {
            // The encoded form decides between two reports with the same number, so that all
            // routers keep the same one.
            fact.sequence > known.sequence
                || fact.sequence == known.sequence && fact.rank() > known.rank()
        });
        if !newer {
            return change;
        }
        record.fact = Some(fact);
        record.changed = now;
        if change == Change::None {
            Change::State
        } else {
            change
        }
    }

    /// Takes the upstreams of a host list; gives what changed.
    pub(super) fn list(&mut self, now: Time, hosts: &[Listing]) -> Vec<(name::Upstream, Change)> {
        for record in self.map.values_mut() {
            record.listed = false;
        }
        let mut changes = Vec::new();
        for host in hosts {
            let kind = match &host.role {
                Role::Router => continue,
                Role::Engine => Kind::Engine(BTreeSet::new()),
                Role::Plain(service) => Kind::Plain(service.clone()),
            };
            let name = name::Upstream::from(host.name.as_str());
            let change = self.listing(now, &name, host, kind);
            if let Some(record) = self.map.get_mut(&name) {
                record.listed = true;
            }
            if change != Change::None {
                changes.push((name, change));
            }
        }
        self.map.retain(|_, record| {
            record.listed || record.phase < Phase::Gone || now.since(record.changed) < FORGET_AFTER
        });
        changes
    }

    fn listing(&mut self, now: Time, name: &name::Upstream, host: &Listing, kind: Kind) -> Change {
        let known = self.map.get(name).map(|record| record.incarnation);
        let listed = name::Incarnation(host.since_ms);
        let plain = matches!(kind, Kind::Plain(_));
        let (incarnation, phase) = match (plain, host.leaving) {
            // A leaving state from before the known run says nothing of it.
            (_, true) if known.is_some_and(|known| known > listed) => return Change::None,
            (_, true) => (known.unwrap_or_default(), Phase::Leaving),
            (true, false) => (listed, Phase::Live),
            // Only its own status says that an engine is ready, and in which run.
            (false, false) if known.is_some() => return self.moved(now, name, host),
            (false, false) => (name::Incarnation::default(), Phase::Joining),
        };
        let fact = Fact {
            sequence: 0,
            address: host.address.clone(),
            place: host.place.clone(),
            kind,
        };
        self.fact(now, name, incarnation, phase, fact)
    }

    /// Takes the address of a known engine from a list that is newer than its run, so that a run
    /// at another address can be asked for its status.
    fn moved(&mut self, now: Time, name: &name::Upstream, host: &Listing) -> Change {
        let Some(record) = self.map.get_mut(name) else {
            return Change::None;
        };
        let newer = host.since_ms > record.incarnation.0;
        let Some(fact) = record.fact.as_mut().filter(|_| newer) else {
            return Change::None;
        };
        if fact.address == host.address {
            return Change::None;
        }
        fact.address.clone_from(&host.address);
        record.changed = now;
        Change::State
    }

    /// Notes that a probe got no answer. An upstream is gone only if the host list does not name
    /// it either, and only a router of its own zone may say so: one that is cut off could not
    /// tell a dead upstream from one out of reach.
    pub(super) fn silent(&mut self, now: Time, name: &name::Upstream, own: &wire::Place) -> Change {
        let Some(record) = self.map.get_mut(name) else {
            return Change::None;
        };
        let since = *record.silent_since.get_or_insert(now);
        let near = record.fact.as_ref().is_some_and(|fact| fact.place == *own);
        let gone = near && !record.listed && now.since(since) >= GONE_AFTER;
        let incarnation = record.incarnation;
        if gone {
            self.phase(now, name, incarnation, Phase::Gone)
        } else {
            Change::None
        }
    }

    /// Notes that an upstream answered.
    pub(super) fn answered(&mut self, name: &name::Upstream) {
        if let Some(record) = self.map.get_mut(name) {
            record.silent_since = None;
        }
    }

    fn record(
        &mut self,
        now: Time,
        name: &name::Upstream,
        incarnation: name::Incarnation,
    ) -> Option<&mut Record> {
        if !self.map.contains_key(name) {
            if self.map.len() >= UPSTREAMS_MAX {
                return None;
            }
            let record = Record {
                incarnation,
                phase: Phase::Joining,
                fact: None,
                changed: now,
                // An upstream that the list does not name yet is not missing from it.
                listed: true,
                silent_since: None,
            };
            self.map.insert(name.clone(), record);
        }
        self.map.get_mut(name)
    }
}

impl Fact {
    fn rank(&self) -> Vec<u8> {
        wire::encode(&(&self.kind, &self.address, &self.place))
    }
}
