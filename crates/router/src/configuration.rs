//! The loop that synchronises the configuration with the key-value service and with peers.
//!
//! The actor owns [`Replica`] and the active policies. It reads and watches the service. The gossip
//! loop connects to it by [`Connect`] and [`Inbound`]; other loops receive the changes of its watch
//! by [`Subscribe`], so that a router needs one watch only.

use std::collections::BTreeMap;
use std::fmt;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use actix::Actor;
use actix::ActorFutureExt as _;
use actix::AsyncContext as _;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::MessageResult;
use actix::Recipient;
use actix::WrapFuture as _;
use futures_util::StreamExt as _;
use serde::Serialize;
use slog::Logger;
use slog::info;
use slog::warn;
use snipeusher::config::Action;
use snipeusher::config::Digest;
use snipeusher::config::Event;
use snipeusher::config::Exchange;
use snipeusher::config::Replica;
use snipeusher::config::WATCHED_PREFIX;
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher::time::Time;
use snipeusher_store::Change;
use snipeusher_store::Gateway;
use snipeusher_store::Store as _;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::alarm::Alarm;
use crate::directory::Policies;

/// State of the configuration for the status page and the readiness check.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Whether the router has held a complete set of documents.
    pub ready: bool,
    /// Whether the watch of the service is open.
    pub watching: bool,
    /// Highest revision of a document.
    pub highest: Revision,
    /// Revision of each document by path.
    pub documents: BTreeMap<Arc<str>, Revision>,
}

/// An event received from a peer.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Inbound(pub Event);

/// Requests the digest that is sent to peers.
#[derive(Debug, Message)]
#[rtype(result = "Digest")]
pub struct CurrentDigest;

/// Sets the actor that sends exchanges to peers.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Connect(pub Recipient<Outbound>);

/// An exchange to send to a peer.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Outbound {
    /// Host of the peer.
    pub peer: name::Host,
    /// The request or response to send.
    pub exchange: Exchange,
}

/// Registers an actor that receives all changes of the watch.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Subscribe(pub Recipient<Changed>);

/// A change under the prefix that routers watch.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Changed(pub Change);

/// A change seen by the watch of this number, or `None` at its end.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct WatchEvent(u64, Option<Change>);

#[derive(Debug)]
struct Watch {
    number: u64,
    task: JoinHandle<()>,
}

/// The actor that owns the [`Replica`].
pub struct Configuration {
    replica: Replica,
    gateway: Rc<Gateway>,
    origin: Instant,
    policies: Policies,
    status: watch::Sender<Arc<Status>>,
    /// The digest and the state of the watch in the latest status, to publish changes only.
    published: Option<(Digest, bool)>,
    peers: Option<Recipient<Outbound>>,
    subscribers: Vec<Recipient<Changed>>,
    watch: Option<Watch>,
    last_watch_number: u64,
    alarm: Alarm,
    log: Logger,
}

impl fmt::Debug for Configuration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Configuration")
            .field("replica", &self.replica)
            .finish_non_exhaustive()
    }
}

impl Configuration {
    pub(crate) fn new(
        gateway: Gateway,
        origin: Instant,
        seed: u64,
        policies: Policies,
        status: watch::Sender<Arc<Status>>,
        log: Logger,
    ) -> Self {
        Self {
            replica: Replica::new(Time::default() + origin.elapsed(), seed),
            gateway: Rc::new(gateway),
            origin,
            policies,
            status,
            published: None,
            peers: None,
            subscribers: Vec::new(),
            watch: None,
            last_watch_number: 0,
            alarm: Alarm::default(),
            log,
        }
    }

    /// Handles an event of the replica and executes the resulting actions.
    fn feed(&mut self, event: Event, ctx: &mut Context<Self>) {
        let now = Time::default() + self.origin.elapsed();
        self.replica.handle(now, event);
        let actions: Vec<_> = self.replica.drain().collect();
        let mut applied = Vec::new();
        for action in actions {
            match action {
                Action::Call { id, call } => {
                    let gateway = Rc::clone(&self.gateway);
                    let call = async move { (id, gateway.call(call).await) };
                    ctx.spawn(call.into_actor(self).map(|(id, result), this, ctx| {
                        this.feed(Event::Reply { id, result }, ctx);
                    }));
                }
                Action::Watch { from } => self.watch(from, ctx),
                Action::Exchange(peer, exchange) => {
                    if let Some(peers) = &self.peers {
                        peers.do_send(Outbound { peer, exchange });
                    }
                }
                Action::Apply { policy, revision } => {
                    info!(self.log, "configuration: policy applied";
                        "workspace" => policy.workspace.as_str(), "revision" => revision.number);
                    applied.push(*policy);
                }
                Action::Remove(workspace) => {
                    info!(self.log, "configuration: workspace removed";
                        "workspace" => workspace.as_str());
                    self.policies.remove(&workspace);
                }
                Action::Problem { document, text } => {
                    warn!(self.log, "configuration: document rejected";
                        "document" => document, "reason" => text);
                }
                Action::Ready => info!(self.log, "configuration: ready"),
            }
        }
        if !applied.is_empty() {
            self.policies.put(applied);
        }
        self.publish();
        self.schedule(now, ctx);
    }

    /// Starts a watch in place of the current one.
    fn watch(&mut self, from: Revision, ctx: &Context<Self>) {
        self.last_watch_number += 1;
        let number = self.last_watch_number;
        let gateway = Rc::clone(&self.gateway);
        let address = ctx.address();
        let task = actix_rt::spawn(async move {
            let mut changes = pin!(gateway.watch(WATCHED_PREFIX, from, |_, longest| longest));
            while let Some(Ok(change)) = changes.next().await {
                address.do_send(WatchEvent(number, Some(change)));
            }
            address.do_send(WatchEvent(number, None));
        });
        let previous = self.watch.replace(Watch { number, task });
        if let Some(previous) = previous {
            previous.task.abort();
        }
    }

    fn publish(&mut self) {
        let digest = self.replica.digest();
        let watching = self.replica.is_watching();
        if self.published == Some((digest, watching)) {
            return;
        }
        self.published = Some((digest, watching));
        let documents = self.replica.documents();
        self.status.send_replace(Arc::new(Status {
            ready: digest.ready,
            watching,
            highest: digest.highest,
            documents: documents
                .map(|document| (Arc::clone(&document.path), document.revision))
                .collect(),
        }));
    }

    fn schedule(&mut self, now: Time, ctx: &mut Context<Self>) {
        let due = self.replica.next_wake();
        self.alarm.set(now, due, ctx, |this, ctx| {
            this.alarm.clear();
            this.feed(Event::Tick, ctx);
        });
    }
}

impl Actor for Configuration {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.feed(Event::Tick, ctx);
    }

    fn stopped(&mut self, _ctx: &mut Self::Context) {
        if let Some(watch) = self.watch.take() {
            watch.task.abort();
        }
    }
}

impl Handler<Inbound> for Configuration {
    type Result = ();

    fn handle(&mut self, Inbound(event): Inbound, ctx: &mut Self::Context) {
        self.feed(event, ctx);
    }
}

impl Handler<WatchEvent> for Configuration {
    type Result = ();

    fn handle(&mut self, WatchEvent(number, change): WatchEvent, ctx: &mut Self::Context) {
        match change {
            Some(change) => {
                for subscriber in &self.subscribers {
                    subscriber.do_send(Changed(change.clone()));
                }
                let event = Event::Changed {
                    revision: change.revision,
                    entries: change.entries,
                    deleted: change.deleted,
                };
                self.feed(event, ctx);
            }
            // The end of a watch that was replaced is ignored.
            None if self
                .watch
                .as_ref()
                .is_some_and(|watch| watch.number == number) =>
            {
                info!(self.log, "configuration: watch lost");
                self.watch = None;
                self.feed(Event::WatchLost, ctx);
            }
            None => {}
        }
    }
}

impl Handler<CurrentDigest> for Configuration {
    type Result = MessageResult<CurrentDigest>;

    fn handle(&mut self, _msg: CurrentDigest, _ctx: &mut Self::Context) -> Self::Result {
        MessageResult(self.replica.digest())
    }
}

impl Handler<Connect> for Configuration {
    type Result = ();

    fn handle(&mut self, Connect(peers): Connect, _ctx: &mut Self::Context) {
        self.peers = Some(peers);
    }
}

impl Handler<Subscribe> for Configuration {
    type Result = ();

    fn handle(&mut self, Subscribe(subscriber): Subscribe, _ctx: &mut Self::Context) {
        self.subscribers.push(subscriber);
    }
}
