//! State machine that makes the decisions of one router.
//!
//! [`Machine::handle`] takes events and [`Machine::drain`] returns actions. The machine holds no
//! sockets and reads no clock, so that tests and benches can drive it step by step. See
//! `docs/design.md#the-state-machine-shape`.

mod action;
mod event;
mod failure;
mod fault;
mod flow;
mod refresh;
mod roster;
mod settings;
mod slot;

pub use action::Action;
pub use action::Reason;
pub use event::Event;
pub use event::Outcome;
pub use event::Ticket;
pub use fault::Fault;
pub use settings::Settings;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;

use crate::board::Board;
use crate::load;
use crate::load::Strategy;
use crate::load::WORK_MAX;
use crate::name;
use crate::policy::Policy;
use crate::prefix::Change;
use crate::prefix::Holder;
use crate::request::Attempt;
use crate::request::Chat;
use crate::request::Id;
use crate::request::Target;
use crate::request::Task;
use crate::time::Time;

/// Highest number of faults kept until [`Machine::faults`] drains them; the oldest are dropped
/// first.
const FAULTS_MAX: usize = 64;

/// Reason for which a timer was set.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Refresh,
    Retry(Id),
    Slot(Ticket),
    Reopen(name::Upstream),
}

/// Makes the decisions of one router, and estimates load with the strategy `S`.
#[derive(Debug)]
pub struct Machine<S = load::Peers> {
    board: Board<S>,
    settings: Settings,
    rng: Pcg64Mcg,
    actions: VecDeque<Action>,
    faults: VecDeque<Fault>,
    timers: BTreeSet<(Time, Timer)>,
    backoff: BTreeMap<Id, Task>,
    slots: slot::Slots,
    next_attempt: u64,
    refreshing: bool,
    started: Option<Time>,
    now: Time,
}

impl Machine {
    /// Creates a machine with default settings. `first_attempt` must differ between runs of a
    /// process, so that a late answer to an earlier run can be recognised.
    pub fn new(first_attempt: u64) -> Self {
        Self::with(Settings {
            first_attempt,
            ..Settings::default()
        })
    }
}

impl Default for Machine {
    fn default() -> Self {
        Self::with(Settings::default())
    }
}

impl<S: Strategy> Machine<S> {
    /// Creates a machine without upstreams and policies.
    pub fn with(settings: Settings) -> Self {
        Self {
            board: Board {
                loads: load::Table::new(settings.capacity),
                ..Board::default()
            },
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            next_attempt: settings.first_attempt,
            settings,
            actions: VecDeque::new(),
            faults: VecDeque::new(),
            timers: BTreeSet::new(),
            backoff: BTreeMap::new(),
            slots: slot::Slots::default(),
            refreshing: false,
            started: None,
            now: Time::default(),
        }
    }

    /// The settings of the machine.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The strategy that estimates load.
    pub const fn strategy(&self) -> &S {
        self.board.loads.strategy()
    }

    /// The shared state, for status pages and tests.
    pub const fn board(&self) -> &Board<S> {
        &self.board
    }

    /// The upstreams that accept new work for a target.
    pub fn accepting(&self, target: &Target) -> Vec<name::Upstream> {
        let pool = self.board.loads.pool(target);
        let slots = pool.map_or(&[][..], |pool| &pool.slots);
        let names = slots
            .iter()
            .map(|slot| &self.board.loads.upstream(*slot).name);
        names.cloned().collect()
    }

    /// Handles one event at `now`; [`Self::drain`] returns the resulting actions.
    ///
    /// If `now` is before the latest time seen, that time is used and [`Fault::ClockBack`] is
    /// recorded.
    pub fn handle(&mut self, now: Time, event: Event) {
        let now = self.advance(now);
        self.run_due(now);
        match event {
            Event::Arrive(request) => self.arrive(now, request),
            Event::Disconnect(id) => self.disconnect(now, id),
            Event::Sent(attempt) => self.sent(attempt),
            Event::Output {
                attempt,
                tokens,
                cached,
            } => self.output(now, attempt, tokens, cached),
            Event::End { attempt, outcome } => self.end(now, attempt, outcome),
            Event::Upstream(state) => self.upstream(now, state),
            Event::Leaving {
                upstream,
                incarnation,
            } => self.leaving(now, upstream, incarnation),
            Event::UpstreamRemoved(upstream) => self.upstream_removed(now, upstream),
            Event::Report { upstream, report } => self.report(now, upstream, &report),
            Event::Cache { upstream, batch } => self.cache(upstream, &batch),
            Event::Peer { host, share } => self.peer(now, host, &share),
            Event::PeerRemoved(host) => self.peer_removed(now, &host),
            Event::Routers(hosts) => self.board.routers = hosts,
            Event::SlotRequested {
                from,
                ticket,
                upstream,
                work,
                load_limit,
            } => self.slot_requested(now, (from, ticket), upstream, work, load_limit),
            Event::SlotReleased { from, ticket } => self.slot_released(now, &(from, ticket)),
            Event::SlotAnswered { ticket, granted } => self.slot_answered(now, ticket, granted),
            Event::SlotUnreachable(ticket) => self.slot_unreachable(now, ticket),
            Event::Transferred { chat, to, tokens } => self.transferred(chat, to, tokens),
            Event::Policy(policy) => self.policy(policy),
            Event::WorkspaceRemoved(workspace) => {
                self.board.policies.remove(&workspace);
                self.board.budget.remove(&workspace);
            }
            Event::Tick => {}
        }
        self.schedule_refresh(now);
    }

    /// Removes and returns the pending actions, in order.
    pub fn drain(&mut self) -> impl Iterator<Item = Action> + '_ {
        self.actions.drain(..)
    }

    /// Removes and returns the faults since the last call, in order; at most 64 are kept.
    pub fn faults(&mut self) -> impl Iterator<Item = Fault> + '_ {
        self.faults.drain(..)
    }

    /// The latest time for the next [`Event::Tick`].
    pub fn next_wake(&self) -> Time {
        self.timers.first().map_or(Time::NEVER, |(time, _)| *time)
    }

    /// The router's own work in flight and queued, for announcement to its peers.
    pub fn share(&self) -> load::Share {
        let upstreams = self.board.loads.iter();
        let in_flight = upstreams
            .filter(|(_, upstream)| upstream.own.get() > 0)
            .map(|(_, upstream)| (upstream.name.clone(), load::Work(upstream.own.get())));
        load::Share {
            in_flight: in_flight.collect(),
            running: self.board.queues.usage().own(),
            waiting: self.board.queues.waiting(),
        }
    }

    fn advance(&mut self, now: Time) -> Time {
        if now < self.now {
            let micros = self.now.0 - now.0;
            self.fault(Fault::ClockBack { micros });
        }
        self.now = self.now.max(now);
        self.started.get_or_insert(self.now);
        self.now
    }

    fn fault(&mut self, fault: Fault) {
        if self.faults.len() == FAULTS_MAX {
            self.faults.pop_front();
        }
        self.faults.push_back(fault);
    }

    fn run_due(&mut self, now: Time) {
        while let Some((time, _)) = self.timers.first()
            && *time <= now
            && let Some((_, timer)) = self.timers.pop_first()
        {
            match timer {
                Timer::Refresh => self.refresh(now),
                Timer::Retry(id) => self.retry_due(now, id),
                Timer::Slot(ticket) => self.slot_timeout(now, ticket),
                Timer::Reopen(name) => self.reopen(now, &name),
            }
        }
    }

    fn policy(&mut self, policy: Policy) {
        if policy.limits.usable_load_limit() < policy.limits.load_limit
            || policy.limits.load_limit.is_nan()
            || policy.limits.load_limit <= 1.0
        {
            let workspace = policy.workspace.clone();
            self.fault(Fault::LoadLimit { workspace });
        }
        self.board.policies.insert(policy.workspace.clone(), policy);
    }

    fn report(&mut self, now: Time, upstream: name::Upstream, report: &load::Report) {
        let Some(slot) = self.board.loads.slot(&upstream) else {
            self.fault(Fault::UnknownUpstream { upstream });
            return;
        };
        if report.work.0 > WORK_MAX {
            let work = report.work;
            self.fault(Fault::AbsurdLoad { upstream, work });
            return;
        }
        if !self.board.loads.record_report(now, slot, report) {
            self.fault(Fault::OutOfOrder { upstream });
            return;
        }
        if self.board.outliers.restore_reachable(slot) {
            self.reopen(now, &upstream);
            return;
        }
        self.start_queued(now);
    }

    fn peer(&mut self, now: Time, host: name::Host, share: &load::Share) {
        if host == self.settings.host {
            return;
        }
        self.board.queues.usage_mut().set_peer(now, &host, share);
        for upstream in self.board.loads.set_peer(now, host, share) {
            self.fault(Fault::UnknownUpstream { upstream });
        }
    }

    fn cache(&mut self, upstream: name::Upstream, batch: &crate::prefix::Batch) {
        let Some(slot) = self.board.loads.slot(&upstream) else {
            self.fault(Fault::UnknownUpstream { upstream });
            return;
        };
        if self.board.loads.upstream(slot).incarnation != batch.incarnation {
            self.fault(Fault::OutOfOrder { upstream });
            return;
        }
        for change in self.board.prefixes.unseen(slot, batch) {
            match *change {
                Change::Stored { chat, tokens } => self.record_prefix(chat, slot, tokens),
                Change::Evicted(chat) => self.board.prefixes.remove(chat, slot),
                Change::Cleared => {
                    let upstream = self.board.loads.upstream_mut(slot);
                    upstream.epoch = upstream.epoch.wrapping_add(1);
                }
            }
        }
    }

    fn transferred(&mut self, chat: Chat, to: name::Upstream, tokens: u64) {
        match self.board.loads.slot(&to) {
            Some(slot) if tokens > 0 => self.record_prefix(chat, slot, tokens),
            Some(_) => {}
            None => self.fault(Fault::UnknownUpstream { upstream: to }),
        }
    }

    fn record_prefix(&mut self, chat: Chat, slot: load::Slot, tokens: u64) {
        let holder = Holder {
            slot,
            epoch: self.board.loads.upstream(slot).epoch,
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
        };
        self.board.prefixes.record(chat, holder);
    }

    fn next_attempt(&mut self) -> Attempt {
        let attempt = Attempt(self.next_attempt);
        self.next_attempt = self.next_attempt.wrapping_add(1);
        attempt
    }
}
