//! How long requests stay at the upstreams of a service, in their queues or running.

use std::time::Duration;

use crate::time::Time;

/// Time over which the mean is taken: long against one request, short against a change of load.
const WINDOW: Duration = Duration::from_secs(20);
/// Assumed before any request has ended, with the weight of one request, so that it matters only
/// then.
const PRIOR_S: f64 = 0.2;

/// Mean time that this router's requests to a service stay at its upstreams, by Little's law.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Residence {
    in_flight: u32,
    /// Requests in flight times seconds.
    area: f64,
    ended: f64,
    updated_at: Time,
}

impl Residence {
    /// Counts a request that is sent.
    pub(super) fn record_sent(&mut self, now: Time) {
        self.advance(now);
        self.in_flight += 1;
    }

    /// Counts a request that ended.
    pub(super) fn record_end(&mut self, now: Time) {
        self.advance(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.ended += 1.0;
    }

    /// Corrects the number of requests in flight.
    pub(super) fn set_in_flight(&mut self, now: Time, in_flight: u32) {
        self.advance(now);
        self.in_flight = in_flight;
    }

    /// The mean in seconds, above zero.
    pub(super) fn mean_s(&self) -> f64 {
        (self.area + PRIOR_S) / (self.ended + 1.0)
    }

    fn advance(&mut self, now: Time) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let kept = 1.0 / (1.0 + elapsed / WINDOW.as_secs_f64());
        self.area = (self.area + f64::from(self.in_flight) * elapsed) * kept;
        self.ended *= kept;
        self.updated_at = self.updated_at.max(now);
    }
}
