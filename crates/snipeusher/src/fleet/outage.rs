//! Upstreams and availability zones that a router cannot reach, and upstreams that told it that they
//! shut down, as reported to its peers.
//!
//! In a large fleet each router sends few requests to any one upstream. If each router had to lose
//! requests of its own before it avoids an upstream, the losses would grow with the number of
//! routers. A router therefore reports what it cannot reach to the peers of its zone, which verify
//! the report by a connection attempt. See `docs/platform.md#health`.

use serde::Deserialize;
use serde::Serialize;

use super::Leaving;
use crate::name;

/// What a router cannot reach, or must not use any more.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outage {
    /// Availability zones of which two upstreams in a row were lost.
    pub zones: Vec<name::Zone>,
    /// Upstreams to which no connection could be opened.
    pub upstreams: Vec<name::Upstream>,
    /// Upstreams that said that they shut down.
    pub leaving: Vec<Leaving>,
    /// Upstreams at whose address another one answers. Routers of earlier builds cannot read the
    /// field, so it is left out when empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub replaced: Vec<Leaving>,
}

impl Outage {
    /// Whether it names nothing.
    pub const fn is_empty(&self) -> bool {
        self.zones.is_empty()
            && self.upstreams.is_empty()
            && self.leaving.is_empty()
            && self.replaced.is_empty()
    }
}
