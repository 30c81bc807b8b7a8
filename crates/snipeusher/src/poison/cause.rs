//! What lost requests show about the causes of crashes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::Cause;
use super::Loss;
use super::Part;
use super::Seen;
use super::Tracker;
use crate::time::Time;

/// Crashes with a part in common after which prompts like theirs are blocked.
const CRASHES_MIN: usize = 3;
/// Crashes closer together than this count as one: a fault that strikes several upstreams at once
/// is not caused by a prompt.
const SAME_EVENT: Duration = Duration::from_millis(250);
/// Time from the first of these crashes to the block, in which news of successful answers can
/// arrive.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Successful answers of the service that this router must have seen since the first crash. If
/// there are none, the service as a whole is failing.
const ANSWERS_MIN: u64 = 2;

impl Tracker {
    /// What explains losses that no block explains yet.
    pub(super) fn find_cause(&self, now: Time) -> Option<Cause> {
        let losses = self.losses.iter();
        let unexplained: Vec<(&Loss, Seen)> = losses
            .filter(|(loss, seen)| !self.is_explained(loss, seen))
            .map(|(loss, seen)| (loss, *seen))
            .collect();
        let ended = unexplained.iter().find_map(|(loss, _)| {
            let mut causes = self.blocked.keys();
            causes.find(|cause| cause.is_in(&loss.service, &loss.parts))
        });
        // After the end of a block one crash shows that it is still needed.
        if let Some(cause) = ended {
            return Some(cause.clone());
        }
        let mut suspects: BTreeMap<(usize, Part), Vec<(&Loss, Seen)>> = BTreeMap::new();
        for (loss, seen) in unexplained {
            for (index, id) in loss.parts.iter().enumerate() {
                let part = Part {
                    service: loss.service.clone(),
                    id: *id,
                };
                if !self.was_served_after(&part, seen.at) {
                    let losses = suspects.entry((index, part)).or_default();
                    losses.push((loss, seen));
                }
            }
        }
        // A part comes with those before it, but not the other way round, so a later part has fewer
        // requests beside its own and tells more.
        let mut last_first = suspects.into_values().rev();
        last_first.find_map(|losses| self.cause_of(now, &losses))
    }

    /// What all these losses of one service have in common, if they show a cause.
    fn cause_of(&self, now: Time, losses: &[(&Loss, Seen)]) -> Option<Cause> {
        let service = &losses.first()?.0.service;
        let mut times: Vec<Time> = losses.iter().map(|(_, seen)| seen.at).collect();
        times.sort_unstable();
        let first = *times.first()?;
        let answers_before = losses.iter().map(|(_, seen)| seen.answers_before).min()?;
        let answers = self.answer_count(service).saturating_sub(answers_before);
        let is_shown = count_events(&times) >= CRASHES_MIN
            && now.since(first) >= SETTLE_TIME
            && answers >= ANSWERS_MIN;
        if !is_shown {
            return None;
        }
        let mut parts: BTreeSet<u64> = losses.first()?.0.parts.iter().copied().collect();
        for (loss, _) in losses {
            parts.retain(|part| loss.parts.contains(part));
        }
        Some(Cause {
            service: service.clone(),
            parts,
        })
    }
}

/// Number of crashes among ordered times that are not one event.
fn count_events(times: &[Time]) -> usize {
    let mut last: Option<Time> = None;
    let mut count = 0;
    for time in times {
        if last.is_none_or(|last| time.since(last) >= SAME_EVENT) {
            last = Some(*time);
            count += 1;
        }
    }
    count
}
