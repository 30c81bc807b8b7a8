//! Which routers read the store for the others.
//!
//! The store's rates do not grow with the fleet, so only a few routers of each availability zone
//! watch it and the others hear the news from their peers. Nobody is appointed: a router begins
//! to read when it has not heard of enough fresh readers in its zone, and stops when enough
//! readers that rank before it are fresh. A zone that is cut off therefore reads for itself. See
//! `docs/platform.md#readers`.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::hash;
use crate::name;
use crate::time::Time;

/// Readers of each availability zone; the second one covers for the first.
const READERS_PER_ZONE: usize = 2;
/// A reader that the store answered this long ago counts. A watch without news is answered after
/// two seconds, and word of it takes up to two more.
const FRESH: Duration = Duration::from_millis(4_500);
/// Routers that miss readers begin one after the other within this time, so that few do.
const SPREAD: Duration = Duration::from_millis(1_500);
/// The same where no reader is fresh anywhere, so that no news arrives at all.
const SPREAD_URGENT: Duration = Duration::from_millis(400);

/// A router that reads the store, as routers tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reader {
    /// Its host.
    pub host: name::Host,
    /// Its availability zone.
    pub zone: name::Zone,
    /// How long ago the store answered it, in milliseconds.
    pub age_ms: u64,
    /// For how long the store has answered it without a loss, in milliseconds.
    pub steady_ms: u64,
}

#[derive(Clone, Debug)]
struct Known {
    zone: name::Zone,
    rank: u64,
    answered_at: Time,
    /// Since when the store has answered it without a loss.
    steady_since: Time,
}

/// The readers that one router knows, and whether it is one of them.
#[derive(Clone, Debug)]
pub struct Readers {
    host: name::Host,
    zone: name::Zone,
    rank: u64,
    known: BTreeMap<name::Host, Known>,
    reading: bool,
    /// Since when readers are missing.
    shortage_since: Option<Time>,
}

impl Readers {
    /// Starts as a reader, since nothing is known yet.
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

    /// The store answered this router.
    pub fn record_answer(&mut self, now: Time) {
        let known = self.known.entry(self.host.clone()).or_insert(Known {
            zone: self.zone.clone(),
            rank: self.rank,
            answered_at: now,
            steady_since: now,
        });
        known.answered_at = now;
    }

    /// The store does not answer this router any more.
    pub fn record_loss(&mut self) {
        self.known.remove(&self.host);
    }

    /// Whether the store has answered another router without a loss since before a time.
    ///
    /// Then a router that lost the store meanwhile was cut off from it, and the store was not down.
    pub fn is_store_up_elsewhere(&self, now: Time, since: Time) -> bool {
        let mut others = self.fresh(now).filter(|(host, _)| **host != self.host);
        others.any(|(_, known)| known.steady_since < since)
    }

    /// Takes what a peer says of readers.
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
            .retain(|_, known| now.since(known.answered_at) < FRESH);
    }

    /// The fresh readers that rank first in each zone, for peers.
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

    /// Whether this router is to read the store at `now`.
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

    /// Whether this router reads the store.
    pub const fn is_reading(&self) -> bool {
        self.reading
    }

    /// How long this router leaves others the chance to read first.
    fn delay(&self, now: Time) -> Duration {
        let is_urgent = self.fresh(now).next().is_none();
        let spread = if is_urgent { SPREAD_URGENT } else { SPREAD };
        spread.mul_f64(self.rank as f64 / u64::MAX as f64)
    }

    fn fresh(&self, now: Time) -> impl Iterator<Item = (&name::Host, &Known)> {
        let known = self.known.iter();
        known.filter(move |(_, known)| now.since(known.answered_at) < FRESH)
    }
}

fn rank(host: &name::Host) -> u64 {
    hash::bytes(host.as_str().as_bytes())
}
