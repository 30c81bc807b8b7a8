//! Handles an arriving key, and decides on it if no call to the store is needed.

use std::sync::Arc;

use super::BATCH_DELAY;
use super::Claims;
use super::Entry;
use super::Fingerprint;
use super::Outcome;
use super::QUEUE_KEYS_MAX;
use super::RETENTION;
use super::RETRY_AFTER_MIN;
use super::Revision;
use super::Stage;
use super::State;
use super::Time;
use super::Verdict;
use crate::claim::Issued;
use crate::claim::KEY_BYTES_MAX;
use crate::claim::record;
use crate::name;
use crate::request;

impl Claims {
    pub(super) fn arrive(
        &mut self,
        now: Time,
        request: request::Id,
        workspace: &name::Workspace,
        key: &str,
        fingerprint: Fingerprint,
        deadline: Time,
    ) -> Option<Verdict> {
        if key.is_empty() || key.len() > KEY_BYTES_MAX {
            return Some(Verdict::Invalid("an idempotency key has 1 to 255 bytes"));
        }
        let issued = Issued::parse(key);
        if let Some(verdict) = issued.as_ref().and_then(|key| self.unaccepted(now, key)) {
            return Some(verdict);
        }
        let storage_key: Arc<str> = record::storage_key(workspace, key).into();
        if let Some(verdict) = self.existing(now, &storage_key, fingerprint) {
            return Some(verdict);
        }
        let process_local = issued.is_some();
        if (!process_local && !self.accepts_claims(now)) || !self.outcomes.has_room() {
            return Some(self.rejection(now));
        }
        self.attempts += 1;
        let state = if process_local {
            State::Running
        } else {
            State::Claiming {
                request,
                deadline,
                sent: false,
            }
        };
        let entry = Entry {
            fingerprint,
            attempt: self.attempts,
            expected: Revision::new(0),
            process_local,
            state,
        };
        self.entries.insert(Arc::clone(&storage_key), entry);
        self.requests.insert(request, Arc::clone(&storage_key));
        if process_local {
            return Some(Verdict::Run);
        }
        self.deadlines.insert((deadline, request));
        self.enqueue(now, storage_key, BATCH_DELAY);
        None
    }

    /// The verdict on an issued key that this process does not accept: another process or an
    /// earlier incarnation issued it, or its outcome may have expired.
    fn unaccepted(&self, now: Time, issued: &Issued) -> Option<Verdict> {
        if issued.host != self.host {
            let alive = self.peers.get(&issued.host) == Some(&issued.incarnation);
            return Some(if alive {
                Verdict::Forward(issued.host.clone())
            } else {
                Verdict::Unknown
            });
        }
        let accepted = issued.incarnation == self.incarnation && issued.is_recent(now, RETENTION);
        (!accepted).then_some(Verdict::Unknown)
    }

    /// The verdict on a key that is in use or settled at this process.
    fn existing(&self, now: Time, key: &str, fingerprint: Fingerprint) -> Option<Verdict> {
        if let Some(entry) = self.entries.get(key) {
            return Some(match &entry.state {
                _ if entry.fingerprint != fingerprint => Verdict::Mismatch,
                State::Claiming { .. } | State::Running => Verdict::Running,
                State::Writing(Stage::Answered(answer)) => Verdict::Answer(answer.clone()),
                State::Writing(Stage::Unknown) => Verdict::Unknown,
                State::Writing(_) => self.rejection(now),
            });
        }
        let (settled_fingerprint, outcome) = self.outcomes.get(key)?;
        Some(match outcome {
            _ if settled_fingerprint != fingerprint => Verdict::Mismatch,
            Outcome::Answered(answer) => Verdict::Answer(answer.clone()),
            Outcome::Unknown | Outcome::NotRun => Verdict::Unknown,
        })
    }

    /// Whether new keys can be claimed. While the store is unavailable, one key at a time is tried.
    fn accepts_claims(&self, now: Time) -> bool {
        match self.retry_at {
            Some(at) => now >= at && self.pending.is_none() && self.queue.is_empty(),
            None => self.queue.len() < QUEUE_KEYS_MAX,
        }
    }

    pub(super) fn rejection(&self, now: Time) -> Verdict {
        let wait = self.retry_at.unwrap_or_default().since(now);
        Verdict::Refused {
            retry_after: wait.max(RETRY_AFTER_MIN),
        }
    }
}
