//! Which software version began a stream.
//!
//! What two versions of an upstream's software write into one stream does not fit together. A
//! caller whose connection broke takes its stream up at any router, also after the router that
//! began it was killed. Each router therefore remembers the [`Origin`] of the streams that it begins
//! and copies it to a few peers, as long as more than one version runs; one router of each
//! availability zone also records them in the store ([`crate::archive`]). What is lost only makes a
//! router refuse to resume the stream. See `docs/platform.md#streams`.

mod holders;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

pub use self::holders::HOLDERS;
pub use self::holders::fingerprint;
pub use self::holders::holders;
use crate::hash;
use crate::name;
use crate::time::Time;

/// Least time for which what is known of streams is kept.
const RETENTION_MIN: Duration = Duration::from_mins(1);
/// Time after which an origin that arrives once more is kept anew, since its stream goes on.
const RENEW_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of origins that are kept, so that memory stays bounded in a surge.
const ORIGINS_MAX: usize = 65_536;
/// Maximum number of new origins that wait to be sent to peers.
const UNSENT_MAX: usize = 4_096;

/// Time for which what is known of streams is kept: for as long as any of them may last.
///
/// It never falls, since streams that began under an earlier configuration may still run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention(Duration);

impl Default for Retention {
    fn default() -> Self {
        Self(RETENTION_MIN)
    }
}

impl Retention {
    /// Extends it to the time limit of a stream. Returns whether it was shorter.
    pub fn extend_to(&mut self, limit: Duration) -> bool {
        let is_longer = limit > self.0;
        self.0 = self.0.max(limit);
        is_longer
    }

    /// The time.
    pub const fn get(self) -> Duration {
        self.0
    }
}

/// A stream, identified by a hash of the identifier of the request that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u64);

impl Id {
    /// The stream that the response to a request began.
    pub fn of_request(request: &str) -> Self {
        Self(hash::bytes(request.as_bytes()))
    }
}

/// What began a stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Origin {
    /// Service of the upstream.
    pub service: name::Service,
    /// Version of its software.
    pub build: name::Build,
}

/// Streams with the same origin, as sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// What began them.
    pub origin: Origin,
    /// The streams.
    pub streams: Vec<Id>,
}

/// Groups streams by their origin.
pub fn group(streams: impl IntoIterator<Item = (Id, Origin)>) -> Vec<Group> {
    let mut groups: BTreeMap<Origin, Vec<Id>> = BTreeMap::new();
    for (id, origin) in streams {
        groups.entry(origin).or_default().push(id);
    }
    let groups = groups.into_iter();
    groups
        .map(|(origin, streams)| Group { origin, streams })
        .collect()
}

/// Origins of the streams that this router or a peer began recently.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    retention: Retention,
    known: BTreeMap<Id, Known>,
    /// The known streams, oldest first. One that was renewed is listed with both times.
    order: VecDeque<(Time, Id)>,
    /// Streams of this router that were not sent to peers yet, oldest first.
    unsent: VecDeque<(Time, Id, Origin)>,
}

/// The origin of a stream.
#[derive(Clone, Debug)]
struct Known {
    origin: Origin,
    recorded_at: Time,
    /// Whether its caller has received an event, as far as is known. A stream that was announced only
    /// may still begin at another version.
    is_confirmed: bool,
}

impl Origins {
    /// Extends the time for which origins are kept to the time limit of streams.
    pub fn extend_retention(&mut self, limit: Duration) {
        self.retention.extend_to(limit);
    }

    /// Records a stream that this router began or that its caller took up here. Returns whether this
    /// is news for its peers.
    ///
    /// The first origin of a stream stays, since its events have reached the caller.
    pub fn record(&mut self, now: Time, id: Id, origin: Origin) -> bool {
        let is_news = self.insert(now, id, origin.clone());
        if is_news {
            self.unsent.push_back((now, id, origin));
            if self.unsent.len() > UNSENT_MAX {
                self.unsent.pop_front();
            }
        }
        is_news
    }

    /// Records streams that other routers began or resumed. Returns those that are news.
    pub fn merge(&mut self, now: Time, groups: Vec<Group>) -> Vec<(Id, Origin)> {
        let mut added = Vec::new();
        for group in groups {
            for id in group.streams {
                if self.insert(now, id, group.origin.clone()) {
                    added.push((id, group.origin.clone()));
                }
            }
        }
        added
    }

    /// Records streams that the store has a record of, which it returns with each read.
    pub fn merge_stored(&mut self, now: Time, groups: Vec<Group>) {
        for group in groups {
            for id in group.streams {
                if self.confirmed(id).is_none() {
                    self.insert(now, id, group.origin.clone());
                }
            }
        }
    }

    /// Records that another router is about to begin a stream.
    pub fn announce(&mut self, now: Time, id: Id, origin: Origin) {
        self.expire(now);
        if !self.known.contains_key(&id) {
            self.add(now, id, origin, false);
        }
    }

    /// What began a stream, or was announced to begin it, if that is known.
    pub fn get(&self, id: Id) -> Option<&Origin> {
        self.known.get(&id).map(|known| &known.origin)
    }

    /// What began a stream whose caller has received an event, if that is known.
    pub fn confirmed(&self, id: Id) -> Option<&Origin> {
        let known = self.known.get(&id).filter(|known| known.is_confirmed);
        known.map(|known| &known.origin)
    }

    /// Whether a stream was announced and no event of it is known to have reached its caller.
    pub fn is_announced(&self, id: Id) -> bool {
        self.known.get(&id).is_some_and(|known| !known.is_confirmed)
    }

    /// Streams of this router to be sent to peers: those of services that run several versions. The
    /// others wait, in case that a second version appears while callers may take them up.
    pub fn take_unsent(
        &mut self,
        now: Time,
        has_several_builds: impl Fn(&name::Service) -> bool,
    ) -> Vec<(Id, Origin)> {
        let unsent = std::mem::take(&mut self.unsent).into_iter();
        let retention = self.retention.get();
        let live = unsent.filter(|(at, ..)| now.since(*at) < retention);
        let (sent, waiting): (Vec<_>, Vec<_>) =
            live.partition(|(_, _, origin)| has_several_builds(&origin.service));
        self.unsent = waiting.into();
        let sent = sent.into_iter();
        sent.map(|(_, id, origin)| (id, origin)).collect()
    }

    /// Number of known streams.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Adds a stream, or renews it. Returns whether this is news.
    fn insert(&mut self, now: Time, id: Id, origin: Origin) -> bool {
        self.expire(now);
        let confirmed = self.known.get_mut(&id).filter(|known| known.is_confirmed);
        if let Some(known) = confirmed {
            if now.since(known.recorded_at) < RENEW_AFTER {
                return false;
            }
            known.recorded_at = now;
            self.order.push_back((now, id));
        } else {
            self.add(now, id, origin, true);
        }
        true
    }

    fn add(&mut self, now: Time, id: Id, origin: Origin, is_confirmed: bool) {
        let known = Known {
            origin,
            recorded_at: now,
            is_confirmed,
        };
        self.known.insert(id, known);
        self.order.push_back((now, id));
    }

    fn expire(&mut self, now: Time) {
        while let Some((at, id)) = self.order.front().copied() {
            if now.since(at) < self.retention.get() && self.order.len() < ORIGINS_MAX {
                return;
            }
            self.order.pop_front();
            if self
                .known
                .get(&id)
                .is_some_and(|known| known.recorded_at == at)
            {
                self.known.remove(&id);
            }
        }
    }
}
