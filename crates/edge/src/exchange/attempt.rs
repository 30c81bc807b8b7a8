//! One attempt of a request at one upstream.

use std::fmt;
use std::time::Duration;

use actix_http::RequestHead;
use actix_http::ResponseHead;
use actix_http::StatusCode;
use actix_http::header;
use slog::info;
use snipeusher::fleet::Outcome;
use snipeusher::hash;
use snipeusher::name;
use tokio::time::timeout;

use super::Exchange;
use super::Placement;
use super::Step;
use super::body::BODY_BYTES_MAX;
use super::body::DISCARDED_BYTES_MAX;
use crate::clock::remaining;
use crate::connection;
use crate::connection::Connection;
use crate::crash;
use crate::crash::Lost;
use crate::dialect::Context;
use crate::dialect::Platform;
use crate::dialect::Response;
use crate::in_flight::Guard;
use crate::responder::Responder;

/// Responses to earlier requests that are skipped before the connection is given up.
const STALE_MAX: u32 = 2;
/// Factor of the route's latency objective after which a request that may be retried is sent to
/// another upstream if the response has not started.
const SILENCE_FACTOR: f64 = 2.5;
/// Lower bound of that time.
const SILENCE_MIN: Duration = Duration::from_millis(200);

/// The head of a response to this request, and what its headers state.
pub(super) struct Reply {
    pub(super) head: ResponseHead,
    pub(super) facts: Response,
}

impl<P: Platform> Exchange<'_, P> {
    /// Sends the request to the chosen upstream and passes its response on.
    pub(super) async fn attempt(
        &mut self,
        placement: Placement,
        responder: &mut Responder<'_>,
    ) -> Step {
        let upstream = placement.upstream.clone();
        let shared = std::rc::Rc::clone(self.shared);
        let guard = Guard::start(&shared, upstream.clone());
        let mut connection = match self.connection(&placement).await {
            Ok(connection) => connection,
            Err(error) => {
                self.log_failure(&upstream, "unreachable", &error);
                guard.finish(Outcome::Unreachable);
                return Step::Unreachable;
            }
        };
        self.sends += 1;
        self.runs += 1;
        self.sent_at = shared.now();
        let head = self.head(&placement);
        if let Err(error) = connection.send(head, &self.admitted.body) {
            self.note_early_close(&connection, &error);
            self.lose(guard, &upstream, "lost", &error);
            return Step::Lost;
        }
        let Some(reply) = self.reply(&upstream, &mut connection).await else {
            guard.finish(Outcome::Lost);
            return Step::Lost;
        };
        guard.record_activity();
        self.record_facts(&upstream, &reply.facts);
        if reply.facts.declined {
            return self
                .declined(&upstream, connection, &reply.facts, guard)
                .await;
        }
        if self.admitted.route.kind.is_stream() && reply.head.status.is_success() {
            return self
                .stream(&upstream, connection, reply, guard, responder)
                .await;
        }
        self.complete(&upstream, connection, reply, guard, responder)
            .await
    }

    /// Records what the headers of a response say about the upstream.
    fn record_facts(&self, upstream: &name::Upstream, facts: &Response) {
        let shared = self.shared;
        let now = shared.now();
        let mut fleet = shared.fleet.borrow_mut();
        if facts.misdirected {
            // The other headers describe the upstream that has the address now.
            if fleet.record_replaced(now, upstream) {
                info!(shared.log, "upstream: replaced"; "upstream" => upstream.as_str());
                shared.outage.notify_one();
            }
            return;
        }
        if let Some(load) = facts.load {
            fleet.record_load(now, upstream, load);
        }
        if facts.leaving && fleet.record_leaving(now, upstream) {
            info!(shared.log, "upstream: leaving"; "upstream" => upstream.as_str());
            shared.outage.notify_one();
        }
        if let Some(pause) = facts.pause {
            fleet.record_pause(now, upstream, pause);
            info!(shared.log, "upstream: paused";
                "upstream" => upstream.as_str(), "ms" => pause.as_millis() as u64);
        }
        if fleet.record_rate_limit(now, upstream, facts.rate_limit) {
            info!(shared.log, "upstream: rate limit";
                "upstream" => upstream.as_str(), "per_s" => facts.rate_limit);
        }
        if let Some(per_s) = facts.decline_limit
            && fleet.record_decline_limit(now, upstream, per_s)
        {
            info!(shared.log, "upstream: decline limit";
                "upstream" => upstream.as_str(), "per_s" => per_s);
        }
        shared.metrics.malformed_headers(facts.malformed);
    }

    async fn connection(&self, placement: &Placement) -> Result<Connection, connection::Error> {
        if let Some(connection) = self.pooled(placement) {
            return Ok(connection);
        }
        let limit = self.shared.settings.connect_timeout;
        Connection::open(placement.address, limit, &self.shared.http).await
    }

    /// An idle connection. One that carried a request with the same identifier is closed, since a
    /// late duplicate of that response could not be told from the response to this request.
    fn pooled(&self, placement: &Placement) -> Option<Connection> {
        let now = self.shared.now();
        let tag = self.tag();
        let service = &self.admitted.target.service;
        let mut pool = self.shared.pool.borrow_mut();
        loop {
            let connection = pool.take(now, &placement.upstream, service)?;
            if connection.tag() != Some(tag) {
                return Some(connection);
            }
        }
    }

    /// Identifies the request on a connection.
    fn tag(&self) -> u64 {
        let id = self.admitted.request.id.as_deref();
        hash::bytes(id.unwrap_or_default().as_bytes())
    }

    /// Returns a connection to the pool. Idle connections take at most half of this router's share
    /// of the upstream's connections, so that the other half is free for new ones. With a share
    /// below two none is kept.
    pub(super) fn release(&self, upstream: &name::Upstream, mut connection: Connection) {
        connection.set_tag(self.tag());
        let share = self
            .shared
            .fleet
            .borrow()
            .connection_share(self.admitted.target.connections);
        let limit = share as usize / 2;
        self.shared
            .pool
            .borrow_mut()
            .put(upstream, connection, limit);
    }

    /// Records that an upstream closed a reused connection before any byte of a response: it may
    /// close idle connections earlier than expected.
    fn note_early_close(&self, connection: &Connection, error: &connection::Error) {
        let idle = connection.idle_before();
        if let Some(idle) = idle.filter(|_| error.is_disconnect()) {
            let now = self.shared.now();
            let service = &self.admitted.target.service;
            self.shared
                .pool
                .borrow_mut()
                .record_early_close(now, service, idle);
        }
    }

    fn head(&self, placement: &Placement) -> RequestHead {
        let admitted = &self.admitted;
        let mut headers = admitted.headers.clone();
        let context = Context {
            upstream: &placement.upstream,
            deadline: remaining(admitted.deadline),
            workspace: admitted.workspace.as_ref(),
            priority: admitted.priority,
            source: placement.source,
            last_event: self.events.last_id(),
        };
        self.shared.platform.set_context(&context, &mut headers);
        connection::request(admitted.method.clone(), admitted.uri.clone(), headers)
    }

    /// Reads the head of the response to this request.
    ///
    /// The wait is abandoned after a time limit only if the request can be retried elsewhere.
    async fn reply(&self, upstream: &name::Upstream, connection: &mut Connection) -> Option<Reply> {
        let limit = self.admitted.route.objective.mul_f64(SILENCE_FACTOR);
        let limit = limit.max(SILENCE_MIN);
        let read = loop {
            match timeout(limit, self.matching_reply(upstream, connection)).await {
                Ok(read) => break read,
                Err(elapsed) if self.has_alternative() => {
                    self.record_overdue(upstream);
                    self.log_failure(upstream, "silent", &elapsed);
                    return None;
                }
                Err(_elapsed) => {}
            }
        };
        match read {
            Ok(reply) => Some(reply),
            Err(error) => {
                self.note_early_close(connection, &error);
                self.suspect_crash(upstream, &error);
                self.log_failure(upstream, "lost", &error);
                None
            }
        }
    }

    /// Records that a response is overdue, so that the next requests do not wait as long. Idle
    /// connections to the upstream may hang as well.
    fn record_overdue(&self, upstream: &name::Upstream) {
        let now = self.shared.now();
        self.shared.fleet.borrow_mut().record_overdue(now, upstream);
        self.shared.pool.borrow_mut().close(upstream);
    }

    /// Reads responses, skipping those to other requests, until one belongs to this request.
    async fn matching_reply(
        &self,
        upstream: &name::Upstream,
        connection: &mut Connection,
    ) -> Result<Reply, connection::Error> {
        for _ in 0..=STALE_MAX {
            let head = connection.head().await?;
            let status = head.status.as_u16();
            let facts = self.shared.platform.response(status, &head.headers);
            // On a reused connection it may be a late duplicate of an earlier refusal.
            let is_refusal = facts.declined && facts.id.is_none() && !connection.is_reused();
            if facts.id == self.admitted.request.id || is_refusal {
                return Ok(Reply { head, facts });
            }
            if facts.id.is_none() {
                break;
            }
            info!(self.shared.log, "answer: belongs to another request";
                "id" => self.admitted.request.id.as_deref(), "upstream" => upstream.as_str(),
                "answers" => facts.id);
            connection.discard(BODY_BYTES_MAX).await?;
        }
        Err(connection::Error::Foreign)
    }

    async fn declined(
        &mut self,
        upstream: &name::Upstream,
        mut connection: Connection,
        facts: &Response,
        guard: Guard<'_, P>,
    ) -> Step {
        self.runs -= 1;
        guard.finish(match facts.pause {
            Some(_) => Outcome::Paused,
            None => Outcome::Declined,
        });
        info!(self.shared.log, "request: declined";
            "id" => self.admitted.request.id.as_deref(), "upstream" => upstream.as_str());
        // A late duplicate without an identifier would say of the next request that it did not run.
        if connection.discard(DISCARDED_BYTES_MAX).await.is_ok() && facts.id.is_some() {
            self.release(upstream, connection);
        }
        if facts.misdirected {
            Step::Misdirected
        } else {
            Step::Declined
        }
    }

    /// Ends an attempt without a usable response although the request may have been executed.
    pub(super) fn lose<E: fmt::Display + ?Sized>(
        &self,
        guard: Guard<'_, P>,
        upstream: &name::Upstream,
        reason: &'static str,
        error: &E,
    ) {
        self.log_failure(upstream, reason, error);
        guard.finish(Outcome::Lost);
    }

    pub(super) fn log_failure<E: fmt::Display + ?Sized>(
        &self,
        upstream: &name::Upstream,
        reason: &'static str,
        error: &E,
    ) {
        info!(self.shared.log, "attempt: failed";
            "id" => self.admitted.request.id.as_deref(), "upstream" => upstream.as_str(),
            "build" => self.build.as_ref().map(name::Build::as_str),
            "events" => self.events.count(),
            "fingerprint" => crash::hex([&self.admitted.fingerprint()]),
            "parts" => crash::hex(&self.admitted.shared_parts().collect::<Vec<_>>()),
            "reason" => reason, "error" => %error);
    }

    /// Has an upstream checked that closed the connection of a request which it may have been about
    /// to answer.
    pub(super) fn suspect_crash(&self, upstream: &name::Upstream, error: &connection::Error) {
        if !error.is_disconnect() {
            return;
        }
        let lost = Lost {
            parts: self.admitted.shared_parts().collect(),
            fingerprint: self.admitted.fingerprint(),
            sent_at: self.sent_at,
            ended_at: self.shared.now(),
        };
        crash::check(self.shared, upstream, lost);
    }
}

/// Whether a response can be passed on unchanged.
///
/// 408, 421, 429 and 503 tell the caller that the request was not executed. An upstream states
/// this by declining, so without that such a status is not passed on. Neither is an encoded
/// body, since the caller did not ask for one, nor a successful response without a signature.
pub(super) fn is_acceptable(reply: &Reply) -> bool {
    let status = reply.head.status;
    let implies_not_run = matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    );
    let is_encoded = reply.head.headers.contains_key(header::CONTENT_ENCODING);
    let is_trusted = reply.facts.signed || !status.is_success();
    !implies_not_run && !is_encoded && is_trusted
}
