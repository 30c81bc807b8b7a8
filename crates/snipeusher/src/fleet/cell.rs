//! What is believed of one upstream.

use super::Entry;
use super::Health;
use super::Load;
use crate::hash;
use crate::name;

/// What is believed of one upstream.
#[derive(Clone, Debug)]
pub struct Cell {
    /// As the store lists it.
    pub entry: Entry,
    /// Hash of its identity, for the ranking.
    pub node: u64,
    /// Whether it is in the router's own availability zone.
    pub near: bool,
    /// Requests at it.
    pub load: Load,
    /// Whether it fails.
    pub health: Health,
}

impl Cell {
    pub(super) fn new(entry: Entry, zone: &name::Zone) -> Self {
        Self {
            node: hash::bytes(entry.id.as_str().as_bytes()),
            near: entry.zone == *zone,
            entry,
            load: Load::default(),
            health: Health::default(),
        }
    }

    /// Takes a newer entry; what was known of an earlier run is void.
    pub(super) fn update(&mut self, entry: Entry, zone: &name::Zone) {
        if entry.incarnation != self.entry.incarnation || entry.address != self.entry.address {
            self.health = Health::default();
        }
        self.near = entry.zone == *zone;
        self.entry = entry;
    }
}
