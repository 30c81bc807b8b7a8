//! The state machine for the claims of one router process.

mod arrive;
mod settle;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::Action;
use super::Claimer;
use super::Event;
use super::Fingerprint;
use super::Issued;
use super::Outcome;
use super::Stage;
use super::Verdict;
use super::outcomes::Outcomes;
use super::transaction;
use super::transaction::Found;
use super::transaction::Item;
use super::transaction::Write;
use crate::kv::Backoff;
use crate::kv::Call;
use crate::kv::CallId;
use crate::kv::Fault;
use crate::kv::Lease;
use crate::kv::Reply;
use crate::kv::Revision;
use crate::name;
use crate::request;
use crate::time::Time;

/// How long a claim waits so that others can share its transaction.
const BATCH_DELAY: Duration = Duration::from_millis(3);
/// How long an outcome waits so that it can share a transaction with a claim. Until it is written,
/// retries at other routers see the request as running, and a crash makes its outcome unknown.
const RECORD_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of keys in one transaction. The store's default limit is 128 operations.
const BATCH_KEYS_MAX: usize = 60;
/// Maximum number of keys that wait for a transaction. With a slow store a longer queue only adds
/// latency.
const QUEUE_KEYS_MAX: usize = 4_096;
/// How long claims are kept.
const RETENTION: Duration = Duration::from_hours(24);
/// How long new claims are attached to the same lease.
const LEASE_REUSE: Duration = Duration::from_hours(1);
/// Time to live of a lease, long enough to keep the last claim attached to it for [`RETENTION`].
const LEASE_TTL: Duration = Duration::from_hours(25);
/// Wait after the first failed call.
const RETRY_FIRST: Duration = Duration::from_millis(500);
/// Longest wait between retries.
const RETRY_LONGEST: Duration = Duration::from_secs(10);
/// Shortest wait suggested to the caller of a rejected request.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// Consecutive failures after which the store counts as unavailable. A first failure may be a
/// single lost reply, which a resend resolves.
const FAILURES_UNAVAILABLE: u32 = 2;

#[derive(Clone, Debug)]
enum State {
    /// The claim is queued or in flight.
    Claiming {
        request: request::Id,
        deadline: Time,
        /// Whether a claim was sent that may have taken effect.
        sent: bool,
    },
    /// The request may run.
    Running,
    /// The stage must be written; an abandoned claim writes [`Stage::Released`].
    Writing(Stage),
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: Fingerprint,
    attempt: u64,
    /// The revision that the next write requires; zero if the key must not exist.
    expected: Revision,
    /// Whether the key was issued by this process and is not in the store.
    process_local: bool,
    state: State,
}

#[derive(Debug)]
enum Pending {
    Grant { id: CallId, sent: Time },
    Batch { id: CallId, items: Vec<Item> },
}

/// The claims of one router process.
#[derive(Debug)]
pub struct Claims {
    host: name::Host,
    incarnation: name::Incarnation,
    peers: BTreeMap<name::Host, name::Incarnation>,
    entries: BTreeMap<Arc<str>, Entry>,
    requests: BTreeMap<request::Id, Arc<str>>,
    deadlines: BTreeSet<(Time, request::Id)>,
    outcomes: Outcomes,
    /// Keys whose claim or stage must be written.
    queue: VecDeque<Arc<str>>,
    flush_at: Time,
    /// The call in flight; there is at most one.
    pending: Option<Pending>,
    lease: Option<(Lease, Time)>,
    /// The time of the next call while the store is unavailable.
    retry_at: Option<Time>,
    backoff: Backoff,
    calls: CallId,
    attempts: u64,
    actions: VecDeque<Action>,
}

impl Claims {
    /// Creates the state without any claim; `seed` must differ between processes.
    pub fn new(host: name::Host, incarnation: name::Incarnation, seed: u64) -> Self {
        Self {
            host,
            incarnation,
            peers: BTreeMap::new(),
            entries: BTreeMap::new(),
            requests: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            outcomes: Outcomes::default(),
            queue: VecDeque::new(),
            flush_at: Time::NEVER,
            pending: None,
            lease: None,
            retry_at: None,
            backoff: Backoff::new(seed, RETRY_FIRST, RETRY_LONGEST),
            calls: CallId::default(),
            attempts: 0,
            actions: VecDeque::new(),
        }
    }

    /// Issues a key that only this process accepts, for `POST /v1/idempotency-keys`.
    pub fn issue(&mut self, now: Time) -> String {
        let issued = Issued {
            host: self.host.clone(),
            incarnation: self.incarnation,
            second: now.0 / 1_000_000,
            nonce: self.backoff.random(),
        };
        issued.to_string()
    }

    /// Whether the store counts as unavailable.
    pub const fn is_unavailable(&self) -> bool {
        self.retry_at.is_some()
    }

    /// Whether outcomes are still to be written; a process should wait for them before it stops.
    pub fn is_recording(&self) -> bool {
        let mut states = self.entries.values().map(|entry| &entry.state);
        states.any(|state| matches!(state, State::Writing(_)))
    }

    /// Removes and returns the pending actions in order.
    pub fn drain(&mut self) -> impl Iterator<Item = Action> + '_ {
        self.actions.drain(..)
    }

    /// The latest time of the next [`Event::Tick`].
    pub fn next_wake(&self) -> Time {
        let deadline = self.deadlines.first().map_or(Time::NEVER, |(at, _)| *at);
        if self.pending.is_some() || self.queue.is_empty() {
            return deadline;
        }
        deadline.min(self.flush_at.max(self.retry_at.unwrap_or_default()))
    }

    /// Processes an event; [`Self::drain`] returns the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Arrive {
                request,
                workspace,
                key,
                fingerprint,
                deadline,
            } => {
                let verdict = self.arrive(now, request, &workspace, &key, fingerprint, deadline);
                if let Some(verdict) = verdict {
                    self.push_verdict(request, verdict);
                }
            }
            Event::End { request, outcome } => self.end(now, request, outcome),
            Event::Reply { id, result } => self.handle_reply(now, id, result),
            Event::PeerSeen(host, incarnation) => {
                let known = self.peers.entry(host).or_insert(incarnation);
                *known = incarnation.max(*known);
            }
            Event::PeerRemoved(host) => {
                self.peers.remove(&host);
            }
            Event::Tick => {}
        }
        self.expire_deadlines(now);
        self.outcomes.expire(now, RETENTION);
        self.send(now);
    }

    fn push_verdict(&mut self, request: request::Id, verdict: Verdict) {
        self.actions.push_back(Action::Verdict { request, verdict });
    }

    fn enqueue(&mut self, now: Time, key: Arc<str>, delay: Duration) {
        let due = now + delay;
        self.flush_at = if self.queue.is_empty() {
            due
        } else {
            self.flush_at.min(due)
        };
        self.queue.push_back(key);
    }

    fn end(&mut self, now: Time, request: request::Id, outcome: Outcome) {
        let Some(key) = self.requests.remove(&request) else {
            return;
        };
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if let State::Claiming { deadline, .. } = entry.state {
            self.deadlines.remove(&(deadline, request));
            self.abandon(now, &key);
            return;
        }
        if entry.process_local {
            let fingerprint = entry.fingerprint;
            self.entries.remove(&key);
            if outcome != Outcome::NotRun {
                self.outcomes.insert(now, key, fingerprint, outcome, true);
            }
            return;
        }
        entry.state = State::Writing(Stage::of(outcome));
        self.enqueue(now, key, RECORD_DELAY);
    }

    /// Abandons a claim whose request has not run. If the claim may have taken effect it is
    /// released, which also prevents a delayed copy of it from taking effect.
    fn abandon(&mut self, now: Time, key: &Arc<str>) {
        let in_flight = self.is_in_flight(key);
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        match entry.state {
            State::Claiming { sent: true, .. } => {
                entry.state = State::Writing(Stage::Released);
                if !in_flight {
                    self.enqueue(now, Arc::clone(key), RECORD_DELAY);
                }
            }
            State::Claiming { sent: false, .. } => {
                self.entries.remove(key);
            }
            State::Running | State::Writing(_) => {}
        }
    }

    fn is_in_flight(&self, key: &str) -> bool {
        match &self.pending {
            Some(Pending::Batch { items, .. }) => items.iter().any(|item| &*item.key == key),
            _ => false,
        }
    }

    /// Rejects a request that waits for its claim, and abandons the claim.
    fn reject(&mut self, now: Time, request: request::Id) {
        let Some(key) = self.requests.remove(&request) else {
            return;
        };
        let verdict = self.rejection(now);
        self.push_verdict(request, verdict);
        self.abandon(now, &key);
    }

    fn expire_deadlines(&mut self, now: Time) {
        while let Some((deadline, request)) = self.deadlines.first().copied()
            && deadline <= now
        {
            self.deadlines.pop_first();
            self.reject(now, request);
        }
    }

    fn send(&mut self, now: Time) {
        let at = self.flush_at.max(self.retry_at.unwrap_or_default());
        if self.pending.is_some() || self.queue.is_empty() || now < at {
            return;
        }
        let is_reusable = |(_, granted): &(Lease, Time)| now.since(*granted) < LEASE_REUSE;
        let Some((lease, _)) = self.lease.filter(is_reusable) else {
            let ttl_s = LEASE_TTL.as_secs();
            let id = self.call(Call::Grant { ttl_s });
            self.pending = Some(Pending::Grant { id, sent: now });
            return;
        };
        let items = self.take_batch();
        if items.is_empty() {
            return;
        }
        let id = self.call(transaction::call(&items, lease));
        self.pending = Some(Pending::Batch { id, items });
    }

    fn call(&mut self, call: Call) -> CallId {
        let id = self.calls.advance();
        self.actions.push_back(Action::Call { id, call });
        id
    }

    fn take_batch(&mut self) -> Vec<Item> {
        let mut items: Vec<Item> = Vec::new();
        while items.len() < BATCH_KEYS_MAX
            && let Some(key) = self.queue.pop_front()
        {
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            if items.iter().any(|item| item.key == key) {
                continue;
            }
            let (stage, resent) = match &mut entry.state {
                State::Claiming { sent, .. } => (Stage::Claimed, std::mem::replace(sent, true)),
                State::Writing(stage) => (stage.clone(), true),
                State::Running => continue,
            };
            items.push(Item {
                key,
                claimer: Claimer {
                    host: self.host.clone(),
                    incarnation: self.incarnation,
                    attempt: entry.attempt,
                },
                fingerprint: entry.fingerprint,
                stage,
                expected: entry.expected,
                resent,
            });
        }
        items
    }

    fn handle_reply(&mut self, now: Time, id: CallId, result: Result<Reply, Fault>) {
        match self.pending.take() {
            Some(Pending::Grant { id: sent_id, sent }) if sent_id == id => match result {
                Ok(Reply::Grant { lease, .. }) => {
                    self.lease = Some((lease, sent));
                    self.flush_at = now;
                }
                _ => self.handle_failure(now),
            },
            Some(Pending::Batch { id: sent_id, items }) if sent_id == id => {
                let fault = result.as_ref().err().copied();
                let writes = result
                    .ok()
                    .and_then(|reply| transaction::results(&reply, items.len()));
                match writes {
                    Some(writes) => self.handle_results(now, items, writes),
                    None => self.requeue(now, items, fault.unwrap_or(Fault::Lost)),
                }
            }
            other => self.pending = other,
        }
    }

    fn handle_results(&mut self, now: Time, items: Vec<Item>, writes: Vec<Write>) {
        self.backoff.reset();
        self.retry_at = None;
        for (item, write) in items.into_iter().zip(writes) {
            self.settle(now, item, write);
        }
    }

    fn requeue(&mut self, now: Time, items: Vec<Item>, fault: Fault) {
        if fault == Fault::Refused {
            // The lease no longer exists, for example after the store was restored.
            self.lease = None;
        }
        for item in items.into_iter().rev() {
            if let Some(entry) = self.entries.get_mut(&item.key)
                && let State::Claiming { sent, .. } = &mut entry.state
                && fault != Fault::Lost
            {
                *sent = item.resent;
            }
            self.queue.push_front(item.key);
        }
        self.flush_at = now;
        self.handle_failure(now);
    }

    fn handle_failure(&mut self, now: Time) {
        let wait = self.backoff.fail();
        if self.backoff.failures() < FAILURES_UNAVAILABLE {
            return;
        }
        self.retry_at = Some(now + wait);
        for (_, request) in std::mem::take(&mut self.deadlines) {
            self.reject(now, request);
        }
        self.queue.retain(|key| self.entries.contains_key(key));
    }
}
