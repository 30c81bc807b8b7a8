//! How loaded an upstream is.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::name;
use crate::time::Time;

/// An observation of this age says nothing any more.
const STALE: Duration = Duration::from_millis(1_500);

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

/// The load of an upstream as a router observed it, for its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Observation {
    /// Which upstream.
    pub upstream: name::Upstream,
    /// Requests at it.
    pub load: u32,
    /// How long ago.
    pub age_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Time,
    load: u32,
    in_flight: u32,
}

/// Requests at one upstream: those of this router exactly, those of the others as last observed.
#[derive(Clone, Debug, Default)]
pub struct Load {
    in_flight: u32,
    sample: Option<Sample>,
}

impl Load {
    /// Requests of this router that are at the upstream.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Counts a request that is sent.
    pub const fn start(&mut self) {
        self.in_flight += 1;
    }

    /// Counts a request that ended.
    pub const fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes what the upstream stated at a time; an older statement than the known one is ignored.
    pub fn record(&mut self, at: Time, load: u32) {
        if self.sample.is_none_or(|sample| sample.at < at) {
            let in_flight = self.in_flight;
            self.sample = Some(Sample {
                at,
                load,
                in_flight,
            });
        }
    }

    /// The last statement, if it still says something.
    pub fn latest(&self, now: Time) -> Option<(Duration, u32)> {
        let sample = self.sample?;
        let age = now.since(sample.at);
        (age < STALE).then_some((age, sample.load))
    }

    /// Requests that are believed to be at the upstream.
    ///
    /// This router's own requests are the floor, so that no stale statement hides them.
    pub fn estimate(&self, now: Time) -> u32 {
        match self.sample {
            Some(sample) if now.since(sample.at) < STALE => {
                let others = sample.load.saturating_sub(sample.in_flight);
                self.in_flight.saturating_add(others)
            }
            _ => self.in_flight,
        }
    }
}
