//! The gossip loop: exchanges frames with peers, probes engines and reads the host list.
//!
//! The actor owns [`Member`] and passes the resulting changes to the dispatcher, the configuration
//! loop and the claims. See `docs/design.md#membership`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use actix::Actor;
use actix::ActorFutureExt as _;
use actix::Addr;
use actix::AsyncContext as _;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::MessageResult;
use actix::WrapFuture as _;
use awc::Client;
use slog::Logger;
use slog::debug;
use slog::info;
use slog::warn;
use snipeusher::config;
use snipeusher::load;
use snipeusher::machine;
use snipeusher::member::Action;
use snipeusher::member::Event;
use snipeusher::member::Member;
use snipeusher::member::ROUND;
use snipeusher::name;
use snipeusher::time::Time;
use snipeusher::wire;

use crate::claims;
use crate::claims::Claimer;
use crate::configuration::Configuration;
use crate::configuration::Connect;
use crate::configuration::CurrentDigest;
use crate::configuration::Inbound;
use crate::configuration::Outbound;
use crate::dispatch::CurrentShare;
use crate::dispatch::Dispatcher;
use crate::dispatch::Notify;
use crate::hosts;

mod probe;

/// Header that authenticates a frame.
pub(crate) const PROOF_HEADER: &str = "x-fleet-proof";
/// Path that accepts frames.
pub(crate) const PATH: &str = "/fleet/v1/gossip";
/// Largest host list that is read; several times that of the target fleet.
const HOST_LIST_BYTES_MAX: usize = 4 << 20;
/// Timeout of one frame. A peer that is slower receives the next digest later.
const FRAME_TIMEOUT: Duration = Duration::from_secs(1);

/// A frame received from a peer.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Receive {
    pub(crate) body: Vec<u8>,
    pub(crate) proof: String,
}

/// An observation of an upstream by a probe or a call.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Observation(pub Event);

/// Requests a [`View`] of the fleet.
#[derive(Debug, Message)]
#[rtype(result = "View")]
pub struct CurrentView;

/// The fleet as this router's member sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Routers that send heartbeats.
    pub alive: BTreeSet<name::Host>,
    /// Routers whose heartbeats have not arrived for a while.
    pub suspected: BTreeSet<name::Host>,
    /// Phase of each upstream.
    pub phases: BTreeMap<name::Upstream, snipeusher::upstream::Phase>,
    /// Number of refused frames by reason.
    pub refusals: wire::Refusals,
    /// Number of frames sent.
    pub frames: u64,
}

/// The actors that the gossip loop notifies, and the host list and intervals that it polls with.
pub(crate) struct Links {
    pub(crate) dispatcher: Addr<Dispatcher>,
    pub(crate) claimer: Addr<Claimer>,
    pub(crate) configuration: Option<Addr<Configuration>>,
    pub(crate) host_list: Option<String>,
    pub(crate) list_interval: Duration,
    pub(crate) probe_interval: Duration,
}

/// The actor that owns the [`Member`].
pub struct Gossip {
    pub(crate) member: Member,
    pub(crate) host: name::Host,
    pub(crate) place: wire::Place,
    pub(crate) client: Client,
    pub(crate) links: Links,
    pub(crate) log: Logger,
    origin: Instant,
    /// Addresses with a frame in flight. No further frame is sent to them, so that frames do not
    /// accumulate for a slow peer.
    in_flight: BTreeSet<String>,
    frames: u64,
    /// Incarnations that the claims were notified of; the claims forward requests to the router
    /// that issued the key.
    announced: BTreeMap<name::Host, name::Incarnation>,
}

impl fmt::Debug for Gossip {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gossip")
            .field("host", &self.host)
            .finish_non_exhaustive()
    }
}

impl Gossip {
    pub(crate) const fn new(
        member: Member,
        host: name::Host,
        place: wire::Place,
        client: Client,
        links: Links,
        origin: Instant,
        log: Logger,
    ) -> Self {
        Self {
            member,
            host,
            place,
            client,
            links,
            log,
            origin,
            in_flight: BTreeSet::new(),
            frames: 0,
            announced: BTreeMap::new(),
        }
    }

    /// Handles an event of the member and executes the resulting actions.
    pub(crate) fn feed(&mut self, event: Event, ctx: &mut Context<Self>) {
        let now = Time::default() + self.origin.elapsed();
        self.member.handle(now, event);
        let actions: Vec<_> = self.member.drain().collect();
        for action in actions {
            self.execute(action, ctx);
        }
    }

    fn execute(&mut self, action: Action, ctx: &mut Context<Self>) {
        let dispatcher = &self.links.dispatcher;
        match action {
            Action::Send { to, envelope } => self.send(to, envelope, ctx),
            Action::Upstream(state) => {
                dispatcher.do_send(Notify(machine::Event::Upstream(state)));
            }
            Action::Share { host, share } => {
                dispatcher.do_send(Notify(machine::Event::Peer { host, share }));
            }
            Action::Digest(host, digest) => {
                self.notify_configuration(config::Event::Digest(host, digest));
            }
            Action::Exchange(host, exchange) => {
                self.notify_configuration(config::Event::Exchange(host, exchange));
            }
            // Placement does not use the cached prefixes of peers yet.
            Action::Prefixes(_) => {}
            Action::Suspected(host) => {
                warn!(self.log, "gossip: peer suspected"; "peer" => host.as_str());
            }
            Action::Recovered(host) => {
                info!(self.log, "gossip: peer recovered"; "peer" => host.as_str());
            }
            Action::Incarnation(incarnation) => {
                info!(self.log, "gossip: incarnation increased"; "incarnation" => incarnation.0);
            }
        }
    }

    fn notify_configuration(&self, event: config::Event) {
        if let Some(configuration) = &self.links.configuration {
            configuration.do_send(Inbound(event));
        }
    }

    fn send(&mut self, to: String, envelope: wire::Envelope, ctx: &Context<Self>) {
        if !self.in_flight.insert(to.clone()) {
            return;
        }
        self.frames += 1;
        let request = self
            .client
            .post(format!("http://{to}{PATH}"))
            .insert_header((PROOF_HEADER, envelope.proof))
            .timeout(FRAME_TIMEOUT)
            .send_body(envelope.body);
        let sent = async move { request.await.is_ok() };
        let address = ctx.address();
        actix_rt::spawn(async move {
            let delivered = sent.await;
            address.do_send(Sent { to, delivered });
        });
    }

    /// Handles a tick and schedules the next one at the member's wake time, at most a round later.
    fn tick(&mut self, ctx: &mut Context<Self>) {
        self.feed(Event::Tick, ctx);
        let now = Time::default() + self.origin.elapsed();
        let wait = self.member.next_wake().since(now).min(ROUND);
        ctx.run_later(wait.max(Duration::from_millis(1)), Self::tick);
    }

    /// Passes the wall-clock time, the load share and the configuration digest of this router
    /// to the member, and new incarnations of peers to the claims.
    fn refresh(&mut self, ctx: &mut Context<Self>) {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall_ms = wall.unwrap_or_default().as_millis() as u64;
        self.feed(Event::Clock(wall_ms), ctx);
        self.announce_peers();
        let share = self.links.dispatcher.send(CurrentShare).into_actor(self);
        ctx.spawn(share.map(|share: Result<load::Share, _>, this, ctx| {
            if let Ok(share) = share {
                this.feed(Event::Share(share), ctx);
            }
        }));
        if let Some(configuration) = &self.links.configuration {
            let digest = configuration.send(CurrentDigest).into_actor(self);
            ctx.spawn(digest.map(|digest, this, ctx| {
                if let Ok(digest) = digest {
                    this.feed(Event::Digest(digest), ctx);
                }
            }));
        }
    }

    fn announce_peers(&mut self) {
        for (host, peer) in self.member.peers() {
            let has_joined = peer.incarnation > name::Incarnation::default();
            if !has_joined || self.announced.get(host) == Some(&peer.incarnation) {
                continue;
            }
            let Ok(address) = peer.address.parse() else {
                continue;
            };
            self.announced.insert(host.clone(), peer.incarnation);
            self.links.claimer.do_send(claims::PeerSeen {
                host: host.clone(),
                incarnation: peer.incarnation,
                address,
            });
        }
    }

    fn fetch_host_list(&self, ctx: &mut Context<Self>) {
        let Some(url) = &self.links.host_list else {
            return;
        };
        let request = self
            .client
            .get(url)
            .timeout(self.links.list_interval)
            .send();
        let log = self.log.clone();
        let read = async move {
            let mut response = request.await.ok()?;
            if !response.status().is_success() {
                return None;
            }
            let body = response.body().limit(HOST_LIST_BYTES_MAX).await.ok()?;
            hosts::parse(&body)
        };
        ctx.spawn(
            read.into_actor(self)
                .map(move |list, this, ctx| match list {
                    Some(list) => this.feed(Event::HostList(list), ctx),
                    None => debug!(log, "gossip: cannot read the host list"),
                }),
        );
    }
}

impl Actor for Gossip {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        if let Some(configuration) = &self.links.configuration {
            configuration.do_send(Connect(ctx.address().recipient()));
        }
        self.fetch_host_list(ctx);
        self.refresh(ctx);
        ctx.run_interval(ROUND, Self::refresh);
        ctx.run_interval(self.links.list_interval, |this, ctx| {
            this.fetch_host_list(ctx);
        });
        ctx.run_interval(self.links.probe_interval, |this, ctx| {
            probe::run_round(this, ctx);
        });
        self.tick(ctx);
    }
}

/// The outcome of sending a frame.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Sent {
    to: String,
    delivered: bool,
}

impl Handler<Sent> for Gossip {
    type Result = ();

    fn handle(&mut self, Sent { to, delivered }: Sent, ctx: &mut Self::Context) {
        self.in_flight.remove(&to);
        if !delivered {
            self.feed(Event::Undelivered(to), ctx);
        }
    }
}

impl Handler<Receive> for Gossip {
    type Result = ();

    fn handle(&mut self, Receive { body, proof }: Receive, ctx: &mut Self::Context) {
        self.feed(Event::Frame { body, proof }, ctx);
    }
}

impl Handler<Observation> for Gossip {
    type Result = ();

    fn handle(&mut self, Observation(event): Observation, ctx: &mut Self::Context) {
        self.feed(event, ctx);
    }
}

impl Handler<Outbound> for Gossip {
    type Result = ();

    fn handle(&mut self, Outbound { peer, exchange }: Outbound, ctx: &mut Self::Context) {
        self.feed(Event::Exchange(peer, exchange), ctx);
    }
}

impl Handler<CurrentView> for Gossip {
    type Result = MessageResult<CurrentView>;

    fn handle(&mut self, _msg: CurrentView, _ctx: &mut Self::Context) -> Self::Result {
        let (mut alive, mut suspected) = (BTreeSet::new(), BTreeSet::new());
        for (host, peer) in self.member.peers() {
            // A router of the host list is not known to be alive until its first heartbeat.
            let has_joined = peer.incarnation > name::Incarnation::default();
            if peer.suspect {
                suspected.insert(host.clone());
            } else if has_joined {
                alive.insert(host.clone());
            }
        }
        let upstreams = self.member.upstreams();
        MessageResult(View {
            alive,
            suspected,
            phases: upstreams.map(|state| (state.name, state.phase)).collect(),
            refusals: self.member.refusals().clone(),
            frames: self.frames,
        })
    }
}
