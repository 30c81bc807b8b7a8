//! Attempts at upstreams: HTTP clients, headers and the check that a response belongs to its
//! attempt.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use actix_web::http::StatusCode;
use actix_web::http::header;
use actix_web::http::header::HeaderMap;
use awc::Client;
use awc::ClientRequest;
use awc::ClientResponse;
use awc::error::ConnectError;
use awc::error::SendRequestError;
use bytes::Bytes;
use serde::Deserialize;
use slog::debug;
use snipeusher::machine::Outcome;
use snipeusher::request::Attempt;
use snipeusher::request::Ran;
use snipeusher_http::head;

use crate::dispatch::Dispatch;
use crate::dispatch::InFlight;
use crate::problem;
use crate::shared::Shared;

/// Header with the attempt id, set on requests and returned with responses.
pub(crate) const ATTEMPT: &str = "x-attempt-id";
/// Header with the scheduling priority at the engine.
pub(crate) const PRIORITY: &str = "x-priority";
/// Header with the milliseconds that remain until the deadline.
pub(crate) const DEADLINE: &str = "x-deadline-ms";
/// Header with the number of prompt tokens that the engine found in its cache.
pub(crate) const CACHED_TOKENS: &str = "x-cached-tokens";
/// Header with the router's id of the chat.
pub(crate) const CHAT: &str = "x-chat-id";

/// Status codes with which an upstream may report that it did not run a request.
const REFUSALS: &[StatusCode] = &[
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];
/// Largest body of a refusal that is parsed.
const REFUSAL_BYTES_MAX: usize = 64 << 10;
/// Idle connections to upstreams are closed after this time. It is shorter than the 5 s of common
/// servers, so that a request is seldom sent on a connection that the upstream is closing.
const IDLE_MS: u64 = 3_000;

/// HTTP clients of one serving thread.
#[derive(Clone)]
pub(crate) struct Clients {
    /// Reuses connections.
    pub(crate) pooled: Client,
    /// Opens a connection for each request. The upstream may close a reused connection while a
    /// request is being sent, and then it is unknown whether the request has run.
    pub(crate) fresh: Client,
}

impl Clients {
    pub(crate) fn new(transport: &Transport) -> Self {
        Self {
            pooled: client(transport),
            fresh: client_with(transport, Duration::ZERO),
        }
    }

    pub(crate) const fn select(&self, idempotent: bool) -> &Client {
        if idempotent {
            &self.pooled
        } else {
            &self.fresh
        }
    }
}

/// How connections to upstreams are opened.
#[derive(Clone, Debug)]
pub(crate) struct Transport {
    pub(crate) timeout: Duration,
    pub(crate) tls: Option<Arc<rustls::ClientConfig>>,
}

/// Creates a client that reuses connections, without a timeout or redirects: following a redirect
/// would send a request a second time.
pub(crate) fn client(transport: &Transport) -> Client {
    client_with(transport, Duration::from_millis(IDLE_MS))
}

fn client_with(transport: &Transport, idle_timeout: Duration) -> Client {
    let connector = snipeusher_http::connector(transport.tls.clone())
        .timeout(transport.timeout)
        .conn_keep_alive(idle_timeout)
        .limit(0);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

/// Adds the headers of every attempt.
pub(crate) fn headers(
    request: ClientRequest,
    dispatch: &Dispatch,
    deadline: Instant,
) -> ClientRequest {
    let remaining = deadline.saturating_duration_since(Instant::now());
    request
        .no_decompress()
        .insert_header((ATTEMPT, dispatch.attempt.to_string()))
        .insert_header((PRIORITY, u64::from(dispatch.priority)))
        .insert_header((DEADLINE, remaining.as_millis() as u64))
}

/// Classifies a failure to get a response by whether the request may have run.
pub(crate) fn failure(error: &SendRequestError) -> Outcome {
    match error {
        // The connection was never established. `ConnectError::Disconnected` is not listed: awc
        // reports it when an open connection ends before the response.
        SendRequestError::Url(_)
        | SendRequestError::Connect(
            ConnectError::Io(_)
            | ConnectError::Timeout
            | ConnectError::Resolver(_)
            | ConnectError::NoRecords
            | ConnectError::Unresolved,
        ) => Outcome::Unreachable,
        _ => Outcome::Broken,
    }
}

/// A response that belongs to its attempt.
pub(crate) struct Reply {
    pub(crate) response: ClientResponse,
    /// The body, if the check for a refusal has read it.
    pub(crate) body: Option<Bytes>,
}

/// Checks that a response carries the id of its attempt, and whether it is a refusal.
///
/// A request counts as not run only if the refusal states it.
pub(crate) async fn verify(
    shared: &Arc<Shared>,
    dispatch: &Dispatch,
    response: ClientResponse,
) -> Result<Reply, Outcome> {
    let found = header_text(response.headers(), ATTEMPT);
    if found != Some(dispatch.attempt.to_string().as_str()) {
        count_mismatch(shared, dispatch, found.unwrap_or(""));
        return Err(Outcome::Broken);
    }
    let is_problem = header_text(response.headers(), "content-type") == Some(problem::MEDIA_TYPE);
    if !is_problem || !REFUSALS.contains(&response.status()) {
        let body = None;
        return Ok(Reply { response, body });
    }
    let retry_after = header_text(response.headers(), header::RETRY_AFTER.as_str())
        .and_then(|value| value.parse().ok())
        .map(Duration::from_secs);
    let mut response = response;
    let body = response.body().limit(REFUSAL_BYTES_MAX).await;
    let body = body.map_err(|_truncated| Outcome::Broken)?;
    match serde_json::from_slice(&body) {
        Ok(Refusal { ran: Ran::NotRun }) => Err(Outcome::Declined { retry_after }),
        _ => Ok(Reply {
            response,
            body: Some(body),
        }),
    }
}

#[derive(Debug, Deserialize)]
struct Refusal {
    ran: Ran,
}

/// Counts a response or event with the id of another attempt: as late if this router issued that
/// attempt and it has ended, else as crossed.
pub(crate) fn count_mismatch(shared: &Arc<Shared>, dispatch: &Dispatch, found: &str) {
    debug!(shared.log, "attempt: answer of another attempt dropped";
        "attempt" => %dispatch.attempt, "found" => found, "upstream" => dispatch.upstream.as_str());
    let Ok(number) = u64::from_str_radix(found, 16) else {
        shared.counts.crossed.add();
        return;
    };
    let issued = shared.first_attempt <= number && number < dispatch.attempt.0;
    if !issued {
        shared.counts.crossed.add();
        return;
    }
    let shared = Arc::clone(shared);
    actix_rt::spawn(async move {
        let in_flight = shared.dispatcher.send(InFlight(Attempt(number))).await;
        if in_flight.unwrap_or(false) {
            shared.counts.crossed.add();
        } else {
            shared.counts.late.add();
        }
    });
}

pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The number of prompt tokens that the engine reports as cached.
pub(crate) fn cached_tokens(response: &ClientResponse) -> Option<u64> {
    header_text(response.headers(), CACHED_TOKENS)?.parse().ok()
}

impl Reply {
    /// Reads the body; returns `None` if it is truncated, see [`snipeusher_http`].
    pub(crate) async fn read_body(&mut self, limit: usize) -> Option<Bytes> {
        match self.body.take() {
            Some(body) => Some(body),
            // The client reads a body wherever a length or chunks are stated.
            None if !head::has_body(self.response.status().as_u16()) => Some(Bytes::new()),
            None => self.response.body().limit(limit).await.ok(),
        }
    }
}
