//! Admission control: one router of the zone grants slots at an upstream.
//!
//! That router knows all the work that the zone sends to the upstream, so that routers do not all
//! fill the same idle engine at once. If it does not answer in time, the requesting router decides
//! by its own estimate, so that admission control never blocks a request.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::board::Stage;
use crate::load::Slot;
use crate::load::Strategy;
use crate::load::Table;
use crate::load::WORK_MAX;
use crate::load::Work;
use crate::name;
use crate::placement;
use crate::placement::Choice;
use crate::placement::Constraints;
use crate::policy::Limits;
use crate::request::Task;
use crate::time::Time;

use super::Action;
use super::Fault;
use super::Machine;
use super::Ticket;
use super::Timer;

/// Longest wait for an answer: several round trips within a zone.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(20);
/// Time for which no slots are requested from a router that did not answer.
const SILENCE: Duration = Duration::from_secs(1);
/// Time after which a slot that was not returned expires, in case the peer has failed.
const GRANT_TTL: Duration = Duration::from_mins(1);
/// Denied slots after which a request returns to its queue.
const DENIALS_MAX: u32 = 2;
/// Highest number of slots granted at once.
const GRANTS_MAX: usize = 64 << 10;

/// A request that waits for the answer to its slot request.
#[derive(Clone, Debug)]
struct Pending {
    task: Task,
    choice: Choice,
    epoch: u32,
    host: name::Host,
    due: Time,
    denials: u32,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    slot: Slot,
    work: Work,
    until: Time,
}

/// Pending slot requests of this router and slots granted to peers.
#[derive(Debug, Default)]
pub(super) struct Slots {
    next_ticket: u64,
    pending: BTreeMap<Ticket, Pending>,
    grants: BTreeMap<(name::Host, Ticket), Grant>,
    /// Routers that did not answer, with the time until which no slots are requested from them.
    silent: BTreeMap<name::Host, Time>,
}

impl Slots {
    /// Removes the grants of an upstream that leaves the load table.
    pub(super) fn remove(&mut self, slot: Slot) {
        self.grants.retain(|_, grant| grant.slot != slot);
    }

    /// Removes expired grants.
    pub(super) fn expire<S: Strategy>(&mut self, now: Time, loads: &mut Table<S>) {
        self.silent.retain(|_, until| *until > now);
        self.grants.retain(|_, grant| {
            let expired = grant.until <= now;
            if expired {
                loads.change_granted(now, grant.slot, Work::default(), grant.work);
            }
            !expired
        });
    }
}

impl<S: Strategy> Machine<S> {
    /// Requests a slot; returns the request if this router must decide by itself.
    pub(super) fn request_slot(
        &mut self,
        now: Time,
        task: Task,
        choice: Choice,
        denials: u32,
    ) -> Option<Task> {
        let load = self.board.loads.upstream(choice.slot);
        let upstream = load.name.clone();
        let epoch = load.epoch;
        let host = placement::admission_router(&self.board.routers, load.node).cloned();
        let host = host.filter(|host| *host != self.settings.host);
        let Some(host) = host.filter(|host| !self.slots.silent.contains_key(host)) else {
            return Some(task);
        };
        let ticket = Ticket(self.slots.next_ticket);
        self.slots.next_ticket = self.slots.next_ticket.wrapping_add(1);
        let none = Work::default();
        self.board
            .loads
            .change_own(now, choice.slot, choice.work, none);
        self.board
            .requests
            .insert(task.request.id, Stage::AwaitingSlot(ticket));
        self.actions.push_back(Action::RequestSlot {
            to: host.clone(),
            ticket,
            upstream,
            work: choice.work,
            load_limit: task.terms.load_limit,
        });
        let due = now + ANSWER_TIMEOUT;
        self.timers.insert((due, Timer::Slot(ticket)));
        let pending = Pending {
            task,
            choice,
            epoch,
            host,
            due,
            denials,
        };
        self.slots.pending.insert(ticket, pending);
        None
    }

    pub(super) fn slot_answered(&mut self, now: Time, ticket: Ticket, granted: bool) {
        let Some(pending) = self.take_pending(now, ticket) else {
            self.fault(Fault::UnknownTicket { ticket });
            return;
        };
        if granted && self.usable(&pending) {
            let slot = Some((pending.host, ticket));
            self.dispatch(now, pending.task, pending.choice, slot);
            return;
        }
        if granted {
            let to = pending.host;
            self.actions.push_back(Action::ReleaseSlot { to, ticket });
            self.enqueue_front(now, pending.task);
            return;
        }
        let denials = pending.denials + 1;
        let avoid = Some(pending.choice.slot);
        let other = self.decide(&pending.task, avoid);
        match other.filter(|other| other.slot != pending.choice.slot) {
            Some(choice) if denials < DENIALS_MAX => {
                self.start(now, pending.task, choice, denials);
            }
            _ => self.enqueue_front(now, pending.task),
        }
    }

    pub(super) fn slot_unreachable(&mut self, now: Time, ticket: Ticket) {
        let Some(pending) = self.take_pending(now, ticket) else {
            self.fault(Fault::UnknownTicket { ticket });
            return;
        };
        self.decide_without_slot(now, pending);
    }

    pub(super) fn slot_timeout(&mut self, now: Time, ticket: Ticket) {
        let Some(pending) = self.take_pending(now, ticket) else {
            return;
        };
        // A grant may still arrive, so the slot is released in any case.
        self.actions.push_back(Action::ReleaseSlot {
            to: pending.host.clone(),
            ticket,
        });
        self.decide_without_slot(now, pending);
    }

    /// Withdraws a slot request whose caller disconnected.
    pub(super) fn withdraw_ticket(&mut self, now: Time, ticket: Ticket) {
        if let Some(pending) = self.take_pending(now, ticket) {
            let to = pending.host;
            self.actions.push_back(Action::ReleaseSlot { to, ticket });
        }
    }

    pub(super) fn slot_requested(
        &mut self,
        now: Time,
        key: (name::Host, Ticket),
        upstream: name::Upstream,
        work: Work,
        load_limit: f64,
    ) {
        let granted = self.grant(now, &key, &upstream, work, load_limit);
        if self.board.loads.slot(&upstream).is_none() {
            self.fault(Fault::UnknownUpstream { upstream });
        }
        let (to, ticket) = key;
        self.actions.push_back(Action::AnswerSlot {
            to,
            ticket,
            granted,
        });
    }

    pub(super) fn slot_released(&mut self, now: Time, key: &(name::Host, Ticket)) {
        match self.slots.grants.remove(key) {
            Some(grant) => {
                let none = Work::default();
                self.board
                    .loads
                    .change_granted(now, grant.slot, none, grant.work);
            }
            None => self.fault(Fault::UnknownTicket { ticket: key.1 }),
        }
    }

    pub(super) fn peer_removed(&mut self, now: Time, host: &name::Host) {
        self.board.loads.remove_peer(now, host);
        self.board.queues.usage_mut().remove_peer(host);
        let of_host = self.slots.grants.keys().filter(|(from, _)| from == host);
        let of_host: Vec<(name::Host, Ticket)> = of_host.cloned().collect();
        for key in of_host {
            self.slot_released(now, &key);
        }
        self.start_queued(now);
    }

    fn grant(
        &mut self,
        now: Time,
        key: &(name::Host, Ticket),
        upstream: &name::Upstream,
        work: Work,
        load_limit: f64,
    ) -> bool {
        if self.slots.grants.contains_key(key) {
            return true;
        }
        let loads = &self.board.loads;
        let Some(slot) = loads.slot(upstream) else {
            return false;
        };
        let load = loads.upstream(slot);
        let (Some(pool), true) = (load.pools.first(), load.open) else {
            return false;
        };
        let work = work.min(Work(WORK_MAX));
        let limits = Limits {
            load_limit,
            ..Limits::default()
        };
        let constraints = Constraints {
            load_limit: limits.usable_load_limit(),
            capped: true,
            over_share: false,
            reserve: 0,
            avoid: None,
        };
        let pool = &loads.pools()[*pool as usize];
        let fits = placement::fits(loads, pool, slot, work, &constraints);
        if !fits || self.slots.grants.len() >= GRANTS_MAX {
            return false;
        }
        let until = now + GRANT_TTL;
        let grant = Grant { slot, work, until };
        self.slots.grants.insert(key.clone(), grant);
        self.board
            .loads
            .change_granted(now, slot, work, Work::default());
        true
    }

    /// Decides by this router's own estimate, as the other router did not answer.
    fn decide_without_slot(&mut self, now: Time, pending: Pending) {
        self.slots.silent.insert(pending.host, now + SILENCE);
        match self.decide(&pending.task, None) {
            Some(choice) => self.dispatch(now, pending.task, choice, None),
            None => self.enqueue_front(now, pending.task),
        }
    }

    fn take_pending(&mut self, now: Time, ticket: Ticket) -> Option<Pending> {
        let pending = self.slots.pending.remove(&ticket)?;
        self.timers.remove(&(pending.due, Timer::Slot(ticket)));
        self.board.requests.remove(&pending.task.request.id);
        let none = Work::default();
        let slot = pending.choice.slot;
        self.board
            .loads
            .change_own(now, slot, none, pending.choice.work);
        Some(pending)
    }

    /// Returns whether the upstream of a slot request still accepts new work.
    fn usable(&self, pending: &Pending) -> bool {
        let load = self.board.loads.upstream(pending.choice.slot);
        load.open && load.epoch == pending.epoch
    }
}
