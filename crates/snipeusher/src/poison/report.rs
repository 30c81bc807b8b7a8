//! What routers tell one another about crashes.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::hash;
use crate::name;
use crate::time::Time;

/// A prompt part at a service. What crashes one service's upstreams may be harmless at another's.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// The service.
    pub service: name::Service,
    /// Identifier of the part.
    pub id: u64,
}

/// The crash of one incarnation of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Crash(pub u64);

impl Crash {
    /// The end of an incarnation.
    pub fn of(upstream: &name::Upstream, incarnation: name::Incarnation) -> Self {
        let id = hash::bytes(upstream.as_str().as_bytes());
        Self(hash::mix(id, incarnation.0))
    }
}

/// A request that was lost in a crash before its answer had begun.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Loss {
    /// The crash.
    pub crash: Crash,
    /// Service of the upstream.
    pub service: name::Service,
    /// Parts of the prompt that other requests may have, in order.
    pub parts: Vec<u64>,
}

/// Something that happened some time ago, as sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Aged<T> {
    /// What happened.
    pub event: T,
    /// Time since then in milliseconds.
    pub age_ms: u64,
}

impl<T> Aged<T> {
    /// When it happened, by this router's clock.
    pub(super) fn at(&self, now: Time) -> Time {
        Time(now.0.saturating_sub(self.age_ms.saturating_mul(1_000)))
    }
}

/// Prompt parts that crash a service's upstreams when a prompt has all of them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cause {
    /// The service.
    pub service: name::Service,
    /// Identifiers of the parts.
    pub parts: BTreeSet<u64>,
}

impl Cause {
    pub(super) fn is_in(&self, service: &name::Service, parts: &[u64]) -> bool {
        self.service == *service && self.parts.iter().all(|part| parts.contains(part))
    }

    pub(super) fn parts(&self) -> impl Iterator<Item = Part> {
        self.parts.iter().map(|id| Part {
            service: self.service.clone(),
            id: *id,
        })
    }
}

/// A blocked combination of parts, as sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Blocked {
    /// The combination.
    pub cause: Cause,
    /// How many times it has been blocked.
    pub count: u32,
}

/// What a router tells its peers about crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Lost requests that no block explains.
    pub losses: Vec<Aged<Loss>>,
    /// Parts of lost requests in successful answers since.
    pub served: Vec<Aged<Part>>,
    /// Blocked combinations and since when they are.
    pub blocked: Vec<Aged<Blocked>>,
}

impl Report {
    /// Whether there is nothing to tell.
    pub const fn is_empty(&self) -> bool {
        self.losses.is_empty() && self.served.is_empty() && self.blocked.is_empty()
    }
}
