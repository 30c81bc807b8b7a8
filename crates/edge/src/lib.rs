//! Forwarding of requests by routes: callers' connections, upstreams' connections, the store's
//! news and the exchange with peers.
//!
//! All decisions are those of the `snipeusher` library; this crate carries them out. What a
//! platform calls its headers and how it encodes its documents comes in through
//! [`dialect::Dialect`]. Everything runs on one thread. See `docs/platform.md`.

pub mod clock;
pub mod connection;
pub mod dialect;
mod events;
mod exchange;
mod headers;
mod in_flight;
pub mod lifecycle;
pub mod log;
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
pub mod watch;
