//! Routes: which service handles a caller's request, and under which rules.
//!
//! A [`Table`] is built once for each revision of the configuration and is immutable afterwards, so
//! that a request is handled under one revision from start to end. See
//! `docs/platform.md#configuration`.

mod homes;
mod table;

use std::sync::Arc;
use std::time::Duration;

use crate::name;

pub use self::homes::Homes;
pub use self::table::Builder;
pub use self::table::Error;
pub use self::table::Position;
pub use self::table::Table;

/// Whether requests may be retried, and whether the answer is streamed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A single answer; the request may run more than once.
    Idempotent,
    /// A single answer; the request must run at most once.
    NonIdempotent,
    /// A stream of events.
    Stream {
        /// Whether another upstream can continue the stream after the last event received.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request that may already have run can be retried.
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that a route sends requests to, with its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// The service.
    pub service: name::Service,
    /// Weight among the backends of the route; zero gets no requests.
    pub weight: u32,
}

/// Rules for the requests under one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route in logs and metrics.
    pub name: Arc<str>,
    /// Retry and streaming rules.
    pub kind: Kind,
    /// Time limit from the arrival of a request to the end of its answer.
    pub timeout: Duration,
    /// Latency objective: time to the answer, or to the first event of a stream.
    pub objective: Duration,
    /// Latency objective for the time between two events of a stream.
    pub max_event_gap: Option<Duration>,
    /// Priority of its requests; zero is the highest.
    pub priority: u8,
    /// Services that handle the requests; at least one has a weight above zero.
    pub backends: Vec<Backend>,
    /// Maximum number of upstreams that may run one request, at least one.
    pub attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Regions in which its requests may be handled.
    pub homes: Homes,
}

impl Route {
    /// Chooses the backend of a request by weight; `point` is a hash of the request.
    pub fn backend(&self, point: u64) -> &name::Service {
        let total: u64 = self
            .backends
            .iter()
            .map(|backend| u64::from(backend.weight))
            .sum();
        let mut remaining = point % total.max(1);
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if remaining < weight {
                return &backend.service;
            }
            remaining -= weight;
        }
        &self.backends[0].service
    }
}

/// Owner of an API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Workspace of the key.
    pub workspace: name::Workspace,
    /// Priority of its requests, which overrides that of the route.
    pub priority: Option<u8>,
    /// Regions in which its requests may be handled, on top of those of the route.
    pub homes: Homes,
}

/// What the upstreams of a service accept while they are warming up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// Requests a second that one upstream accepts from all routers together; above zero.
    pub per_s: f64,
    /// Time for which an upstream that has lost its warm state is cold.
    pub duration: Duration,
}

/// Configured properties of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Connections that one upstream accepts from all routers together.
    pub connections: u32,
    /// Whether its upstreams are model engines, which batch requests and cache prompts.
    pub engine: bool,
    /// Limit of its upstreams while they are warming up, if any.
    pub warmup: Option<Warmup>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head.
    pub head_bytes: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Time limit for receiving a request head, from its first byte.
    pub head_timeout: Duration,
    /// Time after which an idle keep-alive connection is closed.
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
