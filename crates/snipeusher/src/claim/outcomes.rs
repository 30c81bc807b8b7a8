//! Outcomes of settled keys, kept in bounded memory to answer retries without a call.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::Answer;
use super::Fingerprint;
use super::Outcome;
use crate::time::Time;

/// Maximum size in bytes of all settled keys and responses. A daemon has 128 MB for all control
/// work.
const BYTES_MAX: usize = 16 << 20;
/// Estimated size of an entry without its body: the key twice, tree and queue nodes and the
/// fingerprint.
const ENTRY_BYTES: usize = 512;

#[derive(Debug)]
struct Settled {
    fingerprint: Fingerprint,
    outcome: Outcome,
}

/// Outcomes by key; the oldest are evicted first.
#[derive(Debug, Default)]
pub(super) struct Outcomes {
    settled: BTreeMap<Arc<str>, Settled>,
    /// Keys that are also in the store, oldest first.
    cached: VecDeque<Arc<str>>,
    /// Keys that are not in the store, oldest first, with the time at which they were settled.
    process_local: VecDeque<(Time, Arc<str>)>,
    bytes: usize,
}

impl Outcomes {
    pub(super) fn get(&self, key: &str) -> Option<(Fingerprint, &Outcome)> {
        let settled = self.settled.get(key)?;
        Some((settled.fingerprint, &settled.outcome))
    }

    /// Whether there is room for further outcomes that are not in the store.
    pub(super) const fn has_room(&self) -> bool {
        self.bytes < BYTES_MAX
    }

    /// Stores an outcome; `process_local` if the key is not in the store.
    pub(super) fn insert(
        &mut self,
        now: Time,
        key: Arc<str>,
        fingerprint: Fingerprint,
        outcome: Outcome,
        process_local: bool,
    ) {
        self.bytes += size(&outcome);
        let settled = Settled {
            fingerprint,
            outcome,
        };
        if process_local {
            self.process_local.push_back((now, Arc::clone(&key)));
        } else {
            self.cached.push_back(Arc::clone(&key));
        }
        if let Some(previous) = self.settled.insert(key, settled) {
            self.bytes -= size(&previous.outcome);
        }
        while self.bytes > BYTES_MAX && self.evict() {}
    }

    /// Removes process-local outcomes that are older than `retention`.
    pub(super) fn expire(&mut self, now: Time, retention: Duration) {
        while let Some((since, _)) = self.process_local.front()
            && now.since(*since) >= retention
        {
            if let Some((_, key)) = self.process_local.pop_front() {
                self.remove(&key);
            }
        }
    }

    /// Evicts the oldest outcome that is also in the store, or else the body of the oldest one that
    /// is not. Returns whether it freed any memory.
    fn evict(&mut self) -> bool {
        if let Some(key) = self.cached.pop_front() {
            self.remove(&key);
            return true;
        }
        let oldest = self.process_local.iter().find_map(|(_, key)| {
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
