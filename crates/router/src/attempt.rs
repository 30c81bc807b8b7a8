//! Sends one attempt to an upstream and checks that the answer belongs to it.

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

use crate::dispatch::Dispatch;
use crate::dispatch::InFlight;
use crate::problem;
use crate::shared::Shared;
use crate::socket;

/// Header with the identity of an attempt, both ways.
pub(crate) const ATTEMPT: &str = "x-attempt-id";
/// Header with the priority for the engine.
pub(crate) const PRIORITY: &str = "x-priority";
/// Header with the milliseconds that remain.
pub(crate) const DEADLINE: &str = "x-deadline-ms";
/// Header with the prompt tokens that the engine found cached.
pub(crate) const CACHED: &str = "x-cached-tokens";
/// Header with the chat as the router names it.
pub(crate) const CHAT: &str = "x-chat-id";

/// Statuses with which an upstream may say that it did not run a request.
const REFUSALS: &[StatusCode] = &[
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];
/// Longest body of a refusal that is looked at.
const REFUSAL_BYTES: usize = 64 << 10;
/// Idle connections to upstreams are closed after this time. It is shorter than the 5 s that
/// common servers keep them, so that requests seldom meet a connection that is being closed.
const IDLE_MS: u64 = 3_000;

/// Clients of one serving thread.
#[derive(Clone)]
pub(crate) struct Clients {
    /// Keeps connections.
    pub(crate) pooled: Client,
    /// Opens a connection for each request. A kept connection may have been closed by the
    /// upstream in the same moment, and then nobody can tell whether the request has run.
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

/// A client that keeps connections, neither follows redirects nor has a time limit of its own.
///
/// A followed redirect would send a request a second time.
pub(crate) fn client(transport: &Transport) -> Client {
    client_with(transport, Duration::from_millis(IDLE_MS))
}

fn client_with(transport: &Transport, idle: Duration) -> Client {
    let connector = socket::connector(transport.tls.clone())
        .timeout(transport.timeout)
        .conn_keep_alive(idle)
        .limit(0);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

/// Adds what every attempt carries.
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

/// What a failure to get an answer says about the request.
pub(crate) fn failure(error: &SendRequestError) -> Outcome {
    match error {
        // The connection was never open. `ConnectError::Disconnected` is not among them: awc
        // reports so when an open connection ends before the answer.
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

/// An answer that belongs to its attempt.
pub(crate) struct Reply {
    pub(crate) response: ClientResponse,
    /// The body, where it had to be read.
    pub(crate) read: Option<Bytes>,
}

/// Checks that an answer carries the id of its attempt and whether it is a refusal.
///
/// Only a refusal that says so itself has not run.
pub(crate) async fn verify(
    shared: &Arc<Shared>,
    dispatch: &Dispatch,
    response: ClientResponse,
) -> Result<Reply, Outcome> {
    let found = header_text(response.headers(), ATTEMPT);
    if found != Some(dispatch.attempt.to_string().as_str()) {
        mismatch(shared, dispatch, found.unwrap_or(""));
        return Err(Outcome::Broken);
    }
    let is_problem = header_text(response.headers(), "content-type") == Some(problem::MEDIA_TYPE);
    if !is_problem || !REFUSALS.contains(&response.status()) {
        let read = None;
        return Ok(Reply { response, read });
    }
    let retry_after = header_text(response.headers(), header::RETRY_AFTER.as_str())
        .and_then(|value| value.parse().ok())
        .map(Duration::from_secs);
    let mut response = response;
    let body = response.body().limit(REFUSAL_BYTES).await;
    let body = body.map_err(|_cut| Outcome::Broken)?;
    match serde_json::from_slice(&body) {
        Ok(Refusal { ran: Ran::NotRun }) => Err(Outcome::Declined { retry_after }),
        _ => Ok(Reply {
            response,
            read: Some(body),
        }),
    }
}

#[derive(Debug, Deserialize)]
struct Refusal {
    ran: Ran,
}

/// Counts an answer or event with the id of another attempt: late if that attempt is one of
/// ours that has ended, else crossed.
pub(crate) fn mismatch(shared: &Arc<Shared>, dispatch: &Dispatch, found: &str) {
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

/// Tokens that the engine says it found cached.
pub(crate) fn cached(response: &ClientResponse) -> Option<u64> {
    header_text(response.headers(), CACHED)?.parse().ok()
}

impl Reply {
    /// Reads the whole body; a cut one gives `None`, see [`socket`].
    pub(crate) async fn whole(&mut self, limit: usize) -> Option<Bytes> {
        match self.read.take() {
            Some(read) => Some(read),
            None => self.response.body().limit(limit).await.ok(),
        }
    }
}
