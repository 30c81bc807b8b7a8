//! Upstreams registered in the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::departure::Departures;
use super::departure::Evidence;
use super::departure::Leaving;
use super::departure::Verdict;
use super::evacuation::Evacuation;
use super::evacuation::Evacuations;
use crate::kv::Revision;
use crate::name;
use crate::time::Time;

/// Time after an outage of the store for which removed entries are kept. All leases expire
/// together in a long outage, and the upstreams register again within this time. The same holds for
/// evacuations that a restored store lacks.
pub(super) const OUTAGE_RETENTION: Duration = Duration::from_millis(2_300);
/// Time for which an upstream that leaves still serves requests, unless the settings say otherwise.
const DRAIN: Duration = Duration::from_secs(2);
/// Share of that time for which an entry removed after the store's return is kept. The rest covers
/// the way of the removal to this router and its peers, and that of the last request.
const REMOVED_SHARE: f64 = 0.7;
/// Removals kept for deltas. A peer that has missed more of them gets the complete list.
const REMOVALS_MAX: usize = 512;

/// Registration of an upstream in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Id of the upstream, which usually differs between incarnations.
    pub id: name::Upstream,
    /// The service that it belongs to.
    pub service: name::Service,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Version of its software.
    pub build: name::Build,
    /// Requests that it can process at once, if it states a limit.
    pub slots: Option<u32>,
    /// Whether it is shutting down and accepts no new requests.
    pub draining: bool,
    /// Incarnation of the process.
    pub incarnation: name::Incarnation,
    /// Revision of the store at which the entry was last written.
    pub revision: Revision,
    /// Milliseconds for which it is still warming up; zero if it is warm. Routers of earlier builds
    /// cannot read the field, so it is left out when zero.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cold_ms: u32,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "required by serde")]
const fn is_zero(value: &u32) -> bool {
    *value == 0
}

/// An upstream that the store no longer lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Removal {
    /// Id of the upstream.
    pub id: name::Upstream,
    /// Revision of the store at which it was removed.
    pub revision: Revision,
    /// Milliseconds for which it stays in use, since only its lease may have expired.
    pub keep_ms: u64,
}

/// One change of the store's entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// An entry was written.
    Written(Entry),
    /// An entry was removed at a revision.
    Removed(name::Upstream, Revision),
    /// A zone was evacuated at a revision.
    Evacuated(name::Zone, Revision),
    /// The evacuation of a zone was ended at a revision.
    EvacuationEnded(name::Zone, Revision),
}

/// All that the store lists at a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct List {
    /// The revision.
    pub revision: Revision,
    /// The registered upstreams.
    pub entries: Vec<Entry>,
    /// The evacuated zones, each with the revision that evacuated it.
    pub evacuations: BTreeMap<name::Zone, Revision>,
}

/// Changes between two revisions, sent from router to router.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// Revision of the store after the changes.
    pub revision: Revision,
    /// Whether `entries` holds all registered upstreams instead of only changed ones.
    pub complete: bool,
    /// New and changed entries, or all of them.
    pub entries: Vec<Entry>,
    /// Upstreams that were removed.
    pub removed: Vec<Removal>,
    /// Evacuations of zones that began or ended, or those in force if `complete`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evacuations: Vec<Evacuation>,
}

#[derive(Clone, Debug)]
struct Row {
    entry: Entry,
    /// When it is dropped; set if the store no longer lists it but it may register again.
    retained_until: Option<Time>,
}

#[derive(Clone, Debug)]
struct Removed {
    id: name::Upstream,
    revision: Revision,
    until: Option<Time>,
}

/// Upstreams registered in the store, at the highest revision received from the store or a peer.
#[derive(Clone, Debug)]
pub struct Roster {
    /// Time for which an upstream that leaves still serves requests.
    drain: Duration,
    rows: BTreeMap<name::Upstream, Row>,
    revision: Revision,
    removed: VecDeque<Removed>,
    /// All removals after this revision are in `removed`.
    history_start: Revision,
    departures: Departures,
    evacuations: Evacuations,
    /// Revision of the first list of the store's present era.
    era_start: Revision,
    store_disconnected: bool,
    store_back_at: Option<Time>,
}

impl Default for Roster {
    fn default() -> Self {
        Self::new(DRAIN)
    }
}

impl Roster {
    /// Creates an empty roster; `drain` is the time for which an upstream that leaves still serves
    /// requests.
    pub fn new(drain: Duration) -> Self {
        Self {
            drain,
            rows: BTreeMap::new(),
            revision: Revision::default(),
            removed: VecDeque::new(),
            history_start: Revision::default(),
            departures: Departures::default(),
            evacuations: Evacuations::default(),
            era_start: Revision::default(),
            store_disconnected: false,
            store_back_at: None,
        }
    }

    /// Revision up to which all changes have been applied.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Whether nothing has been received from the store or a peer yet.
    pub fn is_unsynced(&self) -> bool {
        self.revision == Revision::default()
    }

    /// Upstreams that may get new requests.
    pub fn ready(&self, now: Time) -> impl Iterator<Item = &Entry> {
        let rows = self.rows.values().filter(move |row| row.is_ready(now));
        rows.map(|row| &row.entry)
    }

    /// All upstreams that are listed or retained after an outage, draining ones included.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.rows.values().map(|row| &row.entry)
    }

    /// The entry of an upstream, also if it is draining.
    pub fn get(&self, id: &name::Upstream) -> Option<&Entry> {
        self.rows.get(id).map(|row| &row.entry)
    }

    /// Whether an upstream may get new requests at `now`.
    pub fn is_ready(&self, now: Time, id: &name::Upstream) -> bool {
        self.rows.get(id).is_some_and(|row| row.is_ready(now))
    }

    /// Whether a zone is evacuated at `now`.
    pub fn is_evacuated(&self, now: Time, zone: &name::Zone) -> bool {
        self.evacuations.has(now, zone)
    }

    /// Evacuated zones, each with the revision that evacuated it.
    pub fn evacuated(&self, now: Time) -> impl Iterator<Item = (&name::Zone, Revision)> {
        self.evacuations.in_force(now)
    }

    /// When the next retained entry or evacuation expires.
    pub fn next_expiry(&self) -> Option<Time> {
        let entries = self.rows.values().filter_map(|row| row.retained_until);
        entries.chain(self.evacuations.next_expiry()).min()
    }

    /// Records that the store is unreachable: leases may expire although their upstreams run.
    pub const fn store_disconnected(&mut self) {
        self.store_disconnected = true;
    }

    /// Records that the store answers again. `was_down` is false if it answered other routers in
    /// the meantime: then leases were renewed, and removals are genuine.
    pub const fn store_reconnected(&mut self, now: Time, was_down: bool) {
        if self.store_disconnected && was_down {
            self.store_back_at = Some(now);
        }
        self.store_disconnected = false;
    }

    /// Applies an entry, unless a newer revision of it is known.
    pub fn upsert(&mut self, mut entry: Entry) {
        self.revision = self.revision.max(entry.revision);
        match self.departures.judge(&entry, self.era_start) {
            Verdict::Valid => {}
            Verdict::Leaving => entry.draining = true,
            Verdict::Gone => return,
        }
        if entry.draining {
            let evidence = Evidence::Draining(entry.revision);
            self.departures
                .record(&entry.id, entry.incarnation, evidence);
        }
        let known = self.rows.get(&entry.id);
        if known.is_none_or(|row| row.entry.revision < entry.revision) {
            let row = Row {
                retained_until: None,
                entry,
            };
            self.rows.insert(row.entry.id.clone(), row);
        }
    }

    /// Records that an upstream said that it shuts down. Returns whether this is news.
    pub fn record_leaving(&mut self, leaving: &Leaving) -> bool {
        let row = self.rows.get_mut(&leaving.upstream);
        let is_earlier = row
            .as_ref()
            .is_some_and(|row| row.entry.incarnation != leaving.incarnation);
        if is_earlier || self.departures.is_announced(leaving) {
            return false;
        }
        if let Some(row) = row {
            row.entry.draining = true;
        }
        let (id, incarnation) = (&leaving.upstream, leaving.incarnation);
        self.departures.record(id, incarnation, Evidence::Announced);
        true
    }

    /// Whether an incarnation of an upstream said that it shuts down.
    pub fn is_announced(&self, leaving: &Leaving) -> bool {
        self.departures.is_announced(leaving)
    }

    /// Applies a removal reported by the store.
    pub fn remove(&mut self, now: Time, id: &name::Upstream, revision: Revision) {
        self.revision = self.revision.max(revision);
        let Some(row) = self.rows.get(id) else {
            self.record_removal(id.clone(), revision, None);
            return;
        };
        if row.entry.revision <= revision {
            // The upstream may leave without notice instead of having lost its lease.
            let latest = now + self.drain.mul_f64(REMOVED_SHARE);
            let until = self.retention_deadline(now, id);
            let until = until.map(|until| until.min(latest));
            self.remove_row(id.clone(), revision, until);
        }
    }

    /// Applies the evacuation of a zone, unless a newer statement about it is known.
    pub fn evacuate(&mut self, zone: name::Zone, revision: Revision) {
        self.revision = self.revision.max(revision);
        self.evacuations.begin(zone, revision);
        self.update_history();
    }

    /// Applies the end of the evacuation of a zone, unless a newer statement about it is known.
    pub fn end_evacuation(&mut self, zone: name::Zone, revision: Revision) {
        self.revision = self.revision.max(revision);
        self.evacuations.end(zone, revision);
        self.update_history();
    }

    /// Records that all changes up to a revision have been applied.
    pub fn advance_to(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Applies a complete list of a store without evacuations; see [`Self::replace`].
    pub fn replace_all(&mut self, now: Time, revision: Revision, entries: Vec<Entry>) {
        let list = List {
            revision,
            entries,
            ..List::default()
        };
        self.replace(now, list);
    }

    /// Applies a complete list read from the store, unless it is older than the known revision.
    pub fn replace(&mut self, now: Time, list: List) {
        let List {
            revision,
            entries,
            evacuations,
        } = list;
        if revision < self.revision {
            return;
        }
        let is_new_era = self.enter_era(now, revision);
        let retained_until = is_new_era.then_some(now + OUTAGE_RETENTION);
        self.evacuations
            .replace(revision, &evacuations, retained_until);
        for id in self.unlisted(revision, &entries) {
            let until = self.retention_deadline(now, &id);
            self.remove_row(id, revision, until);
        }
        for entry in entries {
            self.upsert(entry);
        }
        self.revision = revision;
        // Upstreams that were added and removed before the list are unknown.
        self.history_start = revision;
    }

    /// Applies a delta of a peer, unless it is older than the known revision.
    pub fn merge(&mut self, now: Time, delta: Delta) {
        if delta.revision <= self.revision {
            return;
        }
        let is_new_era = self.enter_era(now, delta.revision);
        let complete = delta.complete.then_some(delta.revision);
        let retained_until = is_new_era.then_some(now + OUTAGE_RETENTION);
        self.evacuations
            .merge(now, complete, delta.evacuations, retained_until);
        if delta.complete {
            let kept = delta.removed.iter().filter(|removal| removal.keep_ms > 0);
            let kept: BTreeSet<name::Upstream> = kept.map(|removal| removal.id.clone()).collect();
            self.history_start = delta.revision;
            for id in self.unlisted(delta.revision, &delta.entries) {
                if !kept.contains(&id) {
                    // The peer has the same list, so only what may register again is kept.
                    let until = self.retention_deadline(now, &id);
                    let until = until.filter(|_| is_new_era);
                    self.remove_row(id, delta.revision, until);
                }
            }
        }
        for removal in delta.removed {
            let known = self.rows.get(&removal.id);
            if known.is_none() && !delta.complete {
                self.record_removal(removal.id, removal.revision, None);
            } else if known.is_some_and(|row| row.entry.revision <= removal.revision) {
                let keep = Duration::from_millis(removal.keep_ms);
                let until = (removal.keep_ms > 0).then(|| now + keep);
                self.remove_row(removal.id, removal.revision, until);
            }
        }
        for entry in delta.entries {
            self.upsert(entry);
        }
        self.revision = delta.revision;
        self.update_history();
    }

    /// Changes after a revision, for a peer that has not seen them.
    pub fn changes_since(&self, now: Time, revision: Revision) -> Delta {
        let complete = self.is_before_history(revision);
        let listed = self
            .rows
            .values()
            .filter(|row| row.retained_until.is_none());
        let newer = listed.filter(|row| complete || row.entry.revision > revision);
        let removed = self.removed.iter();
        let removed = removed.filter(|removed| complete || removed.revision > revision);
        Delta {
            revision: self.revision,
            complete,
            entries: newer.map(|row| row.entry.clone()).collect(),
            removed: removed.map(|removed| removed.to_removal(now)).collect(),
            evacuations: self
                .evacuations
                .changes_since(now, (!complete).then_some(revision)),
        }
    }

    /// Whether a peer at a revision needs the complete list.
    pub fn is_before_history(&self, revision: Revision) -> bool {
        revision < self.history_start || revision == Revision::default()
    }

    /// Drops retained entries whose upstreams did not register again in time, and retained
    /// evacuations that were not written again.
    pub fn expire(&mut self, now: Time) {
        self.evacuations.expire(now);
        self.update_history();
        let rows = self.rows.iter();
        let expired = rows.filter(|(_, row)| row.retained_until.is_some_and(|until| until <= now));
        let expired: Vec<name::Upstream> = expired.map(|(id, _)| id.clone()).collect();
        for id in expired {
            self.drop_row(&id);
        }
    }

    /// Notes that the store was restored, if a revision is of a later era: what the copy lacks may
    /// register again, as after an outage. Returns whether it is.
    fn enter_era(&mut self, now: Time, revision: Revision) -> bool {
        let is_new = revision.era > self.revision.era && !self.is_unsynced();
        if is_new {
            self.store_back_at = Some(now);
            self.era_start = revision;
        }
        is_new
    }

    /// Has peers that missed an end of an evacuation that is no longer kept get the complete list.
    fn update_history(&mut self) {
        self.history_start = self.history_start.max(self.evacuations.forgotten());
    }

    /// Known upstreams that are missing from a complete list at a revision.
    fn unlisted(&self, revision: Revision, entries: &[Entry]) -> Vec<name::Upstream> {
        let listed: BTreeSet<&name::Upstream> = entries.iter().map(|entry| &entry.id).collect();
        let unlisted = self.rows.values().filter(|row| {
            row.retained_until.is_none()
                && row.entry.revision <= revision
                && !listed.contains(&row.entry.id)
        });
        unlisted.map(|row| row.entry.id.clone()).collect()
    }

    /// Until when a removed upstream stays in use: only for a time after an outage of the store,
    /// and only if it was not draining.
    fn retention_deadline(&self, now: Time, id: &name::Upstream) -> Option<Time> {
        let until = self.store_back_at? + OUTAGE_RETENTION;
        let is_leaving = self.rows.get(id).is_some_and(|row| row.entry.draining);
        (now < until && !is_leaving).then_some(until)
    }

    fn drop_row(&mut self, id: &name::Upstream) {
        if let Some(row) = self.rows.remove(id) {
            let evidence = Evidence::Removed(row.entry.revision);
            self.departures.record(id, row.entry.incarnation, evidence);
        }
    }

    fn remove_row(&mut self, id: name::Upstream, revision: Revision, until: Option<Time>) {
        match until {
            Some(until) => {
                if let Some(row) = self.rows.get_mut(&id) {
                    row.retained_until.get_or_insert(until);
                }
            }
            None => self.drop_row(&id),
        }
        self.record_removal(id, revision, until);
    }

    /// Keeps a removal for deltas, also that of an upstream which this router has not heard of: a
    /// peer that learns the changes from it may know the upstream.
    fn record_removal(&mut self, id: name::Upstream, revision: Revision, until: Option<Time>) {
        let removed = Removed {
            id,
            revision,
            until,
        };
        self.removed.push_back(removed);
        if self.removed.len() > REMOVALS_MAX
            && let Some(oldest) = self.removed.pop_front()
        {
            self.history_start = self.history_start.max(oldest.revision);
        }
    }
}

impl Row {
    fn is_ready(&self, now: Time) -> bool {
        !self.entry.draining && self.retained_until.is_none_or(|until| now < until)
    }
}

impl Removed {
    fn to_removal(&self, now: Time) -> Removal {
        let keep = self.until.map_or(Duration::ZERO, |until| until.since(now));
        Removal {
            id: self.id.clone(),
            revision: self.revision,
            keep_ms: keep.as_millis() as u64,
        }
    }
}
