//! Known upstreams and the merging of their states.
//!
//! A merge keeps the larger of two values: the higher incarnation, and within an incarnation the
//! later phase and the later report, each compared separately. So all routers arrive at the same
//! state regardless of the order in which updates are received. See
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

/// How long a removed upstream is kept, so that an outdated update of a peer does not add it again;
/// longer than the longest partition of a region.
const REMOVE_AFTER: Duration = Duration::from_hours(2);
/// How long status probes of an unlisted upstream in the own zone must fail before it counts as
/// removed ([`Phase::Gone`]).
const GONE_AFTER: Duration = Duration::from_secs(30);
/// Maximum number of upstreams kept, several times the target fleet, to limit memory.
const UPSTREAMS_MAX: usize = 16_384;

/// Properties of an upstream from its latest report or from the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Report {
    pub(super) sequence: u64,
    pub(super) address: String,
    pub(super) place: wire::Place,
    pub(super) kind: Kind,
}

/// What is known of one upstream.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) incarnation: name::Incarnation,
    pub(super) phase: Phase,
    pub(super) report: Option<Report>,
    pub(super) changed: Time,
    listed: bool,
    failing_since: Option<Time>,
}

/// Effect of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// No change.
    None,
    /// The state changed, but the upstream did not begin to leave.
    State,
    /// The upstream stopped accepting new work.
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

    /// Returns the state for routing; `None` until a report or the host list has given an address.
    pub(super) fn state(&self, name: &name::Upstream) -> Option<State> {
        let record = self.map.get(name)?;
        let report = record.report.as_ref()?;
        Some(State {
            name: name.clone(),
            address: report.address.clone(),
            zone: report.place.zone.clone(),
            incarnation: record.incarnation,
            phase: record.phase,
            kind: report.kind.clone(),
        })
    }

    /// Merges the phase of an incarnation. Within one incarnation, the phase never moves back.
    pub(super) fn merge_phase(
        &mut self,
        now: Time,
        name: &name::Upstream,
        incarnation: name::Incarnation,
        phase: Phase,
    ) -> Change {
        let Some(record) = self.find_or_add(now, name, incarnation) else {
            return Change::None;
        };
        let replaced = record.incarnation < incarnation;
        if record.incarnation > incarnation || (!replaced && record.phase >= phase) {
            return Change::None;
        }
        record.changed = now;
        if replaced {
            record.incarnation = incarnation;
            record.failing_since = None;
            // The last report is kept for display until the new incarnation reports.
            if let Some(report) = &mut record.report {
                report.sequence = 0;
            }
        }
        let starts_leaving = phase >= Phase::Leaving && (replaced || record.phase < Phase::Leaving);
        record.phase = phase;
        if starts_leaving {
            Change::Leaving
        } else {
            Change::State
        }
    }

    /// Merges the phase and the report of an incarnation.
    pub(super) fn merge_report(
        &mut self,
        now: Time,
        name: &name::Upstream,
        incarnation: name::Incarnation,
        phase: Phase,
        report: Report,
    ) -> Change {
        let change = self.merge_phase(now, name, incarnation, phase);
        let Some(record) = self.map.get_mut(name) else {
            return Change::None;
        };
        if record.incarnation > incarnation {
            return change;
        }
        let newer = record.report.as_ref().is_none_or(|known| {
            // Of two reports with the same sequence number, the encoded form decides, so that all
            // routers keep the same one.
            report.sequence > known.sequence
                || report.sequence == known.sequence && report.sort_key() > known.sort_key()
        });
        if !newer {
            return change;
        }
        record.report = Some(report);
        record.changed = now;
        if change == Change::None {
            Change::State
        } else {
            change
        }
    }

    /// Applies a host list; returns the changed upstreams.
    pub(super) fn apply_host_list(
        &mut self,
        now: Time,
        hosts: &[Listing],
    ) -> Vec<(name::Upstream, Change)> {
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
            let change = self.apply_listing(now, &name, host, kind);
            if let Some(record) = self.map.get_mut(&name) {
                record.listed = true;
            }
            if change != Change::None {
                changes.push((name, change));
            }
        }
        self.map.retain(|_, record| {
            record.listed || record.phase < Phase::Gone || now.since(record.changed) < REMOVE_AFTER
        });
        changes
    }

    fn apply_listing(
        &mut self,
        now: Time,
        name: &name::Upstream,
        host: &Listing,
        kind: Kind,
    ) -> Change {
        let known = self.map.get(name).map(|record| record.incarnation);
        let listed = name::Incarnation(host.since_ms);
        let plain = matches!(kind, Kind::Plain(_));
        let (incarnation, phase) = match (plain, host.leaving) {
            // A leaving state older than the known incarnation does not apply to it.
            (_, true) if known.is_some_and(|known| known > listed) => return Change::None,
            (_, true) => (known.unwrap_or_default(), Phase::Leaving),
            (true, false) => (listed, Phase::Live),
            // Only the status of an engine reports that it is ready, and its incarnation.
            (false, false) if known.is_some() => return self.update_address(now, name, host),
            (false, false) => (name::Incarnation::default(), Phase::Joining),
        };
        let report = Report {
            sequence: 0,
            address: host.address.clone(),
            place: host.place.clone(),
            kind,
        };
        self.merge_report(now, name, incarnation, phase, report)
    }

    /// Updates the address of a known engine from a listing newer than its incarnation, so that a
    /// new incarnation at another address can be probed.
    fn update_address(&mut self, now: Time, name: &name::Upstream, host: &Listing) -> Change {
        let Some(record) = self.map.get_mut(name) else {
            return Change::None;
        };
        let newer = host.since_ms > record.incarnation.0;
        let Some(report) = record.report.as_mut().filter(|_| newer) else {
            return Change::None;
        };
        if report.address == host.address {
            return Change::None;
        }
        report.address.clone_from(&host.address);
        record.changed = now;
        Change::State
    }

    /// Records a failed probe. An upstream counts as removed only if it is missing from the host
    /// list too, and only a router in the same zone decides this: to a router cut off from the
    /// zone, an unreachable upstream looks the same as a dead one.
    pub(super) fn record_probe_failure(
        &mut self,
        now: Time,
        name: &name::Upstream,
        own_place: &wire::Place,
    ) -> Change {
        let Some(record) = self.map.get_mut(name) else {
            return Change::None;
        };
        let since = *record.failing_since.get_or_insert(now);
        let local = record
            .report
            .as_ref()
            .is_some_and(|report| report.place == *own_place);
        let gone = local && !record.listed && now.since(since) >= GONE_AFTER;
        let incarnation = record.incarnation;
        if gone {
            self.merge_phase(now, name, incarnation, Phase::Gone)
        } else {
            Change::None
        }
    }

    /// Records that an upstream answered a probe.
    pub(super) fn record_answer(&mut self, name: &name::Upstream) {
        if let Some(record) = self.map.get_mut(name) {
            record.failing_since = None;
        }
    }

    fn find_or_add(
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
                report: None,
                changed: now,
                // Until the next host list, a new upstream counts as listed.
                listed: true,
                failing_since: None,
            };
            self.map.insert(name.clone(), record);
        }
        self.map.get_mut(name)
    }
}

impl Report {
    fn sort_key(&self) -> Vec<u8> {
        wire::encode(&(&self.kind, &self.address, &self.place))
    }
}
