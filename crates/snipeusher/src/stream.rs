//! Which software version began a stream.
//!
//! What two versions of an upstream's software write into one stream does not fit together. A
//! caller whose connection broke takes its stream up at any router, also after the router that
//! began it was killed. Each router therefore remembers the [`Origin`] of the streams that it begins
//! and copies it to a few peers, as long as more than one version runs; one router of each
//! availability zone also records them in the store ([`crate::archive`]). What is lost only makes a
//! router refuse to resume the stream. See `docs/platform.md#streams`.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::hash;
use crate::name;
use crate::time::Time;

/// Time for which an origin is kept. Callers give up a stream that began earlier.
const RETENTION: Duration = Duration::from_mins(1);
/// Maximum number of origins that are kept, so that memory stays bounded in a surge.
const ORIGINS_MAX: usize = 65_536;
/// Maximum number of new origins that wait to be sent to peers.
const UNSENT_MAX: usize = 4_096;

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
    known: BTreeMap<Id, Origin>,
    /// The known streams, oldest first.
    order: VecDeque<(Time, Id)>,
    /// Streams of this router that were not sent to peers yet, oldest first.
    unsent: VecDeque<(Time, Id, Origin)>,
}

impl Origins {
    /// Records a stream that this router began. Returns whether this is news for its peers.
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

    /// Records streams that other routers began. Returns those that were not known.
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

    /// What began a stream, if it is known.
    pub fn get(&self, id: Id) -> Option<&Origin> {
        self.known.get(&id)
    }

    /// Streams of this router to be sent to peers: those of services that run several versions. The
    /// others wait, in case that a second version appears while callers may take them up.
    pub fn take_unsent(
        &mut self,
        now: Time,
        has_several_builds: impl Fn(&name::Service) -> bool,
    ) -> Vec<(Id, Origin)> {
        let unsent = std::mem::take(&mut self.unsent).into_iter();
        let live = unsent.filter(|(at, ..)| now.since(*at) < RETENTION);
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

    fn insert(&mut self, now: Time, id: Id, origin: Origin) -> bool {
        self.expire(now);
        if self.known.contains_key(&id) {
            return false;
        }
        self.known.insert(id, origin);
        self.order.push_back((now, id));
        true
    }

    fn expire(&mut self, now: Time) {
        while let Some((at, id)) = self.order.front().copied() {
            if now.since(at) < RETENTION && self.order.len() < ORIGINS_MAX {
                return;
            }
            self.order.pop_front();
            self.known.remove(&id);
        }
    }
}
