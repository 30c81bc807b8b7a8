//! Faults that an engine can be told to show.

use std::time::Duration;

/// A fault of one request, or of the engine as a whole where it says so.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection breaks before the first byte of the answer; the request has run.
    CloseBeforeResponse,
    /// The stream or body breaks after so many events.
    Cut(u64),
    /// The answer carries this attempt id in place of its own.
    WrongAttempt(String),
    /// The events from this position on carry this attempt id in place of their own.
    WrongEvents(u64, String),
    /// The event at this position is sent twice.
    Duplicate(u64),
    /// The answer starts after this time.
    Delay(Duration),
    /// The stream pauses this long before the event at this position.
    Stall(u64, Duration),
    /// The request is refused with `ran` = `not_run` and this `Retry-After` in seconds.
    Refuse(u64),
    /// The request fails with status 500 and says nothing on whether it ran.
    Fail,
    /// Resumes fail; holds until healed.
    NoResume,
    /// All connections break; holds until healed.
    Dead,
}

impl Fault {
    /// Whether it holds for all requests until healed.
    pub const fn is_persistent(&self) -> bool {
        matches!(self, Self::NoResume | Self::Dead)
    }
}
