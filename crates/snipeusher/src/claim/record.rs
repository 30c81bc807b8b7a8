//! What the key-value service holds for a claimed key.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

use super::ANSWER_BYTES_MAX;
use super::Answer;
use super::Fingerprint;
use super::Outcome;
use crate::name;

/// Start of all keys of claims; they lie outside the prefix that routers watch.
const PREFIX: &str = "claims/";

/// The attempt of a process that claimed a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claimer {
    /// Host of the process.
    pub host: name::Host,
    /// Run of the process.
    pub incarnation: name::Incarnation,
    /// Number of the claim within the run.
    pub attempt: u64,
}

/// Where a claim stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The claimer may run the request at any time.
    Claimed,
    /// The claimer did not run it and will not; the key may be claimed again.
    Released,
    /// It may have run.
    Unknown,
    /// It ran.
    Answered(Answer),
}

impl Stage {
    /// The stage that an outcome leads to; a body that is too large is left out.
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

/// The value of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Who claimed the key last.
    pub claimer: Claimer,
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// Where it stands.
    pub stage: Stage,
}

impl Record {
    /// The value in the service.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).unwrap_or_default()
    }

    /// Reads a value of the service.
    pub fn decode(value: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(value).ok()
    }
}

/// The service's key for a caller's key, which may hold any character.
pub(super) fn storage_key(workspace: &name::Workspace, key: &str) -> String {
    format!("{PREFIX}{workspace}/{}", hex::encode(Sha256::digest(key)))
}
