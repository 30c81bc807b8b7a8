//! What lost requests show about the causes of crashes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::Cause;
use super::Crash;
use super::Loss;
use super::Part;
use super::Pattern;
use super::Seen;
use super::Tracker;
use crate::name;
use crate::time::Time;

/// Crashes with a part or request in common after which it is blocked.
const CRASHES_MIN: usize = 3;
/// The same for a request while too few others are answered to tell whether it is the cause.
const CRASHES_MIN_UNANSWERED: usize = 5;
/// Crashes under a part that are closer together than this count as one: a fault that strikes
/// several upstreams at once is not caused by a prompt.
const SAME_EVENT: Duration = Duration::from_millis(250);
/// Time from the first of these crashes to the block, in which news of successful answers can
/// arrive.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Successful answers of the service that this router must have seen since the first crash. If
/// there are none, the service as a whole is failing.
const ANSWERS_MIN: u64 = 2;

/// A lost request and when it was lost.
type Observed<'a> = (&'a Loss, Seen);

impl Tracker {
    /// Whether the next crash under a request would show it to be the cause. Then a router does not
    /// repeat it by itself, which could cost one more upstream before the crash is known.
    pub fn is_nearly_shown(&self, service: &name::Service, request: impl FnOnce() -> u64) -> bool {
        if self.losses.is_empty() {
            return false;
        }
        let id = request();
        let losses = self.losses.iter();
        let losses = losses.filter(|(loss, _)| loss.request == id && loss.service == *service);
        let crashes: BTreeSet<Crash> = losses
            .filter(|(loss, seen)| !self.was_served_after(&loss.whole(), seen.at))
            .map(|(loss, _)| loss.crash)
            .collect();
        crashes.len() + 1 >= CRASHES_MIN
    }

    /// What explains crashes that no block explains yet.
    pub(super) fn find_cause(&self, now: Time) -> Option<Cause> {
        let explained = self.explained_crashes();
        let is_unexplained = |(loss, _): &Observed<'_>| !explained.contains(&loss.crash);
        let losses = || self.losses.iter().map(|(loss, seen)| (loss, *seen));
        let unexplained: Vec<Observed<'_>> = losses().filter(is_unexplained).collect();
        if unexplained.is_empty() {
            return None;
        }
        let all: Vec<Observed<'_>> = losses().collect();
        self.ended_block(&unexplained)
            .or_else(|| self.repeated_request(now, &all, is_unexplained))
            .or_else(|| self.common_parts(now, &all, is_unexplained))
    }

    /// The crashes in which a blocked request was lost. Those that were lost beside it are not the
    /// cause.
    pub(super) fn explained_crashes(&self) -> BTreeSet<Crash> {
        let losses = self.losses.iter();
        let explained = losses.filter(|(loss, seen)| self.is_explained(loss, seen));
        explained.map(|(loss, _)| loss.crash).collect()
    }

    /// A block that has ended although its cause still crashes upstreams: one crash shows it.
    fn ended_block(&self, unexplained: &[Observed<'_>]) -> Option<Cause> {
        let mut losses = unexplained.iter();
        let cause =
            losses.find_map(|(loss, _)| self.blocked.keys().find(|cause| cause.explains(loss)));
        cause.cloned()
    }

    /// The request that was lost in the most crashes one after the other, if they show that it
    /// causes them.
    fn repeated_request(
        &self,
        now: Time,
        all: &[Observed<'_>],
        is_unexplained: impl Fn(&Observed<'_>) -> bool,
    ) -> Option<Cause> {
        let mut repeats: BTreeMap<Part, Vec<Observed<'_>>> = BTreeMap::new();
        for (loss, seen) in all {
            let whole = loss.whole();
            if !self.was_served_after(&whole, seen.at) {
                repeats.entry(whole).or_default().push((loss, *seen));
            }
        }
        let shown = repeats.into_iter().filter(|(_, losses)| {
            losses.iter().any(&is_unexplained) && self.is_shown_by_repeats(now, losses)
        });
        let (request, _) = shown.max_by_key(|(_, losses)| count_in_sequence(losses))?;
        Some(Cause {
            service: request.service,
            pattern: Pattern::Request(request.id),
        })
    }

    fn is_shown_by_repeats(&self, now: Time, losses: &[Observed<'_>]) -> bool {
        let crashes = count_in_sequence(losses);
        let min = if self.answers_since(losses) >= ANSWERS_MIN {
            CRASHES_MIN
        } else {
            CRASHES_MIN_UNANSWERED
        };
        crashes >= min && is_settled(now, losses)
    }

    /// The prompt parts that crashes have in common, if they show a cause.
    fn common_parts(
        &self,
        now: Time,
        all: &[Observed<'_>],
        is_unexplained: impl Fn(&Observed<'_>) -> bool,
    ) -> Option<Cause> {
        let mut suspects: BTreeMap<(usize, Part), Vec<Observed<'_>>> = BTreeMap::new();
        // The block of one request does not tell whether a part of its prompt is the cause.
        let losses = all.iter();
        let losses = losses.filter(|(loss, seen)| !self.is_explained_by_parts(loss, seen));
        for (loss, seen) in losses {
            for (index, id) in loss.parts.iter().enumerate() {
                let part = Part {
                    service: loss.service.clone(),
                    id: *id,
                };
                if !self.was_served_after(&part, seen.at) {
                    let losses = suspects.entry((index, part)).or_default();
                    losses.push((loss, *seen));
                }
            }
        }
        // A part comes with those before it, but not the other way round, so a later part has fewer
        // requests beside its own and tells more.
        let mut last_first = suspects.into_values().rev();
        last_first.find_map(|losses| {
            let is_shown = losses.iter().any(&is_unexplained) && self.is_shown(now, &losses);
            is_shown.then(|| intersection(&losses)).flatten()
        })
    }

    fn is_shown(&self, now: Time, losses: &[Observed<'_>]) -> bool {
        count_events(losses) >= CRASHES_MIN
            && is_settled(now, losses)
            && self.answers_since(losses) >= ANSWERS_MIN
    }

    /// Successful answers of the service of some losses that this router has seen since the first.
    fn answers_since(&self, losses: &[Observed<'_>]) -> u64 {
        let first = losses.iter().min_by_key(|(_, seen)| seen.answers_before);
        first.map_or(0, |(loss, seen)| {
            self.answer_count(&loss.service)
                .saturating_sub(seen.answers_before)
        })
    }
}

/// Whether news of successful answers since the first loss has had time to arrive.
fn is_settled(now: Time, losses: &[Observed<'_>]) -> bool {
    let first = losses.iter().map(|(_, seen)| seen.at).min();
    first.is_some_and(|first| now.since(first) >= SETTLE_TIME)
}

/// The parts that all these losses of one service have in common.
fn intersection(losses: &[Observed<'_>]) -> Option<Cause> {
    let (first, _) = losses.first()?;
    let mut parts: BTreeSet<u64> = first.parts.iter().copied().collect();
    for (loss, _) in losses {
        parts.retain(|part| loss.parts.contains(part));
    }
    Some(Cause {
        service: first.service.clone(),
        pattern: Pattern::Parts(parts),
    })
}

/// Number of crashes under a part that are not one event.
fn count_events(losses: &[Observed<'_>]) -> usize {
    let mut times: Vec<Time> = losses.iter().map(|(_, seen)| seen.at).collect();
    times.sort_unstable();
    let mut last: Option<Time> = None;
    let mut count = 0;
    for time in times {
        if last.is_none_or(|last| time.since(last) >= SAME_EVENT) {
            last = Some(time);
            count += 1;
        }
    }
    count
}

/// Number of crashes of which each ended a run that began after the one before. A fault that
/// strikes several upstreams at once ends runs that overlap.
fn count_in_sequence(losses: &[Observed<'_>]) -> usize {
    let mut runs: Vec<(Time, Time)> = losses
        .iter()
        .map(|(loss, seen)| (seen.at, began(loss, *seen)))
        .collect();
    runs.sort_unstable();
    let mut last: Option<Time> = None;
    let mut count = 0;
    for (ended, began) in runs {
        if last.is_none_or(|last| began >= last) {
            last = Some(ended);
            count += 1;
        }
    }
    count
}

/// When a lost request was sent.
const fn began(loss: &Loss, seen: Seen) -> Time {
    Time(seen.at.0.saturating_sub(loss.ran_ms.saturating_mul(1_000)))
}
