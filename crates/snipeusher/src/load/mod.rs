//! Load of upstreams, measured as the work that requests cause there.
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

/// Work of one output token, relative to the prefill of one prompt token.
///
/// Decoding is bound by memory bandwidth, so an output token takes several times as long as a
/// prefilled token.
pub const OUTPUT_TOKEN_WORK: u64 = 4;

/// Work in prompt-token equivalents: uncached prompt tokens plus weighted output tokens.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Work(pub u64);

impl Work {
    /// The work of a request, between one and [`WORK_MAX`]; `cached` prompt tokens need no
    /// prefill.
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

    /// The work that remains of a request after `tokens` of output.
    pub const fn remaining(request: &Request, tokens: u64) -> Self {
        let remaining = request.output_tokens.saturating_sub(tokens);
        match remaining.saturating_mul(OUTPUT_TOKEN_WORK) {
            0 => Self(1),
            work if work > WORK_MAX => Self(WORK_MAX),
            work => Self(work),
        }
    }
}

/// A load report of an upstream, which arrives with a lag.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The incarnation of the upstream that sent the report.
    pub incarnation: name::Incarnation,
    /// Sequence number within the incarnation; a report that does not exceed the last one is
    /// out of order.
    pub sequence: u64,
    /// Work outstanding, both queued and running.
    pub work: Work,
    /// Requests running.
    pub running: u32,
    /// Requests queued.
    pub queued: u32,
    /// Milliseconds from the reading of the load to the arrival of the report, as far as the
    /// sender knows.
    pub age_ms: u32,
}

/// Work that one router has in flight and queued, as announced to its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Work in flight for each upstream.
    pub in_flight: BTreeMap<name::Upstream, Work>,
    /// Work in flight for each workspace, over all upstreams.
    #[serde(default)]
    pub running: BTreeMap<name::Workspace, Work>,
    /// Work queued for each workspace.
    #[serde(default)]
    pub waiting: BTreeMap<name::Workspace, Work>,
}
