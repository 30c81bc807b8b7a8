//! Fake model engine with streamed and unstreamed responses, a bounded prefix cache, resume and
//! cancel.
//!
//! A response depends on the prompt alone, so that a test can check whether it belongs to its
//! request and whether a resumed response is complete.

pub mod cache;
pub mod fault;
pub mod text;

mod serve;
mod stream;
mod work;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use actix_web::dev::ServerHandle;
use snipeusher::name;
use snipeusher::request::Variant;
use snipeusher::upstream::Phase;

pub use crate::engine::cache::Cache;
pub use crate::engine::fault::Fault;

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name that the status reports.
    pub name: name::Upstream,
    /// Incarnation that the status reports.
    pub incarnation: name::Incarnation,
    /// Loaded variants.
    pub variants: Vec<Variant>,
    /// Size of the prefix cache in blocks of [`text::BLOCK_TOKENS`] tokens.
    pub cache_blocks: usize,
    /// Time to prefill one uncached prompt token.
    pub prefill_token: Duration,
    /// Time to produce one output token.
    pub output_token: Duration,
    /// Age of the load that the status reports.
    pub report_lag: Duration,
    /// Whether orders with an old fencing token are rejected.
    pub checks_fencing: bool,
    /// TLS settings of the listener; plain HTTP if `None`.
    pub tls: Option<rustls::ServerConfig>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "engine".into(),
            incarnation: name::Incarnation(1),
            variants: vec![Variant {
                model: "quill-llm".into(),
                adapter: None,
                version: "v1".into(),
            }],
            cache_blocks: 4_096,
            prefill_token: Duration::ZERO,
            output_token: Duration::ZERO,
            report_lag: Duration::ZERO,
            checks_fencing: true,
            tls: None,
        }
    }
}

/// Counters since the engine started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests started, resumes included.
    pub started: u64,
    /// Requests whose last event or byte was handed to the socket.
    pub finished: u64,
    /// Attempts cancelled through the cancel call.
    pub cancelled: u64,
    /// Streams resumed.
    pub resumed: u64,
    /// Largest number of requests that ran at the same time.
    pub max_running: u32,
}

/// Request headers that the engine received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Attempt id.
    pub attempt: String,
    /// Chat id.
    pub chat: String,
    /// Priority.
    pub priority: u8,
    /// Milliseconds until the deadline.
    pub deadline_ms: u64,
}

/// Execution of one request.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) reply: Arc<stream::Reply>,
    pub(crate) cancelled: bool,
    pub(crate) work: u64,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) options: Options,
    pub(crate) phase: Phase,
    pub(crate) cache: Cache,
    pub(crate) faults: Vec<Fault>,
    pub(crate) counts: Counts,
    pub(crate) runs: BTreeMap<String, Run>,
    pub(crate) running: u32,
    pub(crate) reports: work::Reports,
    pub(crate) fencing: u64,
    pub(crate) calls: Vec<Call>,
}

/// A running fake engine.
#[derive(Debug)]
pub struct Engine {
    address: SocketAddr,
    state: Shared,
    server: ServerHandle,
}

/// State of an engine, shared by its connections.
#[derive(Clone, Debug)]
pub(crate) struct Shared(Arc<Mutex<State>>);

impl Shared {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Engine {
    /// Starts an engine on a loopback port that the system picks.
    pub fn bind(options: Options) -> io::Result<Self> {
        Self::bind_to(options, SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Starts an engine on a given address, such as that of a killed engine.
    pub fn bind_to(options: Options, address: SocketAddr) -> io::Result<Self> {
        let state = State {
            phase: Phase::Live,
            cache: Cache::new(options.cache_blocks),
            faults: Vec::new(),
            counts: Counts::default(),
            runs: BTreeMap::new(),
            running: 0,
            reports: work::Reports::default(),
            fencing: 0,
            calls: Vec::new(),
            options,
        };
        let state = Shared(Arc::new(Mutex::new(state)));
        let (address, server) = serve::bind(state.clone(), address)?;
        Ok(Self {
            address,
            state,
            server,
        })
    }

    /// Address that the engine listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Adds a fault. It applies to the next request only, unless [`Fault::is_persistent`].
    pub fn inject(&self, fault: Fault) {
        self.state.lock().faults.push(fault);
    }

    /// Removes all faults.
    pub fn clear_faults(&self) {
        self.state.lock().faults.clear();
    }

    /// Sets the phase that the status reports.
    pub fn set_phase(&self, phase: Phase) {
        self.state.lock().phase = phase;
    }

    /// Counters since the engine started.
    pub fn counts(&self) -> Counts {
        self.state.lock().counts
    }

    /// Requests running now.
    pub fn running(&self) -> u32 {
        self.state.lock().running
    }

    /// The requests in the order of their arrival.
    pub fn calls(&self) -> Vec<Call> {
        self.state.lock().calls.clone()
    }

    /// Stops after the requests in flight have ended.
    pub async fn stop(&self) {
        self.server.stop(true).await;
    }

    /// Stops immediately and closes all open connections.
    pub async fn kill(&self) {
        self.state.lock().faults.push(Fault::Dead);
        self.server.stop(false).await;
    }
}
