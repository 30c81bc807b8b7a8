//! The way of a request: admit, place, send, relay, settle.

mod admit;
mod attempt;
mod stream;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use slog::info;
use snipeusher::fleet::Ask;
use snipeusher::fleet::Decision;
use snipeusher::name;
use snipeusher::route::Limits;
use tokio::time::timeout_at;

use self::admit::Admitted;
use crate::dialect::Platform;
use crate::lifecycle::Lifecycle;
use crate::refusal::Refusal;
use crate::responder::Responder;
use crate::server::Handler;
use crate::server::Request;
use crate::shared::Shared;

/// Upstreams that may turn out unreachable before a request is given up.
const UNREACHABLE_MAX: u32 = 4;
/// Upstreams that may decline a request before it is given up.
const DECLINED_MAX: u32 = 2;
/// When a caller may come back after upstreams declined its request, before the random part.
const RETRY_DECLINED_MS: u64 = 100;
/// Random part of that time, so that callers who were refused together do not return together.
const RETRY_SPREAD_MS: u64 = 150;

/// Serves callers.
#[derive(Debug)]
pub struct Proxy<P>(pub Rc<Shared<P>>);

impl<P: Platform> Handler for Proxy<P> {
    fn limits(&self) -> Limits {
        self.0.limits()
    }

    fn lifecycle(&self) -> &Lifecycle {
        &self.0.lifecycle
    }

    async fn handle(&self, request: Request, responder: &mut Responder<'_>) -> io::Result<()> {
        match admit::admit(&*self.0, request) {
            Ok(admitted) => {
                let mut exchange = Exchange::new(&self.0, admitted);
                exchange.run(responder).await
            }
            Err(rejection) => {
                self.0.metrics.rejection(rejection.refusal.reason());
                info!(self.0.log, "request: rejected";
                    "id" => rejection.id, "reason" => rejection.refusal.reason(),
                    "configuration" => rejection.revision.0);
                rejection.refusal.write(responder).await
            }
        }
    }
}

/// An answer of an upstream that is kept in case no better one comes.
struct Kept {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Where a request goes next.
struct Placed {
    upstream: name::Upstream,
    address: SocketAddr,
    /// Another upstream that may hold more of its prompt.
    source: Option<SocketAddr>,
}

/// What became of one attempt.
enum Step {
    /// The caller has its answer, whole or broken off.
    Answered(io::Result<()>),
    /// The upstream did not run the request.
    Declined,
    /// Nothing was sent.
    Unreachable,
    /// The request may have run and there is no answer to pass on.
    Lost,
    /// The upstream failed; another one may do better.
    Failed(Kept),
}

/// One request on its way.
struct Exchange<'a, P: Platform> {
    shared: &'a Rc<Shared<P>>,
    admitted: Admitted,
    events: crate::events::Parser,
    tried: Vec<name::Upstream>,
    /// Times that bytes of it were sent to an upstream.
    sends: u32,
    /// Sends that may have run.
    runs: u32,
    declined: u32,
    unreachable: u32,
    kept: Option<Kept>,
    /// Status of the answer that was passed on.
    status: Option<StatusCode>,
    /// When its first byte was passed on.
    first: Option<Instant>,
}

impl<'a, P: Platform> Exchange<'a, P> {
    fn new(shared: &'a Rc<Shared<P>>, admitted: Admitted) -> Self {
        let last = admitted.request.last_event.clone();
        Self {
            shared,
            admitted,
            events: crate::events::Parser::after(last),
            tried: Vec::new(),
            sends: 0,
            runs: 0,
            declined: 0,
            unreachable: 0,
            kept: None,
            status: None,
            first: None,
        }
    }

    async fn run(&mut self, responder: &mut Responder<'_>) -> io::Result<()> {
        let now = self.shared.now();
        self.shared
            .fleet
            .borrow_mut()
            .request(now, &self.admitted.service);
        let until = tokio::time::Instant::from_std(self.admitted.until);
        let ended = timeout_at(until, self.attempts(responder)).await;
        let (answered, outcome) = match ended {
            Ok(ended) => ended,
            Err(_elapsed) => (self.time_up(responder).await, "timed_out"),
        };
        self.settle(outcome);
        answered
    }

    /// Sends the request until an upstream answers or no further attempt is allowed.
    async fn attempts(&mut self, responder: &mut Responder<'_>) -> (io::Result<()>, &'static str) {
        loop {
            let placed = match self.place() {
                Ok(placed) => placed,
                Err(refusal) => return (self.refuse(refusal, responder).await, refusal.reason()),
            };
            self.tried.push(placed.upstream.clone());
            match self.attempt(placed, responder).await {
                Step::Answered(result) => {
                    let outcome = if result.is_ok() { "answered" } else { "broken" };
                    return (result, outcome);
                }
                Step::Declined => self.declined += 1,
                Step::Unreachable => self.unreachable += 1,
                Step::Lost => {
                    if responder.has_started() && !self.may_run_again() {
                        return (broken(), "broken");
                    }
                }
                Step::Failed(kept) => self.kept = Some(kept),
            }
        }
    }

    /// Chooses where the request goes next, if it may go anywhere.
    fn place(&mut self) -> Result<Placed, Refusal> {
        let shared = self.shared;
        let now = shared.now();
        if self.runs > 0 && !self.may_run_again() {
            return Err(Refusal::Lost);
        }
        if self.declined > DECLINED_MAX {
            return Err(self.not_run("declined", self.retry_after()));
        }
        if self.unreachable >= UNREACHABLE_MAX {
            return Err(self.not_run("unreachable", self.retry_after()));
        }
        let ask = self.ask(shared.random());
        let mut fleet = shared.fleet.borrow_mut();
        match fleet.choose(now, &ask) {
            Decision::Send {
                upstream,
                address,
                source,
            } => {
                if self.sends > 0 && !fleet.repeat(now, &self.admitted.service) {
                    return Err(self.not_run("budget", self.retry_after()));
                }
                Ok(Placed {
                    upstream,
                    address,
                    source,
                })
            }
            Decision::Refuse { retry_after } => Err(self.not_run("no_upstream", retry_after)),
        }
    }

    /// What a placement needs to know; `point` breaks ties.
    fn ask(&self, point: u64) -> Ask<'_> {
        Ask {
            service: &self.admitted.service,
            session: self.admitted.session,
            connections: self.admitted.connections,
            tried: &self.tried,
            point,
        }
    }

    /// Whether a request that waits at a silent upstream can go to another one.
    fn has_alternative(&self) -> bool {
        let ask = self.ask(0);
        let now = self.shared.now();
        let mut fleet = self.shared.fleet.borrow_mut();
        self.may_run_again() && fleet.has_alternative(now, &ask)
    }

    fn not_run(&self, cause: &'static str, retry_after: Duration) -> Refusal {
        if self.runs > 0 {
            Refusal::Lost
        } else {
            Refusal::NotRun { cause, retry_after }
        }
    }

    fn retry_after(&self) -> Duration {
        Duration::from_millis(RETRY_DECLINED_MS + self.shared.random() % RETRY_SPREAD_MS)
    }

    /// Whether a request that may have run may be sent once more.
    fn may_run_again(&self) -> bool {
        let route = &self.admitted.route;
        route.kind.is_repeatable() && self.runs < route.attempts
    }

    /// Gives the final answer that is not a fresh one of an upstream.
    async fn refuse(&mut self, refusal: Refusal, responder: &mut Responder<'_>) -> io::Result<()> {
        if responder.has_started() {
            return broken();
        }
        if let Some(kept) = self.kept.take() {
            self.status = Some(kept.status);
            return responder.send(kept.status, kept.headers, &kept.body).await;
        }
        self.status = Some(refusal.status());
        refusal.write(responder).await
    }

    async fn time_up(&mut self, responder: &mut Responder<'_>) -> io::Result<()> {
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
        let first = self.first.map(|first| first - admitted.received);
        let workspace = admitted.workspace.as_ref();
        let metrics = &self.shared.metrics;
        metrics.request(admitted.route.kind, workspace, outcome, first, elapsed);
        info!(self.shared.log, "request: settled";
            "id" => admitted.request.id.as_deref(),
            "route" => &*admitted.route.name,
            "workspace" => workspace.map(name::Workspace::as_str),
            "upstream" => self.tried.last().map(name::Upstream::as_str),
            "outcome" => outcome,
            "status" => self.status.map(|status| status.as_u16()),
            "sends" => self.sends,
            "runs" => self.runs,
            "declined" => self.declined,
            "unreachable" => self.unreachable,
            "events" => self.events.count(),
            "first_ms" => first.map(|first| first.as_millis() as u64),
            "ms" => elapsed.as_millis() as u64,
            "configuration" => admitted.revision.0);
    }
}

/// The answer cannot be completed, so the caller's connection ends.
fn broken() -> io::Result<()> {
    Err(io::ErrorKind::ConnectionAborted.into())
}
