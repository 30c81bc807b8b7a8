//! Relays requests to a peer while this router reaches no upstream of their service, or has no slot
//! at upstreams that can decline few requests.
//!
//! The peer handles a relayed request like one of its own caller, within what remains of the
//! deadline, and its response is passed on. It counts as one attempt, since the peer may have run
//! it. See `docs/platform.md#routers-that-reach-no-upstream`.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use actix_http::ResponseHead;
use actix_http::StatusCode;
use actix_http::header;
use actix_http::header::HeaderMap;
use slog::info;
use snipeusher::name;

use super::Exchange;
use super::body::Body;
use super::body::Collected;
use super::body::Parts;
use super::body::stated_length;
use super::broken;
use crate::clock::remaining;
use crate::connection;
use crate::connection::Connection;
use crate::dialect::Platform;
use crate::headers;
use crate::peer;
use crate::responder::Responder;
use crate::server::Sender;

/// Peers to which a request is relayed at most, one after the other.
const RELAYS_MAX: usize = 2;
/// Time limit for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// What became of a relayed request.
pub(super) enum Relayed {
    /// The peer's response was passed on; an error if it could not be completed.
    Answered(io::Result<()>),
    /// It did not run, and will not.
    NotRun,
    /// It may have run.
    Lost,
}

impl Relayed {
    /// Name in metrics.
    pub(super) const fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(Ok(())) => "answered",
            Self::Answered(Err(_)) => "broken",
            Self::NotRun => "not_run",
            Self::Lost => "lost",
        }
    }
}

impl<P: Platform> Exchange<'_, P> {
    /// The peer to relay the request to; `None` if it is to be handled here.
    pub(super) fn relay_target(&self, responder: &Responder<'_>) -> Option<SocketAddr> {
        let service = &self.admitted.target.service;
        let now = self.shared.now();
        let fleet = self.shared.fleet.borrow();
        let needs_relay = fleet.needs_relay_within(now, service, &self.admitted.homes);
        drop(fleet);
        needs_relay.then(|| self.reaching_peer(responder)).flatten()
    }

    /// A peer that reaches the service and may get the request, if it may be relayed. A peer outside
    /// the home regions and the region of this router may not.
    pub(super) fn reaching_peer(&self, responder: &Responder<'_>) -> Option<SocketAddr> {
        let may_relay = self.sender == Sender::Caller
            && self.runs == 0
            && !responder.has_started()
            && self.relays.len() < RELAYS_MAX;
        if !may_relay {
            return None;
        }
        let service = &self.admitted.target.service;
        let now = self.shared.now();
        let homes = &self.admitted.homes;
        let fleet = self.shared.fleet.borrow();
        let peers = self.peers.borrow();
        let reaching = peers.reaching(now, service, self.shared.random());
        let mut suitable = reaching.into_iter().filter(|(host, peer)| {
            let may_handle = peers.zone(host).is_some_and(|zone| {
                let regions = &self.shared.settings.fleet.regions;
                regions.may_handle(zone, homes)
            });
            may_handle
                && !self.relays.contains(peer)
                && fleet.has_slots_within(now, service, host, homes)
        });
        suitable.next().map(|(_, peer)| peer)
    }

    /// Relays the request to a peer and passes its response on.
    pub(super) async fn relay(
        &mut self,
        peer: SocketAddr,
        responder: &mut Responder<'_>,
    ) -> Relayed {
        self.relays.push(peer);
        let Some(uri) = peer::relay_uri(&self.admitted.uri) else {
            return Relayed::NotRun;
        };
        let headers = match self.relay_headers() {
            Ok(headers) => headers,
            Err(error) => return self.not_relayed(peer, &error.to_string()),
        };
        let opened = Connection::open(peer, CONNECT_TIMEOUT, &self.shared.http).await;
        let mut connection = match opened {
            Ok(connection) => connection,
            Err(error) => return self.not_relayed(peer, &error.to_string()),
        };
        self.sends += 1;
        self.runs += 1;
        let request = connection::request(self.admitted.method.clone(), uri, headers);
        let sent = connection.send(request, &self.admitted.body);
        let head = match sent {
            Ok(()) => connection.head().await,
            Err(error) => Err(error),
        };
        let head = match head {
            Ok(head) => head,
            Err(error) => return self.lost_at(peer, &error),
        };
        if let Some(reason) = head.headers.get(headers::RELAY_REFUSAL) {
            let reason = reason.to_str().unwrap_or_default();
            return self.refused_by(peer, head.status, &head.headers, reason);
        }
        if self.admitted.route.kind.is_stream() && head.status.is_success() {
            return self.relay_stream(peer, connection, head, responder).await;
        }
        self.relay_body(peer, connection, head, responder).await
    }

    /// Headers of the caller, with what remains of the deadline and with the home regions.
    fn relay_headers(&self) -> Result<HeaderMap, headers::HomesError> {
        let mut headers = headers::end_to_end(&self.admitted.head.head().headers);
        let left = remaining(self.admitted.deadline);
        self.shared.platform.set_deadline(left, &mut headers);
        headers::set_homes(&self.admitted.homes, &mut headers)?;
        Ok(headers)
    }

    async fn relay_body(
        &mut self,
        peer: SocketAddr,
        mut connection: Connection,
        head: ResponseHead,
        responder: &mut Responder<'_>,
    ) -> Relayed {
        let mut body = Body::new(self.reserve_for(&peer.to_string()));
        let collected = match body.collect(&mut connection).await {
            Ok(collected) => collected,
            Err(error) => return self.lost_at(peer, &error),
        };
        self.first_byte = Some(Instant::now());
        if matches!(collected, Collected::NoRoom) {
            return self
                .relay_arriving(peer, connection, head, body, responder)
                .await;
        }
        // Peers state the length of a body or send it in chunks, so one that ends with its connection
        // is truncated.
        if connection.ended_by_close() {
            return self.lost_at(peer, &connection::Error::Ended);
        }
        self.status = Some(head.status);
        let headers = headers::to_caller(&head.headers);
        let (body, _reservation) = body.into_parts();
        Relayed::Answered(responder.send(head.status, headers, &body).await)
    }

    /// Passes on a body as it arrives, for which there is no room.
    async fn relay_arriving(
        &mut self,
        peer: SocketAddr,
        mut connection: Connection,
        head: ResponseHead,
        body: Body,
        responder: &mut Responder<'_>,
    ) -> Relayed {
        self.status = Some(head.status);
        let headers = headers::to_caller(&head.headers);
        if let Err(error) = responder.start_sized(head.status, headers, stated_length(&head)) {
            return Relayed::Answered(Err(error));
        }
        let mut parts = Parts::new(body);
        loop {
            let part = match parts.next(&mut connection).await {
                Ok(Some(part)) => part,
                Ok(None) if !connection.ended_by_close() => {
                    return Relayed::Answered(responder.finish().await);
                }
                Ok(None) => return self.stream_lost(peer, &connection::Error::Ended, responder),
                Err(error) => return self.stream_lost(peer, &error, responder),
            };
            if let Err(error) = responder.send_chunk(part).await {
                return Relayed::Answered(Err(error));
            }
        }
    }

    /// Passes on complete events as they arrive. A stream that the peer breaks off is not resumed
    /// here, but by its caller.
    async fn relay_stream(
        &mut self,
        peer: SocketAddr,
        mut connection: Connection,
        head: ResponseHead,
        responder: &mut Responder<'_>,
    ) -> Relayed {
        let build = head.headers.get(headers::RELAY_BUILD);
        let build = build.and_then(|build| build.to_str().ok());
        self.build = build.map(name::Build::from);
        let mut pending = self.reserve_for(&peer.to_string());
        loop {
            let bytes = match connection.chunk().await {
                Ok(Some(bytes)) => bytes,
                Ok(None) if self.events.is_complete() && !connection.ended_by_close() => {
                    if let Err(error) = start(&head, responder) {
                        return Relayed::Answered(Err(error));
                    }
                    return Relayed::Answered(responder.finish().await);
                }
                Ok(None) => return self.stream_lost(peer, &connection::Error::Ended, responder),
                Err(error) => return self.stream_lost(peer, &error, responder),
            };
            let Ok(events) = self.events.push(&bytes) else {
                return self.stream_lost(peer, &connection::Error::Foreign, responder);
            };
            if !pending.grow_to(self.events.pending_bytes()) {
                let limit = self.events.pending_bytes();
                return self.stream_lost(peer, &connection::Error::TooLong { limit }, responder);
            }
            let Some(events) = events else { continue };
            pending.clear();
            self.status.get_or_insert(head.status);
            self.first_byte.get_or_insert_with(Instant::now);
            // The peer has announced the stream to its holders before it sent the first event.
            self.record_origin();
            if let Err(error) = start(&head, responder) {
                return Relayed::Answered(Err(error));
            }
            if let Err(error) = responder.send_chunk(events).await {
                return Relayed::Answered(Err(error));
            }
        }
    }

    fn stream_lost(
        &self,
        peer: SocketAddr,
        error: &connection::Error,
        responder: &Responder<'_>,
    ) -> Relayed {
        if responder.has_started() {
            self.log_relay(peer, &error.to_string());
            return Relayed::Answered(broken());
        }
        self.lost_at(peer, error)
    }

    fn not_relayed(&self, peer: SocketAddr, error: &str) -> Relayed {
        self.log_relay(peer, error);
        Relayed::NotRun
    }

    fn lost_at(&self, peer: SocketAddr, error: &connection::Error) -> Relayed {
        self.log_relay(peer, &error.to_string());
        Relayed::Lost
    }

    /// Records that the peer refused the request. Only 502 and 504 leave open whether it ran.
    fn refused_by(
        &mut self,
        peer: SocketAddr,
        status: StatusCode,
        headers: &HeaderMap,
        reason: &str,
    ) -> Relayed {
        self.log_relay(peer, reason);
        if matches!(
            status,
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT
        ) {
            return Relayed::Lost;
        }
        self.runs -= 1;
        let retry_after = headers.get(header::RETRY_AFTER);
        let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
        let retry_after = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
        self.relay_refused_for = retry_after.or(self.relay_refused_for);
        Relayed::NotRun
    }

    fn log_relay(&self, peer: SocketAddr, reason: &str) {
        info!(self.shared.log, "request: not answered by a peer";
            "id" => self.admitted.request.id.as_deref(), "peer" => %peer, "reason" => reason);
    }
}

fn start(head: &ResponseHead, responder: &mut Responder<'_>) -> io::Result<()> {
    if responder.has_started() {
        return Ok(());
    }
    responder.start(head.status, headers::to_caller(&head.headers))
}
