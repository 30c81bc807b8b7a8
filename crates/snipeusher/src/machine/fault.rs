//! Bad input that a decision met and set aside.

use snafu::Snafu;

use crate::load::Work;
use crate::name;
use crate::request::Attempt;
use crate::request::Id;

use super::Ticket;

/// Why an event, or a part of it, was not used.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Fault {
    /// The request's identity is in use by an earlier request.
    #[snafu(display("request {} arrived twice", id.0))]
    DuplicateRequest {
        /// The identity.
        id: Id,
    },
    /// The attempt has ended or never was.
    #[snafu(display("attempt {attempt} is not in flight"))]
    UnknownAttempt {
        /// The attempt.
        attempt: Attempt,
    },
    /// The upstream is not known.
    #[snafu(display("upstream {:?} is not known", upstream.as_str()))]
    UnknownUpstream {
        /// The upstream.
        upstream: name::Upstream,
    },
    /// The event is from an earlier run of the upstream, or older than one seen before.
    #[snafu(display("event of upstream {:?} is out of order", upstream.as_str()))]
    OutOfOrder {
        /// The upstream.
        upstream: name::Upstream,
    },
    /// The load is beyond what an upstream can hold.
    #[snafu(display("upstream {:?} has an absurd load of {}", upstream.as_str(), work.0))]
    AbsurdLoad {
        /// The upstream.
        upstream: name::Upstream,
        /// The load.
        work: Work,
    },
    /// The load limit is not a number above one.
    #[snafu(display("workspace {:?} has an unusable load_limit", workspace.as_str()))]
    LoadLimit {
        /// The workspace.
        workspace: name::Workspace,
    },
    /// The ticket is not open.
    #[snafu(display("ticket {} is not open", ticket.0))]
    UnknownTicket {
        /// The ticket.
        ticket: Ticket,
    },
    /// The clock went back; the latest time seen is used.
    #[snafu(display("clock went back by {micros} us"))]
    ClockBack {
        /// By how much, in microseconds.
        micros: u64,
    },
}
