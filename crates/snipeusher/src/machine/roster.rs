//! Handling of upstreams that join, change and leave.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::churn;
use crate::load::Slot;
use crate::load::Strategy;
use crate::name;
use crate::placement;
use crate::request::Chat;
use crate::request::Target;
use crate::time::Time;
use crate::upstream::Kind;
use crate::upstream::Phase;
use crate::upstream::State;

use super::Action;
use super::Fault;
use super::Machine;
use super::Timer;

/// Time after the start of the router in which upstreams get a full share at once, since they are
/// new to this router but not to the fleet.
const STARTUP: Duration = Duration::from_secs(5);
/// Highest number of upstreams recorded as leaving; the first by name are dropped first.
const LEAVING_MAX: usize = 8_192;
/// Highest number of transfers started when an engine begins to leave, since the engine stops
/// soon.
const TRANSFERS_MAX: usize = 64;

impl<S: Strategy> Machine<S> {
    pub(super) fn upstream(&mut self, now: Time, mut state: State) {
        let name = state.name.clone();
        let marked = self.board.leaving.get(&name);
        if marked.is_some_and(|marked| *marked >= state.incarnation) {
            state.phase = state.phase.max(Phase::Leaving);
        }
        if let Some(known) = self.board.upstreams.get(&name) {
            if known.incarnation > state.incarnation {
                self.fault(Fault::OutOfOrder { upstream: name });
                return;
            }
            if known.incarnation == state.incarnation {
                state.phase = state.phase.max(known.phase);
            }
        }
        let before = self.board.upstreams.get(&name);
        let was_live = before.is_some_and(|before| before.phase == Phase::Live);
        let slot = self.board.loads.insert(&name);
        let upstream = self.board.loads.upstream_mut(slot);
        let zone = self.settings.zone.as_ref();
        upstream.local = zone.is_none_or(|zone| *zone == state.zone);
        if upstream.incarnation != state.incarnation {
            self.board.loads.restart(slot, state.incarnation);
            self.board.prefixes.reset_sequence(slot);
            self.board.outliers.remove(slot);
            if was_live {
                self.mark_down(now, &name);
            }
        }
        if state.phase >= Phase::Leaving {
            self.mark_leaving(name.clone(), state.incarnation);
            self.mark_down(now, &name);
        }
        if state.phase == Phase::Leaving {
            self.evacuate(slot);
        }
        if state.phase == Phase::Gone {
            self.invalidate_cache(slot);
        }
        self.board.upstreams.insert(name.clone(), state);
        self.sync_load(now, &name);
        self.start_queued(now);
    }

    pub(super) fn leaving(
        &mut self,
        now: Time,
        upstream: name::Upstream,
        incarnation: name::Incarnation,
    ) {
        let known = self.board.upstreams.get_mut(&upstream);
        if let Some(state) = known {
            if state.incarnation > incarnation {
                self.fault(Fault::OutOfOrder { upstream });
                return;
            }
            state.phase = state.phase.max(Phase::Leaving);
            self.mark_down(now, &upstream);
        }
        self.mark_leaving(upstream.clone(), incarnation);
        if let Some(slot) = self.board.loads.slot(&upstream) {
            self.evacuate(slot);
        }
        self.sync_load(now, &upstream);
    }

    pub(super) fn upstream_removed(&mut self, now: Time, upstream: name::Upstream) {
        let Some(state) = self.board.upstreams.remove(&upstream) else {
            self.fault(Fault::UnknownUpstream { upstream });
            return;
        };
        if state.phase == Phase::Live {
            self.mark_down(now, &upstream);
        }
        if let Some(slot) = self.board.loads.slot(&upstream) {
            self.invalidate_cache(slot);
        }
        self.sync_load(now, &upstream);
    }

    pub(super) fn reopen(&mut self, now: Time, name: &name::Upstream) {
        self.sync_load(now, name);
        self.start_queued(now);
    }

    /// Removes upstreams that are gone, and their load once no request runs there.
    pub(super) fn sweep(&mut self, now: Time) {
        let upstreams = &mut self.board.upstreams;
        upstreams.retain(|_, state| state.phase != Phase::Gone);
        self.board.churn.retain(|_, record| !record.is_expired(now));
        let gone: Vec<Slot> = self
            .board
            .loads
            .iter()
            .filter(|(_, upstream)| !self.board.upstreams.contains_key(&upstream.name))
            .map(|(slot, _)| slot)
            .collect();
        for slot in gone {
            if self.board.loads.remove(slot) {
                self.board.outliers.remove(slot);
                self.board.prefixes.reset_sequence(slot);
                self.slots.remove(slot);
            }
        }
    }

    /// Updates the load table from the state of an upstream.
    fn sync_load(&mut self, now: Time, name: &name::Upstream) {
        let Some(slot) = self.board.loads.slot(name) else {
            return;
        };
        self.board.outliers.restore_expired(now, slot);
        let state = self.board.upstreams.get(name);
        let live = state.filter(|state| state.phase == Phase::Live);
        let targets = live.map_or_else(BTreeSet::new, targets);
        if live.is_some()
            && let Some(record) = self.board.churn.get_mut(name)
        {
            record.mark_up(now);
        }
        let held = self
            .board
            .churn
            .get(name)
            .map_or(now, churn::Record::held_until);
        if held > now {
            self.timers.insert((held, Timer::Reopen(name.clone())));
        }
        let ejected = self.board.outliers.score(slot).ejected_until.is_some();
        let open = live.is_some() && held <= now && !ejected;
        let opens = open && !self.board.loads.upstream(slot).open;
        self.board.loads.set_open(slot, false, ejected);
        self.board.loads.set_targets(slot, &targets);
        if opens {
            let is_new = self.started.is_some_and(|at| now.since(at) > STARTUP);
            self.board.loads.upstream_mut(slot).opened = is_new.then_some(now);
        }
        self.board.loads.refresh_estimate(now, slot);
        self.board.loads.set_open(slot, open, ejected);
    }

    fn mark_down(&mut self, now: Time, name: &name::Upstream) {
        self.board
            .churn
            .entry(name.clone())
            .or_default()
            .mark_down(now);
    }

    /// Invalidates all that is known of an upstream's cache.
    fn invalidate_cache(&mut self, slot: Slot) {
        let upstream = self.board.loads.upstream_mut(slot);
        upstream.epoch = upstream.epoch.wrapping_add(1);
    }

    fn mark_leaving(&mut self, name: name::Upstream, incarnation: name::Incarnation) {
        let mark = self.board.leaving.entry(name).or_default();
        *mark = incarnation.max(*mark);
        if self.board.leaving.len() > LEAVING_MAX {
            self.board.leaving.pop_first();
        }
    }

    /// Transfers caches of an engine that begins to leave to the next choices of its chats.
    fn evacuate(&mut self, slot: Slot) {
        if !self.board.loads.upstream(slot).open {
            return;
        }
        let epoch = self.board.loads.upstream(slot).epoch;
        let held = self.board.prefixes.held(slot, epoch).take(TRANSFERS_MAX);
        let held: Vec<(Chat, u32)> = held.collect();
        for (chat, tokens) in held {
            let Some(to) = self.successor(chat, slot) else {
                continue;
            };
            let holders = self.board.prefixes.holders(chat);
            let known = holders.filter(|holder| holder.slot == to);
            let cached = known.map(|holder| u64::from(holder.tokens)).max();
            let from = self.board.prefixes.holders(chat);
            let from = from.filter(|holder| holder.slot == slot);
            let loads = &self.board.loads;
            let cached = cached.unwrap_or(0);
            if placement::source(loads, from, to, cached, u64::from(tokens)).is_some() {
                self.actions.push_back(Action::Transfer {
                    chat,
                    from: loads.upstream(slot).name.clone(),
                    to: loads.upstream(to).name.clone(),
                    tokens: u64::from(tokens),
                });
            }
        }
    }

    /// The first choice of a chat among the upstreams without the one that leaves.
    fn successor(&self, chat: Chat, without: Slot) -> Option<Slot> {
        let loads = &self.board.loads;
        let index = loads.upstream(without).pools.first()?;
        placement::first_choice(&loads.pools()[*index as usize], chat, without)
    }
}

/// The targets that an upstream serves.
fn targets(state: &State) -> BTreeSet<Target> {
    match &state.kind {
        Kind::Engine(ready) => ready.iter().cloned().map(Target::Model).collect(),
        Kind::Plain(service) => BTreeSet::from([Target::Plain(service.clone())]),
    }
}
