//! Load of an upstream: requests that run or wait at it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::name;
use crate::time::Time;

/// Age from which an observation is ignored.
const STALE_AFTER: Duration = Duration::from_millis(1_500);

/// Load that an upstream reports in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests that it processes now.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it can process at once.
    pub slots: u32,
    /// How long work takes at it at this moment, in percent of the usual time; `None` if it does not
    /// say.
    pub pace: Option<u32>,
}

/// The load of an upstream as one router observed it, sent to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Observation {
    /// The observed upstream.
    pub upstream: name::Upstream,
    /// Requests that run or wait at it.
    pub load: u32,
    /// Age of the observation in milliseconds.
    pub age_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Time,
    load: u32,
    in_flight: u32,
}

/// Requests at one upstream: an exact count of this router's own, and those of other routers as
/// last observed.
#[derive(Clone, Debug, Default)]
pub struct Load {
    in_flight: u32,
    sample: Option<Sample>,
}

impl Load {
    /// Requests of this router that are in flight at the upstream.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Counts a request sent to the upstream.
    pub const fn record_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Counts a request that ended.
    pub const fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records the load that the upstream had at a time, unless a newer sample is known.
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

    /// Age and load of the last sample, unless it is stale.
    pub fn latest(&self, now: Time) -> Option<(Duration, u32)> {
        let sample = self.sample?;
        let age = now.since(sample.at);
        (age < STALE_AFTER).then_some((age, sample.load))
    }

    /// Age of the last sample, and the requests of other routers in it, unless it is stale.
    pub(super) fn others(&self, now: Time) -> Option<(Duration, u32)> {
        let sample = self.sample?;
        let others = sample.load.saturating_sub(sample.in_flight);
        self.latest(now).map(|(age, _)| (age, others))
    }

    /// Estimated number of requests at the upstream.
    ///
    /// It is never below this router's own count, so that an outdated sample cannot hide requests
    /// sent since.
    pub fn estimate(&self, now: Time) -> u32 {
        match self.sample {
            Some(sample) if now.since(sample.at) < STALE_AFTER => {
                let others = sample.load.saturating_sub(sample.in_flight);
                self.in_flight.saturating_add(others)
            }
            _ => self.in_flight,
        }
    }
}
