//! Client of the platform's key-value service.
//!
//! The control loops use the trait [`Store`], which tests implement with a fake.

mod gateway;
mod message;
mod watch;

use std::time::Duration;

use futures_util::Stream;
use snipeusher::kv::Call;
use snipeusher::kv::Entry;
use snipeusher::kv::Fault;
use snipeusher::kv::Reply;
use snipeusher::kv::Revision;
use snipeusher::kv::WatchReply;

pub use self::gateway::Connector;
pub use self::gateway::Error;
pub use self::gateway::Gateway;
pub use self::gateway::Settings;

/// Changes of keys at one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Revision of the store after the changes.
    pub revision: Revision,
    /// Created and updated entries.
    pub entries: Vec<Entry>,
    /// Deleted keys.
    pub deleted: Vec<String>,
}

/// The key-value service.
pub trait Store {
    /// Sends one call. After [`Fault::Lost`], the call may or may not have taken effect.
    fn call(&self, call: Call) -> impl Future<Output = Result<Reply, Fault>>;

    /// Streams the changes under a prefix, starting at a revision, until the watch is lost.
    ///
    /// An open watch counts as one concurrent call. A service whose watch is a series of calls, each
    /// held open for a limited time, calls `hold` with the longest such time after each call; the next
    /// call is held open for the result.
    fn watch(
        &self,
        prefix: &str,
        from: Revision,
        hold: impl Fn(WatchReply, Duration) -> Duration,
    ) -> impl Stream<Item = Result<Change, Fault>>;
}
