//! Events that the machine handles.

use std::time::Duration;

use crate::load;
use crate::load::Work;
use crate::name;
use crate::policy::Policy;
use crate::prefix;
use crate::request::Attempt;
use crate::request::Chat;
use crate::request::Id;
use crate::request::Request;
use crate::upstream;

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer arrived.
    Complete,
    /// No byte of the request reached the upstream.
    Unreachable,
    /// The upstream reported that it did not run the request.
    Declined {
        /// Delay after which the upstream expects to accept work again, if it stated one.
        retry_after: Option<Duration>,
    },
    /// The attempt failed after bytes were sent: the answer was cut off, malformed, late or
    /// belonged to another request.
    Broken,
    /// The router cancelled it.
    Cancelled,
}

/// Identifies a slot request within one router process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// An event for the machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request arrived.
    Arrive(Request),
    /// The caller disconnected and no longer needs the answer.
    Disconnect(Id),
    /// A byte of the attempt may have reached its upstream.
    Sent(Attempt),
    /// The attempt produced output.
    Output {
        /// The attempt.
        attempt: Attempt,
        /// Tokens so far.
        tokens: u64,
        /// Prompt tokens that the upstream found in its cache, if it reported them.
        cached: Option<u64>,
    },
    /// The attempt ended.
    End {
        /// The attempt.
        attempt: Attempt,
        /// Its outcome.
        outcome: Outcome,
    },
    /// An upstream was added or changed.
    ///
    /// A lower incarnation than the known one, or an earlier phase of the same incarnation, is
    /// ignored.
    Upstream(upstream::State),
    /// An upstream is leaving, according to any source. This holds until a higher incarnation
    /// appears, and the upstream may be unknown so far.
    Leaving {
        /// The upstream.
        upstream: name::Upstream,
        /// The incarnation that leaves.
        incarnation: name::Incarnation,
    },
    /// An upstream was removed; it is treated like one in phase `Gone`.
    UpstreamRemoved(name::Upstream),
    /// An upstream reports its load.
    Report {
        /// The upstream.
        upstream: name::Upstream,
        /// Its report.
        report: load::Report,
    },
    /// An upstream published changes of its cache; batches may be late or missing.
    Cache {
        /// The upstream.
        upstream: name::Upstream,
        /// The changes.
        batch: prefix::Batch,
    },
    /// A peer announced its work: a complete snapshot that replaces the previous one.
    Peer {
        /// The peer.
        host: name::Host,
        /// Its work.
        share: load::Share,
    },
    /// A peer was removed; its work no longer counts.
    PeerRemoved(name::Host),
    /// The live routers of this router's zone, including this one. Admission to the zone's
    /// upstreams is divided among them.
    Routers(Vec<name::Host>),
    /// A peer requested a slot at an upstream whose admission this router controls.
    SlotRequested {
        /// The peer.
        from: name::Host,
        /// The peer's ticket.
        ticket: Ticket,
        /// The upstream.
        upstream: name::Upstream,
        /// Work of the request.
        work: Work,
        /// Highest load of the upstream as a multiple of the mean of its pool.
        load_limit: f64,
    },
    /// A peer returned a slot, because its request ended or was sent elsewhere.
    SlotReleased {
        /// The peer.
        from: name::Host,
        /// The peer's ticket.
        ticket: Ticket,
    },
    /// The answer to [`super::Action::RequestSlot`]; it may be late or missing.
    SlotAnswered {
        /// This router's ticket.
        ticket: Ticket,
        /// Whether the slot is granted.
        granted: bool,
    },
    /// The router that controls admission to the upstream could not be reached.
    SlotUnreachable(Ticket),
    /// A transfer of a chat's cache ended.
    Transferred {
        /// The chat.
        chat: Chat,
        /// The engine that imported the cache.
        to: name::Upstream,
        /// Prompt tokens that this engine now holds; zero if the transfer failed.
        tokens: u64,
    },
    /// A workspace's policy took effect.
    Policy(Policy),
    /// A workspace was removed.
    WorkspaceRemoved(name::Workspace),
    /// Time passed.
    Tick,
}
