//! Plain services: any method under the service's path, bodies streamed both ways.

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

/// Bodies up to this size are read before they are sent on, so that they can be sent again.
const BUFFERED_BYTES: u64 = 64 << 10;

/// Header with the milliseconds that a caller allows.
pub(crate) const DEADLINE_MS: &str = "x-request-deadline-ms";

/// Headers that hold for one connection or that the router sets itself.
const OWN_HEADERS: &[&str] = &[
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

/// Serves all paths that are not the router's own.
pub(crate) async fn serve(
    request: HttpRequest,
    mut payload: web::Payload,
    shared: web::Data<Shared>,
    clients: web::ThinData<Clients>,
) -> Result<HttpResponse, Problem> {
    let shared = shared.into_inner();
    let open = OpenRequest::try_new(&shared).ok_or_else(chat::shutting_down)?;
    let caller = call::caller(&shared, &request)?;
    let (service, settings) = find(&caller.policy, request.path())?;
    let (class_name, class) = caller.class(&request, &settings.class)?;
    let deadline = caller.deadline(&request, class)?;
    let limit = caller.policy.limits.body_bytes;
    let length =
        header_text(request.headers(), "content-length").and_then(|text| text.parse().ok());
    let chunked = request.headers().contains_key("transfer-encoding");
    let method = request.method().as_str();
    let repeatable = settings
        .idempotent_methods
        .iter()
        .any(|known| known == method);
    let may_repeat = class.idempotent && repeatable;
    let key = if may_repeat || settings.upstream_checks_key {
        None
    } else {
        claims::key(&request)?
    };
    let is_small = key.is_some() || !chunked && length.unwrap_or(0) <= BUFFERED_BYTES;
    if length.is_some_and(|length: u64| length > limit) {
        let detail = format!("the body is longer than {limit} bytes");
        return Err(Problem::not_run(Kind::BodyTooLarge, detail));
    }
    let body = if is_small {
        Body::Whole(call::body(&request, &mut payload, limit, deadline).await?)
    } else {
        Body::Parts(Parts::new(payload, limit), length)
    };
    let record = Request {
        id: shared.next_id(),
        workspace: caller.policy.workspace.clone(),
        class: class_name,
        target: Target::Plain(service.clone()),
        chat: None,
        prompt_tokens: 0,
        output_tokens: 1,
        bytes: length.unwrap_or(BUFFERED_BYTES),
        deadline: shared.time(deadline),
        idempotent: may_repeat && is_small,
    };
    let idempotent = record.idempotent;
    let guarded = key.zip(body.whole());
    let call = Call {
        request: request.clone(),
        body,
        deadline,
        idempotent,
    };
    let work = async {
        let session = Session::submit(&shared, open, record, caller.arrived, deadline);
        forward(session, call, clients.0.clone()).await
    };
    let Some((key, body)) = guarded else {
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

/// Finds the service with the longest path that the request's path starts with.
fn find<'a>(policy: &'a Policy, path: &str) -> Result<(&'a name::Service, &'a Service), Problem> {
    let within = |prefix: &str| {
        let rest = path.strip_prefix(prefix.trim_end_matches('/'));
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    policy
        .services
        .iter()
        .filter(|(_, service)| within(&service.path))
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
    Whole(Bytes),
    Parts(Parts, Option<u64>),
}

impl Body {
    fn whole(&self) -> Option<Bytes> {
        match self {
            Self::Whole(bytes) => Some(bytes.clone()),
            Self::Parts(..) => None,
        }
    }
}

/// A caller's body that is sent on as it arrives; it can be sent once.
#[derive(Clone)]
struct Parts {
    payload: Rc<RefCell<web::Payload>>,
    left: Rc<Cell<u64>>,
    touched: Rc<Cell<bool>>,
    fault: Rc<Cell<Option<Problem>>>,
}

impl Parts {
    fn new(payload: web::Payload, limit: u64) -> Self {
        Self {
            payload: Rc::new(RefCell::new(payload)),
            left: Rc::new(Cell::new(limit)),
            touched: Rc::default(),
            fault: Rc::default(),
        }
    }
}

impl Stream for Parts {
    type Item = io::Result<Bytes>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.touched.set(true);
        let polled = self.payload.borrow_mut().poll_next_unpin(cx);
        polled.map(|part| match part? {
            Ok(part) => {
                let Some(left) = self.left.get().checked_sub(part.len() as u64) else {
                    let detail = "the body is longer than the workspace may send";
                    let problem = Problem::unknown(Kind::BodyTooLarge, detail);
                    self.fault.set(Some(problem));
                    return Some(Err(io::Error::other("the body is too large")));
                };
                self.left.set(left);
                Some(Ok(part))
            }
            Err(error) => {
                let detail = format!("the body broke off: {error}");
                let problem = Problem::unknown(Kind::MalformedBody, detail);
                self.fault.set(Some(problem));
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
            Body::Whole(bytes) if bytes.is_empty() => request.send().await,
            Body::Whole(bytes) => request.send_body(bytes.clone()).await,
            Body::Parts(parts, Some(length)) => {
                let sized = actix_web::body::SizedStream::new(*length, parts.clone());
                request.send_body(sized).await
            }
            Body::Parts(parts, None) => request.send_stream(parts.clone()).await,
        };
        let response = response.map_err(|error| attempt::failure(&error))?;
        attempt::verify(shared, dispatch, response).await
    }

    /// Whether the body is still there to be sent.
    fn can_send(&self) -> bool {
        match &self.body {
            Body::Whole(_) => true,
            Body::Parts(parts, _) => !parts.touched.get(),
        }
    }

    /// What is wrong with the body of the caller, part of which has been sent on.
    fn fault(&self) -> Option<Problem> {
        match &self.body {
            Body::Whole(_) => None,
            Body::Parts(parts, _) => parts.fault.take(),
        }
    }
}

/// Headers that go on to the other side.
pub(crate) fn end_to_end(
    headers: &HeaderMap,
) -> impl Iterator<Item = (&HeaderName, &actix_web::http::header::HeaderValue)> {
    let listed: Vec<_> = headers
        .get_all("connection")
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers.iter().filter(move |(name, _)| {
        let name = name.as_str();
        !OWN_HEADERS.contains(&name) && !listed.iter().any(|listed| listed == name)
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
            return Err(session.give_up(problem));
        }
        let work = call.send(&shared, &dispatch, &clients);
        match session.race(work).await {
            Ok(Ok(reply)) => return Ok(answer(session, &dispatch, reply)),
            Ok(Err(outcome)) => match call.fault() {
                Some(problem) => return Err(session.give_up(problem)),
                None => session.finish(outcome),
            },
            Err(Stop::Cancelled) => {}
            Err(Stop::Refused(problem)) => return Err(problem),
        }
    }
}

/// Sends the head on and the body as it arrives.
fn answer(session: Session, dispatch: &Dispatch, reply: Reply) -> HttpResponse {
    let Reply { response, read } = reply;
    let mut head = chat::head(response.status(), dispatch, None);
    for (name, value) in end_to_end(response.headers()) {
        head.append_header((name.clone(), value.clone()));
    }
    if let Some(length) = header_text(response.headers(), "content-length")
        && let Ok(length) = length.parse()
    {
        head.no_chunking(length);
    }
    let (sender, body) = relay::channel(session.open());
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
    let mut parts = read.chain(response);
    loop {
        let stall = session.shared().settings.stall_timeout;
        let work = async {
            tokio::select! {
                biased;
                part = tokio::time::timeout(stall, parts.next()) => Some(part),
                () = sender.closed() => None,
            }
        };
        let part = match session.race(work).await {
            Ok(Some(Ok(Some(Ok(part))))) => part,
            Ok(Some(Ok(None))) => {
                session.finish(Outcome::Complete);
                sender.end();
                return;
            }
            Ok(Some(Ok(Some(Err(_))) | Err(_))) => {
                session.shared().counts.cut.add();
                session.finish(Outcome::Broken);
                return;
            }
            Ok(None) | Err(_) => return,
        };
        session.progress();
        match session.race(sender.send(part)).await {
            Ok(true) => {}
            Ok(false) | Err(_) => return,
        }
    }
}
