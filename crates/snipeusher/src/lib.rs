//! Coordination of a fleet of routers in front of model engines and plain services.
//!
//! The crate uses no sockets, clocks or threads. Time and random numbers are arguments; state
//! machines accept events and return typed actions, so that the same inputs give the same outputs
//! on every machine. The design is described in `docs/design.md`.

pub mod admission;
pub mod archive;
pub mod board;
pub mod churn;
pub mod claim;
pub mod config;
pub mod fetch;
pub mod fleet;
pub mod hash;
pub mod idle;
pub mod kv;
pub mod lease;
pub mod load;
pub mod machine;
pub mod member;
pub mod name;
pub mod outlier;
pub mod placement;
pub mod poison;
pub mod policy;
pub mod prefix;
pub mod reader;
pub mod request;
pub mod retry;
pub mod route;
pub mod stream;
pub mod template;
pub mod time;
pub mod upstream;
pub mod wire;
