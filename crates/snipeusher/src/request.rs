//! A caller's request as the decisions see it.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::name;
use crate::time::Time;

/// Identifies a request within one router process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u64);

/// Identifies one try of a request at one upstream, within one router process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Attempt(pub u64);

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies a chat by a hash of what its prompts have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Chat(pub u64);

/// What must serve the request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// Any engine that holds the model, and the adapter and version where named.
    Model(Variant),
    /// Any upstream of a plain service.
    Plain(name::Service),
}

/// A model with its adapter and version, as engines load it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// The model.
    pub model: name::Model,
    /// The adapter, if any.
    pub adapter: Option<name::Adapter>,
    /// The version, resolved from the workspace's policy.
    pub version: name::Version,
}

/// A request that waits for a decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Its identity, unique within the process.
    pub id: Id,
    /// The workspace that sent it.
    pub workspace: name::Workspace,
    /// Its class within the workspace.
    pub class: name::Class,
    /// What must serve it.
    pub target: Target,
    /// The chat that it continues, if any; the key of placement.
    pub chat: Option<Chat>,
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u64,
    /// Expected length of the answer in tokens.
    pub output_tokens: u64,
    /// Bytes that it holds in memory while queued.
    pub bytes: u64,
    /// When the whole answer must have ended.
    pub deadline: Time,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// Whether a request that got no answer may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It ran nowhere: no byte reached an upstream, or the upstream said that it did not run.
    NotRun,
    /// It may have run.
    Unknown,
}
