//! Configuration documents, replicated to every router and edited by operators.
//!
//! A document's version is the key-value store's revision of its last change. Replicas merge
//! documents by highest revision, so late, reordered or duplicate documents never revert a newer
//! one. A store restored from a backup must continue above every revision it issued before, or
//! routers ignore later edits. See `docs/design.md#configuration`.

mod document;
mod edit;
mod plan;
mod replica;
mod set;
mod snapshot;

use serde::Deserialize;
use serde::Serialize;

pub use self::document::Commit;
pub use self::document::Document;
pub use self::document::EditId;
pub use self::document::History;
pub use self::document::Name;
pub use self::document::Record;
pub use self::document::Version;
pub use self::edit::Edit;
pub use self::edit::Outcome;
pub use self::edit::Step;
pub use self::plan::Author;
pub use self::plan::Change;
pub use self::plan::Refusal;
pub use self::replica::Replica;
pub use self::snapshot::Snapshot;
use crate::kv::Call;
use crate::kv::CallId;
use crate::kv::Entry;
use crate::kv::Fault;
use crate::kv::Reply;
use crate::kv::Revision;
use crate::name;
use crate::policy::Policy;

/// Key prefix that routers watch.
pub const WATCHED_PREFIX: &str = "fleet/";
/// Key prefix of documents.
pub const PREFIX: &str = "fleet/config/";
/// Key prefix of workspace bindings.
pub const WORKSPACES_PREFIX: &str = "fleet/config/workspace/";
/// Key prefix of document histories, which routers do not watch.
pub const HISTORY_PREFIX: &str = "history/";

/// Summary of a router's documents, which peers compare with their own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Digest {
    /// The highest revision of a document.
    pub highest: Revision,
    /// Hash of all document names and revisions.
    pub hash: u64,
    /// Whether the documents were ever complete, as confirmed by the store or a ready peer.
    pub ready: bool,
}

/// A range of documents by the revision of their last change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Span {
    /// Lower end, exclusive.
    pub above: Revision,
    /// Upper end, inclusive.
    pub upto: Revision,
    /// Hash of the names and revisions of the sender's documents in the span.
    pub hash: u64,
}

/// A message between routers whose digests differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Exchange {
    /// Requests the documents of a span; not answered if the hashes are equal.
    #[serde(rename = "ask")]
    Request(Span),
    /// Answer to [`Exchange::Request`] for a large span: smaller spans to request one by one.
    Parts(Vec<Span>),
    /// Documents, ordered by revision.
    Documents(Vec<Document>),
}

/// An input of a replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// A call to the store completed or failed.
    Reply {
        /// The call's identifier.
        id: CallId,
        /// Its reply or fault.
        result: Result<Reply, Fault>,
    },
    /// The watch of [`WATCHED_PREFIX`] delivered a change.
    Changed {
        /// The store's revision after the change.
        revision: Revision,
        /// Keys written.
        entries: Vec<Entry>,
        /// Keys deleted.
        deleted: Vec<String>,
    },
    /// The watch ended.
    WatchLost,
    /// A peer sent its digest.
    Digest(name::Host, Digest),
    /// A peer sent an exchange message.
    Exchange(name::Host, Exchange),
    /// Time passed.
    Tick,
}

/// An effect that the embedding process must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a call to the store.
    Call {
        /// Identifies the call in [`Event::Reply`].
        id: CallId,
        /// The call.
        call: Call,
    },
    /// Watch [`WATCHED_PREFIX`] from a revision on and end any earlier watch.
    Watch {
        /// The first revision to deliver.
        from: Revision,
    },
    /// Send an exchange message to a peer.
    Exchange(name::Host, Exchange),
    /// Put a workspace's policy in force.
    Apply {
        /// The policy.
        policy: Box<Policy>,
        /// The higher of the revisions of its template and its binding.
        revision: Revision,
    },
    /// Remove the policy of a deleted workspace.
    Remove(name::Workspace),
    /// Report a document that cannot be used; the previous policy stays in force.
    Problem {
        /// Path of the document.
        document: String,
        /// What is wrong.
        text: String,
    },
    /// Report that the documents are complete, as confirmed by the store or a ready peer.
    Ready,
}
