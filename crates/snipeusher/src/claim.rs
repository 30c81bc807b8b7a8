//! At-most-once claims for `Idempotency-Key`.
//!
//! A caller's own key is claimed in the key-value service before its request runs; a key that a
//! router process issued runs at that process only. See `docs/design.md#at-most-once`.

mod claims;
mod issued;
mod memory;
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

/// Longest key that a caller may send, in bytes.
pub const KEY_BYTES_MAX: usize = 255;
/// Largest body of an answer that is kept with its claim, in bytes.
pub const ANSWER_BYTES_MAX: usize = 4 << 10;

/// A hash of what the caller sent, to tell a repeat from another request under the same key.
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

/// The answer of a request that ran, kept for repeats.
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

/// How a request with a key ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No byte reached an upstream, or the upstream said that it did not run; the key may be
    /// used again.
    NotRun,
    /// It may have run and there is no answer.
    Unknown,
    /// It ran and was answered.
    Answered(Answer),
}

/// What to do with a request that came with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Run it; [`Event::End`] must follow.
    Run,
    /// Answer as the first time, without running it.
    Answer(Answer),
    /// The first request under the key may have run; this one is not run.
    Unknown,
    /// The first request under the key still runs, here or at another router.
    Running,
    /// The key was used for a different request.
    Mismatch,
    /// The key is not allowed.
    Invalid(&'static str),
    /// The process that issued the key runs it.
    Forward(name::Host),
    /// It is refused `not_run`, since the key cannot be claimed now.
    Refused {
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// What the claims react to.
#[derive(Clone, Debug)]
pub enum Event {
    /// A non-idempotent request came with a key.
    Arrive {
        /// The request.
        request: request::Id,
        /// Who sent it; keys of different workspaces are different.
        workspace: name::Workspace,
        /// The `Idempotency-Key`.
        key: String,
        /// Hash of the request.
        fingerprint: Fingerprint,
        /// Until when a verdict is of use.
        deadline: Time,
    },
    /// A request that got [`Verdict::Run`] ended, or its caller left before a verdict.
    End {
        /// The request.
        request: request::Id,
        /// How; [`Outcome::NotRun`] if it got no verdict.
        outcome: Outcome,
    },
    /// A call ended.
    Reply {
        /// Which.
        id: CallId,
        /// How.
        result: Result<Reply, Fault>,
    },
    /// A router was heard from, in this run of it.
    PeerSeen(name::Host, name::Incarnation),
    /// A router is gone.
    PeerRemoved(name::Host),
    /// Time passed.
    Tick,
}

/// What the embedding process must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a call without delay.
    Call {
        /// Matches the reply.
        id: CallId,
        /// The call.
        call: Call,
    },
    /// Go on with a request.
    Verdict {
        /// The request.
        request: request::Id,
        /// What to do.
        verdict: Verdict,
    },
}
