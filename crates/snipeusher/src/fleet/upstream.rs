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
pub struct Upstream {
    /// As the store lists it.
    pub entry: Entry,
    /// Hash of its identity, for the ranking.
    pub id_hash: u64,
    /// Whether it is in the router's own availability zone.
    pub local: bool,
    /// Requests at it.
    pub load: Load,
    /// Whether it fails.
    pub health: Health,
    /// Since when it has requests and says nothing.
    pub silent_since: Option<Time>,
    /// Whether this silence was counted against its availability zone.
    pub silence_counted: bool,
}

impl Upstream {
    pub(super) fn new(entry: Entry, zone: &name::Zone) -> Self {
        Self {
            id_hash: hash::bytes(entry.id.as_str().as_bytes()),
            local: entry.zone == *zone,
            entry,
            load: Load::default(),
            health: Health::default(),
            silent_since: None,
            silence_counted: false,
        }
    }

    /// Whether it has been silent for so long that requests are better sent elsewhere.
    pub fn is_silent(&self, now: Time) -> bool {
        self.silent_since
            .is_some_and(|since| now.since(since) > SILENCE)
    }

    /// It said something.
    pub(super) fn record_activity(&mut self, now: Time) {
        self.silent_since = (self.load.in_flight() > 0).then_some(now);
        self.silence_counted = false;
    }

    /// Takes a newer entry; what was known of an earlier run is void.
    pub(super) fn update(&mut self, entry: Entry, zone: &name::Zone) {
        if entry.incarnation != self.entry.incarnation || entry.address != self.entry.address {
            self.health = Health::default();
        }
        self.local = entry.zone == *zone;
        self.entry = entry;
    }
}
