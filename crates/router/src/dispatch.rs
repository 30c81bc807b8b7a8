//! The actor that owns the decisions of the router and carries out their actions.
//!
//! It runs in an arbiter of its own, so that a busy serving thread does not delay decisions.

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

/// Where and as what to send a request.
#[derive(Clone, Debug)]
pub(crate) struct Dispatch {
    /// Identity of the try.
    pub(crate) attempt: Attempt,
    /// Name of the upstream.
    pub(crate) upstream: name::Upstream,
    /// Address of the upstream.
    pub(crate) address: SocketAddr,
    /// Priority for the engine.
    pub(crate) priority: u8,
}

/// What the machine decided on a request.
#[derive(Debug)]
pub(crate) enum Command {
    /// Send it.
    Dispatch(Dispatch),
    /// Answer with a refusal.
    Refuse {
        /// Why.
        reason: Reason,
        /// Whether it may have run.
        ran: Ran,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// Stop the attempt.
    Cancel(Attempt),
}

/// A caller's request.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Submit {
    pub(crate) request: Request,
    pub(crate) commands: UnboundedSender<Command>,
}

/// An event for the machine that concerns no request of a caller, or one already known.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Notify(pub Event);

/// Asks for this router's own work in flight, which peers are told.
#[derive(Debug, Message)]
#[rtype(result = "load::Share")]
pub(crate) struct CurrentShare;

/// The end of an attempt.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Finish {
    pub(crate) request: Id,
    pub(crate) attempt: Attempt,
    pub(crate) outcome: Outcome,
}

/// The caller is gone.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Disconnect(pub(crate) Id);

/// Asks whether an attempt is still in flight.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub(crate) struct InFlight(pub(crate) Attempt);

/// Asks how many engines take work.
#[derive(Debug, Message)]
#[rtype(result = "usize")]
pub(crate) struct ReadyEngines;

/// Asks for the state as JSON.
#[derive(Debug, Message)]
#[rtype(result = "Value")]
pub(crate) struct Report;

#[derive(Debug)]
struct Entry {
    commands: UnboundedSender<Command>,
    attempt: Option<Attempt>,
}

/// Owns the machine.
pub struct Dispatcher {
    machine: Machine,
    origin: Instant,
    requests: BTreeMap<Id, Entry>,
    attempts: BTreeMap<Attempt, Id>,
    wake: Option<(Time, SpawnHandle)>,
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
            wake: None,
            client,
            log,
        }
    }

    fn now(&self) -> Time {
        Time::default() + self.origin.elapsed()
    }

    fn feed(&mut self, event: Event, ctx: &mut Context<Self>) {
        let now = self.now();
        self.machine.handle(now, event);
        self.carry_out();
        self.schedule(ctx);
    }

    fn carry_out(&mut self) {
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
                    if let Some(entry) = self.forget(request) {
                        let command = Command::Refuse {
                            reason,
                            ran,
                            retry_after,
                        };
                        // The receiver is gone where the caller left in the meantime.
                        let _gone = entry.commands.send(command);
                    }
                }
                Action::Close(request) => {
                    self.forget(request);
                }
                Action::Cancel { attempt, upstream } => self.cancel(attempt, &upstream),
                // Engines are not asked to move caches yet; the destination prefills.
                Action::Transfer { chat, to, .. } => {
                    let tokens = 0;
                    self.answer(Event::Transferred { chat, to, tokens });
                }
                // The strategy in use shares no slots; a request goes on without one.
                Action::RequestSlot { ticket, .. } => self.answer(Event::SlotUnreachable(ticket)),
                Action::AnswerSlot { .. } | Action::ReleaseSlot { .. } => {}
            }
        }
        let faults: Vec<_> = self.machine.faults().collect();
        for fault in faults {
            debug!(self.log, "dispatch: event set aside"; "fault" => %fault);
        }
    }

    /// Tells the machine what became of an action and carries out what follows.
    fn answer(&mut self, event: Event) {
        let now = self.now();
        self.machine.handle(now, event);
        self.carry_out();
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
            self.answer(Event::End { attempt, outcome });
            return;
        };
        let command = Command::Dispatch(Dispatch {
            attempt,
            upstream,
            address,
            priority,
        });
        // The receiver is gone where the caller left in the meantime; its `Disconnect` follows.
        let _gone = entry.commands.send(command);
    }

    fn address(&self, upstream: &name::Upstream) -> Option<SocketAddr> {
        let state = self.machine.board().upstreams.get(upstream)?;
        state.address.parse().ok()
    }

    /// Tells the serving side and the upstream to stop an attempt.
    fn cancel(&mut self, attempt: Attempt, upstream: &name::Upstream) {
        if let Some(request) = self.attempts.remove(&attempt)
            && let Some(entry) = self.requests.get(&request)
        {
            // The receiver is gone where the caller left.
            let _gone = entry.commands.send(Command::Cancel(attempt));
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

    fn forget(&mut self, request: Id) -> Option<Entry> {
        let entry = self.requests.remove(&request)?;
        if let Some(attempt) = entry.attempt {
            self.attempts.remove(&attempt);
        }
        Some(entry)
    }

    fn schedule(&mut self, ctx: &mut Context<Self>) {
        let due = self.machine.next_wake();
        if self.wake.is_some_and(|(planned, _)| planned <= due) {
            return;
        }
        if let Some((_, handle)) = self.wake.take() {
            ctx.cancel_future(handle);
        }
        if due == Time::NEVER {
            return;
        }
        let delay = due.since(self.now());
        let handle = ctx.run_later(delay, |dispatcher, ctx| {
            dispatcher.wake = None;
            dispatcher.feed(Event::Tick, ctx);
        });
        self.wake = Some((due, handle));
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
        self.feed(Event::Arrive(msg.request), ctx);
    }
}

impl Handler<Notify> for Dispatcher {
    type Result = ();

    fn handle(&mut self, Notify(event): Notify, ctx: &mut Self::Context) {
        self.feed(event, ctx);
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
        self.feed(Event::End { attempt, outcome }, ctx);
    }
}

impl Handler<Disconnect> for Dispatcher {
    type Result = ();

    fn handle(&mut self, Disconnect(request): Disconnect, ctx: &mut Self::Context) {
        self.forget(request);
        self.feed(Event::Disconnect(request), ctx);
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
