//! Outcomes that a trace states.

use serde::Deserialize;
use serde::Serialize;
use snipeusher::name;

/// A figure of a replay that an outcome speaks of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Figure {
    /// Cached prompt tokens found, as a fraction of those that the chat's earlier turns left.
    CacheReuse,
    /// p99 over time of the highest load over the mean.
    SkewP99,
    /// Fraction of placements on an engine that was beyond the bound.
    Beyond,
    /// Fraction of samples with an engine beyond the bound plus one request's work.
    Excess,
    /// Requests whose answer came after their deadline.
    Late,
    /// Requests refused.
    Refused,
    /// Requests refused of which it is not known whether they ran.
    Unknown,
    /// Requests answered completely.
    Complete,
    /// p99 of the time from arrival until an engine begins with the request, in milliseconds.
    QueueP99Ms,
    /// p99 of the same over all workspaces without a surge, in milliseconds.
    OthersQueueP99Ms,
    /// Longest time from the acceptance of a configuration, or from when the router could be
    /// reached again, until it was in force, in milliseconds.
    ConfigMs,
    /// Operators' edits that were not applied.
    EditsFailed,
    /// Requests with a key that were answered as the first time.
    Repeated,
    /// Most routers that held one zone's lease after another.
    Holders,
    /// Bytes that a router spends on coordination and probes in a second.
    ControlBytes,
    /// Latest new work at a leaving upstream after its departure began, in milliseconds.
    LeaveMs,
}

/// What a figure is compared with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reference {
    /// Nothing; the limits are absolute.
    #[default]
    Absolute,
    /// The same figure of one router with full knowledge; the limits are factors.
    FullKnowledge,
    /// The same figure of the trace without its surge; the limits are factors.
    WithoutSurge,
}

/// An outcome that must hold.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    /// The figure.
    pub figure: Figure,
    /// Only for this workspace, where the figure is kept by workspace; else the worst of all.
    #[serde(default)]
    pub workspace: Option<name::Workspace>,
    /// Lowest value.
    #[serde(default)]
    pub at_least: Option<f64>,
    /// Highest value.
    #[serde(default)]
    pub at_most: Option<f64>,
    /// What it is compared with.
    #[serde(default)]
    pub versus: Reference,
}
