//! A caller's request, with the properties that routing decisions need.

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

/// Identifies one attempt of a request at one upstream, within one router process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Attempt(pub u64);

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies a chat by a hash of the common part of its prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Chat(pub u64);

/// What a request must be served by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// Any engine that has the model variant loaded.
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

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Identifier, unique within the process.
    pub id: Id,
    /// The workspace that sent it.
    pub workspace: name::Workspace,
    /// Its class within the workspace.
    pub class: name::Class,
    /// The model variant or service that it is for.
    pub target: Target,
    /// The chat that it continues, if any; used as the placement key.
    pub chat: Option<Chat>,
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u64,
    /// Expected length of the answer in tokens.
    pub output_tokens: u64,
    /// Memory that it takes while queued, in bytes.
    pub bytes: u64,
    /// Time by which the answer must be complete.
    pub deadline: Time,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// Whether a request without a complete answer may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It did not run: no byte of it reached an upstream, or the upstream declined it.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The part of a workspace's policy that applies to a request, fixed when it arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Priority for the engine.
    pub priority: u8,
    /// Weight in fair queueing; at least one.
    pub weight: u32,
    /// Limit of its queue in requests.
    pub entries: u32,
    /// Limit of its queue in bytes.
    pub bytes: u64,
    /// Whether it bypasses the queues and starts at once.
    pub immediate: bool,
    /// Whether it stays queued past its deadline.
    pub never_dropped: bool,
    /// Highest load of an upstream as a multiple of the mean of its pool; above one.
    pub load_limit: f64,
    /// Retries as a fraction of requests, between zero and one.
    pub retry_ratio: f64,
}

impl Terms {
    /// The terms of a class, or those of the default class if the policy does not have the class.
    pub fn of(policy: &Policy, class: &name::Class) -> Self {
        let known = policy.classes.get(class);
        let class = known.or_else(|| policy.classes.get(&policy.default_class));
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

/// A request with the state of its processing.
#[derive(Clone, Debug, PartialEq)]
pub struct Task {
    /// The request.
    pub request: Request,
    /// The policy that applies to the request.
    pub terms: Terms,
    /// When the request arrived.
    pub arrived_at: Time,
    /// Number of attempts made.
    pub attempts: u32,
    /// Whether one of the attempts may have run.
    pub ran: Ran,
    /// The upstream of the last attempt, which a retry avoids.
    pub last_upstream: Option<name::Upstream>,
}

impl Task {
    /// The lane in which the request waits.
    pub fn lane(&self) -> Lane {
        Lane {
            workspace: self.request.workspace.clone(),
            class: self.request.class.clone(),
            target: self.request.target.clone(),
        }
    }
}
