//! What a router's decisions need to know of the router itself.

use crate::load::Work;
use crate::name;

/// Default of [`Settings::capacity`]: 64 requests of 4 k tokens.
const CAPACITY: Work = Work(256 << 10);

/// Settings of the decisions of one router.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The host that the router runs on.
    pub host: name::Host,
    /// Its availability zone; without it no zone is preferred.
    pub zone: Option<name::Zone>,
    /// First attempt identity, which must differ between runs of a process so that a late
    /// answer to an earlier run is told apart.
    pub first_attempt: u64,
    /// Work that an upstream may hold before its reports show where it begins to queue.
    pub capacity: Work,
    /// Seed of the random generator for fallback candidates and backoff.
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
