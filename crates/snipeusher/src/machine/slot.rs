//! Admission for an upstream at one router of its zone.
//!
//! That router knows all work that the zone sends to the upstream, so that routers which learn
//! of the same idle engine do not all fill it. When it does not answer in time, a router decides
//! by its own estimate, so that admission never stops the work.

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

/// An answer later than this is not waited for: several round trips within a zone.
const ANSWER: Duration = Duration::from_millis(20);
/// A router that did not answer is not asked again for this long.
const SILENT: Duration = Duration::from_secs(1);
/// Slots that are not given back end after this time, for a peer that died.
const GRANT_TTL: Duration = Duration::from_mins(1);
/// Refused slots after which a request goes back to its queue.
const DENIALS_MAX: u32 = 2;
/// Most slots granted at once.
const GRANTS_MAX: usize = 64 << 10;

#[derive(Clone, Debug)]
struct Asking {
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

/// Slots asked for and granted.
#[derive(Debug, Default)]
pub(super) struct Book {
    next: u64,
    asking: BTreeMap<Ticket, Asking>,
    grants: BTreeMap<(name::Host, Ticket), Grant>,
    silent: BTreeMap<name::Host, Time>,
}

impl Book {
    /// Forgets the grants of an upstream whose slot is reused.
    pub(super) fn forget(&mut self, slot: Slot) {
        self.grants.retain(|_, grant| grant.slot != slot);
    }

    /// Ends grants that were not given back.
    pub(super) fn expire<S: Strategy>(&mut self, now: Time, loads: &mut Table<S>) {
        self.silent.retain(|_, until| *until > now);
        self.grants.retain(|_, grant| {
            let over = grant.until <= now;
            if over {
                loads.granted(now, grant.slot, Work::default(), grant.work);
            }
            !over
        });
    }
}

impl<S: Strategy> Machine<S> {
    /// Asks for a slot; gives the request back if this router decides by itself.
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
        let ticket = Ticket(self.slots.next);
        self.slots.next = self.slots.next.wrapping_add(1);
        let none = Work::default();
        self.board.loads.own(now, choice.slot, choice.work, none);
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
        let due = now + ANSWER;
        self.timers.insert((due, Timer::Slot(ticket)));
        let asking = Asking {
            task,
            choice,
            epoch,
            host,
            due,
            denials,
        };
        self.slots.asking.insert(ticket, asking);
        None
    }

    pub(super) fn slot_answered(&mut self, now: Time, ticket: Ticket, granted: bool) {
        let Some(asking) = self.take_asking(now, ticket) else {
            self.fault(Fault::UnknownTicket { ticket });
            return;
        };
        if granted && self.usable(&asking) {
            let slot = Some((asking.host, ticket));
            self.dispatch(now, asking.task, asking.choice, slot);
            return;
        }
        if granted {
            let to = asking.host;
            self.actions.push_back(Action::ReleaseSlot { to, ticket });
            self.enqueue_front(now, asking.task);
            return;
        }
        let denials = asking.denials + 1;
        let avoid = Some(asking.choice.slot);
        let other = self.decide(&asking.task, avoid);
        match other.filter(|other| other.slot != asking.choice.slot) {
            Some(choice) if denials < DENIALS_MAX => {
                self.start(now, asking.task, choice, denials);
            }
            _ => self.enqueue_front(now, asking.task),
        }
    }

    pub(super) fn slot_unreachable(&mut self, now: Time, ticket: Ticket) {
        let Some(asking) = self.take_asking(now, ticket) else {
            self.fault(Fault::UnknownTicket { ticket });
            return;
        };
        self.without_slot(now, asking);
    }

    pub(super) fn slot_timeout(&mut self, now: Time, ticket: Ticket) {
        let Some(asking) = self.take_asking(now, ticket) else {
            return;
        };
        // The grant may still be on its way.
        self.actions.push_back(Action::ReleaseSlot {
            to: asking.host.clone(),
            ticket,
        });
        self.without_slot(now, asking);
    }

    /// Gives up a slot that was asked for, as its caller is gone.
    pub(super) fn withdraw_ticket(&mut self, now: Time, ticket: Ticket) {
        if let Some(asking) = self.take_asking(now, ticket) {
            let to = asking.host;
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
                self.board.loads.granted(now, grant.slot, none, grant.work);
            }
            None => self.fault(Fault::UnknownTicket { ticket: key.1 }),
        }
    }

    pub(super) fn peer_gone(&mut self, now: Time, host: &name::Host) {
        self.board.loads.drop_peer(now, host);
        self.board.queues.usage_mut().drop_peer(host);
        let of_host = self.slots.grants.keys().filter(|(from, _)| from == host);
        let of_host: Vec<(name::Host, Ticket)> = of_host.cloned().collect();
        for key in of_host {
            self.slot_released(now, &key);
        }
        self.pump(now);
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
        self.board.loads.granted(now, slot, work, Work::default());
        true
    }

    /// Decides by the own estimate, as the router that admits did not answer.
    fn without_slot(&mut self, now: Time, asking: Asking) {
        self.slots.silent.insert(asking.host, now + SILENT);
        match self.decide(&asking.task, None) {
            Some(choice) => self.dispatch(now, asking.task, choice, None),
            None => self.enqueue_front(now, asking.task),
        }
    }

    fn take_asking(&mut self, now: Time, ticket: Ticket) -> Option<Asking> {
        let asking = self.slots.asking.remove(&ticket)?;
        self.timers.remove(&(asking.due, Timer::Slot(ticket)));
        self.board.requests.remove(&asking.task.request.id);
        let none = Work::default();
        let slot = asking.choice.slot;
        self.board.loads.own(now, slot, none, asking.choice.work);
        Some(asking)
    }

    /// Whether the upstream that a slot was asked for still takes new work.
    fn usable(&self, asking: &Asking) -> bool {
        let load = self.board.loads.upstream(asking.choice.slot);
        load.open && load.epoch == asking.epoch
    }
}
