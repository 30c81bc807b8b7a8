//! Stand-ins for the platform and for upstreams.

pub mod kv;
