//! Ways to judge an engine's load from what one router knows.
//!
//! Reports lag and each router sees only its own part, so the estimate is made of three sources
//! with different ages. The ways differ in which of them they trust; see
//! `docs/design.md#load-and-its-bound`.

use std::fmt::Debug;

use super::Work;

/// What a router knows of one upstream's load at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Work of the last report, discounted by its age; zero without a report.
    pub reported: Work,
    /// Part of `reported` that is the router's own.
    pub own_reported: Work,
    /// Part of `reported` that peers had told by then.
    pub peers_reported: Work,
    /// The router's own work in flight now.
    pub own: Work,
    /// The peers' work in flight as they told it last.
    pub peers: Work,
    /// Routers that take part, this one included; at least one.
    pub routers: u32,
}

/// A way to judge an engine's load.
pub trait Strategy: Debug + Default {
    /// Whether a dispatch needs a slot from the router that admits for the upstream.
    const ADMISSION: bool = false;

    /// The work that the upstream is taken to have outstanding.
    fn estimate(&self, view: &View) -> Work;
}

/// Lagged reports plus the router's own work since.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reports;

impl Strategy for Reports {
    fn estimate(&self, view: &View) -> Work {
        let others = view.reported.0.saturating_sub(view.own_reported.0);
        Work(others.saturating_add(view.own.0))
    }
}

/// A fixed share of each engine's headroom for each router.
///
/// The router may use an equal part of what the report leaves below the bound. That is the same
/// as taking every other router to have added as much since the report as this one did.
#[derive(Clone, Copy, Debug, Default)]
pub struct Headroom;

impl Strategy for Headroom {
    fn estimate(&self, view: &View) -> Work {
        let since = view.own.0.saturating_sub(view.own_reported.0);
        let gone = view.own_reported.0.saturating_sub(view.own.0);
        let fleet = since.saturating_mul(u64::from(view.routers.max(1)));
        let base = view.reported.0.saturating_sub(gone);
        Work(base.saturating_add(fleet).max(view.own.0))
    }
}

/// Lagged reports, corrected by the router's own work and by what the peers told since.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peers;

impl Strategy for Peers {
    fn estimate(&self, view: &View) -> Work {
        let known = view.own_reported.0.saturating_add(view.peers_reported.0);
        let rest = view.reported.0.saturating_sub(known);
        let now = view.own.0.saturating_add(view.peers.0);
        Work(rest.saturating_add(now))
    }
}

/// Admission for each engine at one router of its zone, which grants slots.
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
