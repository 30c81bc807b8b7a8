//! What the service's answer for one key means.

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
use super::Written;
use crate::claim::Claimer;
use crate::claim::Record;
use crate::request;

impl Claims {
    pub(super) fn settle(&mut self, now: Time, item: Item, written: Written) {
        let Some(entry) = self.entries.get(&item.key) else {
            return;
        };
        match entry.state {
            State::Claiming {
                request, deadline, ..
            } => {
                self.deadlines.remove(&(deadline, request));
                if let Some(verdict) = self.claimed(now, &item, request, deadline, written) {
                    self.requests.remove(&request);
                    self.entries.remove(&item.key);
                    self.verdict(request, verdict);
                }
            }
            State::Writing(_) => self.wrote(now, item, &written),
            State::Running => {}
        }
    }

    /// The result of a claim; a verdict if the claim is not this process's.
    fn claimed(
        &mut self,
        now: Time,
        item: &Item,
        request: request::Id,
        deadline: Time,
        written: Written,
    ) -> Option<Verdict> {
        let found = match written {
            Written::At(revision) => {
                self.run(now, item, request, deadline, revision);
                return None;
            }
            Written::Found(found) => found,
        };
        let Some(Found { revision, record }) = found else {
            // The key expired between the read of its released claim and this one.
            self.claim_again(now, item, request, deadline, Revision(0));
            return None;
        };
        let Some(record) = record else {
            return Some(Verdict::Unknown);
        };
        if record.fingerprint != item.fingerprint {
            return Some(Verdict::Mismatch);
        }
        match record.stage {
            // A claim whose reply was lost shows as the process's own.
            Stage::Claimed if record.claimer == item.claimer => {
                self.run(now, item, request, deadline, revision);
                None
            }
            Stage::Claimed if self.runs(&record.claimer) => Some(Verdict::Running),
            Stage::Claimed => Some(Verdict::Unknown),
            Stage::Released => {
                self.claim_again(now, item, request, deadline, revision);
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

    /// Whether a claimer may still finish its request. Claims of this process that it does not
    /// know any more were never run, and nobody will.
    fn runs(&self, claimer: &Claimer) -> bool {
        claimer.host != self.host && self.peers.get(&claimer.host) == Some(&claimer.incarnation)
    }

    fn run(
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
        entry.replaces = revision;
        if now < deadline {
            entry.state = State::Running;
            self.verdict(request, Verdict::Run);
            return;
        }
        entry.state = State::Writing(Stage::Released);
        self.requests.remove(&request);
        let verdict = self.refused(now);
        self.verdict(request, verdict);
        self.enqueue(now, Arc::clone(&item.key), Duration::ZERO);
    }

    fn claim_again(
        &mut self,
        now: Time,
        item: &Item,
        request: request::Id,
        deadline: Time,
        replaces: Revision,
    ) {
        if let Some(entry) = self.entries.get_mut(&item.key) {
            entry.replaces = replaces;
            self.deadlines.insert((deadline, request));
            self.enqueue(now, Arc::clone(&item.key), Duration::ZERO);
        }
    }

    /// The result of a write of a stage, or of a claim that was given up while in flight.
    fn wrote(&mut self, now: Time, item: Item, written: &Written) {
        let claimed_at = match written {
            Written::At(revision) => (item.stage == Stage::Claimed).then_some(*revision),
            Written::Found(found) => found.as_ref().and_then(|found| {
                let record = found.record.as_ref()?;
                is_own_claim(record, &item.claimer).then_some(found.revision)
            }),
        };
        let Some(entry) = self.entries.get_mut(&item.key) else {
            return;
        };
        if let Some(revision) = claimed_at {
            entry.replaces = revision;
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
        self.memory
            .insert(now, key, item.fingerprint, outcome, false);
    }
}

fn is_own_claim(record: &Record, claimer: &Claimer) -> bool {
    record.stage == Stage::Claimed && record.claimer == *claimer
}
