//! Settled keys that a process answers without a call, within a bound of bytes.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::Answer;
use super::Fingerprint;
use super::Outcome;
use crate::time::Time;

/// Bytes of settled keys and answers; a daemon has 128 MB for all control work.
const BYTES_MAX: usize = 16 << 20;
/// What an entry takes beside its body, roughly: the key twice, the nodes and the fingerprint.
const ENTRY_BYTES: usize = 512;

#[derive(Debug)]
struct Settled {
    fingerprint: Fingerprint,
    outcome: Outcome,
}

/// Outcomes by key, oldest out first.
#[derive(Debug, Default)]
pub(super) struct Memory {
    settled: BTreeMap<Arc<str>, Settled>,
    /// Keys that the service holds too, oldest first.
    cached: VecDeque<Arc<str>>,
    /// Keys that only this process knows, oldest first, with the time of their end.
    sole: VecDeque<(Time, Arc<str>)>,
    bytes: usize,
}

impl Memory {
    pub(super) fn get(&self, key: &str) -> Option<(Fingerprint, &Outcome)> {
        let settled = self.settled.get(key)?;
        Some((settled.fingerprint, &settled.outcome))
    }

    /// Whether outcomes that only this process knows leave room for more.
    pub(super) const fn has_room(&self) -> bool {
        self.bytes < BYTES_MAX
    }

    /// Keeps an outcome; `sole` if the service does not hold it.
    pub(super) fn insert(
        &mut self,
        now: Time,
        key: Arc<str>,
        fingerprint: Fingerprint,
        outcome: Outcome,
        sole: bool,
    ) {
        self.bytes += size(&outcome);
        let settled = Settled {
            fingerprint,
            outcome,
        };
        if sole {
            self.sole.push_back((now, Arc::clone(&key)));
        } else {
            self.cached.push_back(Arc::clone(&key));
        }
        if let Some(previous) = self.settled.insert(key, settled) {
            self.bytes -= size(&previous.outcome);
        }
        while self.bytes > BYTES_MAX && self.shrink() {}
    }

    /// Forgets what is older than the time for which outcomes are kept.
    pub(super) fn expire(&mut self, now: Time, kept: Duration) {
        while let Some((since, _)) = self.sole.front()
            && now.since(*since) >= kept
        {
            if let Some((_, key)) = self.sole.pop_front() {
                self.remove(&key);
            }
        }
    }

    /// Drops the oldest outcome that the service holds too, or else the oldest body.
    fn shrink(&mut self) -> bool {
        if let Some(key) = self.cached.pop_front() {
            self.remove(&key);
            return true;
        }
        let oldest = self.sole.iter().find_map(|(_, key)| {
            let settled = self.settled.get(key)?;
            matches!(
                settled.outcome,
                Outcome::Answered(Answer { body: Some(_), .. })
            )
            .then(|| Arc::clone(key))
        });
        let Some(settled) = oldest.and_then(|key| self.settled.get_mut(&key)) else {
            return false;
        };
        let before = size(&settled.outcome);
        if let Outcome::Answered(answer) = &mut settled.outcome {
            answer.body = None;
        }
        self.bytes -= before - size(&settled.outcome);
        true
    }

    fn remove(&mut self, key: &str) {
        if let Some(settled) = self.settled.remove(key) {
            self.bytes -= size(&settled.outcome);
        }
    }
}

fn size(outcome: &Outcome) -> usize {
    let body = match outcome {
        Outcome::Answered(answer) => answer.body.as_ref().map_or(0, |body| body.len()),
        Outcome::NotRun | Outcome::Unknown => 0,
    };
    ENTRY_BYTES + body
}
