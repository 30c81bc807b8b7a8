//! Stand-ins for the platform and for upstreams.

pub mod engine;
pub mod plain;
