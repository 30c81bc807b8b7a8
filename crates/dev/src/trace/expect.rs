//! Expected outcomes of a trace.

use serde::Deserialize;
use serde::Serialize;
use snipeusher::name;

/// A figure of a replay that an expected outcome limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Figure {
    /// Prompt tokens found cached, as a fraction of the tokens of the chat's earlier turns.
    CacheReuse,
    /// p99 over samples with enough load of the ratio of the highest to the mean load.
    SkewP99,
    /// Fraction of placements on an engine above the load bound.
    Beyond,
    /// Fraction of samples with an engine above the load bound plus its largest request.
    Excess,
    /// Requests completed after their deadline.
    Late,
    /// Refused requests.
    Refused,
    /// Refused requests that may have run.
    Unknown,
    /// Requests with a complete response.
    Complete,
    /// p99 of the time from arrival until an engine starts the request, in milliseconds.
    QueueP99Ms,
    /// p99 of the same time over all workspaces without a surge, in milliseconds.
    OthersQueueP99Ms,
    /// Maximum time in milliseconds from the acceptance of a configuration, or from when the router
    /// became reachable again, until the router applied it.
    ConfigMs,
    /// Number of operators' edits that were not applied.
    EditsFailed,
    /// Requests with an idempotency key that got the stored response of an earlier one.
    Repeated,
    /// Maximum number of successive lease holders in a zone.
    Holders,
    /// Bytes of control traffic and probes per router and second.
    ControlBytes,
    /// Maximum time from the start of an upstream's departure to a dispatch to it, in milliseconds.
    LeaveMs,
}

/// The reference that a figure is compared with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reference {
    /// None; the limits are absolute values.
    #[default]
    Absolute,
    /// The same figure of a single router with full knowledge; the limits are ratios.
    FullKnowledge,
    /// The same figure of the trace without its surge; the limits are ratios.
    WithoutSurge,
}

/// An expected outcome.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    /// The limited figure.
    pub figure: Figure,
    /// Restricts a figure that is kept by workspace to this one. By default counts are summed over
    /// all workspaces and times are the highest of any.
    #[serde(default)]
    pub workspace: Option<name::Workspace>,
    /// Minimum value.
    #[serde(default)]
    pub at_least: Option<f64>,
    /// Maximum value.
    #[serde(default)]
    pub at_most: Option<f64>,
    /// Reference of the comparison.
    #[serde(default, rename = "versus")]
    pub reference: Reference,
}
