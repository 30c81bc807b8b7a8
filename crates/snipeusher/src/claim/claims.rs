//! The state machine of one process's claims.

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
use super::memory::Memory;
use super::transaction;
use super::transaction::Found;
use super::transaction::Item;
use super::transaction::Written;
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

/// How long a claim waits for others to share its transaction.
const BATCH_DELAY: Duration = Duration::from_millis(3);
/// How long an outcome waits for a claim that takes it along. Repeats at other routers are told
/// that the request still runs until then, and a crash leaves the outcome unknown.
const RECORD_DELAY: Duration = Duration::from_millis(200);
/// Most keys in one transaction; the service's default limit is 128 operations.
const BATCH_KEYS: usize = 60;
/// Most keys that wait for a transaction; beyond it a slow service would only lengthen the wait.
const QUEUE_KEYS: usize = 4_096;
/// How long claims are kept.
const KEPT: Duration = Duration::from_hours(24);
/// How long one lease takes new claims.
const LEASE_SHARED: Duration = Duration::from_hours(1);
/// Time to live of a lease: the last claim that shares it is still kept long enough.
const LEASE_TTL: Duration = Duration::from_hours(25);
/// First wait after a failed call.
const RETRY_FIRST: Duration = Duration::from_millis(500);
/// Longest wait after failed calls.
const RETRY_LONGEST: Duration = Duration::from_secs(10);
/// Shortest time that a refused caller is told to wait.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// Failures in a row after which the service counts as out. The first may be a single lost
/// reply, which a resend resolves.
const FAILURES_OUT: u32 = 2;

#[derive(Clone, Debug)]
enum State {
    /// Waits for its claim.
    Claiming {
        request: request::Id,
        deadline: Time,
        /// Whether the claim may have taken effect.
        sent: bool,
    },
    /// May run.
    Running,
    /// Its stage must be written; a claim that was given up writes [`Stage::Released`].
    Writing(Stage),
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: Fingerprint,
    attempt: u64,
    /// The revision that the next write replaces; zero if the key must not exist.
    replaces: Revision,
    /// Whether the key was issued here and the service does not know it.
    sole: bool,
    state: State,
}

#[derive(Debug)]
enum Flight {
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
    memory: Memory,
    /// Keys whose entry has something to send.
    queue: VecDeque<Arc<str>>,
    flush_at: Time,
    flight: Option<Flight>,
    lease: Option<(Lease, Time)>,
    /// While the service is out: when it is called again.
    retry_at: Option<Time>,
    backoff: Backoff,
    calls: CallId,
    attempts: u64,
    actions: VecDeque<Action>,
}

impl Claims {
    /// Starts with no claim; `seed` must differ between processes.
    pub fn new(host: name::Host, incarnation: name::Incarnation, seed: u64) -> Self {
        Self {
            host,
            incarnation,
            peers: BTreeMap::new(),
            entries: BTreeMap::new(),
            requests: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            memory: Memory::default(),
            queue: VecDeque::new(),
            flush_at: Time::NEVER,
            flight: None,
            lease: None,
            retry_at: None,
            backoff: Backoff::new(seed, RETRY_FIRST, RETRY_LONGEST),
            calls: CallId::default(),
            attempts: 0,
            actions: VecDeque::new(),
        }
    }

    /// Issues a key that only this process runs, for `POST /v1/idempotency-keys`.
    pub fn issue(&mut self, now: Time) -> String {
        let issued = Issued {
            host: self.host.clone(),
            incarnation: self.incarnation,
            second: now.0 / 1_000_000,
            nonce: self.backoff.random(),
        };
        issued.to_string()
    }

    /// Whether the service is taken to be out.
    pub const fn is_unavailable(&self) -> bool {
        self.retry_at.is_some()
    }

    /// Whether outcomes wait to be recorded; a process that stops should wait for them.
    pub fn is_recording(&self) -> bool {
        let mut states = self.entries.values().map(|entry| &entry.state);
        states.any(|state| matches!(state, State::Writing(_)))
    }

    /// Takes the actions that are due, in order.
    pub fn drain(&mut self) -> impl Iterator<Item = Action> + '_ {
        self.actions.drain(..)
    }

    /// When [`Event::Tick`] must come at the latest.
    pub fn next_wake(&self) -> Time {
        let deadline = self.deadlines.first().map_or(Time::NEVER, |(at, _)| *at);
        if self.flight.is_some() || self.queue.is_empty() {
            return deadline;
        }
        deadline.min(self.flush_at.max(self.retry_at.unwrap_or_default()))
    }

    /// Takes one event at `now`; actions wait in [`Self::drain`].
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
                    self.verdict(request, verdict);
                }
            }
            Event::End { request, outcome } => self.end(now, request, outcome),
            Event::Reply { id, result } => self.reply(now, id, result),
            Event::PeerSeen(host, incarnation) => {
                let known = self.peers.entry(host).or_insert(incarnation);
                *known = incarnation.max(*known);
            }
            Event::PeerRemoved(host) => {
                self.peers.remove(&host);
            }
            Event::Tick => {}
        }
        self.pass_deadlines(now);
        self.memory.expire(now, KEPT);
        self.send(now);
    }

    fn verdict(&mut self, request: request::Id, verdict: Verdict) {
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
        if entry.sole {
            let fingerprint = entry.fingerprint;
            self.entries.remove(&key);
            if outcome != Outcome::NotRun {
                self.memory.insert(now, key, fingerprint, outcome, true);
            }
            return;
        }
        entry.state = State::Writing(Stage::of(outcome));
        self.enqueue(now, key, RECORD_DELAY);
    }

    /// Ends a claim without running it. If it may have taken effect it is released, which also
    /// keeps a delayed copy of it from taking effect later.
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
        match &self.flight {
            Some(Flight::Batch { items, .. }) => items.iter().any(|item| &*item.key == key),
            _ => false,
        }
    }

    /// Refuses a claim and gives the request its final answer.
    fn refuse(&mut self, now: Time, request: request::Id) {
        let Some(key) = self.requests.remove(&request) else {
            return;
        };
        let verdict = self.refused(now);
        self.verdict(request, verdict);
        self.abandon(now, &key);
    }

    fn pass_deadlines(&mut self, now: Time) {
        while let Some((deadline, request)) = self.deadlines.first().copied()
            && deadline <= now
        {
            self.deadlines.pop_first();
            self.refuse(now, request);
        }
    }

    fn send(&mut self, now: Time) {
        let at = self.flush_at.max(self.retry_at.unwrap_or_default());
        if self.flight.is_some() || self.queue.is_empty() || now < at {
            return;
        }
        let fresh = |(_, granted): &(Lease, Time)| now.since(*granted) < LEASE_SHARED;
        let Some((lease, _)) = self.lease.filter(fresh) else {
            let ttl_s = LEASE_TTL.as_secs();
            let id = self.call(Call::Grant { ttl_s });
            self.flight = Some(Flight::Grant { id, sent: now });
            return;
        };
        let items = self.batch();
        if items.is_empty() {
            return;
        }
        let id = self.call(transaction::call(&items, lease));
        self.flight = Some(Flight::Batch { id, items });
    }

    fn call(&mut self, call: Call) -> CallId {
        let id = self.calls.advance();
        self.actions.push_back(Action::Call { id, call });
        id
    }

    fn batch(&mut self) -> Vec<Item> {
        let mut items: Vec<Item> = Vec::new();
        while items.len() < BATCH_KEYS
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
                replaces: entry.replaces,
                resent,
            });
        }
        items
    }

    fn reply(&mut self, now: Time, id: CallId, result: Result<Reply, Fault>) {
        match self.flight.take() {
            Some(Flight::Grant { id: sent_id, sent }) if sent_id == id => match result {
                Ok(Reply::Grant { lease, .. }) => {
                    self.lease = Some((lease, sent));
                    self.flush_at = now;
                }
                _ => self.failed(now),
            },
            Some(Flight::Batch { id: sent_id, items }) if sent_id == id => {
                let fault = result.as_ref().err().copied();
                let written = result
                    .ok()
                    .and_then(|reply| transaction::results(&reply, items.len()));
                match written {
                    Some(written) => self.answered(now, items, written),
                    None => self.unanswered(now, items, fault.unwrap_or(Fault::Lost)),
                }
            }
            other => self.flight = other,
        }
    }

    fn answered(&mut self, now: Time, items: Vec<Item>, written: Vec<Written>) {
        self.backoff.reset();
        self.retry_at = None;
        for (item, written) in items.into_iter().zip(written) {
            self.settle(now, item, written);
        }
    }

    fn unanswered(&mut self, now: Time, items: Vec<Item>, fault: Fault) {
        if fault == Fault::Refused {
            // The lease is gone, for example after the service was restored.
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
        self.failed(now);
    }

    fn failed(&mut self, now: Time) {
        let wait = self.backoff.fail();
        if self.backoff.failures() < FAILURES_OUT {
            return;
        }
        self.retry_at = Some(now + wait);
        for (_, request) in std::mem::take(&mut self.deadlines) {
            self.refuse(now, request);
        }
        self.queue.retain(|key| self.entries.contains_key(key));
    }
}
