//! Whether an upstream fails, judged by this router's own requests.

use std::time::Duration;

use crate::time::Time;

/// Weight of the newest outcome in the share of failures.
const WEIGHT: f64 = 0.2;
/// Outcomes needed before the share of failures sets an upstream aside.
const OUTCOMES_MIN: u32 = 5;
/// Share of failures beyond that of the service that sets an upstream aside.
const EXCESS: f64 = 0.3;
/// Standard deviations of the usual failures that are allowed beyond that, since a service whose
/// requests often fail by nature scatters more.
const SCATTER: f64 = 2.0;
/// Silent or broken ends in a row that set an upstream aside.
const LOST_MAX: u32 = 2;
/// Time aside after the first failure; doubled each time.
const ASIDE: Duration = Duration::from_millis(700);
/// Longest time aside.
const ASIDE_MAX: Duration = Duration::from_secs(6);

/// Time after which a connection to an unreachable upstream is tried again; doubled each time.
const REACH: Duration = Duration::from_millis(250);
/// Longest such time.
const REACH_MAX: Duration = Duration::from_secs(2);

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
    outcomes: u32,
    failures: f64,
    lost: u32,
    aside: u32,
    until: Option<Time>,
    trial: bool,
    /// When a connection is tried next, while none can be opened.
    reach_at: Option<Time>,
    reaches: u32,
}

impl Health {
    /// The share of recent requests that failed, from zero to one.
    pub const fn failures(&self) -> f64 {
        self.failures
    }

    /// Whether it takes requests at `now`; after its time aside it takes one as a trial.
    pub fn is_open(&self, now: Time) -> bool {
        let is_back = self.until.is_none_or(|until| until <= now && !self.trial);
        self.reach_at.is_none() && is_back
    }

    /// Whether a connection is to be tried at `now`.
    pub fn is_due(&self, now: Time) -> bool {
        self.reach_at.is_some_and(|at| at <= now)
    }

    /// A connection could be opened, so requests may go there again.
    pub const fn reached(&mut self) {
        self.reach_at = None;
        self.reaches = 0;
    }

    /// No connection could be opened.
    pub fn unreached(&mut self, now: Time) {
        let time = REACH * (1 << self.reaches.min(4));
        self.reach_at = Some(now + time.min(REACH_MAX));
        self.reaches += 1;
    }

    /// Whether no connection can be opened.
    pub const fn is_unreachable(&self) -> bool {
        self.reach_at.is_some()
    }

    /// Whether it is set aside, a trial included.
    pub const fn is_aside(&self) -> bool {
        self.until.is_some() || self.reach_at.is_some()
    }

    /// Counts a request that is sent; if it is aside, this is the trial.
    pub fn start(&mut self) {
        self.trial = self.until.is_some();
    }

    /// Takes an outcome; `usual` is the share of failures over the service. Returns true if this
    /// sets the upstream aside.
    pub fn end(&mut self, now: Time, outcome: Outcome, usual: f64) -> bool {
        let is_trial = std::mem::take(&mut self.trial);
        match outcome {
            Outcome::Abandoned => return false,
            Outcome::Served => {
                self.count(0.0);
                self.lost = 0;
                if is_trial {
                    self.until = None;
                    self.aside = 0;
                    self.failures = usual;
                }
                return false;
            }
            Outcome::Failed | Outcome::Declined => self.count(1.0),
            Outcome::Unreachable => {
                let is_first = self.reach_at.is_none();
                self.unreached(now);
                return is_first;
            }
            Outcome::Lost => {
                self.count(1.0);
                self.lost += 1;
            }
        }
        let scatter = (usual * (1.0 - usual) * WEIGHT / (2.0 - WEIGHT)).sqrt();
        let allowed = usual + EXCESS + SCATTER * scatter;
        let is_failing = self.outcomes >= OUTCOMES_MIN && self.failures > allowed;
        let set_aside = is_trial || self.lost >= LOST_MAX || is_failing;
        if set_aside {
            let time = ASIDE * (1 << self.aside.min(4));
            self.until = Some(now + time.min(ASIDE_MAX));
            self.aside += 1;
            self.outcomes = 0;
            self.lost = 0;
        }
        set_aside
    }

    fn count(&mut self, failure: f64) {
        self.outcomes = self.outcomes.saturating_add(1);
        self.failures += WEIGHT * (failure - self.failures);
    }
}
