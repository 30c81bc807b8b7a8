//! Membership state of upstreams.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::name;
use crate::request::Target;
use crate::request::Variant;

/// Phase of an upstream's life cycle.
///
/// Within one incarnation it only moves forward, see `docs/design.md#leaving`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Known but not ready for work.
    Joining,
    /// Ready for work.
    Live,
    /// Finishes the requests that it has and accepts no new ones.
    Leaving,
    /// Removed from the fleet.
    Gone,
}

/// What an upstream serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine, with the variants that it has loaded.
    Engine(BTreeSet<Variant>),
    /// An instance of a plain service.
    Plain(name::Service),
}

/// The state of one upstream, apart from its load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// Name, unique in the fleet.
    pub name: name::Upstream,
    /// Socket address as `IP:port`.
    pub address: String,
    /// Availability zone.
    pub zone: name::Zone,
    /// Incarnation; it grows with each restart of the upstream.
    pub incarnation: name::Incarnation,
    /// Phase of its life cycle.
    pub phase: Phase,
    /// What the upstream serves.
    pub kind: Kind,
}

impl State {
    /// Returns whether it accepts new work for `target`.
    pub fn accepts(&self, target: &Target) -> bool {
        self.phase == Phase::Live && self.serves(target)
    }

    /// Returns whether it serves `target`, regardless of its phase.
    pub fn serves(&self, target: &Target) -> bool {
        match (&self.kind, target) {
            (Kind::Engine(loaded), Target::Model(variant)) => loaded.contains(variant),
            (Kind::Plain(served), Target::Plain(service)) => served == service,
            _ => false,
        }
    }
}
