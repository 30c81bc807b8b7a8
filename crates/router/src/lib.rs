//! The router: HTTP server, calls to upstreams and control loops.
//!
//! [`Router::bind`] starts a router within the running actix system and returns a handle. All
//! decisions are made by [`snipeusher::machine::Machine`], which one actor owns; see
//! [`dispatch`]. The control loops (configuration, claims and gossip) publish policies through
//! [`directory::Policies`] and changes of upstreams and peers through [`dispatch::Notify`]. Their
//! routes are in the module `serve`.

pub mod claims;
pub mod configuration;
pub mod directory;
pub mod dispatch;
pub mod documents;
pub mod gossip;
pub mod log;
pub mod problem;
pub mod settings;
pub mod tls;

mod alarm;
mod attempt;
mod call;
mod chat;
mod count;
mod events;
mod hosts;
mod latency;
mod metric;
mod plain;
mod poll;
mod relay;
mod router;
mod serve;
mod session;
mod shared;
mod stream;

pub use crate::router::Error;
pub use crate::router::Router;
pub use crate::router::check;
