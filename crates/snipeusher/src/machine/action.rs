//! Actions that the machine requests from the embedding process.

use std::time::Duration;

use crate::load::Work;
use crate::name;
use crate::request::Attempt;
use crate::request::Chat;
use crate::request::Id;
use crate::request::Ran;

use super::Ticket;

/// Reason for the refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// No upstream serves the target at present.
    NoUpstream,
    /// The queue of its workspace and class is full.
    QueueFull,
    /// The request could not start before its deadline.
    TooLate,
    /// All attempts failed and no retry is allowed.
    AttemptsFailed,
    /// The workspace has no policy.
    UnknownWorkspace,
}

/// An action for the embedding process.
///
/// Every request that arrived ends with exactly one [`Action::Refuse`] or [`Action::Close`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an upstream.
    ///
    /// Another dispatch of the same request is a retry. If output of an earlier attempt was
    /// already passed on, the embedding process either continues the stream after that output or
    /// ends it with an error and sends [`super::Event::Disconnect`].
    Dispatch {
        /// The request.
        request: Id,
        /// The attempt.
        attempt: Attempt,
        /// The upstream to send it to.
        upstream: name::Upstream,
        /// Priority for the engine.
        priority: u8,
    },
    /// Refuse the request as the final answer to the caller.
    Refuse {
        /// The request.
        request: Id,
        /// Reason for the refusal.
        reason: Reason,
        /// Whether the request may have run.
        ran: Ran,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// The request has ended: its answer is complete or its caller disconnected.
    Close(Id),
    /// Cancel an attempt at its upstream.
    Cancel {
        /// The attempt.
        attempt: Attempt,
        /// The upstream that it was sent to.
        upstream: name::Upstream,
    },
    /// Transfer a chat's cache from one engine to another, which takes less time than a new
    /// prefill.
    Transfer {
        /// The chat.
        chat: Chat,
        /// The engine that exports the cache.
        from: name::Upstream,
        /// The engine that imports the cache.
        to: name::Upstream,
        /// Prompt tokens that the source is known to hold.
        tokens: u64,
    },
    /// Request a slot from the router that controls admission to an upstream.
    RequestSlot {
        /// The router that controls admission.
        to: name::Host,
        /// This router's ticket.
        ticket: Ticket,
        /// The upstream.
        upstream: name::Upstream,
        /// Work of the request.
        work: Work,
        /// Highest load of the upstream as a multiple of the mean of its pool.
        load_limit: f64,
    },
    /// Answer a peer's request for a slot.
    AnswerSlot {
        /// The peer.
        to: name::Host,
        /// The peer's ticket.
        ticket: Ticket,
        /// Whether the slot is granted.
        granted: bool,
    },
    /// Return a slot to the router that granted it.
    ReleaseSlot {
        /// The router that granted the slot.
        to: name::Host,
        /// This router's ticket.
        ticket: Ticket,
    },
}
