//! Drives a router's clients of the key-value service (configuration, claims, lease) and checks
//! their invariants.

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

use super::router::Router;
use super::simulation::Simulation;
use super::simulation::Step;
use super::store::Caller;
use super::store::ClientEvent;
use super::store::Clients;
use super::tally::Response;

impl<R: Router> Simulation<'_, R> {
    /// Passes an event to a client of a router and performs the resulting actions.
    pub(super) fn handle_client(&mut self, node: usize, event: ClientEvent) {
        let now = self.now;
        let Some(clients) = &mut self.nodes[node].clients else {
            return;
        };
        match event {
            ClientEvent::Config(event) => clients.replica.handle(now, event),
            ClientEvent::Claim(event) => clients.claims.handle(now, event),
            ClientEvent::Lease(event) => clients.candidate.handle(now, event),
        }
        let configs: Vec<_> = clients.replica.drain().collect();
        let claims: Vec<_> = clients.claims.drain().collect();
        let leases: Vec<_> = clients.candidate.drain().collect();
        let digest = clients.replica.digest();
        let changed = std::mem::replace(&mut clients.announced, digest) != digest;
        for action in configs {
            self.perform_config(node, action);
        }
        if changed {
            self.handle_member(node, member::Event::Digest(digest));
        }
        for action in claims {
            match action {
                claim::Action::Call { id, call } => self.call(Caller::Claim(node), id, call),
                claim::Action::Verdict { request, verdict } => {
                    self.apply_verdict(node, request.0 as usize, &verdict);
                }
            }
        }
        for action in leases {
            if let lease::Action::Call { id, call } = action {
                self.call(Caller::Lease(node), id, call);
            }
        }
        self.schedule_wake(node);
    }

    /// Passes a tick to all clients of a router.
    pub(super) fn tick_clients(&mut self, node: usize) {
        self.handle_client(node, ClientEvent::Config(config::Event::Tick));
        self.handle_client(node, ClientEvent::Claim(claim::Event::Tick));
        self.handle_client(node, ClientEvent::Lease(lease::Event::Tick));
    }

    fn perform_config(&mut self, node: usize, action: config::Action) {
        match action {
            config::Action::Call { id, call } => self.call(Caller::Config(node), id, call),
            config::Action::Watch { from } => {
                self.store.watches.insert(node, from);
                self.publish_writes();
            }
            config::Action::Exchange(to, exchange) => {
                self.handle_member(node, member::Event::Exchange(to, exchange));
            }
            config::Action::Apply { policy, revision } => {
                self.record_applied(node, &policy.workspace, revision);
                let limit = policy.limits.load_limit;
                self.limits.insert(policy.workspace.clone(), limit);
                self.apply(node, Event::Policy(*policy));
            }
            config::Action::Remove(workspace) => {
                self.apply(node, Event::WorkspaceRemoved(workspace));
            }
            config::Action::Problem { document, .. } => {
                self.tally
                    .record_violation(&format!("{document} can be used"));
            }
            config::Action::Ready => {}
        }
    }

    fn record_applied(&mut self, node: usize, workspace: &name::Workspace, revision: Revision) {
        let since = self.nodes[node].reachable_since;
        if let Some(at) = self.store.accepted.get(&revision) {
            let elapsed_ms = self.now.since((*at).max(since)).as_millis() as u64;
            self.tally.config_ms = self.tally.config_ms.max(elapsed_ms);
        }
        let Some(clients) = &mut self.nodes[node].clients else {
            return;
        };
        let previous = clients.applied.insert(workspace.clone(), revision);
        if previous.is_some_and(|previous| previous > revision) {
            self.tally.record_violation("configuration never reverts");
        }
    }

    /// Handles the verdict of the claims on a request with an idempotency key.
    fn apply_verdict(&mut self, node: usize, request: usize, verdict: &claim::Verdict) {
        let refuse = |ran| Response::Refused(Reason::AttemptsFailed, ran);
        let response = match verdict {
            claim::Verdict::Run => {
                self.store.runs.insert(request, node);
                self.admit(node, request);
                return;
            }
            claim::Verdict::Answer(_) => {
                self.tally.repeated += 1;
                Response::Complete(self.now)
            }
            claim::Verdict::Unknown => refuse(Ran::Unknown),
            _ => refuse(Ran::NotRun),
        };
        self.finish(request, response);
    }

    /// Reports to the claims how a request with an idempotency key ended.
    pub(super) fn record_claim_outcome(&mut self, request: usize, response: Response) {
        let Some(node) = self.store.runs.remove(&request) else {
            return;
        };
        let outcome = match response {
            Response::Complete(_) => claim::Outcome::Answered(claim::Answer {
                status: 200,
                content_type: None,
                body: None,
            }),
            Response::Refused(_, Ran::NotRun) => claim::Outcome::NotRun,
            Response::Refused(_, Ran::Unknown) => claim::Outcome::Unknown,
        };
        let request = Id(request as u64);
        let event = claim::Event::End { request, outcome };
        let event = ClientEvent::Claim(event);
        self.schedule(self.now, Step::Client(node, Box::new(event)));
    }

    /// Advances an operator's edit.
    pub(super) fn advance_edit(
        &mut self,
        number: usize,
        reply: Option<(CallId, Result<Reply, Fault>)>,
    ) {
        let Some(mut edit) = self.store.edits.remove(&number) else {
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
        self.store.edits.insert(number, edit);
        if wake < Time::NEVER {
            self.schedule(wake, Step::Edit(number, None));
        }
    }

    /// Checks that at most one router at a time acts as the lease holder of a zone.
    pub(super) fn check_holders(&mut self) {
        let mut holders: BTreeMap<usize, u32> = BTreeMap::new();
        for node in &self.nodes {
            let candidate = node.clients.as_ref().map(|clients| &clients.candidate);
            let Some(fence) = candidate.and_then(|candidate| candidate.fence(self.now)) else {
                continue;
            };
            *holders.entry(node.zone).or_default() += 1;
            let fences = self.store.fences.entry(node.zone).or_default();
            fences.insert(fence);
            self.tally.holders = self.tally.holders.max(fences.len() as u64);
        }
        if holders.values().any(|count| *count > 1) {
            self.tally.record_violation("one holder acts");
        }
    }

    /// Checks after the replay that every router has the latest configuration.
    pub(super) fn check_configuration(&mut self) {
        let Some((last, _)) = self.store.accepted.last_key_value() else {
            return;
        };
        let behind = |clients: &Clients| clients.replica.digest().highest < *last;
        let nodes = self.nodes.iter().filter_map(|node| node.clients.as_ref());
        if nodes.into_iter().any(behind) {
            self.tally
                .record_violation("accepted configuration is in force on every router");
        }
    }
}
