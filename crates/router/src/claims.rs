//! At-most-once execution of requests with an idempotency key.
//!
//! One actor owns the [`Claims`] of all serving threads, so that claims made within a few
//! milliseconds share a transaction. See `docs/design.md#at-most-once`.

mod guard;
mod recorder;

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use actix::Actor;
use actix::ActorFutureExt as _;
use actix::Addr;
use actix::AsyncContext as _;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::MessageResult;
use actix::WrapFuture as _;
use snipeusher::claim::Action;
use snipeusher::claim::Claims;
use snipeusher::claim::Event;
use snipeusher::claim::Fingerprint;
use snipeusher::claim::Outcome;
use snipeusher::claim::Verdict;
use snipeusher::kv::Fault;
use snipeusher::name;
use snipeusher::request::Id;
use snipeusher::time::Time;
use snipeusher_store::Gateway;
use snipeusher_store::Store as _;
use tokio::sync::oneshot;

use crate::alarm::Alarm;

pub(crate) use self::guard::Guard;
pub(crate) use self::guard::key;

/// Requests a decision on whether a request with an idempotency key may run.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Query {
    pub(crate) request: Id,
    pub(crate) workspace: name::Workspace,
    pub(crate) key: String,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) deadline: Time,
    pub(crate) decision: oneshot::Sender<Decision>,
}

/// How to handle a request with an idempotency key.
#[derive(Debug)]
pub(crate) enum Decision {
    /// Run it, and report its outcome with the ticket.
    Run(Ticket),
    /// Forward it to the router that issued its key.
    Forward(SocketAddr),
    /// Respond to it without running it.
    Respond(Verdict),
}

/// Reports the outcome of a request when dropped: not run if the request was not started, unknown
/// if it was started and no outcome was set.
#[derive(Debug)]
pub(crate) struct Ticket {
    claimer: Addr<Claimer>,
    request: Id,
    outcome: Outcome,
}

impl Ticket {
    /// Marks the request as started, so that it may have run.
    pub(crate) fn start(&mut self) {
        self.outcome = Outcome::Unknown;
    }

    /// Reports the outcome.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let outcome = std::mem::replace(&mut self.outcome, Outcome::Unknown);
        let request = self.request;
        self.claimer.do_send(End { request, outcome });
    }
}

/// Reports the outcome of a request.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct End {
    request: Id,
    outcome: Outcome,
}

/// Creates an idempotency key whose requests only this process runs.
#[derive(Debug, Message)]
#[rtype(result = "String")]
pub(crate) struct IssueKey;

/// Queries whether outcomes are still to be recorded in the key-value service.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub(crate) struct IsRecording;

/// Reports the incarnation and address of another router, received by gossip.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct PeerSeen {
    /// Host of the router.
    pub host: name::Host,
    /// Incarnation of the router.
    pub incarnation: name::Incarnation,
    /// Address at which it serves callers.
    pub address: SocketAddr,
}

/// Reports that a router was removed from the list of peers.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct PeerRemoved(pub name::Host);

/// The actor that owns the claims.
pub struct Claimer {
    claims: Claims,
    /// Absent if the settings name no key-value service.
    gateway: Option<Rc<Gateway>>,
    origin: Instant,
    waiting: BTreeMap<Id, oneshot::Sender<Decision>>,
    addresses: BTreeMap<name::Host, SocketAddr>,
    alarm: Alarm,
}

impl fmt::Debug for Claimer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Claimer")
            .field("waiting", &self.waiting.len())
            .finish_non_exhaustive()
    }
}

impl Claimer {
    pub(crate) fn new(claims: Claims, gateway: Option<Gateway>, origin: Instant) -> Self {
        Self {
            claims,
            gateway: gateway.map(Rc::new),
            origin,
            waiting: BTreeMap::new(),
            addresses: BTreeMap::new(),
            alarm: Alarm::default(),
        }
    }

    fn now(&self) -> Time {
        Time::default() + self.origin.elapsed()
    }

    fn handle_event(&mut self, event: Event, ctx: &mut Context<Self>) {
        let now = self.now();
        self.claims.handle(now, event);
        let actions: Vec<_> = self.claims.drain().collect();
        for action in actions {
            match action {
                Action::Call { id, call } => {
                    let gateway = self.gateway.clone();
                    let call = async move {
                        match gateway {
                            Some(gateway) => (id, gateway.call(call).await),
                            None => (id, Err(Fault::NotSent)),
                        }
                    };
                    ctx.spawn(call.into_actor(self).map(|(id, result), this, ctx| {
                        this.handle_event(Event::Reply { id, result }, ctx);
                    }));
                }
                Action::Verdict { request, verdict } => self.decide(request, verdict, ctx),
            }
        }
        self.schedule(now, ctx);
    }

    fn decide(&mut self, request: Id, verdict: Verdict, ctx: &Context<Self>) {
        let decision = match verdict {
            Verdict::Run => Decision::Run(Ticket {
                claimer: ctx.address(),
                request,
                outcome: Outcome::NotRun,
            }),
            Verdict::Forward(host) => match self.addresses.get(&host) {
                Some(address) => Decision::Forward(*address),
                None => Decision::Respond(Verdict::Unknown),
            },
            other => Decision::Respond(other),
        };
        if let Some(sender) = self.waiting.remove(&request) {
            // If the caller has disconnected, the ticket is dropped here, which ends the claim.
            drop(sender.send(decision));
        }
    }

    fn schedule(&mut self, now: Time, ctx: &mut Context<Self>) {
        let due = self.claims.next_wake();
        self.alarm.set(now, due, ctx, |this, ctx| {
            this.alarm.clear();
            this.handle_event(Event::Tick, ctx);
        });
    }
}

impl Actor for Claimer {
    type Context = Context<Self>;
}

impl Handler<Query> for Claimer {
    type Result = ();

    fn handle(&mut self, msg: Query, ctx: &mut Self::Context) {
        self.waiting.insert(msg.request, msg.decision);
        let event = Event::Arrive {
            request: msg.request,
            workspace: msg.workspace,
            key: msg.key,
            fingerprint: msg.fingerprint,
            deadline: msg.deadline,
        };
        self.handle_event(event, ctx);
    }
}

impl Handler<End> for Claimer {
    type Result = ();

    fn handle(&mut self, msg: End, ctx: &mut Self::Context) {
        let End { request, outcome } = msg;
        self.handle_event(Event::End { request, outcome }, ctx);
    }
}

impl Handler<IssueKey> for Claimer {
    type Result = MessageResult<IssueKey>;

    fn handle(&mut self, _msg: IssueKey, _ctx: &mut Self::Context) -> Self::Result {
        let now = self.now();
        MessageResult(self.claims.issue(now))
    }
}

impl Handler<IsRecording> for Claimer {
    type Result = bool;

    fn handle(&mut self, _msg: IsRecording, _ctx: &mut Self::Context) -> bool {
        self.claims.is_recording()
    }
}

impl Handler<PeerSeen> for Claimer {
    type Result = ();

    fn handle(&mut self, msg: PeerSeen, ctx: &mut Self::Context) {
        self.addresses.insert(msg.host.clone(), msg.address);
        self.handle_event(Event::PeerSeen(msg.host, msg.incarnation), ctx);
    }
}

impl Handler<PeerRemoved> for Claimer {
    type Result = ();

    fn handle(&mut self, PeerRemoved(host): PeerRemoved, ctx: &mut Self::Context) {
        self.addresses.remove(&host);
        self.handle_event(Event::PeerRemoved(host), ctx);
    }
}
