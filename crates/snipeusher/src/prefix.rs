//! Knowledge of which engines hold the prompt prefix of a chat.
//!
//! It comes from the router's own answers and from cache events that are late and have gaps, so
//! placement never depends on it. See `docs/design.md#placement`.

use serde::Deserialize;
use serde::Serialize;

use crate::name;
use crate::request::Chat;

/// One change of an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The prefix of the chat is cached up to this many tokens.
    Stored {
        /// The chat.
        chat: Chat,
        /// Tokens of its prefix.
        tokens: u64,
    },
    /// The prefix of the chat is gone.
    Evicted(Chat),
    /// The whole cache is gone.
    Cleared,
}

/// Consecutive changes of one engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// Which run of the engine published them.
    pub incarnation: name::Incarnation,
    /// Sequence number of the first change; it counts from one in each run.
    pub first: u64,
    /// The changes, in order.
    pub changes: Vec<Change>,
}
