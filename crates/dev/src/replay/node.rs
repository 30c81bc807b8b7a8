//! A simulated host that runs one router: its inputs and the actions of its decisions.

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

/// A simulated host that runs one router.
#[derive(Debug)]
pub struct Node<R> {
    /// Routing decisions.
    pub router: R,
    /// Index of the zone.
    pub zone: usize,
    /// Upstreams missing from its list.
    pub hidden: BTreeSet<name::Upstream>,
    /// Time of the next scheduled tick.
    pub wake: Time,
    /// Clients of the key-value service, if the trace uses it.
    pub clients: Option<Clients>,
    /// Fleet member; baselines have none.
    pub member: Option<Member>,
    /// Number of cache changes read by engine.
    pub cache_read: BTreeMap<usize, usize>,
    /// Steps deferred while the router is paused.
    pub deferred: Option<Vec<Step>>,
    /// Start of the current period in which it was neither isolated nor paused.
    pub reachable_since: Time,
    /// Number of load reports read so far.
    pub reports: u64,
}

impl<R> Node<R> {
    /// Creates a node in a zone.
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
        let recorded = &self.requests[number];
        let count = self.nodes.len();
        let preferred = recorded.router.unwrap_or(0) % count;
        // The load balancer skips routers that fail its health check.
        let mut order = (0..count).map(|step| (preferred + step) % count);
        let node = order.find(|node| self.nodes[*node].deferred.is_none());
        let node = node.unwrap_or(preferred);
        let Some(key) = recorded
            .key
            .clone()
            .filter(|_| self.nodes[node].clients.is_some())
        else {
            self.admit(node, number);
            return;
        };
        let event = claim::Event::Arrive {
            request: Id(number as u64),
            workspace: recorded.workspace.clone(),
            fingerprint: claim::Fingerprint::of("POST", "/", key.as_bytes()),
            key,
            deadline: self.now + fleet::deadline(self.trace, recorded),
        };
        self.handle_client(node, ClientEvent::Claim(event));
    }

    /// Passes a request to a router's decisions.
    pub(super) fn admit(&mut self, node: usize, number: usize) {
        let recorded = &self.requests[number];
        let arrived = Time::from_millis(recorded.at_ms);
        let request = request::Request {
            id: Id(number as u64),
            workspace: recorded.workspace.clone(),
            class: recorded.class.clone(),
            target: fleet::target(recorded.plain),
            chat: recorded.chat.as_deref().map(chat_of(&recorded.workspace)),
            prompt_tokens: recorded.prompt_tokens,
            output_tokens: recorded.output_tokens,
            bytes: recorded.prompt_tokens * 4,
            deadline: arrived + fleet::deadline(self.trace, recorded),
            idempotent: recorded.idempotent,
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

    /// Passes an event to a router and performs the resulting actions.
    pub fn apply(&mut self, node: usize, event: Event) {
        if let Event::End { attempt, outcome } = &event {
            let request = self.attempts.remove(attempt);
            let complete = *outcome == Outcome::Complete;
            // A router ignores a response after it has sent the caller a final one.
            let is_unanswered = |request: &usize| self.tally.records[*request].response.is_none();
            if let Some(request) = request.filter(|request| complete && is_unanswered(request)) {
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

    /// Schedules the next tick of a router.
    pub(super) fn schedule_wake(&mut self, node: usize) {
        let host = &mut self.nodes[node];
        let clients = host
            .clients
            .as_ref()
            .map_or(Time::NEVER, Clients::next_wake);
        // Ticks never repeat at the same instant, or the simulation would not advance.
        let soon = self.now + Duration::from_micros(1);
        let member = host.member.as_ref();
        let member = member.map_or(Time::NEVER, Member::next_wake);
        let wake = host.router.next_wake().min(clients).min(member).max(soon);
        if wake < host.wake {
            host.wake = wake;
            self.schedule(wake, Step::Wake(node));
        }
    }

    /// Defers a step if it concerns a paused router; otherwise returns it.
    pub(super) fn defer_if_paused(&mut self, step: Step) -> Option<Step> {
        let node = match &step {
            Step::Deliver(node, _)
            | Step::Client(node, _)
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

    pub(super) fn finish(&mut self, request: usize, response: Response) {
        let recorded = &self.requests[request];
        let arrived = Time::from_millis(recorded.at_ms);
        let deadline = arrived + fleet::deadline(self.trace, recorded);
        self.unanswered -= usize::from(self.tally.records[request].response.is_none());
        self.tally
            .record_response(request, response, deadline, recorded);
        self.record_claim_outcome(request, response);
    }
}

/// Returns the ID of a chat in a workspace.
pub(super) fn chat_of(workspace: &name::Workspace) -> impl Fn(&str) -> Chat + '_ {
    move |text| Chat(hash::bytes(format!("{workspace}/{text}").as_bytes()))
}
