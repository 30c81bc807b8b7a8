//! A workspace's policy, compiled from a template and the workspace's parameters.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;
use subtle::ConstantTimeEq as _;

use crate::name;

/// SHA-256 digest of a bearer key; the key itself is never stored.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(#[serde(with = "hex::serde")] [u8; 32]);

impl Digest {
    /// Computes the digest of a bearer key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Compares in constant time, so that timing reveals nothing about the stored digest.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(redacted)")
    }
}

/// A model that a workspace may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Versions that may serve it; the first is the default.
    pub versions: Vec<name::Version>,
    /// Adapters that requests may select.
    #[serde(default)]
    pub adapters: Vec<name::Adapter>,
}

/// Settings of a class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Class {
    /// Priority passed to engines; a higher number goes first.
    pub priority: u8,
    /// Longest time from arrival to the end of the answer, in milliseconds.
    pub deadline_ms: u64,
    /// Weight relative to other classes and workspaces.
    pub weight: u32,
    /// Limit of its queue at each router, in requests.
    pub queue_entries: u32,
    /// Limit of its queue at each router, in bytes.
    pub queue_bytes: u64,
    /// Whether its requests bypass the queues and start at once.
    pub immediate: bool,
    /// Whether a queued request is kept past its deadline until it starts, such as a long review.
    pub never_dropped: bool,
    /// Whether its requests may run more than once.
    pub idempotent: bool,
    /// Longest answer in tokens, if the request sets no limit.
    pub output_tokens: u64,
}

impl Default for Class {
    fn default() -> Self {
        Self {
            priority: 4,
            deadline_ms: 60_000,
            weight: 10,
            queue_entries: 256,
            queue_bytes: 16 << 20,
            immediate: false,
            never_dropped: false,
            idempotent: true,
            output_tokens: 512,
        }
    }
}

/// Route and request settings of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Path prefix that callers use for it, such as `/match`.
    pub path: String,
    /// Class of its requests.
    pub class: name::Class,
    /// HTTP methods whose requests may run more than once.
    #[serde(default)]
    pub idempotent_methods: Vec<String>,
    /// Whether the upstream itself rejects a request with an `Idempotency-Key` that it has seen.
    #[serde(default)]
    pub upstream_checks_key: bool,
}

/// Limits for the requests of a workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Highest load of an engine as a multiple of the mean of its pool; above 1.
    pub load_limit: f64,
    /// Largest request body in bytes.
    pub body_bytes: u64,
    /// Retries as a fraction of requests.
    pub retry_ratio: f64,
    /// Highest number of upstreams of a pool that orders may take out of service at once.
    pub max_unavailable: u32,
}

/// Highest usable [`Limits::load_limit`]; a higher value would not limit anything in practice.
const LOAD_LIMIT_MAX: f64 = 16.0;

impl Limits {
    /// The load limit, or the default if it is not a number above one.
    pub fn usable_load_limit(&self) -> f64 {
        if self.load_limit.is_finite() && self.load_limit > 1.0 {
            self.load_limit.min(LOAD_LIMIT_MAX)
        } else {
            Self::default().load_limit
        }
    }

    /// The retry ratio between zero and one, or the default if it is not a number.
    pub fn usable_retry_ratio(&self) -> f64 {
        if self.retry_ratio.is_nan() {
            Self::default().retry_ratio
        } else {
            self.retry_ratio.clamp(0.0, 1.0)
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            load_limit: 1.25,
            body_bytes: 1 << 20,
            retry_ratio: 0.1,
            max_unavailable: 1,
        }
    }
}

/// Everything that a router needs to handle a workspace's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// The workspace.
    pub workspace: name::Workspace,
    /// Digests of the workspace's bearer keys.
    pub keys: Vec<Digest>,
    /// Models that the workspace may use.
    pub models: BTreeMap<name::Model, Model>,
    /// Classes of requests.
    pub classes: BTreeMap<name::Class, Class>,
    /// Class of a request that does not specify one.
    pub default_class: name::Class,
    /// Plain services that the workspace may use.
    pub services: BTreeMap<name::Service, Service>,
    /// Limits for the workspace's requests.
    pub limits: Limits,
}
