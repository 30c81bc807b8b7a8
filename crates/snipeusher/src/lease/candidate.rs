//! The state machine of one process that competes for a lease.

use std::collections::VecDeque;
use std::time::Duration;

use snafu::ensure;

use super::Action;
use super::Error;
use super::Event;
use super::GuardSnafu;
use super::Settings;
use crate::kv::Backoff;
use crate::kv::Call;
use crate::kv::CallId;
use crate::kv::Compare;
use crate::kv::Entry;
use crate::kv::Fault;
use crate::kv::Lease;
use crate::kv::Op;
use crate::kv::Range;
use crate::kv::Reply;
use crate::kv::Revision;
use crate::kv::Txn;
use crate::time::Time;

/// Keep-alives per time to live, so that two in a row may be lost.
const RENEWALS_PER_TTL: u32 = 3;
/// Longest random wait before a vacant lease is claimed. Most candidates see the first claim in
/// their watch before they send one.
const VACANT_JITTER: Duration = Duration::from_secs(1);
/// Interval between reads while no watch reports a change.
const READ_INTERVAL: Duration = Duration::from_mins(1);
/// Wait after the first failed call.
const RETRY_FIRST: Duration = Duration::from_millis(250);
/// Longest wait between retries.
const RETRY_LONGEST: Duration = Duration::from_secs(5);

/// The state of a lease that this process holds.
#[derive(Clone, Copy, Debug)]
struct Hold {
    lease: Lease,
    fence: Revision,
    /// Earliest time at which the lease can expire.
    until: Time,
    /// When the claim was confirmed.
    since: Time,
    next_renewal: Time,
    /// The keep-alive in flight and its send time.
    renewal: Option<(CallId, Time)>,
    /// Whether the last report was [`Action::Acquired`] rather than [`Action::Lapsed`].
    reported: bool,
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// Another process holds the lease, or its holder is unknown.
    Following {
        next: Time,
        vacant: bool,
    },
    Reading(CallId),
    Granting(CallId, Time),
    Claiming {
        lease: Lease,
        until: Time,
        call: Option<CallId>,
        next: Time,
    },
    Holding(Hold),
    Stopped,
}

/// A process that competes for a lease.
#[derive(Debug)]
pub struct Candidate {
    settings: Settings,
    state: State,
    /// The latest time seen, so that a clock that jumps back does not extend the lease.
    latest: Time,
    calls: CallId,
    backoff: Backoff,
    actions: VecDeque<Action>,
}

impl Candidate {
    /// Creates a follower, which reads the key after a random wait.
    pub fn new(settings: Settings, now: Time, seed: u64) -> Result<Self, Error> {
        ensure!(
            settings.guard.saturating_mul(3) < Duration::from_secs(settings.ttl_s),
            GuardSnafu {
                key: settings.key,
                guard: settings.guard,
                ttl_s: settings.ttl_s
            }
        );
        let mut backoff = Backoff::new(seed, RETRY_FIRST, RETRY_LONGEST);
        let next = now + backoff.below(VACANT_JITTER);
        Ok(Self {
            settings,
            state: State::Following {
                next,
                vacant: false,
            },
            latest: now,
            calls: CallId::default(),
            backoff,
            actions: VecDeque::new(),
        })
    }

    /// The fencing token if this process may act as the holder at `now`.
    pub fn fence(&self, now: Time) -> Option<Revision> {
        match self.state {
            State::Holding(hold) => self.may_act(&hold, now).then_some(hold.fence),
            _ => None,
        }
    }

    /// The fencing token if this process has also held the lease for the guard time, as needed for
    /// engines that ignore the token.
    pub fn guarded_fence(&self, now: Time) -> Option<Revision> {
        match self.state {
            State::Holding(hold) if now >= hold.since + self.settings.guard => self.fence(now),
            _ => None,
        }
    }

    /// Removes and returns the pending actions in order.
    pub fn drain(&mut self) -> impl Iterator<Item = Action> + '_ {
        self.actions.drain(..)
    }

    /// The latest time of the next [`Event::Tick`].
    pub fn next_wake(&self) -> Time {
        match self.state {
            State::Following { next, .. } => next,
            State::Claiming {
                next, until, call, ..
            } if call.is_none() => next.min(until),
            State::Claiming { until, .. } => until,
            State::Holding(hold) => {
                let renewal = if hold.renewal.is_some() {
                    Time::NEVER
                } else {
                    hold.next_renewal
                };
                if hold.reported {
                    renewal.min(self.act_until(&hold))
                } else {
                    renewal
                }
            }
            State::Reading(_) | State::Granting(..) | State::Stopped => Time::NEVER,
        }
    }

    /// Processes an event; [`Self::drain`] returns the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event) {
        let now = now.max(self.latest);
        self.latest = now;
        match event {
            Event::Observed { entry, revision } => self.handle_observed(now, entry, revision),
            Event::Reply { id, result } => self.handle_reply(now, id, result),
            Event::Stop => self.stop(),
            Event::Tick => {}
        }
        self.run_due(now);
    }

    /// The time at which the holder must stop acting.
    fn act_until(&self, hold: &Hold) -> Time {
        let guard = u64::try_from(self.settings.guard.as_micros()).unwrap_or(u64::MAX);
        Time(hold.until.0.saturating_sub(guard))
    }

    fn may_act(&self, hold: &Hold, now: Time) -> bool {
        now.max(self.latest) < self.act_until(hold)
    }

    fn run_due(&mut self, now: Time) {
        match self.state {
            State::Following { next, vacant } if now >= next => {
                if vacant {
                    self.grant(now);
                } else {
                    let range = Range::Key(self.settings.key.clone());
                    let id = self.call(Call::Range(range));
                    self.state = State::Reading(id);
                }
            }
            State::Claiming { until, .. } if now >= until => self.follow(now, false),
            State::Claiming {
                lease,
                until,
                call: None,
                next,
            } if now >= next => {
                let id = self.call(self.claim_call(lease));
                self.state = State::Claiming {
                    lease,
                    until,
                    call: Some(id),
                    next,
                };
            }
            State::Holding(mut hold) => {
                let may_act = self.may_act(&hold, now);
                if may_act != hold.reported {
                    hold.reported = may_act;
                    self.actions.push_back(if may_act {
                        Action::Acquired(hold.fence)
                    } else {
                        Action::Lapsed
                    });
                }
                if hold.renewal.is_none() && now >= hold.next_renewal {
                    hold.renewal = Some((self.call(Call::KeepAlive(hold.lease)), now));
                }
                self.state = State::Holding(hold);
            }
            _ => {}
        }
    }

    fn grant(&mut self, now: Time) {
        let id = self.call(Call::Grant {
            ttl_s: self.settings.ttl_s,
        });
        self.state = State::Granting(id, now);
    }

    fn claim_call(&self, lease: Lease) -> Call {
        let key = self.settings.key.clone();
        let value = serde_json::to_vec(&self.settings.owner).unwrap_or_default();
        Call::Txn(Txn {
            compare: vec![Compare::Created(key.clone(), Revision::new(0))],
            success: vec![Op::Put {
                key: key.clone(),
                value,
                lease: Some(lease),
            }],
            failure: vec![Op::Range(Range::Key(key))],
        })
    }

    fn call(&mut self, call: Call) -> CallId {
        let id = self.calls.advance();
        self.actions.push_back(Action::Call { id, call });
        id
    }

    /// Becomes a follower, which waits before it reads or claims the key.
    fn follow(&mut self, now: Time, vacant: bool) {
        if let State::Holding(hold) = self.state
            && hold.reported
        {
            self.actions.push_back(Action::Lapsed);
        }
        let wait = if vacant {
            self.backoff.below(VACANT_JITTER)
        } else {
            READ_INTERVAL / 2 + self.backoff.below(READ_INTERVAL)
        };
        self.state = State::Following {
            next: now + wait,
            vacant,
        };
    }

    fn retry(&mut self, now: Time) {
        let wait = self.backoff.fail();
        self.state = State::Following {
            next: now + wait,
            vacant: false,
        };
    }

    fn handle_observed(&mut self, now: Time, entry: Option<Entry>, revision: Revision) {
        match (self.state, entry) {
            (State::Following { .. }, entry) => self.follow(now, entry.is_none()),
            // An observation from before the key was created is outdated.
            (State::Holding(hold), entry)
                if revision > hold.fence
                    && entry
                        .as_ref()
                        .is_none_or(|entry| entry.created != hold.fence) =>
            {
                self.follow(now, false);
            }
            _ => {}
        }
    }

    fn stop(&mut self) {
        if let State::Holding(Hold {
            lease, reported, ..
        }) = self.state
        {
            if reported {
                self.actions.push_back(Action::Lapsed);
            }
            self.call(Call::Revoke(lease));
        }
        self.state = State::Stopped;
    }

    fn handle_reply(&mut self, now: Time, id: CallId, result: Result<Reply, Fault>) {
        match self.state {
            State::Reading(call) if call == id => match result {
                Ok(Reply::Range { entries, .. }) => {
                    self.backoff.reset();
                    self.follow(now, entries.is_empty());
                }
                _ => self.retry(now),
            },
            State::Granting(call, sent) if call == id => match result {
                Ok(Reply::Grant { lease, ttl_s }) => {
                    self.state = State::Claiming {
                        lease,
                        until: sent + Duration::from_secs(ttl_s),
                        call: None,
                        next: now,
                    };
                }
                _ => self.retry(now),
            },
            State::Claiming {
                lease,
                until,
                call: Some(call),
                ..
            } if call == id => {
                self.handle_claim(now, lease, until, &result);
            }
            State::Holding(hold) => match hold.renewal {
                Some((call, sent)) if call == id => self.handle_renewal(now, hold, sent, &result),
                _ => {}
            },
            _ => {}
        }
    }

    fn handle_claim(
        &mut self,
        now: Time,
        lease: Lease,
        until: Time,
        result: &Result<Reply, Fault>,
    ) {
        match result {
            Ok(Reply::Txn {
                revision,
                succeeded,
                results,
            }) => {
                self.backoff.reset();
                let found = results.first().and_then(|done| done.found().first());
                // If the reply to an earlier claim was lost, the entry has this process's lease.
                let own_entry = found.filter(|entry| entry.lease == Some(lease));
                let fence = if *succeeded {
                    Some(*revision)
                } else {
                    own_entry.map(|entry| entry.created)
                };
                let Some(fence) = fence else {
                    self.call(Call::Revoke(lease));
                    self.follow(now, false);
                    return;
                };
                self.state = State::Holding(Hold {
                    lease,
                    fence,
                    until,
                    since: now,
                    next_renewal: now + self.renewal_interval(),
                    renewal: None,
                    reported: false,
                });
            }
            Err(Fault::Refused) => self.retry(now),
            _ => {
                let next = now + self.backoff.fail();
                self.state = State::Claiming {
                    lease,
                    until,
                    call: None,
                    next,
                };
            }
        }
    }

    fn handle_renewal(
        &mut self,
        now: Time,
        mut hold: Hold,
        sent: Time,
        result: &Result<Reply, Fault>,
    ) {
        hold.renewal = None;
        match result {
            &Ok(Reply::KeepAlive { ttl_s }) if ttl_s > 0 => {
                self.backoff.reset();
                hold.until = hold.until.max(sent + Duration::from_secs(ttl_s));
                hold.next_renewal = sent + self.renewal_interval();
                self.state = State::Holding(hold);
            }
            Ok(_) | Err(Fault::Refused | Fault::Restored) => self.follow(now, true),
            Err(Fault::NotSent | Fault::Lost) => {
                hold.next_renewal = now + self.backoff.fail();
                self.state = State::Holding(hold);
            }
        }
    }

    const fn renewal_interval(&self) -> Duration {
        Duration::from_millis(self.settings.ttl_s * 1_000 / RENEWALS_PER_TTL as u64)
    }
}
