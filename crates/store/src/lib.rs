//! Client of the platform's key-value service.
//!
//! [`Store`] is the interface that the control loops use; tests put a fake in its place.

mod gateway;
mod message;
mod watch;

use futures_util::Stream;
use snipeusher::kv::Call;
use snipeusher::kv::Entry;
use snipeusher::kv::Fault;
use snipeusher::kv::Reply;
use snipeusher::kv::Revision;

pub use self::gateway::Connector;
pub use self::gateway::Error;
pub use self::gateway::Gateway;
pub use self::gateway::Settings;

/// Changes of keys that took effect together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The store's revision after them.
    pub revision: Revision,
    /// The keys written, with their new values.
    pub entries: Vec<Entry>,
    /// The keys deleted.
    pub deleted: Vec<String>,
}

/// The key-value service.
pub trait Store {
    /// Sends one call. [`Fault::Lost`] means that it may have taken effect.
    fn call(&self, call: Call) -> impl Future<Output = Result<Reply, Fault>>;

    /// Streams changes under a prefix from a revision on; it ends when the watch is lost.
    ///
    /// Counts as one call for as long as it waits.
    fn watch(&self, prefix: &str, from: Revision) -> impl Stream<Item = Result<Change, Fault>>;
}
