//! The platform's store: entries of upstreams, the configuration, and routers that announce
//! themselves.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use snipeusher::fleet::Entry;
use snipeusher::fleet::List;
use snipeusher::fleet::Update;
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher::route::Position;
use snipeusher::time::Time;

/// Time for which the record of a router is kept.
const LEASE: Duration = Duration::from_mins(1);

/// A change that readers receive.
#[derive(Clone, Debug)]
pub(super) enum Change {
    Upstream(Update),
    Configuration(Position),
    Router(name::Host, SocketAddr),
}

/// All that a router learns when it lists the store.
#[derive(Clone, Debug)]
pub(super) struct Listing {
    pub(super) upstreams: List,
    pub(super) configuration: Position,
    pub(super) routers: Vec<(name::Host, SocketAddr)>,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Store {
    revision: u64,
    entries: BTreeMap<name::Upstream, Entry>,
    configuration: Position,
    routers: BTreeMap<name::Host, (SocketAddr, Time)>,
    /// All changes with their revisions, in order.
    log: Vec<(u64, Change)>,
}

impl Store {
    pub(super) const fn revision(&self) -> Revision {
        Revision::new(self.revision)
    }

    pub(super) fn put(&mut self, mut entry: Entry) {
        self.revision += 1;
        entry.revision = self.revision();
        self.entries.insert(entry.id.clone(), entry.clone());
        self.record(Change::Upstream(Update::Written(entry)));
    }

    /// Removes an entry. Returns the revision, unless there was none.
    pub(super) fn remove(&mut self, id: &name::Upstream) -> Option<Revision> {
        self.entries.remove(id)?;
        self.revision += 1;
        let revision = self.revision();
        self.record(Change::Upstream(Update::Removed(id.clone(), revision)));
        Some(revision)
    }

    /// Writes the next configuration.
    pub(super) fn configure(&mut self) -> Position {
        self.revision += 1;
        self.configuration = Position {
            version: self.configuration.version + 1,
            revision: self.revision(),
        };
        self.record(Change::Configuration(self.configuration));
        self.configuration
    }

    pub(super) fn announce(&mut self, now: Time, host: name::Host, address: SocketAddr) {
        self.revision += 1;
        self.routers.insert(host.clone(), (address, now + LEASE));
        self.record(Change::Router(host, address));
    }

    pub(super) fn list(&self, now: Time) -> Listing {
        let live = self.routers.iter().filter(|(_, (_, until))| now < *until);
        Listing {
            upstreams: List {
                revision: self.revision(),
                entries: self.entries.values().cloned().collect(),
                ..List::default()
            },
            configuration: self.configuration,
            routers: live
                .map(|(host, (address, _))| (host.clone(), *address))
                .collect(),
        }
    }

    /// The changes after a revision.
    pub(super) fn changes(&self, after: u64) -> impl Iterator<Item = &Change> {
        let newer = self.log.iter().rev().take_while(move |(at, _)| *at > after);
        let newer: Vec<&Change> = newer.map(|(_, change)| change).collect();
        newer.into_iter().rev()
    }

    fn record(&mut self, change: Change) {
        self.log.push((self.revision, change));
    }
}
