//! Upstreams and availability zones that a router cannot reach, as reported to its peers.
//!
//! In a large fleet each router sends few requests to any one upstream. If each router had to lose
//! requests of its own before it avoids an upstream, the losses would grow with the number of
//! routers. A router therefore reports what it cannot reach to the peers of its zone, which verify
//! the report by a connection attempt. See `docs/platform.md#health`.

use serde::Deserialize;
use serde::Serialize;

use crate::name;

/// What a router cannot reach.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outage {
    /// Availability zones of which two upstreams in a row were lost.
    pub zones: Vec<name::Zone>,
    /// Upstreams to which no connection could be opened.
    pub upstreams: Vec<name::Upstream>,
}

impl Outage {
    /// Whether it names nothing.
    pub const fn is_empty(&self) -> bool {
        self.zones.is_empty() && self.upstreams.is_empty()
    }
}
