//! Strategies to estimate an engine's load from what one router knows.
//!
//! Reports lag, and each router sees only its own part of the work. An estimate therefore
//! combines up to three sources of different age: the engine's report, the router's own work and
//! the work that peers report. The strategies differ in which of them they use; see
//! `docs/design.md#load-and-its-bound`.

use std::fmt::Debug;

use super::Work;

/// What a router knows of one upstream's load at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Work in the upstream's last report, discounted by its age; zero without a report.
    pub reported: Work,
    /// Part of `reported` that is the router's own.
    pub own_reported: Work,
    /// Part of `reported` that peers had announced when the upstream read its load.
    pub peers_reported: Work,
    /// The router's own work in flight now.
    pub own: Work,
    /// The peers' work in flight according to their last announcements.
    pub peers: Work,
    /// Number of routers whose work is known, including this one; at least one.
    pub routers: u32,
}

/// Estimates an engine's load.
pub trait Strategy: Debug + Default {
    /// Whether a dispatch needs a slot from the router that controls admission to the upstream.
    const ADMISSION: bool = false;

    /// The estimated work outstanding at the upstream.
    fn estimate(&self, view: &View) -> Work;
}

/// Uses lagged reports, corrected by the router's own work since.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reports;

impl Strategy for Reports {
    fn estimate(&self, view: &View) -> Work {
        let others = view.reported.0.saturating_sub(view.own_reported.0);
        Work(others.saturating_add(view.own.0))
    }
}

/// Gives each router a fixed share of each engine's headroom.
///
/// A router may use an equal part of the headroom that the report leaves below the bound. This
/// is the same as assuming that every other router added as much work since the report as this
/// one did.
#[derive(Clone, Copy, Debug, Default)]
pub struct Headroom;

impl Strategy for Headroom {
    fn estimate(&self, view: &View) -> Work {
        let added = view.own.0.saturating_sub(view.own_reported.0);
        let finished = view.own_reported.0.saturating_sub(view.own.0);
        let fleet_added = added.saturating_mul(u64::from(view.routers.max(1)));
        let base = view.reported.0.saturating_sub(finished);
        Work(base.saturating_add(fleet_added).max(view.own.0))
    }
}

/// Uses lagged reports, corrected by the router's own work and by the peers' announcements since.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peers;

impl Strategy for Peers {
    fn estimate(&self, view: &View) -> Work {
        let known = view.own_reported.0.saturating_add(view.peers_reported.0);
        let unattributed = view.reported.0.saturating_sub(known);
        let current = view.own.0.saturating_add(view.peers.0);
        Work(unattributed.saturating_add(current))
    }
}

/// One router of an engine's zone controls admission to the engine by granting slots.
///
/// The estimate is that of [`Peers`], which is also the fallback when that router does not
/// answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Admission;

impl Strategy for Admission {
    const ADMISSION: bool = true;

    fn estimate(&self, view: &View) -> Work {
        Peers.estimate(view)
    }
}
