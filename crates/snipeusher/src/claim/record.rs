//! The value stored for a claimed key.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

use super::ANSWER_BYTES_MAX;
use super::Answer;
use super::Fingerprint;
use super::Outcome;
use crate::name;

/// Key prefix of claims, which routers do not watch.
const PREFIX: &str = "claims/";

/// Identifies a claim by the process that made it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claimer {
    /// Host of the process.
    pub host: name::Host,
    /// Incarnation of the process.
    pub incarnation: name::Incarnation,
    /// Number of the claim within the incarnation.
    pub attempt: u64,
}

/// The stage of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The claimer may run the request at any time.
    Claimed,
    /// The claimer did not run the request and never will; the key may be claimed again.
    Released,
    /// The request may have run; its outcome is unknown.
    Unknown,
    /// The request ran and has a response.
    Answered(Answer),
}

impl Stage {
    /// The stage that records an outcome, without a body larger than [`ANSWER_BYTES_MAX`].
    pub(super) fn of(outcome: Outcome) -> Self {
        match outcome {
            Outcome::NotRun => Self::Released,
            Outcome::Unknown => Self::Unknown,
            Outcome::Answered(mut answer) => {
                answer.body = answer.body.filter(|body| body.len() <= ANSWER_BYTES_MAX);
                Self::Answered(answer)
            }
        }
    }
}

/// The stored value of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The latest claim of the key.
    pub claimer: Claimer,
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// The stage of the claim.
    pub stage: Stage,
}

impl Record {
    /// Encodes the value for the store.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).unwrap_or_default()
    }

    /// Decodes a value of the store; `None` if it is not valid.
    pub fn decode(value: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(value).ok()
    }
}

/// The store's key for an idempotency key, hashed since that may contain any character.
pub(super) fn storage_key(workspace: &name::Workspace, key: &str) -> String {
    format!("{PREFIX}{workspace}/{}", hex::encode(Sha256::digest(key)))
}
