//! Plain services: requests of any method under the path of a service, with bodies streamed in
//! both directions.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http::header::HeaderMap;
use actix_web::http::header::HeaderName;
use actix_web::web;
use awc::ClientResponse;
use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt as _;
use futures_util::stream;
use snipeusher::machine::Outcome;
use snipeusher::name;
use snipeusher::policy::Policy;
use snipeusher::policy::Service;
use snipeusher::request::Request;
use snipeusher::request::Target;
use snipeusher_http::head;

use crate::attempt;
use crate::attempt::Clients;
use crate::attempt::Reply;
use crate::attempt::header_text;
use crate::call;
use crate::chat;
use crate::claims;
use crate::claims::Guard;
use crate::dispatch::Dispatch;
use crate::problem::Kind;
use crate::problem::Problem;
use crate::relay;
use crate::relay::Sender;
use crate::session::Session;
use crate::session::Stop;
use crate::shared::OpenRequest;
use crate::shared::Shared;

/// Bodies up to this size are buffered before they are forwarded, so that a retry can send them
/// again.
const BUFFERED_BYTES_MAX: u64 = 64 << 10;

/// Header with the caller's timeout in milliseconds.
pub(crate) const DEADLINE_MS: &str = "x-request-deadline-ms";

/// Headers that are not forwarded: hop-by-hop headers and those that the router sets itself.
const NOT_FORWARDED: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "expect",
    "authorization",
    attempt::ATTEMPT,
    attempt::PRIORITY,
    attempt::DEADLINE,
];

/// Serves all paths that no other handler serves.
pub(crate) async fn serve(
    request: HttpRequest,
    mut payload: web::Payload,
    shared: web::Data<Shared>,
    clients: web::ThinData<Clients>,
) -> Result<HttpResponse, Problem> {
    let shared = shared.into_inner();
    let open = OpenRequest::try_new(&shared).ok_or_else(chat::shutting_down)?;
    let caller = call::authenticate(&shared, &request)?;
    let (service, settings) = find(&caller.policy, request.path())?;
    let (class_name, class) = caller.class(&request, &settings.class)?;
    let deadline = caller.deadline(&request, class)?;
    let limit = caller.policy.limits.body_bytes;
    let length =
        header_text(request.headers(), "content-length").and_then(|text| text.parse().ok());
    let chunked = request.headers().contains_key("transfer-encoding");
    let method = request.method().as_str();
    let is_idempotent_method = settings
        .idempotent_methods
        .iter()
        .any(|known| known == method);
    let is_idempotent = class.idempotent && is_idempotent_method;
    let key = if is_idempotent || settings.upstream_checks_key {
        None
    } else {
        claims::key(&request)?
    };
    let is_buffered = key.is_some() || !chunked && length.unwrap_or(0) <= BUFFERED_BYTES_MAX;
    if length.is_some_and(|length: u64| length > limit) {
        let detail = format!("the body is longer than {limit} bytes");
        return Err(Problem::not_run(Kind::BodyTooLarge, detail));
    }
    let body = if is_buffered {
        Body::Buffered(call::read_body(&request, &mut payload, limit, deadline).await?)
    } else {
        Body::Streamed(Upload::new(payload, limit), length)
    };
    let submitted = Request {
        id: shared.next_id(),
        workspace: caller.policy.workspace.clone(),
        class: class_name,
        target: Target::Plain(service.clone()),
        chat: None,
        prompt_tokens: 0,
        output_tokens: 1,
        bytes: length.unwrap_or(BUFFERED_BYTES_MAX),
        deadline: shared.time(deadline),
        idempotent: is_idempotent && is_buffered,
    };
    let idempotent = submitted.idempotent;
    let claimed = key.zip(body.buffered());
    let call = Call {
        request: request.clone(),
        body,
        deadline,
        idempotent,
    };
    let work = async {
        let session = Session::submit(&shared, open, submitted, caller.arrived, deadline);
        forward(session, call, clients.0.clone()).await
    };
    let Some((key, body)) = claimed else {
        return work.await;
    };
    let guard = Guard {
        shared: &shared,
        clients: &clients.0,
        policy: &caller.policy,
        request: &request,
        key,
        body,
        deadline,
    };
    guard.run(work).await
}

/// Finds the service with the longest path prefix that matches.
fn find<'a>(policy: &'a Policy, path: &str) -> Result<(&'a name::Service, &'a Service), Problem> {
    let matches = |prefix: &str| {
        let rest = path.strip_prefix(prefix.trim_end_matches('/'));
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    policy
        .services
        .iter()
        .filter(|(_, service)| matches(&service.path))
        .max_by_key(|(_, service)| service.path.len())
        .ok_or_else(|| Problem::not_run(Kind::UnknownPath, format!("path {path:?}")))
}

struct Call {
    request: HttpRequest,
    body: Body,
    deadline: Instant,
    idempotent: bool,
}

enum Body {
    Buffered(Bytes),
    /// A body and its length, if known.
    Streamed(Upload, Option<u64>),
}

impl Body {
    fn buffered(&self) -> Option<Bytes> {
        match self {
            Self::Buffered(bytes) => Some(bytes.clone()),
            Self::Streamed(..) => None,
        }
    }
}

/// A caller's body that is forwarded as it arrives, and so can be sent only once.
#[derive(Clone)]
struct Upload {
    payload: Rc<RefCell<web::Payload>>,
    /// Bytes that the workspace may still send.
    remaining: Rc<Cell<u64>>,
    started: Rc<Cell<bool>>,
    /// Why reading the body from the caller failed.
    problem: Rc<Cell<Option<Problem>>>,
}

impl Upload {
    fn new(payload: web::Payload, limit: u64) -> Self {
        Self {
            payload: Rc::new(RefCell::new(payload)),
            remaining: Rc::new(Cell::new(limit)),
            started: Rc::default(),
            problem: Rc::default(),
        }
    }
}

impl Stream for Upload {
    type Item = io::Result<Bytes>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.started.set(true);
        let polled = self.payload.borrow_mut().poll_next_unpin(cx);
        polled.map(|chunk| match chunk? {
            Ok(chunk) => {
                let Some(remaining) = self.remaining.get().checked_sub(chunk.len() as u64) else {
                    let detail = "the body is longer than the workspace may send";
                    let problem = Problem::unknown(Kind::BodyTooLarge, detail);
                    self.problem.set(Some(problem));
                    return Some(Err(io::Error::other("the body is too large")));
                };
                self.remaining.set(remaining);
                Some(Ok(chunk))
            }
            Err(error) => {
                let detail = format!("the body broke off: {error}");
                let problem = Problem::unknown(Kind::MalformedBody, detail);
                self.problem.set(Some(problem));
                Some(Err(io::Error::other("the body broke off")))
            }
        })
    }
}

impl Call {
    async fn send(
        &self,
        shared: &Arc<Shared>,
        dispatch: &Dispatch,
        clients: &Clients,
    ) -> Result<Reply, Outcome> {
        let path = self
            .request
            .uri()
            .path_and_query()
            .map_or("/", |path| path.as_str());
        let url = format!("http://{}{path}", dispatch.address);
        let method = self.request.method().clone();
        let mut request = clients.select(self.idempotent).request(method, url);
        for (name, value) in end_to_end(self.request.headers()) {
            request = request.append_header((name.clone(), value.clone()));
        }
        let request = attempt::headers(request, dispatch, self.deadline);
        let response = match &self.body {
            Body::Buffered(bytes) if bytes.is_empty() => request.send().await,
            Body::Buffered(bytes) => request.send_body(bytes.clone()).await,
            Body::Streamed(upload, Some(length)) => {
                let sized = actix_web::body::SizedStream::new(*length, upload.clone());
                request.send_body(sized).await
            }
            Body::Streamed(upload, None) => request.send_stream(upload.clone()).await,
        };
        let response = response.map_err(|error| attempt::failure(&error))?;
        attempt::verify(shared, dispatch, response).await
    }

    /// Whether the complete body can be sent: it is buffered, or no part of it was forwarded yet.
    fn can_send(&self) -> bool {
        match &self.body {
            Body::Buffered(_) => true,
            Body::Streamed(upload, _) => !upload.started.get(),
        }
    }

    /// Takes the problem with which reading a streamed body from the caller failed.
    fn take_problem(&self) -> Option<Problem> {
        match &self.body {
            Body::Buffered(_) => None,
            Body::Streamed(upload, _) => upload.problem.take(),
        }
    }
}

/// The headers that are forwarded to upstreams and callers, without those that `Connection` lists.
pub(crate) fn end_to_end(
    headers: &HeaderMap,
) -> impl Iterator<Item = (&HeaderName, &actix_web::http::header::HeaderValue)> {
    let hop_by_hop: Vec<_> = headers
        .get_all("connection")
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers.iter().filter(move |(name, _)| {
        let name = name.as_str();
        !NOT_FORWARDED.contains(&name) && !hop_by_hop.iter().any(|listed| listed == name)
    })
}

async fn forward(
    mut session: Session,
    call: Call,
    clients: Clients,
) -> Result<HttpResponse, Problem> {
    loop {
        let dispatch = session.next().await?;
        let shared = Arc::clone(session.shared());
        if !call.can_send() {
            let problem = session.problem(Kind::AttemptsFailed, "the body cannot be sent again");
            return Err(session.abort(problem));
        }
        let work = call.send(&shared, &dispatch, &clients);
        match session.race(work).await {
            Ok(Ok(reply)) => return Ok(respond(session, &dispatch, reply)),
            Ok(Err(outcome)) => match call.take_problem() {
                Some(problem) => return Err(session.abort(problem)),
                None => session.finish(outcome),
            },
            Err(Stop::Cancelled) => {}
            Err(Stop::Refused(problem)) => return Err(problem),
        }
    }
}

/// Forwards the head of a response at once and its body as it arrives.
fn respond(mut session: Session, dispatch: &Dispatch, reply: Reply) -> HttpResponse {
    let Reply {
        response,
        body: read,
    } = reply;
    let mut head = chat::response_head(response.status(), dispatch, None);
    for (name, value) in end_to_end(response.headers()) {
        head.append_header((name.clone(), value.clone()));
    }
    if !head::has_body(response.status().as_u16()) {
        session.finish(Outcome::Complete);
        return head.finish();
    }
    if let Some(length) = header_text(response.headers(), "content-length")
        && let Ok(length) = length.parse()
    {
        head.no_chunking(length);
    }
    let (sender, body) = relay::channel(session.open_request());
    actix_rt::spawn(relay_body(session, response, read, sender));
    head.streaming(body)
}

async fn relay_body(
    mut session: Session,
    response: ClientResponse,
    read: Option<Bytes>,
    sender: Sender,
) {
    let read = stream::iter(read.map(Ok));
    let mut chunks = read.chain(response);
    loop {
        let stall_timeout = session.shared().settings.stall_timeout;
        let work = async {
            tokio::select! {
                biased;
                chunk = tokio::time::timeout(stall_timeout, chunks.next()) => Some(chunk),
                () = sender.closed() => None,
            }
        };
        let chunk = match session.race(work).await {
            Ok(Some(Ok(Some(Ok(chunk))))) => chunk,
            Ok(Some(Ok(None))) => {
                session.finish(Outcome::Complete);
                sender.finish();
                return;
            }
            Ok(Some(Ok(Some(Err(_))) | Err(_))) => {
                session.shared().counts.cut.add();
                session.finish(Outcome::Broken);
                return;
            }
            Ok(None) | Err(_) => return,
        };
        session.record_progress();
        match session.race(sender.send(chunk)).await {
            Ok(true) => {}
            Ok(false) | Err(_) => return,
        }
    }
}
