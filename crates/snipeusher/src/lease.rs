//! A lease with a fencing token, of which at most one router acts as the holder.
//!
//! The holder stops acting a guard time before its lease could expire, counted from before the
//! keep-alive was sent, so that a late reply or a pause never lengthens it. See
//! `docs/design.md#ownership-and-orders`.

mod candidate;

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

pub use self::candidate::Candidate;
use crate::kv::Call;
use crate::kv::CallId;
use crate::kv::Entry;
use crate::kv::Fault;
use crate::kv::Reply;
use crate::kv::Revision;
use crate::name;

/// Why settings of a lease cannot work.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The guard time leaves the holder no time to act.
    #[snafu(display("lease {key:?}: guard time {guard:?} must be below a third of {ttl_s} s"))]
    Guard {
        /// The key.
        key: String,
        /// The guard time.
        guard: Duration,
        /// Time to live in seconds.
        ttl_s: u64,
    },
}

/// The process that holds a lease; the value of its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// Its host.
    pub host: name::Host,
    /// Its run.
    pub incarnation: name::Incarnation,
}

/// What a lease is for and how long it lives.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The key, such as `fleet/orders/bp-buda`.
    pub key: String,
    /// This process.
    pub owner: Owner,
    /// Seconds until it expires without a keep-alive.
    pub ttl_s: u64,
    /// Time before expiry at which the holder stops acting, and which a new holder waits before
    /// it orders anything from engines that ignore the fencing token.
    pub guard: Duration,
}

/// What the holder reacts to.
#[derive(Clone, Debug)]
pub enum Event {
    /// The watch, or a read of its owner, shows the key at a revision of the store.
    Observed {
        /// The key, or `None` if it does not exist.
        entry: Option<Entry>,
        /// The store's revision.
        revision: Revision,
    },
    /// A call ended.
    Reply {
        /// Which.
        id: CallId,
        /// How.
        result: Result<Reply, Fault>,
    },
    /// The process shuts down; the lease is given up and not claimed again.
    Stop,
    /// Time passed.
    Tick,
}

/// What the embedding process must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a call without delay; its send time counts as the time of the event.
    Call {
        /// Matches the reply.
        id: CallId,
        /// The call.
        call: Call,
    },
    /// This process is the holder, with this fencing token.
    Acquired(Revision),
    /// It no longer acts as the holder.
    Lapsed,
}
