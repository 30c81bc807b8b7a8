//! The verdict on an arriving key, as far as it needs no call.

use std::sync::Arc;

use super::BATCH_DELAY;
use super::Claims;
use super::Entry;
use super::Fingerprint;
use super::KEPT;
use super::Outcome;
use super::QUEUE_KEYS;
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
        if let Some(elsewhere) = issued.as_ref().and_then(|key| self.elsewhere(now, key)) {
            return Some(elsewhere);
        }
        let stored: Arc<str> = record::storage_key(workspace, key).into();
        if let Some(verdict) = self.known(now, &stored, fingerprint) {
            return Some(verdict);
        }
        let sole = issued.is_some();
        if (!sole && !self.is_open(now)) || !self.memory.has_room() {
            return Some(self.refused(now));
        }
        self.attempts += 1;
        let state = if sole {
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
            replaces: Revision(0),
            sole,
            state,
        };
        self.entries.insert(Arc::clone(&stored), entry);
        self.requests.insert(request, Arc::clone(&stored));
        if sole {
            return Some(Verdict::Run);
        }
        self.deadlines.insert((deadline, request));
        self.enqueue(now, stored, BATCH_DELAY);
        None
    }

    /// The verdict on a key that another process issued, or that this one issued too long ago.
    fn elsewhere(&self, now: Time, issued: &Issued) -> Option<Verdict> {
        if issued.host != self.host {
            let alive = self.peers.get(&issued.host) == Some(&issued.incarnation);
            return Some(if alive {
                Verdict::Forward(issued.host.clone())
            } else {
                Verdict::Unknown
            });
        }
        let own = issued.incarnation == self.incarnation && issued.is_recent(now, KEPT);
        (!own).then_some(Verdict::Unknown)
    }

    /// The verdict on a key that this process remembers.
    fn known(&self, now: Time, key: &str, fingerprint: Fingerprint) -> Option<Verdict> {
        if let Some(entry) = self.entries.get(key) {
            return Some(match &entry.state {
                _ if entry.fingerprint != fingerprint => Verdict::Mismatch,
                State::Claiming { .. } | State::Running => Verdict::Running,
                State::Writing(Stage::Answered(answer)) => Verdict::Answer(answer.clone()),
                State::Writing(Stage::Unknown) => Verdict::Unknown,
                State::Writing(_) => self.refused(now),
            });
        }
        let (settled, outcome) = self.memory.get(key)?;
        Some(match outcome {
            _ if settled != fingerprint => Verdict::Mismatch,
            Outcome::Answered(answer) => Verdict::Answer(answer.clone()),
            Outcome::Unknown | Outcome::NotRun => Verdict::Unknown,
        })
    }

    /// Whether new keys can be claimed; while the service is out, one key at a time tries it.
    fn is_open(&self, now: Time) -> bool {
        match self.retry_at {
            Some(at) => now >= at && self.flight.is_none() && self.queue.is_empty(),
            None => self.queue.len() < QUEUE_KEYS,
        }
    }

    pub(super) fn refused(&self, now: Time) -> Verdict {
        let wait = self.retry_at.unwrap_or_default().since(now);
        Verdict::Refused {
            retry_after: wait.max(RETRY_AFTER_MIN),
        }
    }
}
