//! The upstreams that the store lists.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::kv::Revision;
use crate::name;
use crate::time::Time;

/// Time after the store's return within which upstreams whose entries lapsed are back. Entries
/// that are missing until then are kept, since all of them lapse together in a long outage.
const RETURN: Duration = Duration::from_millis(2_300);

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

/// All entries at one revision, as a router passes them on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The store's revision.
    pub revision: Revision,
    /// The entries.
    pub entries: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Row {
    entry: Entry,
    /// Set for one that the store no longer lists but that may come back.
    lapsed: Option<Time>,
}

/// The upstreams that the store lists, at the highest revision heard from anyone.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    rows: BTreeMap<name::Upstream, Row>,
    revision: Revision,
    away: bool,
    returned: Option<Time>,
}

impl Roster {
    /// The revision up to which all changes are known.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Whether nothing was ever heard.
    pub fn is_blank(&self) -> bool {
        self.revision == Revision::default()
    }

    /// The upstreams that may get new work.
    pub fn ready(&self, now: Time) -> impl Iterator<Item = &Entry> {
        let rows = self.rows.values().filter(move |row| {
            let is_listed = row.lapsed.is_none_or(|until| now < until);
            is_listed && !row.entry.draining
        });
        rows.map(|row| &row.entry)
    }

    /// All upstreams that are listed or may come back, leaving ones included.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.rows.values().map(|row| &row.entry)
    }

    /// When an upstream that the store no longer lists is forgotten next.
    pub fn next_expiry(&self) -> Option<Time> {
        self.rows.values().filter_map(|row| row.lapsed).min()
    }

    /// One upstream, also if it is leaving.
    pub fn get(&self, id: &name::Upstream) -> Option<&Entry> {
        self.rows.get(id).map(|row| &row.entry)
    }

    /// Whether an upstream may get new work at `now`.
    pub fn is_ready(&self, now: Time, id: &name::Upstream) -> bool {
        self.rows
            .get(id)
            .is_some_and(|row| !row.entry.draining && row.lapsed.is_none_or(|until| now < until))
    }

    /// The store cannot be reached: entries may lapse although their upstreams live.
    pub fn store_lost(&mut self) {
        self.away = true;
    }

    /// The store answers again.
    pub fn store_found(&mut self, now: Time) {
        if std::mem::take(&mut self.away) {
            self.returned = Some(now);
        }
    }

    /// Takes an entry as it was written.
    pub fn put(&mut self, entry: Entry) {
        self.revision = self.revision.max(entry.revision);
        let known = self.rows.get(&entry.id);
        if known.is_none_or(|row| row.entry.revision < entry.revision) {
            let row = Row {
                lapsed: None,
                entry,
            };
            self.rows.insert(row.entry.id.clone(), row);
        }
    }

    /// Takes the removal of an entry at a revision.
    pub fn remove(&mut self, now: Time, id: &name::Upstream, revision: Revision) {
        self.revision = self.revision.max(revision);
        let known = self.rows.get(id);
        if known.is_some_and(|row| row.entry.revision <= revision) {
            self.drop_row(now, id);
        }
    }

    /// Notes that all changes up to a revision are known.
    pub fn reached(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Takes a complete list; an older one than what is known is ignored.
    pub fn sync(&mut self, now: Time, snapshot: Snapshot) {
        if snapshot.revision < self.revision {
            return;
        }
        let listed = snapshot.entries.iter().map(|entry| entry.id.clone());
        let listed: BTreeSet<name::Upstream> = listed.collect();
        let missing = self
            .rows
            .iter()
            .filter(|(id, row)| !listed.contains(*id) && row.entry.revision <= snapshot.revision);
        let missing: Vec<name::Upstream> = missing.map(|(id, _)| id.clone()).collect();
        for id in missing {
            self.drop_row(now, &id);
        }
        for entry in snapshot.entries {
            self.put(entry);
        }
        self.revision = snapshot.revision;
    }

    /// What is listed, for a peer that is behind.
    pub fn snapshot(&self) -> Snapshot {
        let listed = self.rows.values().filter(|row| row.lapsed.is_none());
        Snapshot {
            revision: self.revision,
            entries: listed.map(|row| row.entry.clone()).collect(),
        }
    }

    /// Upstreams that are no longer known at `now`; they are forgotten.
    pub fn expire(&mut self, now: Time) {
        self.rows
            .retain(|_, row| row.lapsed.is_none_or(|until| now < until));
    }

    fn drop_row(&mut self, now: Time, id: &name::Upstream) {
        let until = self.returned.map(|returned| returned + RETURN);
        let until = until.filter(|until| now < *until);
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        match until {
            // Leaving upstreams stay gone.
            Some(until) if !row.entry.draining => {
                row.lapsed.get_or_insert(until);
            }
            _ => {
                self.rows.remove(id);
            }
        }
    }
}
