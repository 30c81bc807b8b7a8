//! At-most-once claims for `Idempotency-Key`.
//!
//! A key chosen by the caller is claimed in the key-value store before its request runs. A key
//! issued by a router process is only accepted by that process. See `docs/design.md#at-most-once`.

mod claims;
mod issued;
mod outcomes;
mod record;
mod transaction;

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

pub use self::claims::Claims;
pub use self::issued::Issued;
pub use self::record::Claimer;
pub use self::record::Record;
pub use self::record::Stage;
use crate::kv::Call;
use crate::kv::CallId;
use crate::kv::Fault;
use crate::kv::Reply;
use crate::name;
use crate::request;
use crate::time::Time;

/// Longest `Idempotency-Key`.
pub const KEY_BYTES_MAX: usize = 255;
/// Largest response body that is stored with its claim.
pub const ANSWER_BYTES_MAX: usize = 4 << 10;

/// A hash of a request, to distinguish a retry from another request with the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(#[serde(with = "hex::serde")] [u8; 32]);

impl Fingerprint {
    /// Hashes the method, the path with its query, and the body.
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }
}

/// The response to a request that ran, kept for retries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// The body, or `None` if it was larger than [`ANSWER_BYTES_MAX`].
    pub body: Option<Arc<[u8]>>,
}

/// The outcome of a request with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No byte reached an upstream, or the upstream reported that it did not run the request; the
    /// key may be used again.
    NotRun,
    /// The request may have run, but there is no response.
    Unknown,
    /// The request ran and has a response.
    Answered(Answer),
}

/// The decision on a request with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Run the request; [`Event::End`] must follow.
    Run,
    /// Send the stored response without running the request.
    Answer(Answer),
    /// An earlier request with the key may have run; do not run this one.
    Unknown,
    /// An earlier request with the key is still running, here or at another router.
    Running,
    /// The key was used for a different request.
    Mismatch,
    /// The key is not allowed.
    Invalid(&'static str),
    /// Forward the request to the process that issued the key.
    Forward(name::Host),
    /// Reject the request as `not_run`, since the key cannot be claimed at present.
    Refused {
        /// How long the caller should wait before a retry.
        retry_after: Duration,
    },
}

/// An input of the claims.
#[derive(Clone, Debug)]
pub enum Event {
    /// A non-idempotent request with a key arrived.
    Arrive {
        /// The request.
        request: request::Id,
        /// The caller's workspace; each workspace has its own keys.
        workspace: name::Workspace,
        /// The `Idempotency-Key`.
        key: String,
        /// Hash of the request.
        fingerprint: Fingerprint,
        /// Latest time of a verdict.
        deadline: Time,
    },
    /// A request with [`Verdict::Run`] ended, or its caller disconnected before a verdict.
    End {
        /// The request.
        request: request::Id,
        /// Its outcome; [`Outcome::NotRun`] if it has no verdict.
        outcome: Outcome,
    },
    /// A call to the store completed or failed.
    Reply {
        /// The call's identifier.
        id: CallId,
        /// Its reply or fault.
        result: Result<Reply, Fault>,
    },
    /// A router is alive with this incarnation.
    PeerSeen(name::Host, name::Incarnation),
    /// A router was removed from the membership.
    PeerRemoved(name::Host),
    /// Time passed.
    Tick,
}

/// An effect that the embedding process must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a call to the store without delay.
    Call {
        /// Identifies the call in [`Event::Reply`].
        id: CallId,
        /// The call.
        call: Call,
    },
    /// Proceed with a request.
    Verdict {
        /// The request.
        request: request::Id,
        /// The decision.
        verdict: Verdict,
    },
}
