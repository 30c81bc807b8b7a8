//! Settings of the machine.

use crate::load::Work;
use crate::name;

/// Default of [`Settings::capacity`]: 64 requests of 4 k tokens.
const CAPACITY: Work = Work(256 << 10);

/// Settings of one router's decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The host that the router runs on.
    pub host: name::Host,
    /// Availability zone of the router; without it no zone is preferred.
    pub zone: Option<name::Zone>,
    /// Identifier of the first attempt. It must differ between runs of a process, so that a late
    /// answer to an earlier run can be recognised.
    pub first_attempt: u64,
    /// Capacity of an upstream until its reports show at which load it begins to queue.
    pub capacity: Work,
    /// Seed of the random generator for random placement candidates and backoff.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            host: name::Host::from("localhost"),
            zone: None,
            first_attempt: 0,
            capacity: CAPACITY,
            seed: 0,
        }
    }
}
