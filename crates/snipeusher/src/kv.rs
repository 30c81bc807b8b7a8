//! Typed calls of the platform's key-value service.
//!
//! State machines emit calls and handle the replies; the embedding process does the I/O.
//! The service follows the model of etcd v3: every change raises one revision of the whole store.

mod backoff;

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

pub use self::backoff::Backoff;

/// Number of times that the store was restored from a copy.
///
/// A store that comes back from an older copy gives out the same revisions again for other changes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A revision of the whole store; in conditions, zero means that the key does not exist.
///
/// Revisions are ordered by their era first. One of era zero is written as its number alone, as it
/// was before there were eras.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "RevisionForm", into = "RevisionForm")]
pub struct Revision {
    /// Era in which the store gave out the number.
    pub era: Era,
    /// Number within the era.
    pub number: u64,
}

impl Revision {
    /// A revision of a store that was never restored.
    pub const fn new(number: u64) -> Self {
        Self {
            era: Era(0),
            number,
        }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era == Era::default() {
            write!(f, "{}", self.number)
        } else {
            write!(f, "{}/{}", self.era, self.number)
        }
    }
}

/// Serialized form of a [`Revision`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(untagged)]
enum RevisionForm {
    Number(u64),
    WithEra(Era, u64),
}

impl From<RevisionForm> for Revision {
    fn from(form: RevisionForm) -> Self {
        match form {
            RevisionForm::Number(number) => Self::new(number),
            RevisionForm::WithEra(era, number) => Self { era, number },
        }
    }
}

impl From<Revision> for RevisionForm {
    fn from(revision: Revision) -> Self {
        if revision.era == Era::default() {
            Self::Number(revision.number)
        } else {
            Self::WithEra(revision.era, revision.number)
        }
    }
}

/// Id of a lease in the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Lease(pub i64);

/// Id that matches a reply to its call within one state machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallId(pub u64);

impl CallId {
    /// Increments the id and returns it.
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
    /// Revision that last changed the key.
    pub modified: Revision,
    /// Lease that the key is bound to.
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
    /// Conditions, all of which must hold.
    pub compare: Vec<Compare>,
    /// Operations to run if all conditions hold.
    pub success: Vec<Op>,
    /// Operations to run otherwise.
    pub failure: Vec<Op>,
}

/// A call of the service; each counts against the service's rate limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// Reads the keys of a range.
    Range(Range),
    /// Reads only the keys that were changed after a revision.
    Changed {
        /// The keys to read.
        range: Range,
        /// The highest revision that the caller already knows.
        after: Revision,
    },
    /// Runs a transaction.
    Txn(Txn),
    /// Creates a lease with a time to live in seconds.
    Grant {
        /// Seconds until the lease expires without a keep-alive.
        ttl_s: u64,
    },
    /// Renews a lease.
    KeepAlive(Lease),
    /// Revokes a lease and deletes its keys.
    Revoke(Lease),
}

/// The result of one operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Output {
    /// Result of [`Op::Put`] and [`Op::Delete`].
    Written,
    /// Result of [`Op::Range`]: the entries in key order.
    Found(Vec<Entry>),
    /// Result of [`Op::Txn`].
    Txn {
        /// Whether its conditions held.
        succeeded: bool,
        /// The result of each of its operations, in order.
        results: Vec<Output>,
    },
}

impl Output {
    /// Entries that a range read found; empty for other operations.
    pub fn found(&self) -> &[Entry] {
        match self {
            Self::Found(entries) => entries,
            Self::Written | Self::Txn { .. } => &[],
        }
    }
}

/// A reply of the service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// Reply to [`Call::Range`] and [`Call::Changed`].
    Range {
        /// Revision of the store at the read.
        revision: Revision,
        /// The entries found, in key order.
        entries: Vec<Entry>,
    },
    /// Reply to [`Call::Txn`].
    Txn {
        /// Revision of the store after the transaction.
        revision: Revision,
        /// Whether the conditions held.
        succeeded: bool,
        /// The result of each operation, in order.
        results: Vec<Output>,
    },
    /// Reply to [`Call::Grant`].
    Grant {
        /// The new lease.
        lease: Lease,
        /// Time to live of the lease in seconds.
        ttl_s: u64,
    },
    /// Reply to [`Call::KeepAlive`]; zero seconds if the lease has expired.
    KeepAlive {
        /// Remaining time to live in seconds.
        ttl_s: u64,
    },
    /// Reply to [`Call::Revoke`].
    Revoke,
}

/// Why a call has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The call was not sent and had no effect.
    NotSent,
    /// The call was sent, but its reply was lost; it may have taken effect.
    Lost,
    /// The service rejected the call without effect, for example because a lease does not exist.
    Refused,
    /// The service was restored from a copy, so that revisions known before do not continue.
    Restored,
}

/// What a watch call that the service held open returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchReply {
    /// Changes, which ended the call.
    Changes,
    /// Nothing until its time was over.
    Nothing,
}
