//! The state machine of one process's part in a lease.

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

/// Keep-alives sent in the life of a lease, so that two in a row may be lost.
const RENEWALS_PER_TTL: u32 = 3;
/// Longest random wait before a vacant lease is claimed; the first claimer shows in the watch of
/// the others before most of them have called.
const VACANT_JITTER: Duration = Duration::from_secs(1);
/// Interval of reads where no watch reports changes.
const READ_INTERVAL: Duration = Duration::from_mins(1);
/// First wait after a call that failed.
const RETRY_FIRST: Duration = Duration::from_millis(250);
/// Longest wait after calls that failed.
const RETRY_LONGEST: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Held {
    lease: Lease,
    fence: Revision,
    /// Until when the lease cannot have expired.
    until: Time,
    /// When it was first seen to be held.
    since: Time,
    next_renewal: Time,
    /// The keep-alive in flight and its send time.
    renewal: Option<(CallId, Time)>,
    /// Whether [`Action::Acquired`] was the last report.
    reported: bool,
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// Another process holds it, or that is not known.
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
    Holding(Held),
    Stopped,
}

/// One process's part in a lease.
#[derive(Debug)]
pub struct Candidate {
    settings: Settings,
    state: State,
    /// The highest time seen, which keeps a clock that jumps back from lengthening the lease.
    latest: Time,
    calls: CallId,
    backoff: Backoff,
    actions: VecDeque<Action>,
}

impl Candidate {
    /// Starts as a follower that reads the key after a random wait.
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

    /// The fencing token, if this process may act as the holder at `now`.
    pub fn fence(&self, now: Time) -> Option<Revision> {
        match self.state {
            State::Holding(held) => self.acts(&held, now).then_some(held.fence),
            _ => None,
        }
    }

    /// The fencing token, if a new holder has also waited long enough for engines that ignore it.
    pub fn guarded_fence(&self, now: Time) -> Option<Revision> {
        match self.state {
            State::Holding(held) if now >= held.since + self.settings.guard => self.fence(now),
            _ => None,
        }
    }

    /// Takes the actions that are due, in order.
    pub fn drain(&mut self) -> impl Iterator<Item = Action> + '_ {
        self.actions.drain(..)
    }

    /// When [`Event::Tick`] must come at the latest.
    pub fn next_wake(&self) -> Time {
        match self.state {
            State::Following { next, .. } => next,
            State::Claiming {
                next, until, call, ..
            } if call.is_none() => next.min(until),
            State::Claiming { until, .. } => until,
            State::Holding(held) => {
                let renewal = if held.renewal.is_some() {
                    Time::NEVER
                } else {
                    held.next_renewal
                };
                if held.reported {
                    renewal.min(self.last_act(&held))
                } else {
                    renewal
                }
            }
            State::Reading(_) | State::Granting(..) | State::Stopped => Time::NEVER,
        }
    }

    /// Takes one event at `now`; actions wait in [`Self::drain`].
    pub fn handle(&mut self, now: Time, event: Event) {
        let now = now.max(self.latest);
        self.latest = now;
        match event {
            Event::Observed { entry, revision } => self.observed(now, entry, revision),
            Event::Reply { id, result } => self.reply(now, id, result),
            Event::Stop => self.stop(),
            Event::Tick => {}
        }
        self.due(now);
    }

    /// The last moment at which the holder may act.
    fn last_act(&self, held: &Held) -> Time {
        let guard = u64::try_from(self.settings.guard.as_micros()).unwrap_or(u64::MAX);
        Time(held.until.0.saturating_sub(guard))
    }

    fn acts(&self, held: &Held, now: Time) -> bool {
        now.max(self.latest) < self.last_act(held)
    }

    fn due(&mut self, now: Time) {
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
                let id = self.call(self.claim(lease));
                self.state = State::Claiming {
                    lease,
                    until,
                    call: Some(id),
                    next,
                };
            }
            State::Holding(mut held) => {
                let acts = self.acts(&held, now);
                if acts != held.reported {
                    held.reported = acts;
                    self.actions.push_back(if acts {
                        Action::Acquired(held.fence)
                    } else {
                        Action::Lapsed
                    });
                }
                if held.renewal.is_none() && now >= held.next_renewal {
                    held.renewal = Some((self.call(Call::KeepAlive(held.lease)), now));
                }
                self.state = State::Holding(held);
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

    fn claim(&self, lease: Lease) -> Call {
        let key = self.settings.key.clone();
        let value = serde_json::to_vec(&self.settings.owner).unwrap_or_default();
        Call::Txn(Txn {
            compare: vec![Compare::Created(key.clone(), Revision(0))],
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

    /// Gives up the part of holder and waits before the next look.
    fn follow(&mut self, now: Time, vacant: bool) {
        if let State::Holding(held) = self.state
            && held.reported
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

    fn observed(&mut self, now: Time, entry: Option<Entry>, revision: Revision) {
        match (self.state, entry) {
            (State::Following { .. }, entry) => self.follow(now, entry.is_none()),
            // Late events from before the key was created say nothing about this hold.
            (State::Holding(held), entry)
                if revision > held.fence
                    && entry
                        .as_ref()
                        .is_none_or(|entry| entry.created != held.fence) =>
            {
                self.follow(now, false);
            }
            _ => {}
        }
    }

    fn stop(&mut self) {
        if let State::Holding(Held {
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

    fn reply(&mut self, now: Time, id: CallId, result: Result<Reply, Fault>) {
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
                self.claimed(now, lease, until, &result);
            }
            State::Holding(held) => match held.renewal {
                Some((call, sent)) if call == id => self.renewed(now, held, sent, &result),
                _ => {}
            },
            _ => {}
        }
    }

    fn claimed(&mut self, now: Time, lease: Lease, until: Time, result: &Result<Reply, Fault>) {
        match result {
            Ok(Reply::Txn {
                revision,
                succeeded,
                results,
            }) => {
                self.backoff.reset();
                let found = results.first().and_then(|done| done.found().first());
                // After a lost reply the claim shows as the process's own by its lease.
                let own = found.filter(|entry| entry.lease == Some(lease));
                let fence = if *succeeded {
                    Some(*revision)
                } else {
                    own.map(|entry| entry.created)
                };
                let Some(fence) = fence else {
                    self.call(Call::Revoke(lease));
                    self.follow(now, false);
                    return;
                };
                self.state = State::Holding(Held {
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

    fn renewed(&mut self, now: Time, mut held: Held, sent: Time, result: &Result<Reply, Fault>) {
        held.renewal = None;
        match result {
            &Ok(Reply::KeepAlive { ttl_s }) if ttl_s > 0 => {
                self.backoff.reset();
                held.until = held.until.max(sent + Duration::from_secs(ttl_s));
                held.next_renewal = sent + self.renewal_interval();
                self.state = State::Holding(held);
            }
            Ok(_) | Err(Fault::Refused) => self.follow(now, true),
            Err(Fault::NotSent | Fault::Lost) => {
                held.next_renewal = now + self.backoff.fail();
                self.state = State::Holding(held);
            }
        }
    }

    const fn renewal_interval(&self) -> Duration {
        Duration::from_millis(self.settings.ttl_s * 1_000 / RENEWALS_PER_TTL as u64)
    }
}
