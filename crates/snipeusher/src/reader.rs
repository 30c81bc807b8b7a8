//! Decides which routers read the store on behalf of the others.
//!
//! The store's rate limits do not grow with the fleet, so only one or two routers of each
//! availability zone watch it; the others receive changes from their peers. There is no election: a
//! router starts reading when it knows too few fresh readers in its zone, and stops when enough
//! fresh readers rank before it. A zone that is cut off from the others therefore reads for itself.
//! See `docs/platform.md#readers`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::hash;
use crate::kv::WatchReply;
use crate::name;
use crate::time::Time;

/// Readers in an availability zone of a fleet with few zones. The store may turn away some hosts and
/// serve the others, which then wait until the loss of all readers is noticed.
const READERS_FEW_ZONES: usize = 2;
/// Readers in an availability zone of a fleet with many zones. The store hardly turns away all of
/// their readers at once, and changes arrive from the other zones.
const READERS_MANY_ZONES: usize = 1;
/// Other zones with fresh readers from which a fleet counts as one with many zones.
const MANY_ZONES: usize = 7;
/// A reader is fresh if the store answered it within this time. The store answers a watch without
/// changes after two seconds, and gossip delays the report by up to two more.
const FRESH_FOR: Duration = Duration::from_millis(4_500);
/// Routers that know no upstreams yet read the list one after another within this time, so that
/// most of them receive it from a peer first.
const LIST_SPREAD: Duration = Duration::from_millis(400);
/// The same of routers that no peer has answered. Their peers may all be starting or cut off, and
/// callers wait.
const LIST_SPREAD_ALONE: Duration = Duration::from_millis(100);
/// Routers that see too few readers start one after another, on average with this spacing. The
/// report of the first one takes longer to reach the others in a larger fleet.
const START_SPACING: Duration = Duration::from_millis(40);
/// Least time within which the routers of a small fleet start.
const START_SPREAD_MIN: Duration = Duration::from_millis(400);
/// The same once all readers are lost, so that nobody receives changes.
const START_SPREAD_LOST: Duration = Duration::from_millis(100);
/// Largest such time. A reader of a large zone starts long before its end.
const START_SPREAD_MAX: Duration = Duration::from_secs(6);

/// A router that reads the store, as reported between routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reader {
    /// Host of the router.
    pub host: name::Host,
    /// Availability zone of the router.
    pub zone: name::Zone,
    /// Milliseconds since the last reply of the store to the router.
    pub age_ms: u64,
    /// Milliseconds for which the store has answered the router without interruption.
    pub steady_ms: u64,
}

#[derive(Clone, Debug)]
struct Known {
    zone: name::Zone,
    rank: u64,
    replied_at: Time,
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
    /// When this router found that it cannot reach a reader, which counts again from its first
    /// answer of the store after that.
    lost_at: BTreeMap<name::Host, Time>,
    reading: bool,
    /// Since when the zone has had too few readers.
    shortage_since: Option<Time>,
    /// When this router starts to read if the zone still has too few readers.
    start_at: Option<Time>,
    /// Since when this router has waited for its first list of upstreams.
    waiting_since: Option<Time>,
}

impl Readers {
    /// Starts without known readers. The router becomes one unless others are reported first.
    pub fn new(host: name::Host, zone: name::Zone) -> Self {
        Self {
            rank: rank(&host),
            host,
            zone,
            known: BTreeMap::new(),
            lost_at: BTreeMap::new(),
            reading: false,
            shortage_since: None,
            start_at: None,
            waiting_since: None,
        }
    }

    /// Records that the store replied to this router.
    pub fn record_reply(&mut self, now: Time) {
        let known = self.known.entry(self.host.clone()).or_insert(Known {
            zone: self.zone.clone(),
            rank: self.rank,
            replied_at: now,
            steady_since: now,
        });
        known.replied_at = now;
    }

    /// Whether the store has replied to this router, and not failed to since.
    pub fn has_reply(&self) -> bool {
        self.known.contains_key(&self.host)
    }

    /// Records that the store no longer answers this router.
    pub fn record_loss(&mut self) {
        self.known.remove(&self.host);
    }

    /// Records that a router cannot be reached, or that it says that it is no reader. It no longer
    /// counts as one, whatever others still report of it. Returns whether it did until now.
    pub fn record_unavailable(&mut self, now: Time, host: &name::Host) -> bool {
        let was_known = self.known.remove(host).is_some();
        if was_known {
            self.lost_at.insert(host.clone(), now);
        }
        was_known
    }

    /// The fresh readers of this router's availability zone, without itself.
    pub fn local(&self, now: Time) -> impl Iterator<Item = &name::Host> {
        let fresh = self.fresh(now);
        let local = fresh.filter(|(host, known)| **host != self.host && known.zone == self.zone);
        local.map(|(host, _)| host)
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
            let (replied_at, steady_since) = (ago(reader.age_ms), ago(reader.steady_ms));
            let lost_at = self.lost_at.get(&reader.host);
            if lost_at.is_some_and(|lost_at| replied_at <= *lost_at) {
                continue;
            }
            let known = self.known.entry(reader.host.clone()).or_insert(Known {
                zone: reader.zone.clone(),
                rank: rank(&reader.host),
                replied_at,
                steady_since,
            });
            if known.replied_at < replied_at {
                (known.replied_at, known.steady_since) = (replied_at, steady_since);
            }
        }
        self.known
            .retain(|_, known| now.since(known.replied_at) < FRESH_FOR);
        self.lost_at
            .retain(|_, lost_at| now.since(*lost_at) < FRESH_FOR);
    }

    /// The highest-ranked fresh readers of each zone, to be sent to peers.
    pub fn list(&self, now: Time) -> Vec<Reader> {
        let mut zones: BTreeMap<&name::Zone, Vec<(u64, Reader)>> = BTreeMap::new();
        for (host, known) in self.fresh_readers(now) {
            let reader = Reader {
                host: host.clone(),
                zone: known.zone.clone(),
                age_ms: now.since(known.replied_at).as_millis() as u64,
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
            let first = readers.into_iter().take(READERS_FEW_ZONES);
            list.extend(first.map(|(_, reader)| reader));
        }
        list
    }

    /// Whether a router that knows no upstreams yet reads the list from the store, since its peers
    /// have not sent it in time. `has_peers` is whether any peer has answered.
    pub fn must_list(&mut self, now: Time, has_peers: bool) -> bool {
        let since = *self.waiting_since.get_or_insert(now);
        let spread = if has_peers {
            LIST_SPREAD
        } else {
            LIST_SPREAD_ALONE
        };
        now.since(since) >= self.start_delay(spread)
    }

    /// Decides whether this router reads the store from `now` on, and returns the decision.
    /// `routers` is the size of the fleet.
    pub fn update_role(&mut self, now: Time, routers: usize) -> bool {
        let others = self.fresh(now).filter(|(host, _)| **host != self.host);
        let (local, remote): (Vec<&Known>, Vec<&Known>) = others
            .map(|(_, known)| known)
            .partition(|known| known.zone == self.zone);
        let zones: BTreeSet<&name::Zone> = remote.iter().map(|known| &known.zone).collect();
        let wanted = if zones.len() < MANY_ZONES {
            READERS_FEW_ZONES
        } else {
            READERS_MANY_ZONES
        };
        let ahead = local.iter().filter(|known| known.rank < self.rank).count();
        let is_short = local.len() < wanted;
        let has_lost_any = !self.lost_at.is_empty();
        let spread = match (local.is_empty(), remote.is_empty()) {
            (true, true) if has_lost_any => START_SPREAD_LOST,
            // The store may be silent to the readers of the other zones as well.
            (true, false) if has_lost_any => START_SPREAD_MIN,
            _ => start_spread(routers),
        };
        self.start_at = None;
        if self.reading {
            self.reading = ahead < wanted;
            self.shortage_since = None;
        } else if is_short {
            let since = *self.shortage_since.get_or_insert(now);
            let start_at = since + self.start_delay(spread);
            self.reading = now >= start_at;
            self.start_at = (!self.reading).then_some(start_at);
        } else {
            self.shortage_since = None;
        }
        self.reading
    }

    /// When the decision is due again at the latest, although no reader is lost until then; `None`
    /// if nothing is planned.
    pub const fn start_at(&self) -> Option<Time> {
        self.start_at
    }

    /// The first fresh reader of this router's availability zone, which records streams in the store
    /// for the others of the zone.
    pub fn first_of_zone(&self, now: Time) -> Option<&name::Host> {
        let readers = self.fresh_readers(now);
        let local = readers.filter(|(_, known)| known.zone == self.zone);
        let first = local.min_by_key(|(_, known)| known.rank);
        first.map(|(host, _)| host)
    }

    /// Number of fresh readers of all zones that rank before this router; `None` if it is no reader.
    pub fn position(&self, now: Time) -> Option<usize> {
        let readers = self.fresh_readers(now);
        let ahead = readers.filter(|(_, known)| known.rank < self.rank);
        self.reading.then(|| ahead.count())
    }

    /// The fresh readers. This router was answered by the store once if it has been one.
    fn fresh_readers(&self, now: Time) -> impl Iterator<Item = (&name::Host, &Known)> {
        let fresh = self.fresh(now);
        fresh.filter(|(host, _)| self.reading || **host != self.host)
    }

    /// How long the store may hold open the next watch call of this router, at most `longest`, after
    /// one that has just ended.
    ///
    /// If the calls of all readers ended at the same time, a store that falls silent to all of them
    /// just after the next ones began would be noticed by none until the end of that time. So they
    /// end evenly spaced.
    pub fn watch_hold(&self, now: Time, reply: WatchReply, longest: Duration) -> Duration {
        match reply {
            WatchReply::Changes => self.hold_in_turn(now, longest),
            WatchReply::Nothing => longest.saturating_sub(self.advance(now, longest)),
        }
    }

    /// The time for a call that begins with those of all other readers, as after a change: they end
    /// in the order of the hash.
    fn hold_in_turn(&self, now: Time, longest: Duration) -> Duration {
        let readers = self.fresh_readers(now).count().max(1);
        let ahead = self.position(now).unwrap_or(0).min(readers - 1);
        longest.mul_f64((readers - ahead) as f64 / readers as f64)
    }

    /// By how much the next call of this router is to end earlier, so that calls which drift together
    /// part again: half of the way to the middle between the calls that end before and after it.
    fn advance(&self, now: Time, longest: Duration) -> Duration {
        let others = self.fresh(now).filter(|(host, _)| **host != self.host);
        let others: Vec<&Known> = others.map(|(_, known)| known).collect();
        let spacing = longest / (others.len() as u32 + 1);
        let gaps = others.into_iter().map(|known| {
            let before = now.since(known.replied_at).as_micros() % longest.as_micros().max(1);
            let before = Duration::from_micros(before as u64);
            // Of two calls that end at nearly the same time, that of the lower rank moves.
            let is_together = before < spacing / 4 || longest.saturating_sub(before) < spacing / 4;
            match (is_together, self.rank < known.rank) {
                (true, true) => longest,
                (true, false) => Duration::ZERO,
                (false, _) => before,
            }
        });
        let gaps: Vec<Duration> = gaps.collect();
        let (Some(before), Some(last)) = (gaps.iter().min(), gaps.iter().max()) else {
            return Duration::ZERO;
        };
        let excess = before.saturating_sub(longest.saturating_sub(*last));
        if excess < spacing / 2 {
            return Duration::ZERO;
        }
        excess / 4
    }

    /// Whether this router reads the store, as last decided.
    pub const fn is_reading(&self) -> bool {
        self.reading
    }

    /// How long this router waits for others to read first.
    fn start_delay(&self, spread: Duration) -> Duration {
        spread.mul_f64(self.rank as f64 / u64::MAX as f64)
    }

    fn fresh(&self, now: Time) -> impl Iterator<Item = (&name::Host, &Known)> {
        let known = self.known.iter();
        known.filter(move |(_, known)| now.since(known.replied_at) < FRESH_FOR)
    }
}

/// Time within which the routers of a fleet start to read one after another.
fn start_spread(routers: usize) -> Duration {
    let routers = u32::try_from(routers).unwrap_or(u32::MAX);
    let spread = START_SPACING.saturating_mul(routers);
    spread.clamp(START_SPREAD_MIN, START_SPREAD_MAX)
}

fn rank(host: &name::Host) -> u64 {
    hash::bytes(host.as_str().as_bytes())
}
