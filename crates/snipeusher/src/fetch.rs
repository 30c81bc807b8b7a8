//! Decides from where a router gets data that peers have announced.
//!
//! The store's rate limits do not grow with the fleet, and a peer's link carries only a few copies
//! at a time. A router therefore asks a random peer that has the data, preferably one of its own
//! availability zone, and turns to the store only when peers do not deliver in time. A request that
//! takes long is not waited for: others are made beside it, to another peer or the store. Each
//! router that has received the data serves it in turn, so the number of sources grows with each
//! copy. See `docs/platform.md#copies`.

use std::time::Duration;

use crate::kv::Revision;
use crate::time::Time;

/// Sources kept for a revision. More would not spread the load further.
const SOURCES_MAX: usize = 8;
/// How long a router waits for a peer of its own zone to announce the data before it asks one of
/// another zone, since traffic between zones is expensive.
const LOCAL_WAIT: Duration = Duration::from_millis(60);
/// How long only peers are asked.
const PEERS_ONLY: Duration = Duration::from_millis(500);
/// The same for a router without any data, whose callers wait.
const PEERS_ONLY_START: Duration = Duration::from_millis(150);
/// Limit on a copy of a peer. A peer that takes longer is overloaded or unreachable.
const PEER_LIMIT: Duration = Duration::from_secs(1);
/// The same of a router that cannot read the store, and has nobody else to ask.
const PEER_LIMIT_ALONE: Duration = Duration::from_secs(3);
/// Time after which a request that has not delivered yet is joined by another one.
const HEDGE_DELAY: Duration = Duration::from_millis(200);
/// Requests in progress at most: three to peers and one to the store.
const IN_PROGRESS_MAX: usize = 4;
/// Pause while no source is known to be able to deliver.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Largest random addition to the pause, so that routers do not return together.
const RETRY_JITTER_MS: u64 = 40;
/// Pause after the store did not deliver.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A peer that has the data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source<A> {
    /// Where to ask for it.
    pub address: A,
    /// Whether it is in this router's availability zone.
    pub is_local: bool,
}

/// Whom a request for the data goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target<A> {
    /// A peer.
    Peer(A),
    /// The store.
    Store,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step<A> {
    /// Ask a peer, within a time limit.
    Peer(A, Duration),
    /// Read the data from the store.
    Store,
    /// Wait until a request has ended, at most this long, then decide again.
    Wait(Duration),
}

/// State of this router that the decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct Query<K> {
    /// Version that the router has; `None` if it has no data yet.
    pub known: Option<K>,
    /// Whether the data can be read from the store.
    pub store: bool,
    /// A random number that spreads the routers over the sources.
    pub random: u64,
}

#[derive(Clone, Copy, Debug)]
struct Request<A> {
    target: Target<A>,
    started_at: Time,
}

/// The newest data that peers announced, the peers that have it, and the requests for it.
///
/// `K` orders the versions of the data, such as a revision of the store.
#[derive(Clone, Debug)]
pub struct Fetch<A, K = Revision> {
    newest: K,
    sources: Vec<Source<A>>,
    in_progress: Vec<Request<A>>,
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
            in_progress: Vec::new(),
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

    /// Records that a request delivered a version. One that cannot be decoded is not requested
    /// again, and a peer that delivered an older version than announced is not asked again.
    pub fn record_received(&mut self, target: Target<A>, version: K) {
        self.received = self.received.max(version);
        if version < self.newest {
            self.remove(target);
        }
        self.end(target);
    }

    /// Records that a request delivered nothing. A peer is asked again after its next announcement.
    pub fn record_failure(&mut self, now: Time, target: Target<A>) {
        if target == Target::Store {
            self.store_at = now + STORE_RETRY_DELAY;
        }
        self.remove(target);
        self.end(target);
    }

    /// The next step, which counts as in progress from now on; `None` until a peer announces
    /// something newer than `query.known`. Requests in progress are then no longer needed.
    pub fn next(&mut self, now: Time, query: &Query<K>) -> Option<Step<A>> {
        let has_newest = query.known.is_some_and(|known| known >= self.newest);
        if has_newest || self.received >= self.newest {
            self.in_progress.clear();
            return None;
        }
        if let Some(wait) = self.hedge_in(now) {
            return Some(Step::Wait(wait));
        }
        let step = self.choose(now, query)?;
        let target = match step {
            Step::Peer(address, _) => Target::Peer(address),
            Step::Store => Target::Store,
            Step::Wait(_) => return Some(step),
        };
        self.in_progress.push(Request {
            target,
            started_at: now,
        });
        Some(step)
    }

    /// Time until another request may be made beside those in progress; `None` if one may be now.
    fn hedge_in(&self, now: Time) -> Option<Duration> {
        let newest = self.in_progress.last()?;
        if self.in_progress.len() >= IN_PROGRESS_MAX {
            return Some(HEDGE_DELAY);
        }
        let elapsed = now.since(newest.started_at);
        (elapsed < HEDGE_DELAY).then(|| HEDGE_DELAY.saturating_sub(elapsed))
    }

    fn choose(&self, now: Time, query: &Query<K>) -> Option<Step<A>> {
        let is_start = query.known.is_none();
        let waited = now.since(self.announced_at);
        let peers_only = if is_start {
            PEERS_ONLY_START
        } else {
            PEERS_ONLY
        };
        let is_store_free = query.store && !self.is_asked(Target::Store);
        if waited >= peers_only && is_store_free && now >= self.store_at {
            return Some(Step::Store);
        }
        let local = self.pick(true, query.random);
        if local.is_none() && !is_start && waited < LOCAL_WAIT {
            return Some(Step::Wait(LOCAL_WAIT.saturating_sub(waited)));
        }
        if let Some(source) = local.or_else(|| self.pick(false, query.random)) {
            let limit = if query.store {
                PEER_LIMIT
            } else {
                PEER_LIMIT_ALONE
            };
            return Some(Step::Peer(source.address, limit));
        }
        let jitter = Duration::from_millis(query.random % RETRY_JITTER_MS);
        let may_deliver = query.store || !self.in_progress.is_empty();
        may_deliver.then_some(Step::Wait(RETRY_DELAY + jitter))
    }

    fn is_asked(&self, target: Target<A>) -> bool {
        let mut requests = self.in_progress.iter();
        requests.any(|request| request.target == target)
    }

    fn end(&mut self, target: Target<A>) {
        self.in_progress.retain(|request| request.target != target);
    }

    fn remove(&mut self, target: Target<A>) {
        self.sources
            .retain(|source| Target::Peer(source.address) != target);
    }

    /// A random source in this router's zone or outside of it that is not being asked.
    fn pick(&self, is_local: bool, random: u64) -> Option<Source<A>> {
        let sources = self.sources.iter();
        let sources: Vec<&Source<A>> = sources
            .filter(|source| source.is_local == is_local)
            .filter(|source| !self.is_asked(Target::Peer(source.address)))
            .collect();
        let index = random.checked_rem(sources.len() as u64)?;
        sources.get(index as usize).map(|source| **source)
    }
}
