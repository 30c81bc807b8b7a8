//! A lease with a fencing token, which at most one router holds at a time.
//!
//! The holder stops acting a guard time before its lease could expire. Expiry is counted from when
//! the keep-alive was sent, so that a late reply or a pause never extends it. See
//! `docs/design.md#ownership`.

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

/// Why the settings of a lease are not valid.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The guard time is too long for the time to live.
    #[snafu(display("lease {key:?}: guard time {guard:?} must be below a third of {ttl_s} s"))]
    Guard {
        /// The key of the lease.
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
    /// Host of the process.
    pub host: name::Host,
    /// Incarnation of the process.
    pub incarnation: name::Incarnation,
}

/// Settings of a lease.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The key of the lease, such as `fleet/orders/bp-buda`.
    pub key: String,
    /// This process, written to the key while it holds the lease.
    pub owner: Owner,
    /// Time to live without a keep-alive, in seconds.
    pub ttl_s: u64,
    /// How long before expiry the holder stops acting, and how long a new holder waits before it
    /// sends orders to engines that ignore the fencing token.
    pub guard: Duration,
}

/// An input of a candidate.
#[derive(Clone, Debug)]
pub enum Event {
    /// A watch, or a read by the embedding process, returned the key at a revision of the store.
    Observed {
        /// The key's entry, or `None` if it does not exist.
        entry: Option<Entry>,
        /// The store's revision.
        revision: Revision,
    },
    /// A call to the store completed or failed.
    Reply {
        /// The call's identifier.
        id: CallId,
        /// Its reply or fault.
        result: Result<Reply, Fault>,
    },
    /// The process shuts down; the lease is revoked and not claimed again.
    Stop,
    /// Time passed.
    Tick,
}

/// An effect that the embedding process must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a call to the store without delay; the time of the event counts as its send time.
    Call {
        /// Identifies the call in [`Event::Reply`].
        id: CallId,
        /// The call.
        call: Call,
    },
    /// Start acting as the holder, with this fencing token.
    Acquired(Revision),
    /// Stop acting as the holder.
    Lapsed,
}
