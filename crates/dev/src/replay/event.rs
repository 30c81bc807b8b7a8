//! Applies the events of a trace to the fleet.

use std::time::Duration;

use snipeusher::config;
use snipeusher::machine::Event;
use snipeusher::machine::Outcome;
use snipeusher::name;
use snipeusher::upstream::Phase;

use super::fleet;
use super::router::Router;
use super::simulation::Simulation;
use crate::trace::Change;

/// Timeout of an operator's edit.
const EDIT_TIMEOUT: Duration = Duration::from_secs(5);

impl<R: Router> Simulation<'_, R> {
    /// Applies an event of the trace.
    pub(super) fn begin_event(&mut self, number: usize) {
        match &self.trace.events[number].change {
            Change::Leave(upstreams) => self.change_all(upstreams, Phase::Leaving),
            Change::Fail(upstreams) => self.change_all(upstreams, Phase::Gone),
            Change::Join(upstreams) => self.change_all(upstreams, Phase::Live),
            Change::LoseReports(upstreams) => {
                self.muted_upstreams.extend(upstreams.iter().cloned());
            }
            Change::LagReports(by_ms) => self.extra_lag = Duration::from_millis(*by_ms),
            Change::Hide { routers, upstreams } => self.hide(routers, upstreams),
            Change::CutZone(zone) => {
                let index = self.trace.header.zones.iter().position(|name| name == zone);
                self.isolated_zones.extend(index);
                self.drop_watches();
            }
            Change::Edit { document, text } => {
                let Some(name) = config::Name::parse(document) else {
                    self.tally.record_violation("edits name a document");
                    return;
                };
                let text = text.clone();
                let change = config::Change::Put { name, text };
                let author = config::Author {
                    name: "operator".to_owned(),
                    at_ms: self.now.0 / 1_000,
                };
                let id = config::EditId(number as u128 + 1);
                let deadline = self.now + EDIT_TIMEOUT;
                let edit = config::Edit::new(change, author, id, None, self.now, deadline);
                self.store.edits.insert(number, edit);
                self.advance_edit(number, None);
            }
            Change::StoreOutage => {
                self.store.unavailable = true;
                self.drop_watches();
            }
            Change::LoseStoreReplies => self.store.lose_replies = true,
            Change::Pause(routers) => {
                for node in routers {
                    self.pause(*node);
                }
            }
            Change::PauseHolder(zone) => {
                let index = self.trace.header.zones.iter().position(|name| name == zone);
                let now = self.now;
                let holds_lease = |node: &usize| {
                    let clients = self.nodes[*node].clients.as_ref();
                    let fence = clients.and_then(|clients| clients.candidate.fence(now));
                    Some(self.nodes[*node].zone) == index && fence.is_some()
                };
                let holder = (0..self.nodes.len()).find(holds_lease);
                match holder {
                    Some(node) => self.pause(node),
                    None => self.tally.record_violation("a zone has a holder to pause"),
                }
            }
            Change::Configure(workspace) => {
                let policy = fleet::policy(&self.trace.header, workspace);
                let limit = policy.limits.load_limit;
                self.limits.insert(workspace.name.clone(), limit);
                for node in 0..self.nodes.len() {
                    let lag = self.draw_lag(self.trace.header.list_lag_ms);
                    self.deliver(lag, node, Event::Policy(policy.clone()));
                }
            }
            Change::LoseReply(workspace) => {
                self.pending_response_losses.insert(workspace.clone());
            }
        }
    }

    /// Reverts an event of the trace that has a duration.
    pub(super) fn end_event(&mut self, number: usize) {
        match &self.trace.events[number].change {
            Change::LoseReports(upstreams) => {
                self.muted_upstreams
                    .retain(|name| !upstreams.contains(name));
            }
            Change::LagReports(_) => self.extra_lag = Duration::ZERO,
            Change::Hide { routers, upstreams } => {
                for node in routers {
                    let node = node % self.nodes.len();
                    self.nodes[node]
                        .hidden
                        .retain(|name| !upstreams.contains(name));
                    self.announce_states(node, upstreams);
                }
            }
            Change::CutZone(zone) => {
                let index = self.trace.header.zones.iter().position(|name| name == zone);
                self.isolated_zones
                    .retain(|isolated| Some(*isolated) != index);
                let all: Vec<_> = self.engines.iter().map(|e| e.name.clone()).collect();
                for node in 0..self.nodes.len() {
                    if Some(self.nodes[node].zone) == index {
                        self.nodes[node].reachable_since = self.now;
                    }
                    self.announce_states(node, &all);
                }
            }
            Change::StoreOutage => self.store.unavailable = false,
            Change::LoseStoreReplies => self.store.lose_replies = false,
            Change::Pause(_) | Change::PauseHolder(_) => self.resume(),
            Change::Edit { .. }
            | Change::Leave(_)
            | Change::Fail(_)
            | Change::Join(_)
            | Change::Configure(_)
            | Change::LoseReply(_) => {}
        }
    }

    /// Changes the phase of an upstream and announces it to all routers that it can reach.
    pub(super) fn change_phase(&mut self, engine: usize, phase: Phase) {
        self.advance_if_live(engine);
        let upstream = &mut self.engines[engine];
        match phase {
            Phase::Leaving => {
                upstream.phase = phase;
                self.departures.insert(engine, self.now);
            }
            Phase::Live => {
                upstream.incarnation += 1;
                upstream.reset(self.now, phase);
                self.departures.remove(&engine);
            }
            Phase::Gone | Phase::Joining => {
                let lost_jobs = upstream.reset(self.now, phase);
                self.departures.entry(engine).or_insert(self.now);
                for job in lost_jobs {
                    let (attempt, outcome) = (job.attempt, Outcome::Broken);
                    let event = Event::End { attempt, outcome };
                    self.deliver(Duration::from_millis(2), job.router, event);
                }
            }
        }
        let state = fleet::state(&self.trace.header, &self.engines[engine]);
        for node in 0..self.nodes.len() {
            if self.is_reachable(self.nodes[node].zone, self.engines[engine].zone) {
                let lag = self.draw_lag(self.trace.header.list_lag_ms);
                self.announce(node, self.now + lag, state.clone());
            }
        }
    }

    fn change_all(&mut self, upstreams: &[name::Upstream], phase: Phase) {
        for name in upstreams {
            let Some(engine) = self.engine_index(name) else {
                self.tally.record_violation("events name known upstreams");
                continue;
            };
            self.change_phase(engine, phase);
            if phase == Phase::Leaving && self.engines[engine].is_idle() {
                self.change_phase(engine, Phase::Gone);
            }
        }
    }

    fn pause(&mut self, node: usize) {
        let node = node % self.nodes.len();
        self.nodes[node].deferred.get_or_insert_with(Vec::new);
    }

    fn resume(&mut self) {
        for node in 0..self.nodes.len() {
            let Some(deferred) = self.nodes[node].deferred.take() else {
                continue;
            };
            self.nodes[node].reachable_since = self.now;
            for step in deferred {
                self.schedule(self.now, step);
            }
        }
    }

    fn advance_if_live(&mut self, engine: usize) {
        // Completions that are due now count before the phase changes.
        if self.engines[engine].phase == Phase::Live {
            self.advance(engine);
        }
    }

    fn hide(&mut self, routers: &[usize], upstreams: &[name::Upstream]) {
        for node in routers {
            let node = node % self.nodes.len();
            for name in upstreams {
                let Some(engine) = self.engine_index(name) else {
                    continue;
                };
                self.apply(
                    node,
                    Event::UpstreamRemoved(self.engines[engine].name.clone()),
                );
            }
            self.nodes[node].hidden.extend(upstreams.iter().cloned());
        }
    }

    fn announce_states(&mut self, node: usize, upstreams: &[name::Upstream]) {
        for name in upstreams {
            let Some(engine) = self.engine_index(name) else {
                continue;
            };
            let state = fleet::state(&self.trace.header, &self.engines[engine]);
            let lag = self.draw_lag(self.trace.header.list_lag_ms);
            self.deliver(lag, node, Event::Upstream(state));
        }
    }
}
