//! Decides which routers read the store on behalf of the others.
//!
//! The store's rate limits do not grow with the fleet, so only a few routers of each availability
//! zone watch it; the others receive changes from their peers. There is no election: a router
//! starts reading when it knows too few fresh readers in its zone, and stops when enough fresh
//! readers rank before it. A zone that is cut off from the others therefore reads for itself. See
//! `docs/platform.md#readers`.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::hash;
use crate::name;
use crate::time::Time;

/// Readers in each availability zone; the second one is a spare.
const READERS_PER_ZONE: usize = 2;
/// A reader is fresh if the store answered it within this time. The store answers a watch without
/// changes after two seconds, and gossip delays the report by up to two more.
const FRESH_FOR: Duration = Duration::from_millis(4_500);
/// Routers that see too few readers start one after another within this time, so that not all of
/// them start.
const START_SPREAD: Duration = Duration::from_millis(1_500);
/// The same if no reader is fresh in any zone, so that no changes arrive at all.
const START_SPREAD_URGENT: Duration = Duration::from_millis(400);

/// A router that reads the store, as reported between routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reader {
    /// Host of the router.
    pub host: name::Host,
    /// Availability zone of the router.
    pub zone: name::Zone,
    /// Milliseconds since the store last answered the router.
    pub age_ms: u64,
    /// Milliseconds for which the store has answered the router without interruption.
    pub steady_ms: u64,
}

#[derive(Clone, Debug)]
struct Known {
    zone: name::Zone,
    rank: u64,
    answered_at: Time,
    /// Since when the store has answered it without interruption.
    steady_since: Time,
}

/// The readers known to one router, and whether it is a reader itself.
#[derive(Clone, Debug)]
pub struct Readers {
    host: name::Host,
    zone: name::Zone,
    rank: u64,
    known: BTreeMap<name::Host, Known>,
    reading: bool,
    /// Since when the zone has had too few readers.
    shortage_since: Option<Time>,
}

impl Readers {
    /// Creates a reader, since no others are known yet.
    pub fn new(host: name::Host, zone: name::Zone) -> Self {
        Self {
            rank: rank(&host),
            host,
            zone,
            known: BTreeMap::new(),
            reading: true,
            shortage_since: None,
        }
    }

    /// Records that the store answered this router.
    pub fn record_answer(&mut self, now: Time) {
        let known = self.known.entry(self.host.clone()).or_insert(Known {
            zone: self.zone.clone(),
            rank: self.rank,
            answered_at: now,
            steady_since: now,
        });
        known.answered_at = now;
    }

    /// Records that the store no longer answers this router.
    pub fn record_loss(&mut self) {
        self.known.remove(&self.host);
    }

    /// Whether the store has answered another router without interruption since before `since`.
    ///
    /// If so, a router that lost the store at that time was cut off from it, and the store was not
    /// down.
    pub fn is_store_up_elsewhere(&self, now: Time, since: Time) -> bool {
        let mut others = self.fresh(now).filter(|(host, _)| **host != self.host);
        others.any(|(_, known)| known.steady_since < since)
    }

    /// Merges the readers that a peer reported.
    pub fn merge(&mut self, now: Time, readers: &[Reader]) {
        for reader in readers.iter().filter(|reader| reader.host != self.host) {
            let ago = |ms: u64| Time(now.0.saturating_sub(ms.saturating_mul(1_000)));
            let (answered_at, steady_since) = (ago(reader.age_ms), ago(reader.steady_ms));
            let known = self.known.entry(reader.host.clone()).or_insert(Known {
                zone: reader.zone.clone(),
                rank: rank(&reader.host),
                answered_at,
                steady_since,
            });
            if known.answered_at < answered_at {
                (known.answered_at, known.steady_since) = (answered_at, steady_since);
            }
        }
        self.known
            .retain(|_, known| now.since(known.answered_at) < FRESH_FOR);
    }

    /// The highest-ranked fresh readers of each zone, to be sent to peers.
    pub fn list(&self, now: Time) -> Vec<Reader> {
        let mut zones: BTreeMap<&name::Zone, Vec<(u64, Reader)>> = BTreeMap::new();
        for (host, known) in self.fresh(now) {
            let reader = Reader {
                host: host.clone(),
                zone: known.zone.clone(),
                age_ms: now.since(known.answered_at).as_millis() as u64,
                steady_ms: now.since(known.steady_since).as_millis() as u64,
            };
            zones
                .entry(&known.zone)
                .or_default()
                .push((known.rank, reader));
        }
        let mut list = Vec::new();
        for mut readers in zones.into_values() {
            readers.sort_by_key(|(rank, _)| *rank);
            let first = readers.into_iter().take(READERS_PER_ZONE);
            list.extend(first.map(|(_, reader)| reader));
        }
        list
    }

    /// Decides whether this router reads the store from `now` on, and returns the decision.
    pub fn update_role(&mut self, now: Time) -> bool {
        let others = self
            .fresh(now)
            .filter(|(host, known)| **host != self.host && known.zone == self.zone);
        let (ahead, count) = others.fold((0, 0), |(ahead, count), (_, known)| {
            (ahead + usize::from(known.rank < self.rank), count + 1)
        });
        if self.reading {
            self.reading = ahead < READERS_PER_ZONE;
            self.shortage_since = None;
        } else if count < READERS_PER_ZONE {
            let since = *self.shortage_since.get_or_insert(now);
            self.reading = now.since(since) >= self.delay(now);
        } else {
            self.shortage_since = None;
        }
        self.reading
    }

    /// Whether this router reads the store, as last decided.
    pub const fn is_reading(&self) -> bool {
        self.reading
    }

    /// How long this router waits for others to start reading first.
    fn delay(&self, now: Time) -> Duration {
        let is_urgent = self.fresh(now).next().is_none();
        let spread = if is_urgent {
            START_SPREAD_URGENT
        } else {
            START_SPREAD
        };
        spread.mul_f64(self.rank as f64 / u64::MAX as f64)
    }

    fn fresh(&self, now: Time) -> impl Iterator<Item = (&name::Host, &Known)> {
        let known = self.known.iter();
        known.filter(move |(_, known)| now.since(known.answered_at) < FRESH_FOR)
    }
}

fn rank(host: &name::Host) -> u64 {
    hash::bytes(host.as_str().as_bytes())
}
