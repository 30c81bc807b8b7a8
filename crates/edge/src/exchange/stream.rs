//! Streamed responses: complete events are passed on as they arrive. If the upstream fails, a
//! resumable stream continues at another one.

use std::io;
use std::pin::pin;
use std::time::Duration;
use std::time::Instant;

use actix_http::header::HeaderValue;
use slog::info;
use snipeusher::fleet::Outcome;
use snipeusher::name;
use tokio::time::timeout_at;

use super::Exchange;
use super::Step;
use super::attempt::Reply;
use super::attempt::is_acceptable;
use super::backlog::Backlog;
use super::broken;
use super::stall;
use crate::connection;
use crate::connection::Connection;
use crate::dialect::Platform;
use crate::events;
use crate::headers;
use crate::in_flight::Guard;
use crate::responder::Responder;
use crate::server::Sender;

/// Time after its first event from which a stream shows that its prompt does not crash the
/// upstream.
const PROVEN_AFTER: Duration = Duration::from_millis(300);

/// The next part of a stream.
enum Next {
    Bytes(bytes::Bytes),
    End,
    Broken(connection::Error),
    /// No event for so long that another upstream should go on.
    Silent,
    /// No event for so long that the caller has given up.
    Over,
}

impl<P: Platform> Exchange<'_, P> {
    /// Passes on the events of a streamed response.
    pub(super) async fn stream(
        &mut self,
        upstream: &name::Upstream,
        mut connection: Connection,
        reply: Reply,
        guard: Guard<'_, P>,
        responder: &mut Responder<'_>,
    ) -> Step {
        if !is_acceptable(&reply) {
            self.lose(
                guard,
                upstream,
                "lost",
                "the response is unsigned, encoded or has a reserved status",
            );
            return self.interrupt(responder);
        }
        if responder.has_started() {
            info!(self.shared.log, "stream: resumed";
                "id" => self.admitted.request.id.as_deref(), "upstream" => upstream.as_str(),
                "build" => self.build.as_ref().map(name::Build::as_str),
                "after" => self.events.last_id());
        }
        let mut pending = self.reserve_for(upstream.as_str());
        let events_before = self.events.count();
        let mut began: Option<Instant> = None;
        let mut is_proven = false;
        let mut timer = stall::Timer::start(&self.admitted.route);
        let mut backlog = Backlog::default();
        loop {
            let waiting_since = Instant::now();
            let next = self.next(&mut connection, &mut timer).await;
            backlog.record_wait(waiting_since.elapsed());
            let bytes = match next {
                Next::Bytes(bytes) => {
                    guard.record_activity();
                    bytes
                }
                Next::End if self.is_whole(&connection, events_before) => {
                    if !is_proven {
                        self.record_served();
                    }
                    self.release(upstream, connection);
                    guard.finish(Outcome::Served);
                    if let Err(error) = self.start(&reply, responder) {
                        return Step::Answered(Err(error));
                    }
                    return Step::Answered(responder.finish().await);
                }
                Next::End => {
                    self.suspect_crash_of(upstream, began, &connection::Error::Ended);
                    self.lose(guard, upstream, "lost", "the stream ended too early");
                    return self.interrupt(responder);
                }
                Next::Broken(error) if backlog.explains_abort() => {
                    self.log_failure(upstream, "unread", &error);
                    guard.finish(Outcome::Abandoned);
                    return self.interrupt(responder);
                }
                Next::Broken(error) => {
                    self.suspect_crash_of(upstream, began, &error);
                    self.lose(guard, upstream, "lost", &error);
                    return self.interrupt(responder);
                }
                Next::Silent => {
                    self.lose(guard, upstream, "silent", "no event within the stall time");
                    return self.interrupt(responder);
                }
                Next::Over => {
                    let error = "no event until the caller gives up";
                    self.lose(guard, upstream, "stalled", error);
                    return Step::Answered(broken());
                }
            };
            let Ok(events) = self.events.push(&bytes) else {
                self.lose(guard, upstream, "lost", "the events are out of order");
                return self.interrupt(responder);
            };
            if !pending.grow_to(self.events.pending_bytes()) {
                self.lose(guard, upstream, "lost", "no room for an incomplete event");
                return self.interrupt(responder);
            }
            let Some(events) = events else { continue };
            pending.clear();
            let began = *began.get_or_insert_with(Instant::now);
            if !is_proven && began.elapsed() >= PROVEN_AFTER {
                is_proven = true;
                self.record_served();
            }
            if let Err(unannounced) = self.begin(reply.head.status).await {
                return self.run_at_incumbent(unannounced, guard);
            }
            if let Err(error) = self.start(&reply, responder) {
                return Step::Answered(Err(error));
            }
            let has_event = events::has_data(&events);
            let (sent, unread) = send(events, responder, &guard).await;
            backlog.record_unread(unread);
            timer.exclude(unread);
            if let Err(error) = sent {
                return Step::Answered(Err(error));
            }
            if has_event {
                timer.record_event();
            }
        }
    }

    fn start(&self, reply: &Reply, responder: &mut Responder<'_>) -> io::Result<()> {
        if responder.has_started() {
            return Ok(());
        }
        // After a resumption the head of the first upstream stays valid.
        let mut headers = headers::to_caller(&reply.head.headers);
        let build = self.build.as_ref().filter(|_| self.sender == Sender::Peer);
        if let Some(build) = build.and_then(|build| HeaderValue::from_str(build.as_str()).ok()) {
            headers.insert(headers::RELAY_BUILD, build);
        }
        responder.start(reply.head.status, headers)
    }

    /// Whether a stream that has ended is complete as far as can be told. One without a length that
    /// ends before its upstream has sent an event was broken off, also if another one had sent some.
    fn is_whole(&self, connection: &Connection, events_before: u64) -> bool {
        let is_empty = self.events.count() == events_before;
        self.events.is_complete() && !(is_empty && connection.ended_by_close())
    }

    /// Has the upstream of a broken stream checked, unless it has sent events for a while: then
    /// another request is the cause if it crashed.
    fn suspect_crash_of(
        &self,
        upstream: &name::Upstream,
        began: Option<Instant>,
        error: &connection::Error,
    ) {
        if began.is_none_or(|began| began.elapsed() < PROVEN_AFTER) {
            self.suspect_crash(upstream, error);
        }
    }

    async fn next(&self, connection: &mut Connection, timer: &mut stall::Timer) -> Next {
        let read = loop {
            match timeout_at(timer.check_at(), connection.chunk()).await {
                Ok(read) => break read,
                Err(_elapsed) if self.has_alternative() => return Next::Silent,
                Err(_elapsed) if timer.is_over() => return Next::Over,
                Err(_elapsed) => timer.record_check(),
            }
        };
        match read {
            Ok(Some(bytes)) => Next::Bytes(bytes),
            Ok(None) => Next::End,
            Err(error) => Next::Broken(error),
        }
    }

    /// Decides how to continue after an incomplete stream: retry, or close the caller's connection.
    fn interrupt(&mut self, responder: &Responder<'_>) -> Step {
        self.events.discard_partial();
        if responder.has_started() && !self.may_run_again() {
            return Step::Answered(broken());
        }
        Step::Lost
    }
}

/// Passes a part of a response on. Returns also for how long the caller did not read, in which nothing is read
/// from the upstream.
pub(super) async fn send<P: Platform>(
    events: bytes::Bytes,
    responder: &mut Responder<'_>,
    guard: &Guard<'_, P>,
) -> (io::Result<()>, Duration) {
    let mut sending = pin!(responder.send_chunk(events));
    let sent = tokio::select! {
        biased;
        sent = &mut sending => Some(sent),
        () = std::future::ready(()) => None,
    };
    if let Some(sent) = sent {
        return (sent, Duration::ZERO);
    }
    let began = Instant::now();
    let _unread = guard.pause_reading();
    (sending.await, began.elapsed())
}
