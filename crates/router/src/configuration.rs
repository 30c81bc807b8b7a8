//! The loop that keeps the configuration in step with the key-value service and with peers.
//!
//! The actor owns [`Replica`] and the policies in force. It reads and watches the service; the
//! gossip loop connects to it by [`Connect`] and [`Inbound`], the order loop follows the same watch
//! by [`Subscribe`], so that a router has one watch at the service for all that it needs.

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

/// What the status page and the readiness check show.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Whether the set of documents was complete once.
    pub ready: bool,
    /// Whether the service is watched.
    pub watching: bool,
    /// The highest revision of a document.
    pub highest: Revision,
    /// The revision of each document.
    pub documents: BTreeMap<Arc<str>, Revision>,
}

/// An event from a peer.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Inbound(pub Event);

/// Asks for the digest that peers are told.
#[derive(Debug, Message)]
#[rtype(result = "Digest")]
pub struct CurrentDigest;

/// Names the actor that sends parts of exchanges to peers.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Connect(pub Recipient<Outbound>);

/// A part of an exchange for a peer.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Outbound {
    /// The peer.
    pub peer: name::Host,
    /// What to send.
    pub exchange: Exchange,
}

/// Names an actor that gets all changes of the watch.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Subscribe(pub Recipient<Changed>);

/// A change under the prefix that routers watch.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Changed(pub Change);

/// A change, or the end, of the watch with a number.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct WatchEvent(u64, Option<Change>);

#[derive(Debug)]
struct Watch {
    number: u64,
    task: JoinHandle<()>,
}

/// Owns the replica.
pub struct Configuration {
    replica: Replica,
    gateway: Rc<Gateway>,
    origin: Instant,
    policies: Policies,
    status: watch::Sender<Arc<Status>>,
    /// The digest of the status that was published last.
    published: Option<(Digest, bool)>,
    peers: Option<Recipient<Outbound>>,
    subscribers: Vec<Recipient<Changed>>,
    watch: Option<Watch>,
    watches: u64,
    wake: Alarm,
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
            watches: 0,
            wake: Alarm::default(),
            log,
        }
    }

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
                    info!(self.log, "configuration: policy in force";
                        "workspace" => policy.workspace.as_str(), "revision" => revision.0);
                    applied.push(*policy);
                }
                Action::Remove(workspace) => {
                    info!(self.log, "configuration: workspace gone";
                        "workspace" => workspace.as_str());
                    self.policies.remove(&workspace);
                }
                Action::Problem { document, text } => {
                    warn!(self.log, "configuration: document not used";
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
        self.watches += 1;
        let number = self.watches;
        let gateway = Rc::clone(&self.gateway);
        let address = ctx.address();
        let task = actix_rt::spawn(async move {
            let mut changes = pin!(gateway.watch(WATCHED_PREFIX, from));
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
        self.wake.set(now, due, ctx, |this, ctx| {
            this.wake.clear();
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
            // The end of a watch that was replaced means nothing.
            None if self.watch.as_ref().is_some_and(|own| own.number == number) => {
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
