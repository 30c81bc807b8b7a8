//! Load of upstreams, counted in the work that they feel.
//!
//! See `docs/design.md#load-and-its-bound`.

mod history;
mod pool;
mod strategy;
mod table;
mod upstream;

pub use history::History;
pub use pool::Pool;
pub use strategy::Admission;
pub use strategy::Headroom;
pub use strategy::Peers;
pub use strategy::Reports;
pub use strategy::Strategy;
pub use strategy::View;
pub use table::Slot;
pub use table::Summary;
pub use table::Table;
pub use upstream::Reading;
pub use upstream::SLOW_START;
pub use upstream::Upstream;
pub use upstream::WORK_MAX;

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::name;
use crate::request::Request;

/// Work of one output token against one prompt token that must be prefilled.
///
/// Decoding is bound by memory bandwidth and takes several times the time of a prefill token.
pub const OUTPUT_TOKEN_WORK: u64 = 4;

/// Work in prompt-token equivalents: uncached prompt tokens plus weighted output tokens.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Work(pub u64);

impl Work {
    /// The work of a request of which `cached` prompt tokens need no prefill, from one to
    /// [`WORK_MAX`].
    ///
    /// Calls of plain services have no tokens and count as one each.
    pub const fn of(request: &Request, cached: u64) -> Self {
        let prefill = request.prompt_tokens.saturating_sub(cached);
        let output = request.output_tokens.saturating_mul(OUTPUT_TOKEN_WORK);
        match prefill.saturating_add(output) {
            0 => Self(1),
            work if work > WORK_MAX => Self(WORK_MAX),
            work => Self(work),
        }
    }

    /// The work left of a request after some output.
    pub const fn left(request: &Request, tokens: u64) -> Self {
        let left = request.output_tokens.saturating_sub(tokens);
        match left.saturating_mul(OUTPUT_TOKEN_WORK) {
            0 => Self(1),
            work if work > WORK_MAX => Self(WORK_MAX),
            work => Self(work),
        }
    }
}

/// An upstream's own word on its load, which arrives with a lag.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Which run of the upstream reports.
    pub incarnation: name::Incarnation,
    /// Counts reports of one run; a lower one than the last is out of order.
    pub sequence: u64,
    /// Work outstanding: queued and running.
    pub work: Work,
    /// Requests running.
    pub running: u32,
    /// Requests queued.
    pub queued: u32,
    /// Milliseconds between the reading and its arrival, as far as the reporter knows.
    pub age_ms: u32,
}

/// Work that one router has in flight at upstreams, as it tells its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Work in flight for each upstream.
    pub in_flight: BTreeMap<name::Upstream, Work>,
    /// Work in flight for each workspace, over all upstreams.
    #[serde(default)]
    pub running: BTreeMap<name::Workspace, Work>,
    /// Work that waits in the queues of each workspace.
    #[serde(default)]
    pub waiting: BTreeMap<name::Workspace, Work>,
}
