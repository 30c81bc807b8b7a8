//! Outlier ejection: detects upstreams that fail, are slow, stall or are unreachable, from the
//! attempts of this router.
//!
//! See `docs/design.md#retries`.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::load::Pool;
use crate::load::Slot;
use crate::time::Time;

/// Consecutive failures after which an upstream is ejected.
const FAILURES: u32 = 5;
/// Answers needed before the pace of an upstream is compared.
const SAMPLES: u32 = 8;
/// Multiple of the median pace of the pool above which an upstream is slow.
const SLOW_FACTOR: f64 = 4.0;
/// Upstreams with a known pace that are needed for a median.
const PACES_MIN: usize = 3;
/// Weight of one answer in the moving average of the pace.
const PACE_WEIGHT: f64 = 0.125;
/// Length of the first ejection; it doubles with each consecutive one.
const EJECTION: Duration = Duration::from_secs(5);
/// Longest ejection.
const EJECTION_MAX: Duration = Duration::from_mins(5);
/// Inverse of the largest fraction of a pool that may be ejected for failed or slow answers.
const EJECTED_ONE_IN: u32 = 3;
/// Length of the first ejection of an unreachable upstream; it doubles with each consecutive one.
const UNREACHABLE: Duration = Duration::from_secs(1);
/// Longest ejection of an unreachable upstream; a report from it ends the ejection earlier.
const UNREACHABLE_MAX: Duration = Duration::from_secs(30);
/// Time without output after which an engine with work in flight has stalled.
pub const STALL: Duration = Duration::from_secs(10);

/// Score of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Score {
    /// Consecutive failures since the last complete answer.
    pub failures: u32,
    /// Moving average of the microseconds for one unit of work.
    pub pace: f64,
    /// Number of answers in `pace`, counted up to the number that a comparison needs.
    pub samples: u32,
    /// Consecutive ejections for failed or slow answers.
    pub ejections: u32,
    /// End of the current ejection.
    pub ejected_until: Option<Time>,
    /// Consecutive ejections as unreachable; zero if the last ejection was for its answers.
    pub unreachable: u32,
}

/// Scores of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Table {
    scores: BTreeMap<Slot, Score>,
}

impl Table {
    /// The score of an upstream.
    pub fn score(&self, slot: Slot) -> Score {
        self.scores.get(&slot).copied().unwrap_or_default()
    }

    /// Records a complete answer that took `time` for `work`.
    pub(crate) fn record_success(&mut self, slot: Slot, time: Duration, work: u64) {
        let score = self.scores.entry(slot).or_default();
        score.failures = 0;
        score.unreachable = 0;
        let pace = time.as_micros() as f64 / work.max(1) as f64;
        if score.samples == 0 {
            score.pace = pace;
        } else {
            score.pace += (pace - score.pace) * PACE_WEIGHT;
        }
        score.samples = score.samples.saturating_add(1).min(SAMPLES);
        if score.samples == SAMPLES && score.ejected_until.is_none() {
            score.ejections = 0;
        }
    }

    /// Records a failure; returns whether the upstream should be ejected.
    pub(crate) fn record_failure(&mut self, slot: Slot) -> bool {
        let score = self.scores.entry(slot).or_default();
        score.failures = score.failures.saturating_add(1);
        score.failures >= FAILURES && score.ejected_until.is_none()
    }

    /// The upstreams of a pool that are slow compared with its median pace.
    pub(crate) fn slow(&self, pool: &Pool) -> Vec<Slot> {
        let known = |slot: &Slot| {
            let score = self.scores.get(slot)?;
            (score.samples >= SAMPLES).then_some((*slot, score.pace))
        };
        let known: Vec<(Slot, f64)> = pool.slots.iter().filter_map(known).collect();
        if known.len() < PACES_MIN {
            return Vec::new();
        }
        let mut paces: Vec<f64> = known.iter().map(|(_, pace)| *pace).collect();
        paces.sort_unstable_by(f64::total_cmp);
        let median = paces[paces.len() / 2];
        let slow = known
            .iter()
            .filter(|(_, pace)| *pace > median * SLOW_FACTOR);
        slow.map(|(slot, _)| *slot).collect()
    }

    /// Ejects an upstream for its answers; returns the end of the ejection.
    pub(crate) fn eject(&mut self, now: Time, slot: Slot) -> Time {
        let score = self.scores.entry(slot).or_default();
        let time = EJECTION.saturating_mul(1 << score.ejections.min(16));
        let until = now + time.min(EJECTION_MAX);
        score.ejections = score.ejections.saturating_add(1);
        score.ejected_until = Some(until);
        score.failures = 0;
        score.samples = 0;
        score.unreachable = 0;
        until
    }

    /// Ejects an upstream to which no connection was made; returns the end of the ejection, or
    /// `None` if it is ejected already.
    pub(crate) fn eject_unreachable(&mut self, now: Time, slot: Slot) -> Option<Time> {
        let score = self.scores.entry(slot).or_default();
        if score.ejected_until.is_some() {
            return None;
        }
        let time = UNREACHABLE.saturating_mul(1 << score.unreachable.min(16));
        let until = now + time.min(UNREACHABLE_MAX);
        score.unreachable = score.unreachable.saturating_add(1);
        score.ejected_until = Some(until);
        Some(until)
    }

    /// Ends the ejection of an unreachable upstream from which a report arrived; returns whether
    /// there was one.
    pub(crate) fn restore_reachable(&mut self, slot: Slot) -> bool {
        let Some(score) = self.scores.get_mut(&slot) else {
            return false;
        };
        let ejected = score.unreachable > 0 && score.ejected_until.is_some();
        if ejected {
            score.ejected_until = None;
        }
        ejected
    }

    /// Ends the ejection of an upstream if its time is over.
    pub(crate) fn restore_expired(&mut self, now: Time, slot: Slot) {
        if let Some(score) = self.scores.get_mut(&slot) {
            score.ejected_until = score.ejected_until.filter(|until| *until > now);
        }
    }

    /// Removes the score of an upstream.
    pub(crate) fn remove(&mut self, slot: Slot) {
        self.scores.remove(&slot);
    }
}

/// Returns whether one more upstream of a pool may be ejected for its answers.
///
/// Unreachable upstreams are ejected beyond this limit, since no request can be sent to them
/// anyway.
pub const fn may_eject(pool: &Pool) -> bool {
    (pool.ejected + 1) * EJECTED_ONE_IN <= pool.live
}
