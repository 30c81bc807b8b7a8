//! Which service a caller's request goes to, and how it is treated.
//!
//! A [`Table`] is compiled once for each revision of the operators' configuration and is never
//! changed afterwards, so that a request sees one revision from its arrival to its end. See
//! `docs/platform.md#configuration`.

mod table;

use std::sync::Arc;
use std::time::Duration;

use crate::name;

pub use self::table::Builder;
pub use self::table::Error;
pub use self::table::Table;

/// What may be repeated, and how the answer comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A whole answer; the request may run more than once.
    Idempotent,
    /// A whole answer; the request may run once at most.
    NonIdempotent,
    /// A series of events.
    Stream {
        /// Whether another upstream may go on after the last event.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request that may have run may be sent once more.
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a series of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that a route sends requests to, with its share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// The service.
    pub service: name::Service,
    /// Its share among the backends of the route; zero gets nothing.
    pub weight: u32,
}

/// How the requests under one host and path prefix are treated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time from arrival to the end of the answer.
    pub timeout: Duration,
    /// Time to the answer, or to the first event of a stream, within which it has its full worth.
    pub objective: Duration,
    /// Longest pause between events for which a stream still has its full worth.
    pub max_event_gap: Option<Duration>,
    /// Rank among the routes; zero goes first.
    pub priority: u8,
    /// Where its requests go; at least one has a weight above zero.
    pub backends: Vec<Backend>,
    /// Most upstreams that one request may run at, at least one.
    pub attempts: u32,
    /// Whether it needs no key.
    pub public: bool,
}

impl Route {
    /// The backend for a request; `point` is a hash that spreads requests over the shares.
    pub fn backend(&self, point: u64) -> &name::Service {
        let total: u64 = self.backends.iter().map(|b| u64::from(b.weight)).sum();
        let mut left = point % total.max(1);
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if left < weight {
                return &backend.service;
            }
            left -= weight;
        }
        &self.backends[0].service
    }
}

/// The workspace that a key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// The workspace.
    pub workspace: name::Workspace,
    /// Its rank, which goes before that of the route.
    pub priority: Option<u8>,
}

/// What is known of a service before any of its upstreams is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Connections that one upstream accepts from all routers together.
    pub connections: u32,
    /// Whether its upstreams are model engines, which batch requests and cache prompts.
    pub engine: bool,
}

/// Bounds of what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Longest time that a kept connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
