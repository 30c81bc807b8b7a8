//! Forwarding of requests by routes: connections of callers and to upstreams, changes from the
//! store, and gossip with peers.
//!
//! The `snipeusher` library makes all decisions; this crate does the input and output. The names
//! of a platform's headers and the encoding of its documents are given by [`dialect::Platform`].
//! Everything runs on one thread. See `docs/platform.md`.

pub mod archive;
mod builds;
pub mod clock;
pub mod connection;
mod crash;
pub mod dialect;
pub mod discovery;
mod evacuation;
mod events;
mod exchange;
mod headers;
mod in_flight;
pub mod lifecycle;
pub mod log;
pub mod memory;
pub mod metrics;
pub mod node;
pub mod peer;
pub mod pool;
mod probe;
mod refusal;
pub mod responder;
pub mod server;
pub mod shared;
mod socket;
pub mod status;
mod task;
pub mod watch;
