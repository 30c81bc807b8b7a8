//! What routers tell one another about crashes.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::hash;
use crate::name;
use crate::time::Time;

/// What requests to a service may have in common: a prompt part, or all of it if one repeats the
/// other. What crashes one service's upstreams may be harmless at another's.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// The service.
    pub service: name::Service,
    /// Identifier of the prompt part, or the fingerprint of the request.
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
    /// Fingerprint of the request, the same when its caller repeats it.
    pub request: u64,
    /// Time from when it was sent to the crash, in milliseconds.
    pub ran_ms: u64,
}

impl Loss {
    /// All that other requests may have in common with it.
    pub(super) fn ids(&self) -> impl Iterator<Item = u64> {
        self.parts.iter().copied().chain([self.request])
    }

    /// The request as a whole.
    pub(super) fn whole(&self) -> Part {
        Part {
            service: self.service.clone(),
            id: self.request,
        }
    }
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

/// What the requests that crash upstreams have in common.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Pattern {
    /// Their prompts have all these parts.
    Parts(BTreeSet<u64>),
    /// They are one request with this fingerprint.
    Request(u64),
}

/// What crashes the upstreams of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cause {
    /// The service.
    pub service: name::Service,
    /// Which requests do.
    pub pattern: Pattern,
}

impl Cause {
    /// Whether a request to a service matches, given what it may have in common with others.
    pub(super) fn is_in(&self, service: &name::Service, ids: &[u64]) -> bool {
        self.service == *service && self.ids().iter().all(|id| ids.contains(id))
    }

    /// Whether it explains the loss of a request.
    pub(super) fn explains(&self, loss: &Loss) -> bool {
        let ids: Vec<u64> = loss.ids().collect();
        self.is_in(&loss.service, &ids)
    }

    /// Whether it is one request, rather than prompt parts.
    pub(super) const fn is_request(&self) -> bool {
        matches!(self.pattern, Pattern::Request(_))
    }

    /// Identifiers of the parts, or the fingerprint of the request.
    pub fn ids(&self) -> Vec<u64> {
        match &self.pattern {
            Pattern::Parts(parts) => parts.iter().copied().collect(),
            Pattern::Request(request) => vec![*request],
        }
    }

    pub(super) fn parts(&self) -> impl Iterator<Item = Part> {
        self.ids().into_iter().map(|id| Part {
            service: self.service.clone(),
            id,
        })
    }
}

/// A blocked request or combination of parts, as sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Blocked {
    /// What is blocked.
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
    /// Blocked requests and combinations of parts, and since when they are.
    pub blocked: Vec<Aged<Blocked>>,
}

impl Report {
    /// Whether there is nothing to tell.
    pub const fn is_empty(&self) -> bool {
        self.losses.is_empty() && self.served.is_empty() && self.blocked.is_empty()
    }
}
