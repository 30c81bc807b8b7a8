//! Upstreams as the fleet knows them.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::name;
use crate::request::Target;
use crate::request::Variant;

/// Where an upstream stands between joining and being gone.
///
/// Within one incarnation it only moves forward, see `docs/design.md#leaving`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Known, not yet ready for work.
    Joining,
    /// Ready for work.
    Live,
    /// Finishes what it has and takes no new work.
    Leaving,
    /// No longer there.
    Gone,
}

/// What an upstream serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine with the variants that it has loaded.
    Engine(BTreeSet<Variant>),
    /// An instance of a plain service.
    Plain(name::Service),
}

/// All that is known of one upstream apart from its load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// Its name, unique in the fleet.
    pub name: name::Upstream,
    /// Socket address, `IP:port`.
    pub address: String,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Which run of the upstream this is.
    pub incarnation: name::Incarnation,
    /// Where it stands.
    pub phase: Phase,
    /// What it serves.
    pub kind: Kind,
}

impl State {
    /// Whether it may get new work for `target`.
    pub fn accepts(&self, target: &Target) -> bool {
        self.phase == Phase::Live && self.serves(target)
    }

    /// Whether it serves `target`, whatever its phase.
    pub fn serves(&self, target: &Target) -> bool {
        match (&self.kind, target) {
            (Kind::Engine(ready), Target::Model(variant)) => ready.contains(variant),
            (Kind::Plain(own), Target::Plain(wanted)) => own == wanted,
            _ => false,
        }
    }
}
