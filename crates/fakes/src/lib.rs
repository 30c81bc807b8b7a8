//! Stand-ins for the platform and for upstreams.

pub mod engine;
pub mod kv;
pub mod plain;
