//! Typed calls of the platform's key-value service.
//!
//! State machines emit these and take the replies; the embedding process carries them.
//! The service follows the model of etcd v3: every change raises one revision of the whole store.

mod backoff;

use serde::Deserialize;
use serde::Serialize;

pub use self::backoff::Backoff;

/// A revision of the whole store; zero stands for a key that does not exist.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// Identifies a lease in the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Lease(pub i64);

/// Matches the reply to a call of one state machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallId(pub u64);

impl CallId {
    /// The next identity, which becomes the current one.
    #[must_use]
    pub const fn advance(&mut self) -> Self {
        self.0 += 1;
        *self
    }
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value, at most one megabyte.
    pub value: Vec<u8>,
    /// Revision that created the key.
    pub created: Revision,
    /// Revision that changed it last.
    pub modified: Revision,
    /// The lease that it is bound to.
    pub lease: Option<Lease>,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Compare {
    /// The key was last changed at this revision; zero if it must not exist.
    Modified(String, Revision),
    /// The key was created at this revision; zero if it must not exist.
    Created(String, Revision),
    /// No key with this prefix was changed after this revision.
    ///
    /// It also fails for a key that did not exist at the revision, so that a check over a set of
    /// keys holds until the write.
    Unchanged(String, Revision),
}

/// One operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Op {
    /// Writes a key.
    Put {
        /// The key.
        key: String,
        /// Its value.
        value: Vec<u8>,
        /// The lease to bind it to.
        lease: Option<Lease>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        key: String,
    },
    /// Reads the keys of a range.
    Range(Range),
    /// A transaction within the transaction, which succeeds or fails on its own.
    Txn(Txn),
}

/// Keys with a common prefix, or one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Range {
    /// One key.
    Key(String),
    /// All keys that start with the text.
    Prefix(String),
}

/// Operations that take effect together if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Txn {
    /// All must hold.
    pub compare: Vec<Compare>,
    /// Done if they hold.
    pub success: Vec<Op>,
    /// Done if one does not.
    pub failure: Vec<Op>,
}

/// A call of the service; each counts against its rate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// Reads.
    Range(Range),
    /// Reads only the keys that were changed after a revision.
    Changed {
        /// The keys.
        range: Range,
        /// The highest revision that the caller already knows.
        after: Revision,
    },
    /// Compares, then reads or writes.
    Txn(Txn),
    /// Creates a lease with a time to live in seconds.
    Grant {
        /// Seconds until it lapses without a keep-alive.
        ttl_s: u64,
    },
    /// Renews a lease.
    KeepAlive(Lease),
    /// Ends a lease and deletes its keys.
    Revoke(Lease),
}

/// The result of one operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Output {
    /// Of [`Op::Put`] and [`Op::Delete`].
    Written,
    /// Of [`Op::Range`]: what was found, in key order.
    Found(Vec<Entry>),
    /// Of [`Op::Txn`].
    Txn {
        /// Whether its conditions held.
        succeeded: bool,
        /// The result of each of its operations, in order.
        results: Vec<Output>,
    },
}

impl Output {
    /// What a read found; empty for other operations.
    pub fn found(&self) -> &[Entry] {
        match self {
            Self::Found(entries) => entries,
            Self::Written | Self::Txn { .. } => &[],
        }
    }
}

/// The service's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// To [`Call::Range`] and [`Call::Changed`].
    Range {
        /// The store's revision at the read.
        revision: Revision,
        /// What was found, in key order.
        entries: Vec<Entry>,
    },
    /// To [`Call::Txn`].
    Txn {
        /// The store's revision after it.
        revision: Revision,
        /// Whether the conditions held.
        succeeded: bool,
        /// The result of each operation, in order.
        results: Vec<Output>,
    },
    /// To [`Call::Grant`].
    Grant {
        /// The new lease.
        lease: Lease,
        /// Its time to live in seconds.
        ttl_s: u64,
    },
    /// To [`Call::KeepAlive`]; zero seconds if the lease is gone.
    KeepAlive {
        /// Seconds left.
        ttl_s: u64,
    },
    /// To [`Call::Revoke`].
    Revoke,
}

/// Why a call gave no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The call never reached the service.
    NotSent,
    /// It was sent and may have taken effect.
    Lost,
    /// The service refused it without effect, such as a lease that does not exist.
    Refused,
}
