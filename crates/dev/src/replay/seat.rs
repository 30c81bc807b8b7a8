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
use super::platform::PartEvent;
use super::platform::Parts;
use super::router::Router;
use super::tally::Final;
use super::world::Happening;
use super::world::World;

/// A router with what the replay knows of it.
#[derive(Debug)]
pub struct Seat<R> {
    /// Its decisions.
    pub router: R,
    /// Index of its zone.
    pub zone: usize,
    /// Upstreams that its list lacks.
    pub hidden: BTreeSet<name::Upstream>,
    /// When the next tick is planned.
    pub wake: Time,
    /// What uses the key-value service, where the trace does.
    pub parts: Option<Parts>,
    /// Its part in the fleet; baselines have none.
    pub member: Option<Member>,
    /// Changes read of each engine's cache.
    pub cache_read: BTreeMap<usize, usize>,
    /// What waits for the router while it stands still.
    pub held: Option<Vec<Happening>>,
    /// Since when it was neither cut off nor standing still.
    pub reachable_since: Time,
    /// Load reports read so far.
    pub reports: u64,
}

impl<R> Seat<R> {
    /// A router that starts in a zone.
    pub const fn new(router: R, zone: usize) -> Self {
        Self {
            router,
            zone,
            hidden: BTreeSet::new(),
            wake: Time::NEVER,
            parts: None,
            member: None,
            cache_read: BTreeMap::new(),
            held: None,
            reachable_since: Time(0),
            reports: 0,
        }
    }
}

impl<R: Router> World<'_, R> {
    pub(super) fn arrive(&mut self, number: usize) {
        let found = &self.requests[number];
        let count = self.seats.len();
        let drawn = found.router.unwrap_or(0) % count;
        // The balancer passes over a router that does not answer its health check.
        let mut order = (0..count).map(|step| (drawn + step) % count);
        let seat = order.find(|seat| self.seats[*seat].held.is_none());
        let seat = seat.unwrap_or(drawn);
        let Some(key) = found
            .key
            .clone()
            .filter(|_| self.seats[seat].parts.is_some())
        else {
            self.admit(seat, number);
            return;
        };
        let event = claim::Event::Arrive {
            request: Id(number as u64),
            workspace: found.workspace.clone(),
            fingerprint: claim::Fingerprint::of("POST", "/", key.as_bytes()),
            key,
            deadline: self.now + fleet::deadline(self.trace, found),
        };
        self.tend(seat, PartEvent::Claim(event));
    }

    /// Gives a request to a router's decisions.
    pub(super) fn admit(&mut self, seat: usize, number: usize) {
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
        self.handle(seat, Event::Arrive(request));
    }

    pub(super) fn handle(&mut self, seat: usize, event: Event) {
        if let Event::Upstream(state) = &event
            && self.seats[seat].hidden.contains(&state.name)
        {
            return;
        }
        self.tell(seat, event);
    }

    /// Gives an event to a router and carries out what it asks for.
    pub fn tell(&mut self, seat: usize, event: Event) {
        if let Event::End { attempt, outcome } = &event {
            let request = self.flights.remove(attempt);
            let complete = *outcome == Outcome::Complete;
            // A router that has given its final answer ignores a later reply.
            let open = |request: &usize| self.tally.fates[*request].ended.is_none();
            if let Some(request) = request.filter(|request| complete && open(request)) {
                self.finish(request, Final::Complete(self.now));
            }
        }
        let (now, fleet) = (self.now, &self.engines);
        self.seats[seat].router.handle(now, event, fleet);
        for action in self.seats[seat].router.take() {
            self.act(seat, action);
        }
        self.plan_wake(seat);
    }

    /// Plans the next tick of a router.
    pub(super) fn plan_wake(&mut self, seat: usize) {
        let found = &mut self.seats[seat];
        let parts = found.parts.as_ref().map_or(Time::NEVER, Parts::next_wake);
        // A tick never comes at the same instant again, so that the clock goes on.
        let soon = self.now + Duration::from_micros(1);
        let member = found.member.as_ref();
        let member = member.map_or(Time::NEVER, Member::next_wake);
        let wake = found.router.next_wake().min(parts).min(member).max(soon);
        if wake < found.wake {
            found.wake = wake;
            self.plan(wake, Happening::Wake(seat));
        }
    }

    /// Keeps what reaches a router that stands still.
    pub(super) fn hold(&mut self, happening: Happening) -> Option<Happening> {
        let seat = match &happening {
            Happening::Deliver(seat, _)
            | Happening::Part(seat, _)
            | Happening::Member(seat, _)
            | Happening::Wake(seat)
            | Happening::Probe(seat, _)
            | Happening::Gossip(seat) => *seat,
            _ => return Some(happening),
        };
        match &mut self.seats[seat].held {
            Some(held) => {
                held.push(happening);
                None
            }
            None => Some(happening),
        }
    }

    pub(super) fn finish(&mut self, request: usize, ended: Final) {
        let found = &self.requests[request];
        let arrived = Time::from_millis(found.at_ms);
        let deadline = arrived + fleet::deadline(self.trace, found);
        self.open -= usize::from(self.tally.fates[request].ended.is_none());
        self.tally.finish(request, ended, deadline, found);
        self.settle(request, ended);
    }
}

/// The identity of a chat of a workspace.
pub(super) fn chat_of(workspace: &name::Workspace) -> impl Fn(&str) -> Chat + '_ {
    move |text| Chat(hash::bytes(format!("{workspace}/{text}").as_bytes()))
}
