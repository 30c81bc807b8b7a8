//! What the parts of a router that use the key-value service ask for, and the checks of them.

use std::collections::BTreeMap;
use std::time::Duration;

use snipeusher::claim;
use snipeusher::config;
use snipeusher::kv::CallId;
use snipeusher::kv::Fault;
use snipeusher::kv::Reply;
use snipeusher::kv::Revision;
use snipeusher::lease;
use snipeusher::machine::Event;
use snipeusher::machine::Reason;
use snipeusher::member;
use snipeusher::name;
use snipeusher::request::Id;
use snipeusher::request::Ran;
use snipeusher::time::Time;

use super::platform::Caller;
use super::platform::PartEvent;
use super::platform::Parts;
use super::router::Router;
use super::tally::Final;
use super::world::Happening;
use super::world::World;

impl<R: Router> World<'_, R> {
    /// Gives an event to a part of a router and carries out what it asks for.
    pub(super) fn tend(&mut self, seat: usize, event: PartEvent) {
        let now = self.now;
        let Some(parts) = &mut self.seats[seat].parts else {
            return;
        };
        match event {
            PartEvent::Config(event) => parts.replica.handle(now, event),
            PartEvent::Claim(event) => parts.claims.handle(now, event),
            PartEvent::Lease(event) => parts.holder.handle(now, event),
        }
        let configs: Vec<_> = parts.replica.drain().collect();
        let claims: Vec<_> = parts.claims.drain().collect();
        let leases: Vec<_> = parts.holder.drain().collect();
        let digest = parts.replica.digest();
        let changed = std::mem::replace(&mut parts.told, digest) != digest;
        for action in configs {
            self.act_config(seat, action);
        }
        if changed {
            self.meet(seat, member::Event::Digest(digest));
        }
        for action in claims {
            match action {
                claim::Action::Call { id, call } => self.call(Caller::Claim(seat), id, call),
                claim::Action::Verdict { request, verdict } => {
                    self.decide(seat, request.0 as usize, &verdict);
                }
            }
        }
        for action in leases {
            if let lease::Action::Call { id, call } = action {
                self.call(Caller::Lease(seat), id, call);
            }
        }
        self.plan_wake(seat);
    }

    /// Wakes all parts of a router that are due.
    pub(super) fn tick_parts(&mut self, seat: usize) {
        self.tend(seat, PartEvent::Config(config::Event::Tick));
        self.tend(seat, PartEvent::Claim(claim::Event::Tick));
        self.tend(seat, PartEvent::Lease(lease::Event::Tick));
    }

    fn act_config(&mut self, seat: usize, action: config::Action) {
        match action {
            config::Action::Call { id, call } => self.call(Caller::Config(seat), id, call),
            config::Action::Watch { from } => {
                self.platform.watches.insert(seat, from);
                self.push();
            }
            config::Action::Exchange(to, exchange) => {
                self.meet(seat, member::Event::Exchange(to, exchange));
            }
            config::Action::Apply { policy, revision } => {
                self.applied(seat, &policy.workspace, revision);
                let limit = policy.limits.load_limit;
                self.limits.insert(policy.workspace.clone(), limit);
                self.tell(seat, Event::Policy(*policy));
            }
            config::Action::Remove(workspace) => {
                self.tell(seat, Event::WorkspaceRemoved(workspace));
            }
            config::Action::Problem { document, .. } => {
                self.tally.violate(&format!("{document} can be used"));
            }
            config::Action::Ready => {}
        }
    }

    fn applied(&mut self, seat: usize, workspace: &name::Workspace, revision: Revision) {
        let since = self.seats[seat].reachable_since;
        if let Some(at) = self.platform.accepted.get(&revision) {
            let taken = self.now.since((*at).max(since)).as_millis() as u64;
            self.tally.config_ms = self.tally.config_ms.max(taken);
        }
        let Some(parts) = &mut self.seats[seat].parts else {
            return;
        };
        let before = parts.applied.insert(workspace.clone(), revision);
        if before.is_some_and(|before| before > revision) {
            self.tally.violate("configuration never reverts");
        }
    }

    /// What the claims decided about a request with a key.
    fn decide(&mut self, seat: usize, request: usize, verdict: &claim::Verdict) {
        let refuse = |ran| Final::Refused(Reason::AttemptsFailed, ran);
        let ended = match verdict {
            claim::Verdict::Run => {
                self.platform.runs.insert(request, seat);
                self.admit(seat, request);
                return;
            }
            claim::Verdict::Answer(_) => {
                self.tally.repeated += 1;
                Final::Complete(self.now)
            }
            claim::Verdict::Unknown => refuse(Ran::Unknown),
            _ => refuse(Ran::NotRun),
        };
        self.finish(request, ended);
    }

    /// Tells the claims how a request with a key ended.
    pub(super) fn settle(&mut self, request: usize, ended: Final) {
        let Some(seat) = self.platform.runs.remove(&request) else {
            return;
        };
        let outcome = match ended {
            Final::Complete(_) => claim::Outcome::Answered(claim::Answer {
                status: 200,
                content_type: None,
                body: None,
            }),
            Final::Refused(_, Ran::NotRun) => claim::Outcome::NotRun,
            Final::Refused(_, Ran::Unknown) => claim::Outcome::Unknown,
        };
        let request = Id(request as u64);
        let event = claim::Event::End { request, outcome };
        let event = PartEvent::Claim(event);
        self.plan(self.now, Happening::Part(seat, Box::new(event)));
    }

    /// Goes on with an operator's edit.
    pub(super) fn edit(&mut self, number: usize, reply: Option<(CallId, Result<Reply, Fault>)>) {
        let Some(mut edit) = self.platform.edits.remove(&number) else {
            return;
        };
        edit.handle(self.now, reply);
        let steps: Vec<_> = edit.drain().collect();
        for step in steps {
            match step {
                config::Step::Call { id, call } => self.call(Caller::Edit(number), id, call),
                config::Step::Done(outcome) => {
                    let applied = matches!(outcome, config::Outcome::Applied(_));
                    self.tally.edits_failed += u64::from(!applied);
                    return;
                }
            }
        }
        let wake = edit.next_wake().max(self.now + Duration::from_micros(1));
        self.platform.edits.insert(number, edit);
        if wake < Time::NEVER {
            self.plan(wake, Happening::Edit(number, None));
        }
    }

    /// Checks that no two routers act as the holder of one zone.
    pub(super) fn check_holders(&mut self) {
        let mut acting: BTreeMap<usize, u32> = BTreeMap::new();
        for seat in &self.seats {
            let holder = seat.parts.as_ref().map(|parts| &parts.holder);
            let Some(fence) = holder.and_then(|holder| holder.fence(self.now)) else {
                continue;
            };
            *acting.entry(seat.zone).or_default() += 1;
            let fences = self.platform.fences.entry(seat.zone).or_default();
            fences.insert(fence);
            self.tally.holders = self.tally.holders.max(fences.len() as u64);
        }
        if acting.values().any(|count| *count > 1) {
            self.tally.violate("one holder acts");
        }
    }

    /// Checks at the end that every router has the last configuration.
    pub(super) fn check_configuration(&mut self) {
        let Some((last, _)) = self.platform.accepted.last_key_value() else {
            return;
        };
        let behind = |parts: &Parts| parts.replica.digest().highest < *last;
        let seats = self.seats.iter().filter_map(|seat| seat.parts.as_ref());
        if seats.into_iter().any(behind) {
            self.tally
                .violate("accepted configuration is in force on every router");
        }
    }
}
