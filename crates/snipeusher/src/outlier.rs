//! Upstreams that fail, are slow or no longer produce output, found from own answers.
//!
//! See `docs/design.md#retries`.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::load::Pool;
use crate::load::Slot;
use crate::time::Time;

/// Failures in a row that eject an upstream.
const FAILURES: u32 = 5;
/// Answers needed before the pace of an upstream is judged.
const SAMPLES: u32 = 8;
/// Multiple of the median pace of the pool at which an upstream is slow.
const SLOW: f64 = 4.0;
/// Upstreams with a known pace that a median needs.
const PEERS: usize = 3;
/// Weight of one answer in the pace.
const PACE_WEIGHT: f64 = 0.125;
/// First ejection; it doubles with each further one.
const EJECTION: Duration = Duration::from_secs(5);
/// Longest ejection.
const EJECTION_MAX: Duration = Duration::from_mins(5);
/// At most one in this many upstreams of a pool is ejected.
const EJECTED_ONE_IN: u32 = 3;
/// First time for which an unreachable upstream is set aside; it doubles with each further one.
const UNREACHABLE: Duration = Duration::from_secs(1);
/// Longest time for which an unreachable upstream is set aside without a report from it.
const UNREACHABLE_MAX: Duration = Duration::from_secs(30);
/// An engine with work in flight and no output for this long has stalled.
pub const STALL: Duration = Duration::from_secs(10);

/// Scores of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Score {
    /// Failures since the last answer.
    pub failures: u32,
    /// Microseconds for one unit of work, averaged.
    pub pace: f64,
    /// Answers that the pace is made of, up to the number that it needs.
    pub samples: u32,
    /// Ejections that followed each other.
    pub ejections: u32,
    /// End of the current ejection.
    pub until: Option<Time>,
    /// Failed connections that followed each other; zero if it was ejected for its answers.
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

    /// Counts an answer that took `time` for `work`.
    pub(crate) fn success(&mut self, slot: Slot, time: Duration, work: u64) {
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
        if score.samples == SAMPLES && score.until.is_none() {
            score.ejections = 0;
        }
    }

    /// Counts a failure; true if the upstream should be ejected.
    pub(crate) fn failure(&mut self, slot: Slot) -> bool {
        let score = self.scores.entry(slot).or_default();
        score.failures = score.failures.saturating_add(1);
        score.failures >= FAILURES && score.until.is_none()
    }

    /// The upstreams of a pool that are slow against its median.
    pub(crate) fn slow(&self, pool: &Pool) -> Vec<Slot> {
        let known = |slot: &Slot| {
            let score = self.scores.get(slot)?;
            (score.samples >= SAMPLES).then_some((*slot, score.pace))
        };
        let known: Vec<(Slot, f64)> = pool.slots.iter().filter_map(known).collect();
        if known.len() < PEERS {
            return Vec::new();
        }
        let mut paces: Vec<f64> = known.iter().map(|(_, pace)| *pace).collect();
        paces.sort_unstable_by(f64::total_cmp);
        let median = paces[paces.len() / 2];
        let slow = known.iter().filter(|(_, pace)| *pace > median * SLOW);
        slow.map(|(slot, _)| *slot).collect()
    }

    /// Ejects an upstream; returns until when.
    pub(crate) fn eject(&mut self, now: Time, slot: Slot) -> Time {
        let score = self.scores.entry(slot).or_default();
        let time = EJECTION.saturating_mul(1 << score.ejections.min(16));
        let until = now + time.min(EJECTION_MAX);
        score.ejections = score.ejections.saturating_add(1);
        score.until = Some(until);
        score.failures = 0;
        score.samples = 0;
        score.unreachable = 0;
        until
    }

    /// Sets aside an upstream that no connection reaches; returns until when, or `None` if it is
    /// set aside already.
    pub(crate) fn unreachable(&mut self, now: Time, slot: Slot) -> Option<Time> {
        let score = self.scores.entry(slot).or_default();
        if score.until.is_some() {
            return None;
        }
        let time = UNREACHABLE.saturating_mul(1 << score.unreachable.min(16));
        let until = now + time.min(UNREACHABLE_MAX);
        score.unreachable = score.unreachable.saturating_add(1);
        score.until = Some(until);
        Some(until)
    }

    /// Ends the time aside of an upstream that was unreachable and now reports; true if it was.
    pub(crate) fn reached(&mut self, slot: Slot) -> bool {
        let Some(score) = self.scores.get_mut(&slot) else {
            return false;
        };
        let aside = score.unreachable > 0 && score.until.is_some();
        if aside {
            score.until = None;
        }
        aside
    }

    /// Ends ejections that are over.
    pub(crate) fn restore(&mut self, now: Time, slot: Slot) {
        if let Some(score) = self.scores.get_mut(&slot) {
            score.until = score.until.filter(|until| *until > now);
        }
    }

    /// Forgets an upstream, or an earlier run of it.
    pub(crate) fn forget(&mut self, slot: Slot) {
        self.scores.remove(&slot);
    }
}

/// Whether one more upstream of a pool may be ejected for its answers.
///
/// Unreachable ones are set aside beyond this limit, since work cannot be sent to them anyway.
pub const fn allowed(pool: &Pool) -> bool {
    (pool.ejected + 1) * EJECTED_ONE_IN <= pool.live
}
