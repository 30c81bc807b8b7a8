//! Invalid input that the machine ignored.

use snafu::Snafu;

use crate::load::Work;
use crate::name;
use crate::request::Attempt;
use crate::request::Id;

use super::Ticket;

/// Reason why an event, or a part of it, was ignored.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Fault {
    /// The request's identifier belongs to an earlier request that is still open.
    #[snafu(display("request {} arrived twice", id.0))]
    DuplicateRequest {
        /// The identifier.
        id: Id,
    },
    /// The attempt has ended or never existed.
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
    /// The event is from another incarnation of the upstream, or older than the last one.
    #[snafu(display("event of upstream {:?} is out of order", upstream.as_str()))]
    OutOfOrder {
        /// The upstream.
        upstream: name::Upstream,
    },
    /// The reported load is higher than any upstream can hold.
    #[snafu(display("upstream {:?} reports an impossible load of {}", upstream.as_str(), work.0))]
    AbsurdLoad {
        /// The upstream.
        upstream: name::Upstream,
        /// The load.
        work: Work,
    },
    /// The load limit is not a number above one, or is higher than the highest usable one.
    #[snafu(display(
        "load_limit of workspace {:?} is out of range",
        workspace.as_str()
    ))]
    LoadLimit {
        /// The workspace.
        workspace: name::Workspace,
    },
    /// The slot request has ended or never existed.
    #[snafu(display("slot request {} is not open", ticket.0))]
    UnknownTicket {
        /// The ticket.
        ticket: Ticket,
    },
    /// The clock moved backwards; the latest time seen is used instead.
    #[snafu(display("clock moved back by {micros} us"))]
    ClockBack {
        /// Difference in microseconds.
        micros: u64,
    },
}
