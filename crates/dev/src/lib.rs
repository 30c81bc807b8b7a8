//! Development tool: local fleet, trace replay, reports and measurements.

pub mod measure;
pub mod model;
pub mod replay;
pub mod report;
pub mod trace;
