//! Configuration documents, replicated at every router and edited by operators.
//!
//! A document's version is the revision that the key-value service gave to its last change, and
//! sets are merged by highest revision, so that no order, source or repetition of documents
//! reverts one. A store that is restored from a backup must continue above the revisions that it
//! had given out before, or routers ignore what operators write next. See
//! `docs/design.md#configuration`.

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

/// Start of all keys that routers watch.
pub const WATCHED_PREFIX: &str = "fleet/";
/// Start of all keys of documents.
pub const PREFIX: &str = "fleet/config/";
/// Start of all keys of workspace bindings.
pub const WORKSPACES_PREFIX: &str = "fleet/config/workspace/";
/// Start of all keys of histories, which routers do not watch.
pub const HISTORY_PREFIX: &str = "history/";

/// What a router's set of documents contains, for comparison with others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Digest {
    /// The highest revision.
    pub highest: Revision,
    /// Hash of all names and revisions.
    pub hash: u64,
    /// Whether the router knows that nothing was missing when it last compared.
    pub ready: bool,
}

/// The documents that were last changed after one revision and up to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Span {
    /// Documents at this revision are left out.
    pub above: Revision,
    /// Documents at this revision are in.
    pub upto: Revision,
    /// Hash of the names and revisions that the sender has in the span.
    pub hash: u64,
}

/// What routers with different digests send to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Exchange {
    /// The sender wants the documents of a span, unless the receiver has the same.
    #[serde(rename = "ask")]
    Request(Span),
    /// Answer to [`Exchange::Request`] where the span is large: its parts, to be asked for one by one.
    Parts(Vec<Span>),
    /// Documents, in order of their revisions.
    Documents(Vec<Document>),
}

/// What a replica reacts to.
#[derive(Clone, Debug)]
pub enum Event {
    /// A call ended.
    Reply {
        /// Which.
        id: CallId,
        /// How.
        result: Result<Reply, Fault>,
    },
    /// The watch of [`WATCHED_PREFIX`] shows a change.
    Changed {
        /// The store's revision after it.
        revision: Revision,
        /// Keys written.
        entries: Vec<Entry>,
        /// Keys deleted.
        deleted: Vec<String>,
    },
    /// The watch ended.
    WatchLost,
    /// A peer told its digest.
    Digest(name::Host, Digest),
    /// A peer sent part of an exchange.
    Exchange(name::Host, Exchange),
    /// Time passed.
    Tick,
}

/// What the embedding process must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a call.
    Call {
        /// Matches the reply.
        id: CallId,
        /// The call.
        call: Call,
    },
    /// Watch [`WATCHED_PREFIX`] from a revision on, in place of any earlier watch.
    Watch {
        /// The first revision of interest.
        from: Revision,
    },
    /// Send part of an exchange to a peer.
    Exchange(name::Host, Exchange),
    /// A workspace's policy is in force.
    Apply {
        /// The policy.
        policy: Box<Policy>,
        /// The higher revision of its template and its binding.
        revision: Revision,
    },
    /// A workspace is gone.
    Remove(name::Workspace),
    /// A document cannot be used; what was in force before it stays so.
    Problem {
        /// The document.
        document: String,
        /// What is wrong.
        text: String,
    },
    /// The set is complete as far as the service or a ready peer knows.
    Ready,
}
