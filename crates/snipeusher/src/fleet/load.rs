//! How loaded an upstream is.

use std::time::Duration;

use crate::time::Time;

/// A report of this age is preferred to what was counted, where it says more.
const FRESH: Duration = Duration::from_millis(400);

/// Load that an upstream states in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
    /// Requests that it works on at most.
    pub slots: u32,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    at: Time,
    load: u32,
    own: u32,
}

/// Requests at one upstream: those of this router exactly, those of the others as last heard.
#[derive(Clone, Debug, Default)]
pub struct Load {
    own: u32,
    told: u32,
    seen: Option<Seen>,
}

impl Load {
    /// Requests of this router that are at the upstream.
    pub const fn own(&self) -> u32 {
        self.own
    }

    /// Counts a request that is sent.
    pub const fn start(&mut self) {
        self.own += 1;
    }

    /// Counts a request that ended.
    pub const fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Takes what the upstream states in an answer to a request that this router still counts.
    pub fn report(&mut self, now: Time, report: Report) {
        self.seen = Some(Seen {
            at: now,
            load: report.running.saturating_add(report.waiting),
            own: self.own,
        });
    }

    /// Replaces what one peer said before of its own requests.
    pub const fn told(&mut self, before: u32, after: u32) {
        self.told = self.told.saturating_sub(before).saturating_add(after);
    }

    /// Requests that are believed to be at the upstream.
    ///
    /// What is counted is the floor: a stale report never hides this router's own requests.
    pub fn estimate(&self, now: Time) -> u32 {
        let counted = self.own.saturating_add(self.told);
        match self.seen {
            Some(seen) if now.since(seen.at) < FRESH => {
                let reported = seen.load.saturating_add(self.own).saturating_sub(seen.own);
                counted.max(reported)
            }
            _ => counted,
        }
    }
}
