//! Outlier ejection, based on the outcomes of this router's own requests.

use std::time::Duration;

use crate::time::Time;

/// Weight of the newest outcome in the moving average of the failure rate.
const EWMA_WEIGHT: f64 = 0.2;
/// Outcomes needed before the failure rate can eject an upstream.
const OUTCOMES_MIN: u32 = 5;
/// Excess of the failure rate over that of the service which ejects an upstream.
const FAILURE_RATE_EXCESS: f64 = 0.3;
/// Standard deviations of the service's failure rate that are allowed on top: the failures of an
/// upstream vary more where many requests of the service fail anyway.
const DEVIATIONS_MAX: f64 = 2.0;
/// Number of [`Outcome::Lost`] since the last success that ejects an upstream.
const LOSSES_MAX: u32 = 2;
/// Length of the first ejection; each further one lasts twice as long.
const EJECTION_TIME: Duration = Duration::from_millis(700);
const EJECTION_TIME_MAX: Duration = Duration::from_secs(6);

/// Time to the next connection attempt to an unreachable upstream; doubled after each failure.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
const PROBE_INTERVAL_MAX: Duration = Duration::from_secs(2);

/// Failure rate from which an ejected upstream gets nothing but its trials, even if the others are
/// overloaded.
const PARTIAL_RATE_MAX: f64 = 0.75;

/// How a request at an upstream ended, as far as it reflects on the upstream's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream answered as expected.
    Served,
    /// It answered with an error of its own.
    Failed,
    /// It rejected the request without running it.
    Declined,
    /// It rejected the request without running it and asked for a pause.
    Paused,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke, the answer was invalid, or none came in time.
    Lost,
    /// The caller disconnected or the deadline passed, which says nothing about the upstream.
    Abandoned,
}

/// Health of one upstream, as this router's own requests show it.
#[derive(Clone, Debug, Default)]
pub struct Health {
    outcome_count: u32,
    failure_rate: f64,
    losses: u32,
    ejections: u32,
    ejected_until: Option<Time>,
    trial_in_flight: bool,
    /// Time of the next connection attempt; set while the upstream is unreachable.
    probe_at: Option<Time>,
    failed_probes: u32,
    unreachable_since: Option<Time>,
}

impl Health {
    /// Moving average of the failure rate, from zero to one.
    pub const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Whether it may get a request at `now`. After an ejection it gets one request as a trial.
    pub fn is_available(&self, now: Time) -> bool {
        let admits = self
            .ejected_until
            .is_none_or(|until| until <= now && !self.trial_in_flight);
        self.probe_at.is_none() && admits
    }

    /// Whether to attempt a connection at `now`.
    pub fn is_probe_due(&self, now: Time) -> bool {
        self.probe_at.is_some_and(|at| at <= now)
    }

    /// Marks it reachable, since a connection was opened.
    pub const fn record_connected(&mut self) {
        self.probe_at = None;
        self.failed_probes = 0;
        self.unreachable_since = None;
    }

    /// Marks it unreachable and schedules the next connection attempt.
    pub fn record_unreachable(&mut self, now: Time) {
        let time = PROBE_INTERVAL * (1 << self.failed_probes.min(4));
        self.probe_at = Some(now + time.min(PROBE_INTERVAL_MAX));
        self.failed_probes += 1;
        self.unreachable_since.get_or_insert(now);
    }

    /// Marks it unreachable until a connection attempt, which is due at once, succeeds.
    pub const fn record_doubt(&mut self, now: Time) {
        self.probe_at = Some(now);
    }

    /// Whether connection attempts have failed since before a time.
    pub fn was_unreachable_at(&self, time: Time) -> bool {
        self.unreachable_since.is_some_and(|since| since < time)
    }

    /// Whether the last connection attempt failed.
    pub const fn is_unreachable(&self) -> bool {
        self.probe_at.is_some()
    }

    /// Whether it is ejected, on trial after an ejection, or unreachable.
    pub const fn is_ejected(&self) -> bool {
        self.ejected_until.is_some() || self.probe_at.is_some()
    }

    /// Whether it is ejected although it serves some of its requests.
    pub fn is_failing_partly(&self) -> bool {
        self.ejected_until.is_some()
            && self.probe_at.is_none()
            && self.failure_rate < PARTIAL_RATE_MAX
    }

    /// Records that a request was sent. If the upstream is ejected, this request is the trial.
    pub fn record_sent(&mut self) {
        self.trial_in_flight = self.ejected_until.is_some();
    }

    /// Records an outcome; `service_rate` is the failure rate of the service's other upstreams.
    /// Returns true if this ejects the upstream or newly marks it unreachable.
    pub fn record_outcome(&mut self, now: Time, outcome: Outcome, service_rate: f64) -> bool {
        let is_trial = std::mem::take(&mut self.trial_in_flight);
        match outcome {
            Outcome::Abandoned | Outcome::Paused => return false,
            Outcome::Served => {
                self.record_failure(0.0);
                self.losses = 0;
                if is_trial {
                    self.ejected_until = None;
                    self.ejections = 0;
                    self.failure_rate = service_rate;
                }
                return false;
            }
            Outcome::Failed | Outcome::Declined => self.record_failure(1.0),
            Outcome::Unreachable => {
                let is_first = self.probe_at.is_none();
                self.record_unreachable(now);
                return is_first;
            }
            Outcome::Lost => {
                self.record_failure(1.0);
                self.losses += 1;
            }
        }
        let deviation =
            (service_rate * (1.0 - service_rate) * EWMA_WEIGHT / (2.0 - EWMA_WEIGHT)).sqrt();
        let allowed = service_rate + FAILURE_RATE_EXCESS + DEVIATIONS_MAX * deviation;
        let is_failing = self.outcome_count >= OUTCOMES_MIN && self.failure_rate > allowed;
        let ejects = is_trial || self.losses >= LOSSES_MAX || is_failing;
        if ejects {
            let time = EJECTION_TIME * (1 << self.ejections.min(4));
            self.ejected_until = Some(now + time.min(EJECTION_TIME_MAX));
            self.ejections += 1;
            self.outcome_count = 0;
            self.losses = 0;
        }
        ejects
    }

    fn record_failure(&mut self, failure: f64) {
        self.outcome_count = self.outcome_count.saturating_add(1);
        self.failure_rate += EWMA_WEIGHT * (failure - self.failure_rate);
    }
}
