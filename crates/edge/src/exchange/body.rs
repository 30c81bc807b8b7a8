//! Responses that are not streams of events.
//!
//! A response is collected before it is passed on, so that a request whose upstream fails midway can
//! be retried. One for which there is no room in memory is passed on as it arrives.

use std::array::IntoIter;
use std::time::Instant;

use actix_http::ResponseHead;
use actix_http::header;
use bytes::Bytes;
use bytes::BytesMut;
use slog::info;
use snipeusher::fleet::Outcome;
use snipeusher::hash;
use snipeusher::name;

use super::Exchange;
use super::Fallback;
use super::Step;
use super::attempt::Reply;
use super::attempt::is_acceptable;
use super::backlog::Backlog;
use super::broken;
use super::stream::send;
use crate::connection;
use crate::connection::Connection;
use crate::dialect::Platform;
use crate::headers;
use crate::in_flight::Guard;
use crate::memory::Owner;
use crate::memory::Reservation;
use crate::responder::Responder;

/// Largest body of a response that is not a stream.
pub(super) const BODY_BYTES_MAX: usize = 8 << 20;
/// Largest body of a response without content that is read so that its connection can be reused.
pub(super) const DISCARDED_BYTES_MAX: usize = 64 << 10;

/// A body as far as it has arrived.
pub(super) struct Body {
    bytes: BytesMut,
    /// What arrived when there was no more room.
    rest: Bytes,
    reservation: Reservation,
}

/// How collecting a body ended.
pub(super) enum Collected {
    /// It is complete.
    Whole,
    /// There is no room for more of it.
    NoRoom,
}

impl Body {
    /// Starts without bytes.
    pub(super) fn new(reservation: Reservation) -> Self {
        Self {
            bytes: BytesMut::new(),
            rest: Bytes::new(),
            reservation,
        }
    }

    /// Reads the body until it is complete or there is no room for more.
    pub(super) async fn collect(
        &mut self,
        connection: &mut Connection,
    ) -> Result<Collected, connection::Error> {
        while let Some(bytes) = connection.chunk().await? {
            let length = self.bytes.len() + bytes.len();
            connection.limit(length, BODY_BYTES_MAX)?;
            if !self.reservation.grow_to(length) {
                self.rest = bytes;
                return Ok(Collected::NoRoom);
            }
            self.bytes.extend_from_slice(&bytes);
        }
        Ok(Collected::Whole)
    }

    /// The bytes that were collected, and their reservation.
    pub(super) fn into_parts(self) -> (Bytes, Reservation) {
        (self.bytes.freeze(), self.reservation)
    }
}

/// The parts of a body that is passed on as it arrives.
pub(super) struct Parts {
    /// What was collected before.
    collected: IntoIter<Bytes, 2>,
    reservation: Reservation,
    /// Bytes so far.
    length: usize,
}

impl Parts {
    /// Starts with what has arrived.
    pub(super) fn new(body: Body) -> Self {
        Self {
            length: body.bytes.len() + body.rest.len(),
            collected: [body.bytes.freeze(), body.rest].into_iter(),
            reservation: body.reservation,
        }
    }

    /// The next part, which is not empty; `None` at the end of the body.
    pub(super) async fn next(
        &mut self,
        connection: &mut Connection,
    ) -> Result<Option<Bytes>, connection::Error> {
        if let Some(part) = self.collected.find(|part| !part.is_empty()) {
            return Ok(Some(part));
        }
        self.reservation.clear();
        let part = connection.chunk().await?;
        self.length += part.as_ref().map_or(0, Bytes::len);
        connection.limit(self.length, BODY_BYTES_MAX)?;
        Ok(part)
    }
}

impl<P: Platform> Exchange<'_, P> {
    /// The account of an upstream in the memory for bodies.
    pub(super) fn reserve_for(&self, sender: &str) -> Reservation {
        let owner = Owner::Sender(hash::bytes(sender.as_bytes()));
        self.shared.memory.open(owner)
    }

    /// Passes on a response that is not a stream.
    pub(super) async fn complete(
        &mut self,
        upstream: &name::Upstream,
        mut connection: Connection,
        reply: Reply,
        guard: Guard<'_, P>,
        responder: &mut Responder<'_>,
    ) -> Step {
        if !is_acceptable(&reply) {
            let error = "the response is unsigned, encoded or has a reserved status";
            self.lose(guard, upstream, "lost", error);
            return Step::Lost;
        }
        if responder.has_started() {
            // Only events can follow those that were passed on.
            self.lose(guard, upstream, "failed", &reply.head.status);
            return Step::Lost;
        }
        let mut body = Body::new(self.reserve_for(upstream.as_str()));
        let length = stated_length(&reply.head).unwrap_or_default();
        let collected = match connection.limit(length, BODY_BYTES_MAX) {
            Ok(()) => body.collect(&mut connection).await,
            Err(error) => Err(error),
        };
        match collected {
            Ok(Collected::Whole) => {
                self.release(upstream, connection);
                self.deliver(upstream, reply, body, guard, responder).await
            }
            Ok(Collected::NoRoom) => {
                self.pass_on(upstream, connection, reply, body, guard, responder)
                    .await
            }
            Err(error) => {
                self.suspect_crash(upstream, &error);
                self.lose(guard, upstream, "lost", &error);
                Step::Lost
            }
        }
    }

    /// Passes on a response that was collected, or keeps a server error while a retry is allowed.
    async fn deliver(
        &mut self,
        upstream: &name::Upstream,
        reply: Reply,
        body: Body,
        guard: Guard<'_, P>,
        responder: &mut Responder<'_>,
    ) -> Step {
        let status = reply.head.status;
        let headers = headers::to_caller(&reply.head.headers);
        let (body, reservation) = body.into_parts();
        if status.is_server_error() {
            guard.finish(Outcome::Failed);
            if self.may_run_again() {
                self.log_failure(upstream, "failed", &status);
                return Step::Failed(Fallback {
                    status,
                    headers,
                    body,
                    _reservation: reservation,
                });
            }
            self.status = Some(status);
            return Step::Answered(responder.send(status, headers, &body).await);
        }
        guard.finish(Outcome::Served);
        self.record_served();
        self.status = Some(status);
        self.first_byte = Some(Instant::now());
        Step::Answered(responder.send(status, headers, &body).await)
    }

    /// Passes on a response as it arrives. While the caller does not read, nothing is read from the
    /// upstream.
    async fn pass_on(
        &mut self,
        upstream: &name::Upstream,
        mut connection: Connection,
        reply: Reply,
        body: Body,
        guard: Guard<'_, P>,
        responder: &mut Responder<'_>,
    ) -> Step {
        let status = reply.head.status;
        if status.is_server_error() && self.may_run_again() {
            self.log_failure(upstream, "failed", &status);
            guard.finish(Outcome::Failed);
            return Step::Lost;
        }
        info!(self.shared.log, "answer: passed on as it arrives";
            "id" => self.admitted.request.id.as_deref(), "upstream" => upstream.as_str());
        self.status = Some(status);
        self.first_byte = Some(Instant::now());
        let headers = headers::to_caller(&reply.head.headers);
        if let Err(error) = responder.start_sized(status, headers, stated_length(&reply.head)) {
            return Step::Answered(Err(error));
        }
        let mut parts = Parts::new(body);
        let mut backlog = Backlog::default();
        loop {
            let waiting_since = Instant::now();
            let next = parts.next(&mut connection).await;
            backlog.record_wait(waiting_since.elapsed());
            let part = match next {
                Ok(Some(part)) => part,
                Ok(None) => break,
                Err(error) if backlog.explains_abort() => {
                    self.log_failure(upstream, "unread", &error);
                    guard.finish(Outcome::Abandoned);
                    return Step::Answered(broken());
                }
                Err(error) => {
                    self.lose(guard, upstream, "lost", &error);
                    return Step::Answered(broken());
                }
            };
            guard.record_activity();
            let (sent, unread) = send(part, responder, &guard).await;
            backlog.record_unread(unread);
            if let Err(error) = sent {
                return Step::Answered(Err(error));
            }
        }
        self.release(upstream, connection);
        if status.is_server_error() {
            guard.finish(Outcome::Failed);
        } else {
            guard.finish(Outcome::Served);
            self.record_served();
        }
        Step::Answered(responder.finish().await)
    }
}

/// Length of a body as its head states it.
pub(super) fn stated_length(head: &ResponseHead) -> Option<usize> {
    let length = head.headers.get(header::CONTENT_LENGTH)?;
    length.to_str().ok()?.trim().parse().ok()
}
