//! Faults that a test can inject into an engine.

use std::time::Duration;

/// Fault of the next request, or of all requests if [`Fault::is_persistent`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The request runs, and the connection closes before the first byte of the response.
    CloseBeforeResponse,
    /// The connection closes after this number of events, or within an unstreamed body.
    Cut(u64),
    /// The response carries this attempt id instead of its own.
    WrongAttempt(String),
    /// Events from this position on carry this attempt id instead of their own.
    WrongEvents(u64, String),
    /// The event at this position is sent twice.
    Duplicate(u64),
    /// The response starts after this time.
    Delay(Duration),
    /// The stream pauses this long before the event at this position.
    Stall(u64, Duration),
    /// The request is refused with `ran` = `not_run` and this `Retry-After` in seconds.
    Refuse(u64),
    /// The request fails with status 500, without `ran`.
    Fail,
    /// Resumes fail; persistent.
    NoResume,
    /// All requests fail with a closed connection; persistent.
    Dead,
}

impl Fault {
    /// Whether the fault applies to all requests until it is cleared.
    pub const fn is_persistent(&self) -> bool {
        matches!(self, Self::NoResume | Self::Dead)
    }
}
