//! Whether an upstream fails, judged by this router's own requests.

use std::time::Duration;

use crate::time::Time;

/// Weight of the newest outcome in the share of failures.
const EWMA_WEIGHT: f64 = 0.2;
/// Outcomes needed before the share of failures sets an upstream aside.
const OUTCOMES_MIN: u32 = 5;
/// Share of failures beyond that of the service that sets an upstream aside.
const FAILURE_RATE_EXCESS: f64 = 0.3;
/// Standard deviations of the usual failures that are allowed beyond that, since a service whose
/// requests often fail by nature scatters more.
const DEVIATIONS_MAX: f64 = 2.0;
/// Silent or broken ends in a row that set an upstream aside.
const LOSSES_MAX: u32 = 2;
/// Time aside after the first failure; doubled each time.
const EJECTION: Duration = Duration::from_millis(700);
/// Longest time aside.
const EJECTION_MAX: Duration = Duration::from_secs(6);

/// Time after which a connection to an unreachable upstream is tried again; doubled each time.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Longest such time.
const PROBE_INTERVAL_MAX: Duration = Duration::from_secs(2);

/// How a request at an upstream ended, as far as it speaks of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It answered as it should.
    Served,
    /// It answered with a failure of its own.
    Failed,
    /// It refused the request without running it.
    Declined,
    /// No connection could be opened.
    Unreachable,
    /// It broke off, answered with something else, or stayed silent.
    Lost,
    /// The caller left or the time was up; it says nothing of the upstream.
    Abandoned,
}

/// What this router's own requests say of an upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    outcome_count: u32,
    failure_rate: f64,
    losses: u32,
    ejections: u32,
    ejected_until: Option<Time>,
    trial_in_flight: bool,
    /// When a connection is tried next, while none can be opened.
    probe_at: Option<Time>,
    failed_probes: u32,
}

impl Health {
    /// The share of recent requests that failed, from zero to one.
    pub const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Whether it takes requests at `now`; after its time aside it takes one as a trial.
    pub fn is_available(&self, now: Time) -> bool {
        let admits = self
            .ejected_until
            .is_none_or(|until| until <= now && !self.trial_in_flight);
        self.probe_at.is_none() && admits
    }

    /// Whether a connection is to be tried at `now`.
    pub fn is_probe_due(&self, now: Time) -> bool {
        self.probe_at.is_some_and(|at| at <= now)
    }

    /// A connection could be opened, so requests may go there again.
    pub const fn record_connected(&mut self) {
        self.probe_at = None;
        self.failed_probes = 0;
    }

    /// No connection could be opened.
    pub fn record_unreachable(&mut self, now: Time) {
        let time = PROBE_INTERVAL * (1 << self.failed_probes.min(4));
        self.probe_at = Some(now + time.min(PROBE_INTERVAL_MAX));
        self.failed_probes += 1;
    }

    /// Whether no connection can be opened.
    pub const fn is_unreachable(&self) -> bool {
        self.probe_at.is_some()
    }

    /// Whether it is set aside, a trial included.
    pub const fn is_ejected(&self) -> bool {
        self.ejected_until.is_some() || self.probe_at.is_some()
    }

    /// Counts a request that is sent; if it is aside, this is the trial.
    pub fn start(&mut self) {
        self.trial_in_flight = self.ejected_until.is_some();
    }

    /// Takes an outcome; `service_rate` is the share of failures over the service. Returns true if this
    /// sets the upstream aside.
    pub fn end(&mut self, now: Time, outcome: Outcome, service_rate: f64) -> bool {
        let is_trial = std::mem::take(&mut self.trial_in_flight);
        match outcome {
            Outcome::Abandoned => return false,
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
            let time = EJECTION * (1 << self.ejections.min(4));
            self.ejected_until = Some(now + time.min(EJECTION_MAX));
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
