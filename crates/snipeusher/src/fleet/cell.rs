//! What is believed of one upstream.

use std::time::Duration;

use super::Entry;
use super::Health;
use super::Load;
use crate::hash;
use crate::name;
use crate::time::Time;

/// Silence of an upstream with requests after which others are preferred. A long prompt keeps an
/// engine from saying anything for some hundred milliseconds.
const SILENCE: Duration = Duration::from_millis(450);

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
    /// Since when it has requests and says nothing.
    pub silent: Option<Time>,
    /// Whether this silence was counted against its availability zone.
    pub is_counted: bool,
}

impl Cell {
    pub(super) fn new(entry: Entry, zone: &name::Zone) -> Self {
        Self {
            node: hash::bytes(entry.id.as_str().as_bytes()),
            near: entry.zone == *zone,
            entry,
            load: Load::default(),
            health: Health::default(),
            silent: None,
            is_counted: false,
        }
    }

    /// Whether it has been silent for so long that requests are better sent elsewhere.
    pub fn is_silent(&self, now: Time) -> bool {
        self.silent.is_some_and(|since| now.since(since) > SILENCE)
    }

    /// It said something.
    pub(super) fn heard(&mut self, now: Time) {
        self.silent = (self.load.own() > 0).then_some(now);
        self.is_counted = false;
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
