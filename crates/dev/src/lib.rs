//! Development command: local fleet, trace replay, reports and measurements.

pub mod replay;
pub mod trace;
