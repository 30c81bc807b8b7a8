//! The upstreams that the store lists.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::kv::Revision;
use crate::name;
use crate::time::Time;

/// Time after the store's return within which upstreams whose entries lapsed are back. Entries
/// that are missing until then are kept, since all of them lapse together in a long outage.
const RETENTION: Duration = Duration::from_millis(2_300);
/// Removals that are remembered for peers that are behind; one that is further behind gets the
/// whole list.
const REMOVALS_MAX: usize = 512;

/// An upstream as the store lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Its identity, which differs between most runs.
    pub id: name::Upstream,
    /// What it serves.
    pub service: name::Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Requests that it works on at once, where it says so.
    pub slots: Option<u32>,
    /// Whether it is leaving.
    pub draining: bool,
    /// Which run of it this is.
    pub incarnation: name::Incarnation,
    /// Revision of the entry.
    pub revision: Revision,
}

/// An upstream that the store no longer lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Removal {
    /// Its identity.
    pub id: name::Upstream,
    /// Revision of the removal.
    pub revision: Revision,
    /// Milliseconds for which it is still used, since its entry may only have lapsed.
    pub keep_ms: u64,
}

/// The changes between two revisions, as a router passes them on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// The store's revision after them.
    pub revision: Revision,
    /// Whether `entries` are all that there are, rather than those that changed.
    pub complete: bool,
    /// The entries.
    pub entries: Vec<Entry>,
    /// Upstreams that are no longer listed.
    pub removed: Vec<Removal>,
}

#[derive(Clone, Debug)]
struct Row {
    entry: Entry,
    /// Set for one that the store no longer lists but that may come back.
    retained_until: Option<Time>,
}

#[derive(Clone, Debug)]
struct Removed {
    id: name::Upstream,
    revision: Revision,
    until: Option<Time>,
}

/// The upstreams that the store lists, at the highest revision heard from anyone.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    rows: BTreeMap<name::Upstream, Row>,
    revision: Revision,
    removed: VecDeque<Removed>,
    /// All removals after this revision are in `removed`.
    history_start: Revision,
    store_disconnected: bool,
    store_back_at: Option<Time>,
}

impl Roster {
    /// The revision up to which all changes are known.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Whether nothing was ever heard.
    pub fn is_unsynced(&self) -> bool {
        self.revision == Revision::default()
    }

    /// The upstreams that may get new work.
    pub fn ready(&self, now: Time) -> impl Iterator<Item = &Entry> {
        let rows = self.rows.values().filter(move |row| row.is_ready(now));
        rows.map(|row| &row.entry)
    }

    /// All upstreams that are listed or may come back, leaving ones included.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.rows.values().map(|row| &row.entry)
    }

    /// One upstream, also if it is leaving.
    pub fn get(&self, id: &name::Upstream) -> Option<&Entry> {
        self.rows.get(id).map(|row| &row.entry)
    }

    /// Whether an upstream may get new work at `now`.
    pub fn is_ready(&self, now: Time, id: &name::Upstream) -> bool {
        self.rows.get(id).is_some_and(|row| row.is_ready(now))
    }

    /// When an upstream that the store no longer lists is forgotten next.
    pub fn next_expiry(&self) -> Option<Time> {
        self.rows
            .values()
            .filter_map(|row| row.retained_until)
            .min()
    }

    /// The store cannot be reached: entries may lapse although their upstreams live.
    pub const fn store_disconnected(&mut self) {
        self.store_disconnected = true;
    }

    /// The store answers again; `was_down` unless it answered others all the while, in which case
    /// no entry has lapsed.
    pub const fn store_reconnected(&mut self, now: Time, was_down: bool) {
        if self.store_disconnected && was_down {
            self.store_back_at = Some(now);
        }
        self.store_disconnected = false;
    }

    /// Takes an entry as it was written.
    pub fn upsert(&mut self, entry: Entry) {
        self.revision = self.revision.max(entry.revision);
        let known = self.rows.get(&entry.id);
        if known.is_none_or(|row| row.entry.revision < entry.revision) {
            let row = Row {
                retained_until: None,
                entry,
            };
            self.rows.insert(row.entry.id.clone(), row);
        }
    }

    /// Takes the removal of an entry at a revision, as the store tells it.
    pub fn remove(&mut self, now: Time, id: &name::Upstream, revision: Revision) {
        self.revision = self.revision.max(revision);
        let known = self.rows.get(id);
        if known.is_some_and(|row| row.entry.revision <= revision) {
            let until = self.retention_deadline(now, id);
            self.remove_row(id.clone(), revision, until);
        }
    }

    /// Notes that all changes up to a revision are known.
    pub fn advance_to(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Takes the complete list of the store at a revision; an older one than what is known is
    /// ignored.
    pub fn replace_all(&mut self, now: Time, revision: Revision, entries: Vec<Entry>) {
        if revision < self.revision {
            return;
        }
        for id in self.unlisted(revision, &entries) {
            let until = self.retention_deadline(now, &id);
            self.remove_row(id, revision, until);
        }
        for entry in entries {
            self.upsert(entry);
        }
        self.revision = revision;
        // What came and went before the list is not known.
        self.history_start = revision;
    }

    /// Takes what a peer knows beyond this router's revision.
    pub fn merge(&mut self, now: Time, delta: Delta) {
        if delta.revision <= self.revision {
            return;
        }
        if delta.complete {
            let kept = delta.removed.iter().filter(|removal| removal.keep_ms > 0);
            let kept: BTreeSet<name::Upstream> = kept.map(|removal| removal.id.clone()).collect();
            self.history_start = delta.revision;
            for id in self.unlisted(delta.revision, &delta.entries) {
                if !kept.contains(&id) {
                    self.remove_row(id, delta.revision, None);
                }
            }
        }
        for removal in delta.removed {
            let known = self.rows.get(&removal.id);
            if known.is_some_and(|row| row.entry.revision <= removal.revision) {
                let keep = Duration::from_millis(removal.keep_ms);
                let until = (removal.keep_ms > 0).then(|| now + keep);
                self.remove_row(removal.id, removal.revision, until);
            }
        }
        for entry in delta.entries {
            self.upsert(entry);
        }
        self.revision = delta.revision;
    }

    /// What changed after a revision, for a peer that is behind.
    pub fn changes_since(&self, now: Time, revision: Revision) -> Delta {
        let complete = revision < self.history_start || revision == Revision::default();
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
        }
    }

    /// Forgets upstreams that did not come back.
    pub fn expire(&mut self, now: Time) {
        self.rows
            .retain(|_, row| row.retained_until.is_none_or(|until| now < until));
    }

    /// Known upstreams that a complete list at a revision does not name.
    fn unlisted(&self, revision: Revision, entries: &[Entry]) -> Vec<name::Upstream> {
        let listed: BTreeSet<&name::Upstream> = entries.iter().map(|entry| &entry.id).collect();
        let unlisted = self.rows.values().filter(|row| {
            row.retained_until.is_none()
                && row.entry.revision <= revision
                && !listed.contains(&row.entry.id)
        });
        unlisted.map(|row| row.entry.id.clone()).collect()
    }

    /// Until when an upstream that is no longer listed is still used: for a while after the
    /// store's return, unless it was leaving.
    fn retention_deadline(&self, now: Time, id: &name::Upstream) -> Option<Time> {
        let until = self.store_back_at? + RETENTION;
        let is_leaving = self.rows.get(id).is_some_and(|row| row.entry.draining);
        (now < until && !is_leaving).then_some(until)
    }

    fn remove_row(&mut self, id: name::Upstream, revision: Revision, until: Option<Time>) {
        match until {
            Some(until) => {
                if let Some(row) = self.rows.get_mut(&id) {
                    row.retained_until.get_or_insert(until);
                }
            }
            None => {
                self.rows.remove(&id);
            }
        }
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
