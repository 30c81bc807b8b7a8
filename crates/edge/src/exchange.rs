//! Handles one request of a caller: admission, choice of an upstream, attempts, final response.

mod admit;
mod attempt;
mod backlog;
mod begin;
mod body;
mod relay;
mod resume;
mod stall;
mod stream;

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use slog::info;
use snipeusher::fleet::Cause;
use snipeusher::fleet::Decision;
use snipeusher::fleet::Query;
use snipeusher::name;
use snipeusher::route::Limits;
use snipeusher::stream::Origin;
use snipeusher::time::Time;
use tokio::time::timeout_at;

use self::admit::Admitted;
use self::relay::Relayed;
use crate::dialect::Platform;
use crate::lifecycle::Lifecycle;
use crate::memory::Owner;
use crate::memory::Reservation;
use crate::peer::Peers;
use crate::peer::Streams;
use crate::refusal::Refusal;
use crate::responder::Responder;
use crate::server::Handler;
use crate::server::Request;
use crate::server::Sender;
use crate::shared::Shared;

/// Failed connection attempts after which a request is rejected.
const UNREACHABLE_MAX: u32 = 4;
/// A request is rejected once more upstreams than this have declined it.
const DECLINED_MAX: u32 = 2;
/// The same for upstreams whose address another one has. Their responses come at once, and all
/// entries of a zone may be outdated at the same time.
const MISDIRECTED_MAX: u32 = 8;
/// Base of the `Retry-After` time given to a caller whose request was not executed.
const RETRY_AFTER_MS: u64 = 100;
/// Upper bound of the jitter added to it, so that callers rejected together do not retry together.
const RETRY_AFTER_JITTER_MS: u64 = 150;

/// Proxies the requests of callers to upstreams.
#[derive(Debug)]
pub struct Proxy<P> {
    /// State of the process.
    pub shared: Rc<Shared<P>>,
    /// Origins of streams at peers.
    pub streams: Rc<Streams>,
    /// The peers, to which requests are relayed.
    pub peers: Rc<RefCell<Peers>>,
}

impl<P: Platform> Proxy<P> {
    /// Handles a request of a caller, sent by itself or by a peer.
    pub(crate) async fn serve(
        &self,
        request: Request,
        sender: Sender,
        responder: &mut Responder<'_>,
    ) -> io::Result<()> {
        match admit::admit(&*self.shared, request, sender) {
            Ok(admitted) => {
                let mut exchange = Exchange::new(self, sender, admitted);
                exchange.run(responder).await
            }
            Err(rejection) => {
                self.shared.metrics.rejection(rejection.refusal.reason());
                info!(self.shared.log, "request: rejected";
                    "id" => rejection.id, "reason" => rejection.refusal.reason(),
                    "configuration" => rejection.revision.number);
                rejection.refusal.write(responder, sender).await
            }
        }
    }
}

impl<P: Platform> Handler for Proxy<P> {
    fn limits(&self) -> Limits {
        self.shared.limits()
    }

    fn lifecycle(&self) -> &Lifecycle {
        &self.shared.lifecycle
    }

    fn reserve(&self) -> Reservation {
        self.shared.memory.open(Owner::Callers)
    }

    async fn handle(&self, request: Request, responder: &mut Responder<'_>) -> io::Result<()> {
        self.serve(request, Sender::Caller, responder).await
    }
}

/// A server error of an upstream, passed on if no further attempt succeeds.
struct Fallback {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    /// Held as long as the body.
    _reservation: Reservation,
}

/// The upstream chosen for the next attempt.
struct Placement {
    upstream: name::Upstream,
    build: name::Build,
    address: SocketAddr,
    /// Another upstream that may have more of the prompt in its cache.
    source: Option<SocketAddr>,
}

/// Where a request goes next.
enum Hop {
    /// To an upstream.
    Send(Placement),
    /// To a peer, which handles it.
    Relay(SocketAddr),
}

/// Result of one attempt.
enum Step {
    /// The response was passed on; an error if it could not be completed.
    Answered(io::Result<()>),
    /// The upstream states that it did not execute the request.
    Declined,
    /// Another upstream answered at the address, which did not execute the request.
    Misdirected,
    /// No connection could be opened, so nothing was sent.
    Unreachable,
    /// There is no usable response, but the request may have been executed.
    Lost,
    /// The upstream returned a server error and a retry is allowed.
    Failed(Fallback),
}

/// State of one request across its attempts.
struct Exchange<'a, P: Platform> {
    shared: &'a Rc<Shared<P>>,
    streams: &'a Rc<Streams>,
    peers: &'a RefCell<Peers>,
    sender: Sender,
    admitted: Admitted,
    events: crate::events::Parser,
    /// Upstreams of all attempts, in order.
    tried: Vec<name::Upstream>,
    /// Software version of the last of them.
    build: Option<name::Build>,
    /// What began the stream that the caller receives; the stream may go on only there.
    origin: Option<Origin>,
    /// Version at which the stream has to begin, since an announcement of it is not acknowledged.
    incumbent: Option<name::Build>,
    /// Peers that the request was relayed to, in order.
    relays: Vec<SocketAddr>,
    /// When the caller may retry, as stated by the last peer that refused it.
    relay_refused_for: Option<Duration>,
    /// Attempts whose connection was open, so that bytes of the request may have been sent.
    sends: u32,
    /// Attempts that may have been executed.
    runs: u32,
    /// When the last attempt was sent.
    sent_at: Time,
    declined: u32,
    misdirected: u32,
    unreachable: u32,
    fallback: Option<Fallback>,
    /// Status of the response to the caller.
    status: Option<StatusCode>,
    /// When the first byte of an upstream's response was passed on.
    first_byte: Option<Instant>,
}

impl<'a, P: Platform> Exchange<'a, P> {
    fn new(proxy: &'a Proxy<P>, sender: Sender, admitted: Admitted) -> Self {
        let last_event = admitted.request.last_event.clone();
        Self {
            shared: &proxy.shared,
            streams: &proxy.streams,
            peers: &proxy.peers,
            sender,
            admitted,
            events: crate::events::Parser::after(last_event),
            tried: Vec::new(),
            build: None,
            origin: None,
            incumbent: None,
            relays: Vec::new(),
            relay_refused_for: None,
            sends: 0,
            runs: 0,
            sent_at: Time::default(),
            declined: 0,
            misdirected: 0,
            unreachable: 0,
            fallback: None,
            status: None,
            first_byte: None,
        }
    }

    async fn run(&mut self, responder: &mut Responder<'_>) -> io::Result<()> {
        // A relayed request counts for the retry budget of the router whose caller sent it.
        if self.sender == Sender::Caller {
            let now = self.shared.now();
            let mut fleet = self.shared.fleet.borrow_mut();
            fleet.record_request(now, &self.admitted.target.service);
        }
        let deadline = tokio::time::Instant::from_std(self.admitted.deadline);
        let shared = self.shared;
        let ended = tokio::select! {
            biased;
            ended = timeout_at(deadline, self.attempts(responder)) => ended.or(Err("timed_out")),
            () = shared.exit_imminent() => Err("shutdown"),
        };
        let (result, outcome) = match ended {
            Ok(ended) => ended,
            Err(outcome) => (self.time_out(responder).await, outcome),
        };
        self.settle(outcome);
        result
    }

    /// Makes attempts until an upstream responds or no further attempt is allowed.
    async fn attempts(&mut self, responder: &mut Responder<'_>) -> (io::Result<()>, &'static str) {
        if let Some(refusal) = self.refuse_at_home() {
            return (self.refuse(refusal, responder).await, refusal.reason());
        }
        if let Err(refusal) = self.restrict_to_origin().await {
            return (self.refuse(refusal, responder).await, refusal.reason());
        }
        self.restrict_to_incumbent();
        loop {
            let placement = match self.next_hop(responder) {
                Ok(Hop::Send(placement)) => placement,
                Ok(Hop::Relay(peer)) => {
                    let relayed = self.relay(peer, responder).await;
                    self.shared.metrics.relay(relayed.as_str());
                    match relayed {
                        Relayed::Answered(result) => return answered(result),
                        Relayed::NotRun => continue,
                        Relayed::Lost => {
                            let refusal = Refusal::Lost;
                            return (self.refuse(refusal, responder).await, refusal.reason());
                        }
                    }
                }
                Err(refusal) => return (self.refuse(refusal, responder).await, refusal.reason()),
            };
            self.tried.push(placement.upstream.clone());
            self.build = Some(placement.build.clone());
            match self.attempt(placement, responder).await {
                Step::Answered(result) => return answered(result),
                Step::Declined => self.declined += 1,
                Step::Misdirected => self.misdirected += 1,
                Step::Unreachable => self.unreachable += 1,
                Step::Lost => {
                    if responder.has_started() && !self.may_run_again() {
                        return (broken(), "broken");
                    }
                }
                Step::Failed(fallback) => self.fallback = Some(fallback),
            }
        }
    }

    /// Decides where the request goes next. Once connections have failed, a relay to a peer is better
    /// than a refusal.
    fn next_hop(&mut self, responder: &Responder<'_>) -> Result<Hop, Refusal> {
        if let Some(peer) = self.relay_target(responder) {
            return Ok(Hop::Relay(peer));
        }
        let refusal = match self.place() {
            Ok(placement) => return Ok(Hop::Send(placement)),
            Err(refusal) => refusal,
        };
        let peer = (self.unreachable > 0).then(|| self.reaching_peer(responder));
        peer.flatten().map(Hop::Relay).ok_or(refusal)
    }

    /// Chooses the upstream for the next attempt, or a refusal if none is allowed.
    fn place(&mut self) -> Result<Placement, Refusal> {
        let shared = self.shared;
        let now = shared.now();
        if self.runs > 0 && !self.may_run_again() {
            return Err(Refusal::Lost);
        }
        if self.declined > DECLINED_MAX {
            return Err(self.not_run("declined", self.retry_after()));
        }
        if self.misdirected > MISDIRECTED_MAX {
            return Err(self.not_run("misdirected", self.retry_after()));
        }
        if self.unreachable >= UNREACHABLE_MAX {
            return Err(self.not_run("unreachable", self.retry_after()));
        }
        if let Some(retry_after) = self.relay_refused_for {
            return Err(self.not_run("relay_refused", retry_after));
        }
        if let Some(retry_after) = self.blocked_for() {
            return Err(self.not_run("crash_inducing", retry_after));
        }
        let query = self.query(shared.random());
        let mut fleet = shared.fleet.borrow_mut();
        match fleet.choose(now, &query) {
            Decision::Send {
                upstream,
                build,
                address,
                source,
            } => {
                if self.sends > 0 && !fleet.try_retry(now, &self.admitted.target.service) {
                    return Err(self.not_run("budget", self.retry_after()));
                }
                Ok(Placement {
                    upstream,
                    build,
                    address,
                    source,
                })
            }
            Decision::Refuse { cause, retry_after } => {
                Err(self.not_run(self.cause(cause), retry_after))
            }
        }
    }

    /// The refusal of a request that no upstream may get because of its home regions.
    fn refuse_at_home(&self) -> Option<Refusal> {
        let admitted = &self.admitted;
        let now = self.shared.now();
        let mut fleet = self.shared.fleet.borrow_mut();
        match fleet.refuse_at_home(now, &admitted.target.service, &admitted.homes)? {
            Decision::Refuse { cause, retry_after } => {
                Some(self.not_run(self.cause(cause), retry_after))
            }
            Decision::Send { .. } => None,
        }
    }

    /// Name of the cause of a refusal.
    const fn cause(&self, cause: Cause) -> &'static str {
        match (cause, self.required_build()) {
            (Cause::Paused, _) => "paused",
            (Cause::Evacuated, _) => "evacuated",
            (Cause::NoHome, _) => "no_home",
            (Cause::NoUpstreamAtHome, _) => "no_upstream_at_home",
            (Cause::NoUpstream, Some(_)) => "no_upstream_of_build",
            (Cause::NoUpstream, None) => "no_upstream",
        }
    }

    /// Time for which the request or prompts like its own are kept from upstreams, since they crash
    /// them.
    fn blocked_for(&self) -> Option<Duration> {
        let now = self.shared.now();
        let service = &self.admitted.target.service;
        let poison = self.shared.poison.borrow();
        poison.blocked_for(now, service, self.admitted.ids())
    }

    /// Records that an upstream answered the request and has not crashed.
    fn record_served(&self) {
        let now = self.shared.now();
        let service = &self.admitted.target.service;
        let ids = self.admitted.ids();
        self.shared
            .poison
            .borrow_mut()
            .record_served(now, service, ids);
    }

    /// Input for the choice of an upstream; `tie_breaker` decides between equals.
    fn query(&self, tie_breaker: u64) -> Query<'_> {
        Query {
            service: &self.admitted.target.service,
            session: self.admitted.target.session,
            max_connections: self.admitted.target.connections,
            build: self.required_build(),
            tried: &self.tried,
            homes: &self.admitted.homes,
            tie_breaker,
        }
    }

    /// The only version at which the request may run.
    const fn required_build(&self) -> Option<&name::Build> {
        match &self.origin {
            Some(origin) => Some(&origin.build),
            None => self.incumbent.as_ref(),
        }
    }

    /// Whether a request whose upstream does not respond may be retried at another one.
    fn has_alternative(&self) -> bool {
        let query = self.query(0);
        let now = self.shared.now();
        let mut fleet = self.shared.fleet.borrow_mut();
        self.may_run_again() && self.blocked_for().is_none() && fleet.has_alternative(now, &query)
    }

    fn not_run(&self, cause: &'static str, retry_after: Duration) -> Refusal {
        if self.runs > 0 {
            Refusal::Lost
        } else {
            Refusal::NotRun { cause, retry_after }
        }
    }

    fn retry_after(&self) -> Duration {
        Duration::from_millis(RETRY_AFTER_MS + self.shared.random() % RETRY_AFTER_JITTER_MS)
    }

    /// Whether the route allows one more execution of the request and its crashes do not forbid it.
    fn may_run_again(&self) -> bool {
        let route = &self.admitted.route;
        let service = &self.admitted.target.service;
        let poison = self.shared.poison.borrow();
        route.kind.is_retryable()
            && self.runs < route.attempts
            && !poison.is_nearly_shown(service, || self.admitted.fingerprint())
    }

    /// Ends the request without a successful response: sends the kept server error if there is one,
    /// else the refusal.
    async fn refuse(&mut self, refusal: Refusal, responder: &mut Responder<'_>) -> io::Result<()> {
        if responder.has_started() {
            return broken();
        }
        if let Some(fallback) = self.fallback.take() {
            self.status = Some(fallback.status);
            return responder
                .send(fallback.status, fallback.headers, &fallback.body)
                .await;
        }
        self.status = Some(refusal.status());
        refusal.write(responder, self.sender).await
    }

    async fn time_out(&mut self, responder: &mut Responder<'_>) -> io::Result<()> {
        let refusal = if self.runs > 0 {
            Refusal::TimedOut
        } else {
            self.not_run("too_late", self.retry_after())
        };
        self.refuse(refusal, responder).await
    }

    fn settle(&self, outcome: &'static str) {
        let admitted = &self.admitted;
        let elapsed = Instant::now().saturating_duration_since(admitted.received);
        let first_byte = self.first_byte.map(|first| first - admitted.received);
        let workspace = admitted.workspace.as_ref();
        let metrics = &self.shared.metrics;
        metrics.request(admitted.route.kind, workspace, outcome, first_byte, elapsed);
        info!(self.shared.log, "request: settled";
            "id" => admitted.request.id.as_deref(),
            "route" => &*admitted.route.name,
            "workspace" => workspace.map(name::Workspace::as_str),
            "upstream" => self.tried.last().map(name::Upstream::as_str),
            "build" => self.build.as_ref().map(name::Build::as_str),
            "resumes" => admitted.request.resumes.as_deref(),
            "after" => admitted.request.last_event.as_deref(),
            "outcome" => outcome,
            "status" => self.status.map(|status| status.as_u16()),
            "relays" => self.relays.len(),
            "from_peer" => self.sender == Sender::Peer,
            "sends" => self.sends,
            "runs" => self.runs,
            "declined" => self.declined,
            "misdirected" => self.misdirected,
            "unreachable" => self.unreachable,
            "events" => self.events.count(),
            "first_ms" => first_byte.map(|first| first.as_millis() as u64),
            "ms" => elapsed.as_millis() as u64,
            "configuration" => admitted.revision.number);
    }
}

/// What became of a request that was answered.
fn answered(result: io::Result<()>) -> (io::Result<()>, &'static str) {
    let outcome = if result.is_ok() { "answered" } else { "broken" };
    (result, outcome)
}

/// An error that closes the caller's connection, since a started response cannot be completed.
fn broken() -> io::Result<()> {
    Err(io::ErrorKind::ConnectionAborted.into())
}
