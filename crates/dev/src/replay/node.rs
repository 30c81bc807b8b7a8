//! A router in the replay: what reaches it and what it asks for.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use snipeusher::claim;
use snipeusher::hash;
use snipeusher::machine::Event;
use snipeusher::machine::Outcome;
use snipeusher::member::Member;
use snipeusher::name;
use snipeusher::request;
use snipeusher::request::Chat;
use snipeusher::request::Id;
use snipeusher::time::Time;

use super::fleet;
use super::router::Router;
use super::simulation::Simulation;
use super::simulation::Step;
use super::store::ClientEvent;
use super::store::Clients;
use super::tally::Response;

/// A router with what the replay knows of it.
#[derive(Debug)]
pub struct Node<R> {
    /// Its decisions.
    pub router: R,
    /// Index of its zone.
    pub zone: usize,
    /// Upstreams that its list lacks.
    pub hidden: BTreeSet<name::Upstream>,
    /// When the next tick is planned.
    pub wake: Time,
    /// What uses the key-value service, where the trace does.
    pub clients: Option<Clients>,
    /// Its part in the fleet; baselines have none.
    pub member: Option<Member>,
    /// Changes read of each engine's cache.
    pub cache_read: BTreeMap<usize, usize>,
    /// What waits for the router while it stands still.
    pub deferred: Option<Vec<Step>>,
    /// Since when it was neither cut off nor standing still.
    pub reachable_since: Time,
    /// Load reports read so far.
    pub reports: u64,
}

impl<R> Node<R> {
    /// A router that starts in a zone.
    pub const fn new(router: R, zone: usize) -> Self {
        Self {
            router,
            zone,
            hidden: BTreeSet::new(),
            wake: Time::NEVER,
            clients: None,
            member: None,
            cache_read: BTreeMap::new(),
            deferred: None,
            reachable_since: Time(0),
            reports: 0,
        }
    }
}

impl<R: Router> Simulation<'_, R> {
    pub(super) fn arrive(&mut self, number: usize) {
        let found = &self.requests[number];
        let count = self.nodes.len();
        let drawn = found.router.unwrap_or(0) % count;
        // The balancer passes over a router that does not answer its health check.
        let mut order = (0..count).map(|step| (drawn + step) % count);
        let node = order.find(|node| self.nodes[*node].deferred.is_none());
        let node = node.unwrap_or(drawn);
        let Some(key) = found
            .key
            .clone()
            .filter(|_| self.nodes[node].clients.is_some())
        else {
            self.admit(node, number);
            return;
        };
        let event = claim::Event::Arrive {
            request: Id(number as u64),
            workspace: found.workspace.clone(),
            fingerprint: claim::Fingerprint::of("POST", "/", key.as_bytes()),
            key,
            deadline: self.now + fleet::deadline(self.trace, found),
        };
        self.handle_client(node, ClientEvent::Claim(event));
    }

    /// Gives a request to a router's decisions.
    pub(super) fn admit(&mut self, node: usize, number: usize) {
        let found = &self.requests[number];
        let arrived = Time::from_millis(found.at_ms);
        let request = request::Request {
            id: Id(number as u64),
            workspace: found.workspace.clone(),
            class: found.class.clone(),
            target: fleet::target(found.plain),
            chat: found.chat.as_deref().map(chat_of(&found.workspace)),
            prompt_tokens: found.prompt_tokens,
            output_tokens: found.output_tokens,
            bytes: found.prompt_tokens * 4,
            deadline: arrived + fleet::deadline(self.trace, found),
            idempotent: found.idempotent,
        };
        self.handle(node, Event::Arrive(request));
    }

    pub(super) fn handle(&mut self, node: usize, event: Event) {
        if let Event::Upstream(state) = &event
            && self.nodes[node].hidden.contains(&state.name)
        {
            return;
        }
        self.apply(node, event);
    }

    /// Gives an event to a router and carries out what it asks for.
    pub fn apply(&mut self, node: usize, event: Event) {
        if let Event::End { attempt, outcome } = &event {
            let request = self.attempts.remove(attempt);
            let complete = *outcome == Outcome::Complete;
            // A router that has given its final answer ignores a later reply.
            let open = |request: &usize| self.tally.records[*request].response.is_none();
            if let Some(request) = request.filter(|request| complete && open(request)) {
                self.finish(request, Response::Complete(self.now));
            }
        }
        let (now, fleet) = (self.now, &self.engines);
        self.nodes[node].router.handle(now, event, fleet);
        for action in self.nodes[node].router.take_actions() {
            self.perform(node, action);
        }
        self.schedule_wake(node);
    }

    /// Plans the next tick of a router.
    pub(super) fn schedule_wake(&mut self, node: usize) {
        let found = &mut self.nodes[node];
        let clients = found
            .clients
            .as_ref()
            .map_or(Time::NEVER, Clients::next_wake);
        // A tick never comes at the same instant again, so that the clock goes on.
        let soon = self.now + Duration::from_micros(1);
        let member = found.member.as_ref();
        let member = member.map_or(Time::NEVER, Member::next_wake);
        let wake = found.router.next_wake().min(clients).min(member).max(soon);
        if wake < found.wake {
            found.wake = wake;
            self.schedule(wake, Step::Wake(node));
        }
    }

    /// Keeps what reaches a router that stands still.
    pub(super) fn defer_if_paused(&mut self, step: Step) -> Option<Step> {
        let node = match &step {
            Step::Deliver(node, _)
            | Step::Part(node, _)
            | Step::Member(node, _)
            | Step::Wake(node)
            | Step::Probe(node, _)
            | Step::Gossip(node) => *node,
            _ => return Some(step),
        };
        match &mut self.nodes[node].deferred {
            Some(deferred) => {
                deferred.push(step);
                None
            }
            None => Some(step),
        }
    }

    pub(super) fn finish(&mut self, request: usize, ended: Response) {
        let found = &self.requests[request];
        let arrived = Time::from_millis(found.at_ms);
        let deadline = arrived + fleet::deadline(self.trace, found);
        self.unanswered -= usize::from(self.tally.records[request].response.is_none());
        self.tally.record_response(request, ended, deadline, found);
        self.record_claim_outcome(request, ended);
    }
}

/// The identity of a chat of a workspace.
pub(super) fn chat_of(workspace: &name::Workspace) -> impl Fn(&str) -> Chat + '_ {
    move |text| Chat(hash::bytes(format!("{workspace}/{text}").as_bytes()))
}
