//! The actor that owns the [`Machine`] and executes its actions.
//!
//! It runs on a separate arbiter, so that a busy serving thread does not delay decisions.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use actix::Actor;
use actix::AsyncContext as _;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::MessageResult;
use actix::SpawnHandle;
use serde_json::Value;
use serde_json::json;
use slog::Logger;
use slog::debug;
use slog::warn;
use snipeusher::load;
use snipeusher::machine::Action;
use snipeusher::machine::Event;
use snipeusher::machine::Machine;
use snipeusher::machine::Outcome;
use snipeusher::machine::Reason;
use snipeusher::name;
use snipeusher::request::Attempt;
use snipeusher::request::Id;
use snipeusher::request::Ran;
use snipeusher::request::Request;
use snipeusher::time::Time;
use snipeusher::upstream::Kind;
use snipeusher::upstream::Phase;
use snipeusher::upstream::State;
use tokio::sync::mpsc::UnboundedSender;

/// One attempt of a request at an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Dispatch {
    pub(crate) attempt: Attempt,
    pub(crate) upstream: name::Upstream,
    pub(crate) address: SocketAddr,
    /// Scheduling priority at the engine.
    pub(crate) priority: u8,
}

/// A decision of the machine, sent to the [session](crate::session) of the request.
#[derive(Debug)]
pub(crate) enum Command {
    /// Start an attempt.
    Dispatch(Dispatch),
    /// Reject the request.
    Refuse {
        reason: Reason,
        /// Whether the request may have run.
        ran: Ran,
        retry_after: Duration,
    },
    /// Stop an attempt.
    Cancel(Attempt),
}

/// Hands a caller's request to the machine.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Submit {
    pub(crate) request: Request,
    pub(crate) commands: UnboundedSender<Command>,
}

/// Passes an event to the machine. New requests use `Submit` instead.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Notify(pub Event);

/// Queries the work that this router has in flight, which gossip sends to its peers.
#[derive(Debug, Message)]
#[rtype(result = "load::Share")]
pub(crate) struct CurrentShare;

/// Reports the outcome of an attempt.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Finish {
    pub(crate) request: Id,
    pub(crate) attempt: Attempt,
    pub(crate) outcome: Outcome,
}

/// Reports that the caller of a request disconnected.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Disconnect(pub(crate) Id);

/// Queries whether an attempt is still in flight.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub(crate) struct InFlight(pub(crate) Attempt);

/// Queries the number of engines that accept work.
#[derive(Debug, Message)]
#[rtype(result = "usize")]
pub(crate) struct ReadyEngines;

/// Queries the state as JSON for the status page.
#[derive(Debug, Message)]
#[rtype(result = "Value")]
pub(crate) struct Report;

#[derive(Debug)]
struct Entry {
    commands: UnboundedSender<Command>,
    attempt: Option<Attempt>,
}

/// The actor that owns the machine.
pub struct Dispatcher {
    machine: Machine,
    origin: Instant,
    requests: BTreeMap<Id, Entry>,
    attempts: BTreeMap<Attempt, Id>,
    timer: Option<(Time, SpawnHandle)>,
    client: awc::Client,
    log: Logger,
}

impl fmt::Debug for Dispatcher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Dispatcher")
            .field("requests", &self.requests.len())
            .finish_non_exhaustive()
    }
}

impl Dispatcher {
    pub(crate) fn new(machine: Machine, origin: Instant, client: awc::Client, log: Logger) -> Self {
        Self {
            machine,
            origin,
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            timer: None,
            client,
            log,
        }
    }

    fn now(&self) -> Time {
        Time::default() + self.origin.elapsed()
    }

    fn handle_event(&mut self, event: Event, ctx: &mut Context<Self>) {
        let now = self.now();
        self.machine.handle(now, event);
        self.execute_actions();
        self.schedule(ctx);
    }

    fn execute_actions(&mut self) {
        let actions: Vec<_> = self.machine.drain().collect();
        for action in actions {
            match action {
                Action::Dispatch {
                    request,
                    attempt,
                    upstream,
                    priority,
                } => self.dispatch(request, attempt, upstream, priority),
                Action::Refuse {
                    request,
                    reason,
                    ran,
                    retry_after,
                } => {
                    if let Some(entry) = self.remove(request) {
                        let command = Command::Refuse {
                            reason,
                            ran,
                            retry_after,
                        };
                        // Sending fails if the caller disconnected in the meantime.
                        let _disconnected = entry.commands.send(command);
                    }
                }
                Action::Close(request) => {
                    self.remove(request);
                }
                Action::Cancel { attempt, upstream } => self.cancel(attempt, &upstream),
                // Cache transfers between engines are not implemented: the destination engine
                // computes the prefix again.
                Action::Transfer { chat, to, .. } => {
                    let tokens = 0;
                    self.apply(Event::Transferred { chat, to, tokens });
                }
                // The configured strategy does not share slots: the request proceeds without one.
                Action::RequestSlot { ticket, .. } => self.apply(Event::SlotUnreachable(ticket)),
                Action::AnswerSlot { .. } | Action::ReleaseSlot { .. } => {}
            }
        }
        let faults: Vec<_> = self.machine.faults().collect();
        for fault in faults {
            debug!(self.log, "dispatch: event ignored"; "fault" => %fault);
        }
    }

    /// Passes the result of an action to the machine and executes the actions that follow.
    fn apply(&mut self, event: Event) {
        let now = self.now();
        self.machine.handle(now, event);
        self.execute_actions();
    }

    fn dispatch(&mut self, request: Id, attempt: Attempt, upstream: name::Upstream, priority: u8) {
        let address = self.address(&upstream);
        let Some(entry) = self.requests.get_mut(&request) else {
            return;
        };
        entry.attempt = Some(attempt);
        self.attempts.insert(attempt, request);
        let Some(address) = address else {
            warn!(self.log, "dispatch: upstream has no usable address"; "upstream" => upstream.as_str());
            let outcome = Outcome::Unreachable;
            self.apply(Event::End { attempt, outcome });
            return;
        };
        let command = Command::Dispatch(Dispatch {
            attempt,
            upstream,
            address,
            priority,
        });
        // Sending fails if the caller disconnected in the meantime; its `Disconnect` follows.
        let _disconnected = entry.commands.send(command);
    }

    fn address(&self, upstream: &name::Upstream) -> Option<SocketAddr> {
        let state = self.machine.board().upstreams.get(upstream)?;
        state.address.parse().ok()
    }

    /// Stops an attempt in its session and at the engine.
    fn cancel(&mut self, attempt: Attempt, upstream: &name::Upstream) {
        if let Some(request) = self.attempts.remove(&attempt)
            && let Some(entry) = self.requests.get(&request)
        {
            // Sending fails if the caller disconnected.
            let _disconnected = entry.commands.send(Command::Cancel(attempt));
        }
        let state = self.machine.board().upstreams.get(upstream);
        let Some(address) = state
            .filter(|state| is_engine(state))
            .map(|state| &state.address)
        else {
            return;
        };
        let url = format!("http://{address}/engine/v1/cancel");
        let body = json!({ "attempt": attempt.to_string() });
        let call = self.client.post(url).send_json(&body);
        let log = self.log.clone();
        actix_rt::spawn(async move {
            if let Err(error) = call.await {
                debug!(log, "dispatch: cancel failed"; "attempt" => %attempt, "error" => %error);
            }
        });
    }

    fn remove(&mut self, request: Id) -> Option<Entry> {
        let entry = self.requests.remove(&request)?;
        if let Some(attempt) = entry.attempt {
            self.attempts.remove(&attempt);
        }
        Some(entry)
    }

    fn schedule(&mut self, ctx: &mut Context<Self>) {
        let due = self.machine.next_wake();
        if self.timer.is_some_and(|(planned, _)| planned <= due) {
            return;
        }
        if let Some((_, handle)) = self.timer.take() {
            ctx.cancel_future(handle);
        }
        if due == Time::NEVER {
            return;
        }
        let delay = due.since(self.now());
        let handle = ctx.run_later(delay, |dispatcher, ctx| {
            dispatcher.timer = None;
            dispatcher.handle_event(Event::Tick, ctx);
        });
        self.timer = Some((due, handle));
    }
}

const fn is_engine(state: &State) -> bool {
    matches!(state.kind, Kind::Engine(_))
}

impl Actor for Dispatcher {
    type Context = Context<Self>;
}

impl Handler<Submit> for Dispatcher {
    type Result = ();

    fn handle(&mut self, msg: Submit, ctx: &mut Self::Context) {
        let entry = Entry {
            commands: msg.commands,
            attempt: None,
        };
        self.requests.insert(msg.request.id, entry);
        self.handle_event(Event::Arrive(msg.request), ctx);
    }
}

impl Handler<Notify> for Dispatcher {
    type Result = ();

    fn handle(&mut self, Notify(event): Notify, ctx: &mut Self::Context) {
        self.handle_event(event, ctx);
    }
}

impl Handler<CurrentShare> for Dispatcher {
    type Result = MessageResult<CurrentShare>;

    fn handle(&mut self, _msg: CurrentShare, _ctx: &mut Self::Context) -> Self::Result {
        MessageResult(self.machine.share())
    }
}

impl Handler<Finish> for Dispatcher {
    type Result = ();

    fn handle(&mut self, msg: Finish, ctx: &mut Self::Context) {
        let Finish {
            request,
            attempt,
            outcome,
        } = msg;
        self.attempts.remove(&attempt);
        if matches!(outcome, Outcome::Complete | Outcome::Cancelled) {
            self.requests.remove(&request);
        }
        self.handle_event(Event::End { attempt, outcome }, ctx);
    }
}

impl Handler<Disconnect> for Dispatcher {
    type Result = ();

    fn handle(&mut self, Disconnect(request): Disconnect, ctx: &mut Self::Context) {
        self.remove(request);
        self.handle_event(Event::Disconnect(request), ctx);
    }
}

impl Handler<InFlight> for Dispatcher {
    type Result = bool;

    fn handle(&mut self, InFlight(attempt): InFlight, _ctx: &mut Self::Context) -> bool {
        self.attempts.contains_key(&attempt)
    }
}

impl Handler<ReadyEngines> for Dispatcher {
    type Result = usize;

    fn handle(&mut self, _msg: ReadyEngines, _ctx: &mut Self::Context) -> usize {
        let upstreams = self.machine.board().upstreams.values();
        upstreams
            .filter(|state| state.phase == Phase::Live && is_engine(state))
            .count()
    }
}

impl Handler<Report> for Dispatcher {
    type Result = MessageResult<Report>;

    fn handle(&mut self, _msg: Report, _ctx: &mut Self::Context) -> Self::Result {
        let board = self.machine.board();
        let upstreams: Vec<_> = board
            .upstreams
            .values()
            .map(|state| {
                let slot = board.loads.slot(&state.name);
                let load = slot.map(|slot| board.loads.upstream(slot));
                json!({
                    "state": state,
                    "own_work": load.map(|load| load.own.get()),
                    "peers_work": load.map(|load| load.peers.get()),
                    "takes_work": load.map(|load| load.open),
                    "is_ejected": load.map(|load| load.ejected),
                })
            })
            .collect();
        MessageResult(json!({
            "upstreams": upstreams,
            "workspaces": board.policies.keys().collect::<Vec<_>>(),
            "in_flight": board.attempts.len(),
            "requests": self.requests.len(),
        }))
    }
}
