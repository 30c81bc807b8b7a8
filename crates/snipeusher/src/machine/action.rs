//! What the decisions ask the embedding process to do.

use std::time::Duration;

use crate::load::Work;
use crate::name;
use crate::request::Attempt;
use crate::request::Chat;
use crate::request::Id;
use crate::request::Ran;

use super::Ticket;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// No upstream serves the target now.
    NoUpstream,
    /// The queue of its workspace and class is full.
    QueueFull,
    /// It could not start before its deadline.
    TooLate,
    /// All attempts failed and no retry is allowed.
    AttemptsFailed,
    /// The workspace has no policy.
    UnknownWorkspace,
}

/// What the embedding process must do.
///
/// Every request that arrived ends in exactly one [`Action::Refuse`] or [`Action::Close`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an upstream.
    ///
    /// A further dispatch of the same request is a retry. If output of an earlier attempt was
    /// passed on, the embedding process continues after it, or sends [`super::Event::Disconnect`]
    /// and ends the stream with an error.
    Dispatch {
        /// The request.
        request: Id,
        /// The identity of this try.
        attempt: Attempt,
        /// Where to.
        upstream: name::Upstream,
        /// Priority for the engine.
        priority: u8,
    },
    /// Give the caller its final refusal.
    Refuse {
        /// The request.
        request: Id,
        /// Why.
        reason: Reason,
        /// Whether it may have run.
        ran: Ran,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// Nothing more follows for the request: its answer is complete or its caller is gone.
    Close(Id),
    /// Cancel an attempt at its upstream.
    Cancel {
        /// The attempt.
        attempt: Attempt,
        /// Where it runs.
        upstream: name::Upstream,
    },
    /// Move a chat's cache from one engine to another, which costs less than a new prefill.
    Transfer {
        /// The chat.
        chat: Chat,
        /// The engine that exports it.
        from: name::Upstream,
        /// The engine that imports it.
        to: name::Upstream,
        /// Prompt tokens that the source is known to hold.
        tokens: u64,
    },
    /// Ask the router that admits for an upstream for a slot.
    RequestSlot {
        /// That router.
        to: name::Host,
        /// The own ticket.
        ticket: Ticket,
        /// The upstream.
        upstream: name::Upstream,
        /// Work of the request.
        work: Work,
        /// Highest load of the upstream as a multiple of the mean of its kind.
        load_limit: f64,
    },
    /// Answer a peer's request for a slot.
    AnswerSlot {
        /// The peer.
        to: name::Host,
        /// Its ticket.
        ticket: Ticket,
        /// Whether the slot is granted.
        granted: bool,
    },
    /// Give a slot back to the router that granted it.
    ReleaseSlot {
        /// That router.
        to: name::Host,
        /// The own ticket.
        ticket: Ticket,
    },
}
