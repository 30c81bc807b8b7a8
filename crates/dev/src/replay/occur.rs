//! What the events of a trace do to the fleet.

use std::time::Duration;

use snipeusher::config;
use snipeusher::machine::Event;
use snipeusher::machine::Outcome;
use snipeusher::name;
use snipeusher::upstream::Phase;

use super::fleet;
use super::router::Router;
use super::world::World;
use crate::trace::What;

/// Time until an operator's command gives up.
const EDIT_TIMEOUT: Duration = Duration::from_secs(5);

impl<R: Router> World<'_, R> {
    /// Begins an event of the trace.
    pub(super) fn begin(&mut self, number: usize) {
        match &self.trace.events[number].what {
            What::Leave(upstreams) => self.change_all(upstreams, Phase::Leaving),
            What::Fail(upstreams) => self.change_all(upstreams, Phase::Gone),
            What::Join(upstreams) => self.change_all(upstreams, Phase::Live),
            What::LoseReports(upstreams) => {
                self.lose_reports.extend(upstreams.iter().cloned());
            }
            What::LagReports(by_ms) => self.extra_lag = Duration::from_millis(*by_ms),
            What::Hide { routers, upstreams } => self.hide(routers, upstreams),
            What::CutZone(zone) => {
                let found = self.trace.header.zones.iter().position(|own| own == zone);
                self.cut.extend(found);
                self.lose_watches();
            }
            What::Edit { document, text } => {
                let Some(name) = config::Name::parse(document) else {
                    self.tally.violate("edits name a document");
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
                self.platform.edits.insert(number, edit);
                self.edit(number, None);
            }
            What::StoreOutage => {
                self.platform.out = true;
                self.lose_watches();
            }
            What::LoseStoreReplies => self.platform.lose_replies = true,
            What::Pause(routers) => {
                for seat in routers {
                    self.pause(*seat);
                }
            }
            What::PauseHolder(zone) => {
                let found = self.trace.header.zones.iter().position(|own| own == zone);
                let now = self.now;
                let acts = |seat: &usize| {
                    let parts = self.seats[*seat].parts.as_ref();
                    let fence = parts.and_then(|parts| parts.holder.fence(now));
                    Some(self.seats[*seat].zone) == found && fence.is_some()
                };
                let holder = (0..self.seats.len()).find(acts);
                match holder {
                    Some(seat) => self.pause(seat),
                    None => self.tally.violate("a zone has a holder to pause"),
                }
            }
            What::Configure(workspace) => {
                let policy = fleet::policy(&self.trace.header, workspace);
                let limit = policy.limits.load_limit;
                self.limits.insert(workspace.name.clone(), limit);
                for seat in 0..self.seats.len() {
                    let lag = self.draw_lag(self.trace.header.list_lag_ms);
                    self.deliver(lag, seat, Event::Policy(policy.clone()));
                }
            }
            What::LoseReply(workspace) => {
                self.lose_reply.insert(workspace.clone());
            }
        }
    }

    /// Ends an event of the trace.
    pub(super) fn cease(&mut self, number: usize) {
        match &self.trace.events[number].what {
            What::LoseReports(upstreams) => {
                self.lose_reports.retain(|name| !upstreams.contains(name));
            }
            What::LagReports(_) => self.extra_lag = Duration::ZERO,
            What::Hide { routers, upstreams } => {
                for seat in routers {
                    let seat = seat % self.seats.len();
                    self.seats[seat]
                        .hidden
                        .retain(|name| !upstreams.contains(name));
                    self.refresh(seat, upstreams);
                }
            }
            What::CutZone(zone) => {
                let found = self.trace.header.zones.iter().position(|own| own == zone);
                self.cut.retain(|cut| Some(*cut) != found);
                let all: Vec<_> = self.engines.iter().map(|e| e.name.clone()).collect();
                for seat in 0..self.seats.len() {
                    if Some(self.seats[seat].zone) == found {
                        self.seats[seat].reachable_since = self.now;
                    }
                    self.refresh(seat, &all);
                }
            }
            What::StoreOutage => self.platform.out = false,
            What::LoseStoreReplies => self.platform.lose_replies = false,
            What::Pause(_) | What::PauseHolder(_) => self.resume(),
            What::Edit { .. }
            | What::Leave(_)
            | What::Fail(_)
            | What::Join(_)
            | What::Configure(_)
            | What::LoseReply(_) => {}
        }
    }

    /// Moves an upstream to a phase and tells the routers that can hear of it.
    pub(super) fn change_phase(&mut self, engine: usize, phase: Phase) {
        self.advance_quietly(engine);
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
                let lost = upstream.reset(self.now, phase);
                self.departures.entry(engine).or_insert(self.now);
                for job in lost {
                    let (attempt, outcome) = (job.attempt, Outcome::Broken);
                    let event = Event::End { attempt, outcome };
                    self.deliver(Duration::from_millis(2), job.router, event);
                }
            }
        }
        let state = fleet::state(&self.trace.header, &self.engines[engine]);
        for seat in 0..self.seats.len() {
            if self.reach(self.seats[seat].zone, self.engines[engine].zone) {
                let lag = self.draw_lag(self.trace.header.list_lag_ms);
                self.inform(seat, self.now + lag, state.clone());
            }
        }
    }

    fn change_all(&mut self, upstreams: &[name::Upstream], phase: Phase) {
        for name in upstreams {
            let Some(engine) = self.find(name) else {
                self.tally.violate("events name known upstreams");
                continue;
            };
            self.change_phase(engine, phase);
            if phase == Phase::Leaving && self.engines[engine].is_idle() {
                self.change_phase(engine, Phase::Gone);
            }
        }
    }

    fn pause(&mut self, seat: usize) {
        let seat = seat % self.seats.len();
        self.seats[seat].held.get_or_insert_with(Vec::new);
    }

    fn resume(&mut self) {
        for seat in 0..self.seats.len() {
            let Some(held) = self.seats[seat].held.take() else {
                continue;
            };
            self.seats[seat].reachable_since = self.now;
            for happening in held {
                self.plan(self.now, happening);
            }
        }
    }

    fn advance_quietly(&mut self, engine: usize) {
        // Ends that are due now count before the phase changes.
        if self.engines[engine].phase == Phase::Live {
            self.advance(engine);
        }
    }

    fn hide(&mut self, routers: &[usize], upstreams: &[name::Upstream]) {
        for seat in routers {
            let seat = seat % self.seats.len();
            for name in upstreams {
                let Some(engine) = self.find(name) else {
                    continue;
                };
                self.tell(
                    seat,
                    Event::UpstreamRemoved(self.engines[engine].name.clone()),
                );
            }
            self.seats[seat].hidden.extend(upstreams.iter().cloned());
        }
    }

    fn refresh(&mut self, seat: usize, upstreams: &[name::Upstream]) {
        for name in upstreams {
            let Some(engine) = self.find(name) else {
                continue;
            };
            let state = fleet::state(&self.trace.header, &self.engines[engine]);
            let lag = self.draw_lag(self.trace.header.list_lag_ms);
            self.deliver(lag, seat, Event::Upstream(state));
        }
    }
}
