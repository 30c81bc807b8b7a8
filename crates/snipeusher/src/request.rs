//! A caller's request as the decisions see it.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::admission::Lane;
use crate::name;
use crate::policy::Policy;
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

/// What a workspace's policy says of a request, fixed as it arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Priority for the engine.
    pub priority: u8,
    /// Weight of its share, at least one.
    pub weight: u32,
    /// Bound of its queue in requests.
    pub entries: u32,
    /// Bound of its queue in bytes.
    pub bytes: u64,
    /// Whether it starts at once, past all queues.
    pub immediate: bool,
    /// Whether it stays queued past its deadline.
    pub never_dropped: bool,
    /// Highest load as a multiple of the mean, a number above one.
    pub load_limit: f64,
    /// Retries as a fraction of requests, from zero to one.
    pub retry_ratio: f64,
}

impl Terms {
    /// The terms of a class; those of the default class if the policy has no such class.
    pub fn of(policy: &Policy, class: &name::Class) -> Self {
        let named = policy.classes.get(class);
        let class = named.or_else(|| policy.classes.get(&policy.default_class));
        let class = class.cloned().unwrap_or_default();
        Self {
            priority: class.priority,
            weight: class.weight.max(1),
            entries: class.queue_entries,
            bytes: class.queue_bytes,
            immediate: class.immediate,
            never_dropped: class.never_dropped,
            load_limit: policy.limits.usable_load_limit(),
            retry_ratio: policy.limits.usable_retry_ratio(),
        }
    }
}

/// A request with what happened to it so far.
#[derive(Clone, Debug, PartialEq)]
pub struct Task {
    /// The request.
    pub request: Request,
    /// Its terms.
    pub terms: Terms,
    /// When it arrived.
    pub since: Time,
    /// Attempts made.
    pub tries: u32,
    /// Whether one of them may have run.
    pub ran: Ran,
    /// The upstream of the last attempt, which a retry avoids.
    pub last: Option<name::Upstream>,
}

impl Task {
    /// The lane that it waits in.
    pub fn lane(&self) -> Lane {
        Lane {
            workspace: self.request.workspace.clone(),
            class: self.request.class.clone(),
            target: self.request.target.clone(),
        }
    }
}
