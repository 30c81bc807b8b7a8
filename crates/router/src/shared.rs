//! State shared by all serving threads of a router.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Instant;

use actix::Addr;
use slog::Logger;
use snipeusher::request::Id;
use snipeusher::time::Time;
use tokio::sync::watch;

use crate::attempt::Transport;
use crate::claims::Claimer;
use crate::configuration::Status;
use crate::count::Counts;
use crate::directory::Directory;
use crate::dispatch::Dispatcher;
use crate::gossip::Gossip;
use crate::metric::Metrics;
use crate::settings::Settings;

/// Shared state, passed by reference to the serving threads.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) dispatcher: Addr<Dispatcher>,
    pub(crate) claimer: Addr<Claimer>,
    /// Set once the listener is bound, because gossip announces its address.
    pub(crate) gossip: OnceLock<Addr<Gossip>>,
    /// `None` if the router runs without the key-value service.
    pub(crate) configuration: Option<watch::Receiver<Arc<Status>>>,
    pub(crate) directory: watch::Receiver<Arc<Directory>>,
    pub(crate) counts: Counts,
    pub(crate) metrics: Metrics,
    pub(crate) origin: Instant,
    pub(crate) transport: Transport,
    pub(crate) log: Logger,
    pub(crate) first_attempt: u64,
    pub(crate) next_id: AtomicU64,
    pub(crate) open_requests: AtomicUsize,
    /// Set at the start of the shutdown: the health check fails.
    pub(crate) leaving: AtomicBool,
    /// Set later in the shutdown: new requests are refused.
    pub(crate) closed: AtomicBool,
}

impl Shared {
    pub(crate) fn next_id(&self) -> Id {
        Id(self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Converts an instant to the time of the state machines.
    pub(crate) fn time(&self, instant: Instant) -> Time {
        Time::default() + instant.saturating_duration_since(self.origin)
    }
}

/// Counts a request as open until it is dropped; the shutdown waits for all open requests.
#[derive(Debug)]
pub(crate) struct OpenRequest(Arc<Shared>);

impl OpenRequest {
    /// Returns `None` if new requests are refused.
    pub(crate) fn try_new(shared: &Arc<Shared>) -> Option<Self> {
        // Increments the count before reading the flag: either the shutdown sees the count, or the
        // request sees the flag.
        shared.open_requests.fetch_add(1, Ordering::SeqCst);
        let open = Self(Arc::clone(shared));
        (!shared.closed.load(Ordering::SeqCst)).then_some(open)
    }
}

impl Clone for OpenRequest {
    fn clone(&self) -> Self {
        self.0.open_requests.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(&self.0))
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::SeqCst);
    }
}
