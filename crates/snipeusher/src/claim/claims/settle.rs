//! Handles the store's result for one key of a batch.

use std::sync::Arc;
use std::time::Duration;

use super::Claims;
use super::Found;
use super::Item;
use super::Outcome;
use super::Revision;
use super::Stage;
use super::State;
use super::Time;
use super::Verdict;
use super::Write;
use crate::claim::Claimer;
use crate::claim::Record;
use crate::request;

impl Claims {
    pub(super) fn settle(&mut self, now: Time, item: Item, write: Write) {
        let Some(entry) = self.entries.get(&item.key) else {
            return;
        };
        match entry.state {
            State::Claiming {
                request, deadline, ..
            } => {
                self.deadlines.remove(&(deadline, request));
                if let Some(verdict) = self.handle_claim(now, &item, request, deadline, write) {
                    self.requests.remove(&request);
                    self.entries.remove(&item.key);
                    self.push_verdict(request, verdict);
                }
            }
            State::Writing(_) => self.handle_write(now, item, &write),
            State::Running => {}
        }
    }

    /// Handles the result of a claim; returns a verdict if the claim did not succeed.
    fn handle_claim(
        &mut self,
        now: Time,
        item: &Item,
        request: request::Id,
        deadline: Time,
        write: Write,
    ) -> Option<Verdict> {
        let found = match write {
            Write::Applied(revision) => {
                self.start(now, item, request, deadline, revision);
                return None;
            }
            Write::Conflict(found) => found,
        };
        let Some(Found { revision, record }) = found else {
            // The released claim expired after it was read, so the key no longer exists.
            self.retry_claim(now, item, request, deadline, Revision::new(0));
            return None;
        };
        let Some(record) = record else {
            return Some(Verdict::Unknown);
        };
        if record.fingerprint != item.fingerprint {
            return Some(Verdict::Mismatch);
        }
        match record.stage {
            // This claim took effect, but the reply to an earlier send was lost.
            Stage::Claimed if record.claimer == item.claimer => {
                self.start(now, item, request, deadline, revision);
                None
            }
            Stage::Claimed if self.may_be_running(&record.claimer) => Some(Verdict::Running),
            Stage::Claimed => Some(Verdict::Unknown),
            Stage::Released => {
                self.retry_claim(now, item, request, deadline, revision);
                None
            }
            Stage::Unknown => {
                self.remember(now, item, Outcome::Unknown);
                Some(Verdict::Unknown)
            }
            Stage::Answered(answer) => {
                self.remember(now, item, Outcome::Answered(answer.clone()));
                Some(Verdict::Answer(answer))
            }
        }
    }

    /// Whether a claimer may still be running its request. A claim of this process that is no
    /// longer among its entries is not running and never will be.
    fn may_be_running(&self, claimer: &Claimer) -> bool {
        claimer.host != self.host && self.peers.get(&claimer.host) == Some(&claimer.incarnation)
    }

    fn start(
        &mut self,
        now: Time,
        item: &Item,
        request: request::Id,
        deadline: Time,
        revision: Revision,
    ) {
        let Some(entry) = self.entries.get_mut(&item.key) else {
            return;
        };
        entry.expected = revision;
        if now < deadline {
            entry.state = State::Running;
            self.push_verdict(request, Verdict::Run);
            return;
        }
        entry.state = State::Writing(Stage::Released);
        self.requests.remove(&request);
        let verdict = self.rejection(now);
        self.push_verdict(request, verdict);
        self.enqueue(now, Arc::clone(&item.key), Duration::ZERO);
    }

    fn retry_claim(
        &mut self,
        now: Time,
        item: &Item,
        request: request::Id,
        deadline: Time,
        expected: Revision,
    ) {
        if let Some(entry) = self.entries.get_mut(&item.key) {
            entry.expected = expected;
            self.deadlines.insert((deadline, request));
            self.enqueue(now, Arc::clone(&item.key), Duration::ZERO);
        }
    }

    /// Handles the result of a write of a stage, or of a claim abandoned while in flight.
    fn handle_write(&mut self, now: Time, item: Item, write: &Write) {
        let claimed_at = match write {
            Write::Applied(revision) => (item.stage == Stage::Claimed).then_some(*revision),
            Write::Conflict(found) => found.as_ref().and_then(|found| {
                let record = found.record.as_ref()?;
                is_own_claim(record, &item.claimer).then_some(found.revision)
            }),
        };
        let Some(entry) = self.entries.get_mut(&item.key) else {
            return;
        };
        if let Some(revision) = claimed_at {
            entry.expected = revision;
            self.enqueue(now, item.key, Duration::ZERO);
            return;
        }
        match item.stage {
            Stage::Answered(ref answer) => {
                self.remember(now, &item, Outcome::Answered(answer.clone()));
            }
            Stage::Unknown => self.remember(now, &item, Outcome::Unknown),
            Stage::Claimed | Stage::Released => {}
        }
        self.entries.remove(&item.key);
    }

    fn remember(&mut self, now: Time, item: &Item, outcome: Outcome) {
        let key = Arc::clone(&item.key);
        self.outcomes
            .insert(now, key, item.fingerprint, outcome, false);
    }
}

fn is_own_claim(record: &Record, claimer: &Claimer) -> bool {
    record.stage == Stage::Claimed && record.claimer == *claimer
}
