//! Stand-ins for the platform and for upstreams.

pub mod address;
pub mod engine;
pub mod hosts;
pub mod kv;
pub mod plain;
