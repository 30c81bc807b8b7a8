//! What the decisions react to.

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

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer arrived.
    Complete,
    /// No byte of the request reached the upstream.
    Unreachable,
    /// The upstream said that it did not run the request; it may say when to come back.
    Declined {
        /// When the upstream expects to take work again.
        retry_after: Option<Duration>,
    },
    /// It failed after bytes were sent: cut, crossed, malformed or late.
    Broken,
    /// The router cancelled it.
    Cancelled,
}

/// Identifies a request for a slot among those of one router process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What the decisions react to.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request arrived.
    Arrive(Request),
    /// The caller is gone; nobody waits for the answer.
    Disconnect(Id),
    /// A byte of the attempt may have reached its upstream.
    Sent(Attempt),
    /// The attempt produced output.
    Output {
        /// The attempt.
        attempt: Attempt,
        /// Tokens so far.
        tokens: u64,
        /// Prompt tokens that the upstream found cached, where it says so.
        cached: Option<u64>,
    },
    /// The attempt ended.
    End {
        /// The attempt.
        attempt: Attempt,
        /// How.
        outcome: Outcome,
    },
    /// An upstream is known, or changed.
    ///
    /// A lower incarnation than the known one, or an earlier phase of the same incarnation, is
    /// ignored.
    Upstream(upstream::State),
    /// An upstream is leaving, whichever source says so first; holds until a higher incarnation
    /// is seen. It need not be known yet.
    Leaving {
        /// Which.
        upstream: name::Upstream,
        /// Which run of it.
        incarnation: name::Incarnation,
    },
    /// An upstream is no longer known; it is treated as gone.
    UpstreamRemoved(name::Upstream),
    /// An upstream reports its load.
    Report {
        /// Which.
        upstream: name::Upstream,
        /// What it says.
        report: load::Report,
    },
    /// An upstream published changes of its cache, late and perhaps with gaps.
    Cache {
        /// Which.
        upstream: name::Upstream,
        /// The changes.
        batch: prefix::Batch,
    },
    /// A peer tells its work in flight: a complete snapshot that replaces its last one.
    Peer {
        /// Which router.
        host: name::Host,
        /// Its work.
        share: load::Share,
    },
    /// A peer is gone; its work counts no more.
    PeerRemoved(name::Host),
    /// The routers of the own zone that are alive, this one included. They share out the
    /// admission of the zone's upstreams.
    Routers(Vec<name::Host>),
    /// A peer asks for a slot at an upstream that this router admits for.
    SlotRequested {
        /// The peer.
        from: name::Host,
        /// The peer's ticket.
        ticket: Ticket,
        /// The upstream.
        upstream: name::Upstream,
        /// Work of the request.
        work: Work,
        /// Highest load of the upstream as a multiple of the mean of its kind.
        load_limit: f64,
    },
    /// A peer gives a slot back, because its request ended or went elsewhere.
    SlotReleased {
        /// The peer.
        from: name::Host,
        /// The peer's ticket.
        ticket: Ticket,
    },
    /// The answer to [`super::Action::RequestSlot`]. It may come late or never.
    SlotAnswered {
        /// The own ticket.
        ticket: Ticket,
        /// Whether the slot is granted.
        granted: bool,
    },
    /// The router that admits for the upstream could not be reached.
    SlotUnreachable(Ticket),
    /// A transfer of a chat's cache ended.
    Transferred {
        /// The chat.
        chat: Chat,
        /// Where to.
        to: name::Upstream,
        /// Prompt tokens that the destination now holds; zero if it failed.
        tokens: u64,
    },
    /// A workspace's policy is in force.
    Policy(Policy),
    /// A workspace is gone.
    WorkspaceRemoved(name::Workspace),
    /// Time passed.
    Tick,
}
