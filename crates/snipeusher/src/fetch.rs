//! Decides from where a router gets data that peers have announced.
//!
//! The store's rate limits do not grow with the fleet, and a peer's link carries only a few copies
//! at a time. A router therefore asks a random peer that has the data, preferably one of its own
//! availability zone, and turns to the store only when peers do not deliver in time. Each router
//! that has received the data serves it in turn, so the number of sources grows with each copy. See
//! `docs/platform.md#copies`.

use std::time::Duration;

use crate::kv::Revision;
use crate::time::Time;

/// Sources kept for a revision. More would not spread the load further.
const SOURCES_MAX: usize = 8;
/// How long a router waits for a peer of its own zone to announce the data before it asks one of
/// another zone, since traffic between zones is expensive.
const LOCAL_WAIT: Duration = Duration::from_millis(60);
/// How long only peers are asked for small data.
const PEERS_ONLY: Duration = Duration::from_millis(500);
/// The same for a router without any data, whose callers wait.
const PEERS_ONLY_START: Duration = Duration::from_millis(150);
/// Limit on a copy of small data. A peer that takes longer is overloaded or unreachable.
const SMALL_LIMIT: Duration = Duration::from_millis(300);
/// Limit on a copy of large data. A megabyte at 10 Mbit/s takes 0.8 s, and a peer serves several
/// routers at once.
const LARGE_LIMIT: Duration = Duration::from_secs(3);
/// Pause while no source is known to be able to deliver.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Largest random addition to the pause, so that routers do not return together.
const RETRY_JITTER_MS: u64 = 40;
/// Pause after the store did not deliver.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Size of announced data, as far as it is known beforehand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Size {
    /// A peer's link carries several copies within the time limit.
    Small,
    /// Copies would saturate the links of the few peers that have the data first.
    Large,
}

/// A peer that has the data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source<A> {
    /// Where to ask for it.
    pub address: A,
    /// Whether it is in this router's availability zone.
    pub is_local: bool,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step<A> {
    /// Ask a peer, within a time limit.
    Peer(A, Duration),
    /// Read the data from the store.
    Store,
    /// Wait, then decide again.
    Wait(Duration),
}

/// State of this router that the decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct Query<K> {
    /// Version that the router has; `None` if it has no data yet.
    pub known: Option<K>,
    /// Expected size of the data.
    pub size: Size,
    /// Whether the data can be read from the store.
    pub store: bool,
    /// A random number that spreads the routers over the sources.
    pub random: u64,
}

/// The newest data that peers announced, and the peers that have it.
///
/// `K` orders the versions of the data, such as a revision of the store.
#[derive(Clone, Debug)]
pub struct Fetch<A, K = Revision> {
    newest: K,
    sources: Vec<Source<A>>,
    announced_at: Time,
    /// When the store may be asked again.
    store_at: Time,
    /// Version up to which everything was received.
    received: K,
}

impl<A, K: Default> Default for Fetch<A, K> {
    fn default() -> Self {
        Self {
            newest: K::default(),
            sources: Vec::new(),
            announced_at: Time::default(),
            store_at: Time::default(),
            received: K::default(),
        }
    }
}

impl<A: Copy + PartialEq, K: Copy + Ord> Fetch<A, K> {
    /// Records that a peer has a version. Returns whether this is news.
    pub fn announce(&mut self, now: Time, version: K, source: Source<A>) -> bool {
        if version < self.newest {
            return false;
        }
        if version > self.newest {
            self.newest = version;
            self.sources.clear();
            self.announced_at = now;
        }
        if self.sources.contains(&source) {
            return false;
        }
        if self.sources.len() >= SOURCES_MAX {
            let remote = self.sources.iter().position(|known| !known.is_local);
            self.sources.remove(remote.unwrap_or_default());
        }
        self.sources.push(source);
        true
    }

    /// Removes a peer that did not deliver. It is asked again after its next announcement.
    pub fn remove(&mut self, address: A) {
        self.sources.retain(|source| source.address != address);
    }

    /// Records that a version was received. One that cannot be decoded is not requested again.
    pub fn record_received(&mut self, version: K) {
        self.received = self.received.max(version);
    }

    /// Whether a received version is at least the announced one.
    pub fn is_current(&self, received: K) -> bool {
        received >= self.newest
    }

    /// Records that the store was asked.
    pub fn record_store_read(&mut self, now: Time) {
        self.store_at = now + STORE_RETRY_DELAY;
    }

    /// The next step; `None` until a peer announces something newer than `query.known`.
    pub fn next(&self, now: Time, query: &Query<K>) -> Option<Step<A>> {
        let has_newest = query.known.is_some_and(|known| known >= self.newest);
        if has_newest || self.received >= self.newest {
            return None;
        }
        let is_start = query.known.is_none();
        let waited = now.since(self.announced_at);
        let peers_only = if is_start {
            PEERS_ONLY_START
        } else {
            PEERS_ONLY
        };
        let prefers_store = query.size == Size::Large || waited >= peers_only;
        if prefers_store && query.store && now >= self.store_at {
            return Some(Step::Store);
        }
        let local = self.pick(true, query.random);
        let awaits_local = query.size == Size::Small && !is_start && waited < LOCAL_WAIT;
        if local.is_none() && awaits_local {
            return Some(Step::Wait(LOCAL_WAIT.saturating_sub(waited)));
        }
        let limit = if query.store && query.size == Size::Small {
            SMALL_LIMIT
        } else {
            LARGE_LIMIT
        };
        match local.or_else(|| self.pick(false, query.random)) {
            Some(source) => Some(Step::Peer(source.address, limit)),
            None if query.store => {
                let jitter = Duration::from_millis(query.random % RETRY_JITTER_MS);
                Some(Step::Wait(RETRY_DELAY + jitter))
            }
            None => None,
        }
    }

    /// A random source in this router's zone or outside of it.
    fn pick(&self, is_local: bool, random: u64) -> Option<Source<A>> {
        let sources = self.sources.iter();
        let sources: Vec<&Source<A>> = sources
            .filter(|source| source.is_local == is_local)
            .collect();
        let index = random.checked_rem(sources.len() as u64)?;
        sources.get(index as usize).map(|source| **source)
    }
}
