//! Development command: local fleet, trace replay, reports and measurements.

fn main() {}
