//! Fakes of the platform services and of upstreams, for tests.

pub mod address;
pub mod engine;
pub mod hosts;
pub mod kv;
pub mod plain;
