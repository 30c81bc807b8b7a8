//! Streamed responses, which are resumed at the same engine or continued at another one if the
//! stream breaks.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use actix_web::HttpResponse;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;
use snipeusher::machine::Outcome;
use tokio::time::timeout;

use crate::attempt;
use crate::attempt::Clients;
use crate::call::Call;
use crate::chat;
use crate::dispatch::Dispatch;
use crate::events::DONE;
use crate::events::Events;
use crate::events::Interrupted;
use crate::problem::Kind;
use crate::problem::Problem;
use crate::relay;
use crate::relay::Sender;
use crate::session::Session;
use crate::session::Stop;
use crate::shared::Shared;

/// Number of events between two reports of output to the machine.
const OUTPUT_EVENTS: u64 = 32;
/// How often an engine that is blocked by a slow caller is reported as active.
const ACTIVITY_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes that an event has in addition to its data.
const EVENT_OVERHEAD_BYTES: usize = 8;
/// Events that are available at once are sent in one chunk of up to this size, which saves wake-ups
/// and writes.
const CHUNK_BYTES: usize = 8 << 10;
/// Consecutive resumes without a new event after which the attempt fails.
const RESUMES_MAX: u32 = 2;

/// The start of a response.
enum Opened {
    /// The events, the first one of them and the number of cached tokens.
    Stream(Box<Events>, String, Option<u64>),
    /// A response without events, such as an error caused by the caller.
    Other(HttpResponse),
}

/// Opens a streamed response. Nothing is sent to the caller before the first event arrives, so
/// that a request whose stream fails to start can be retried.
pub(crate) async fn open(
    mut session: Session,
    call: Call,
    clients: Clients,
) -> Result<HttpResponse, Problem> {
    loop {
        let dispatch = session.next().await?;
        let shared = Arc::clone(session.shared());
        let work = start(&shared, &call, call.body.clone(), &dispatch, &clients);
        match session.race(work).await {
            Ok(Ok(Opened::Stream(events, first, cached))) => {
                session.report_output(1, cached);
                let head = chat::response_head(actix_web::http::StatusCode::OK, &dispatch, cached);
                let (sender, body) = relay::channel(session.open_request());
                let relay = Relay {
                    session,
                    call,
                    clients,
                    sender,
                    dispatch,
                    events: *events,
                    output: Output::default(),
                };
                actix_rt::spawn(relay.run(first));
                return Ok(event_stream(head, body));
            }
            Ok(Ok(Opened::Other(response))) => {
                session.finish(Outcome::Complete);
                return Ok(response);
            }
            Ok(Err(outcome)) => session.finish(outcome),
            Err(Stop::Cancelled) => {}
            Err(Stop::Refused(problem)) => return Err(problem),
        }
    }
}

fn event_stream(mut head: actix_web::HttpResponseBuilder, body: relay::Body) -> HttpResponse {
    head.content_type("text/event-stream")
        .insert_header(("Cache-Control", "no-cache"))
        .streaming(body)
}

async fn start(
    shared: &Arc<Shared>,
    call: &Call,
    body: Bytes,
    dispatch: &Dispatch,
    clients: &Clients,
) -> Result<Opened, Outcome> {
    let reply = chat::send(shared, call, body, dispatch, clients).await;
    let mut reply = match reply {
        Ok(reply) => reply,
        Err(Outcome::Broken) => {
            // The engine may have run the request and may still hold its output.
            let mut events = resume(shared, dispatch, 0, clients).await?;
            let first = events.next().await.map_err(|Interrupted| Outcome::Broken)?;
            return Ok(Opened::Stream(Box::new(events), first, None));
        }
        Err(outcome) => return Err(outcome),
    };
    let cached = attempt::cached_tokens(&reply.response);
    let content_type = attempt::header_text(reply.response.headers(), "content-type").unwrap_or("");
    if !content_type.starts_with("text/event-stream") {
        let mut head = chat::response_head(reply.response.status(), dispatch, cached);
        head.content_type(content_type);
        let body = reply.read_body(chat::ANSWER_BYTES_MAX).await;
        return Ok(Opened::Other(head.body(body.ok_or(Outcome::Broken)?)));
    }
    let mut events = Events::new(shared, dispatch, reply.response, 0);
    let mut first = events.next().await;
    if first.is_err() {
        shared.counts.cut.add();
        events = resume(shared, dispatch, events.last_position(), clients).await?;
        first = events.next().await;
    }
    let first = first.map_err(|Interrupted| Outcome::Broken)?;
    Ok(Opened::Stream(Box::new(events), first, cached))
}

/// Requests the rest of a broken stream, after the event `last`, from the same engine.
async fn resume(
    shared: &Arc<Shared>,
    dispatch: &Dispatch,
    last: u64,
    clients: &Clients,
) -> Result<Events, Outcome> {
    let (address, attempt) = (dispatch.address, dispatch.attempt);
    let url = format!("http://{address}/engine/v1/resume/{attempt}?after={last}");
    let response = clients.pooled.get(url).no_decompress().send().await;
    let response = response.map_err(|_unreachable| Outcome::Broken)?;
    let reply = attempt::verify(shared, dispatch, response)
        .await
        .map_err(|_refused| Outcome::Broken)?;
    if !reply.response.status().is_success() {
        return Err(Outcome::Broken);
    }
    shared.counts.resumed.add();
    Ok(Events::new(shared, dispatch, reply.response, last))
}

/// The output that was sent to the caller.
#[derive(Debug, Default)]
struct Output {
    text: String,
    tokens: u64,
    /// The output cannot be continued by another engine: it has more than the plain text of one
    /// choice, or the engine has sent a finish reason.
    is_final: bool,
}

impl Output {
    /// Adds an event, so that another engine can continue the output from here.
    fn record(&mut self, data: &str) {
        self.tokens += 1;
        match serde_json::from_str::<Chunk<'_>>(data) {
            Ok(chunk) => match chunk.choices.as_slice() {
                [] => {}
                [choice] if choice.is_text() => self.text.push_str(choice.text()),
                _ => self.is_final = true,
            },
            Err(_) => self.is_final = true,
        }
    }
}

#[derive(Debug, Deserialize)]
struct Chunk<'a> {
    #[serde(borrow, default)]
    choices: Vec<Choice<'a>>,
}

#[derive(Debug, Deserialize)]
struct Choice<'a> {
    #[serde(default)]
    index: u64,
    #[serde(borrow)]
    delta: Option<Delta<'a>>,
    #[serde(borrow)]
    text: Option<Cow<'a, str>>,
    #[serde(borrow)]
    finish_reason: Option<Cow<'a, str>>,
}

#[derive(Debug, Deserialize)]
struct Delta<'a> {
    #[serde(borrow)]
    content: Option<Cow<'a, str>>,
    #[serde(borrow)]
    tool_calls: Option<&'a RawValue>,
}

impl Choice<'_> {
    fn is_text(&self) -> bool {
        let has_tool_calls = self
            .delta
            .as_ref()
            .is_some_and(|delta| delta.tool_calls.is_some());
        self.index == 0 && !has_tool_calls && self.finish_reason.is_none()
    }

    fn text(&self) -> &str {
        let delta = self
            .delta
            .as_ref()
            .and_then(|delta| delta.content.as_deref());
        delta.or(self.text.as_deref()).unwrap_or("")
    }
}

/// Why a relayed stream ends early.
enum End {
    /// The caller disconnected.
    Disconnected,
    /// The request failed; the caller receives the problem as an error event.
    Failed(Problem),
}

struct Relay {
    session: Session,
    call: Call,
    clients: Clients,
    sender: Sender,
    dispatch: Dispatch,
    events: Events,
    output: Output,
}

impl Relay {
    async fn run(mut self, first: String) {
        match self.relay(first).await {
            Ok(()) => self.sender.finish(),
            Err(End::Disconnected) => {}
            Err(End::Failed(problem)) => {
                let event = format!("event: error\ndata: {}\n\n", problem.document());
                if self.sender.try_send(event.into()) {
                    self.sender.finish();
                }
            }
        }
    }

    async fn relay(&mut self, first: String) -> Result<(), End> {
        // The first event is sent without joining others to it.
        let (chunk, mut done) = self.collect(first, 0);
        self.forward(chunk).await?;
        while !done {
            let data = self.next().await?;
            let chunk;
            (chunk, done) = self.collect(data, CHUNK_BYTES);
            self.forward(chunk).await?;
        }
        self.session.report_output(self.output.tokens, None);
        self.session.finish(Outcome::Complete);
        Ok(())
    }

    /// Joins an event with those that are already available until `limit` bytes are reached;
    /// returns whether the last one ends the stream.
    fn collect(&mut self, first: String, limit: usize) -> (Bytes, bool) {
        let mut chunk = String::with_capacity(first.len() + EVENT_OVERHEAD_BYTES);
        let mut next = Some(first);
        while let Some(data) = next {
            append_event(&mut chunk, &data);
            if data == DONE {
                return (chunk.into(), true);
            }
            self.record(&data);
            let is_full = chunk.len() >= limit;
            next = if is_full {
                None
            } else {
                self.events.try_next()
            };
        }
        (chunk.into(), false)
    }

    fn record(&mut self, data: &str) {
        self.session.record_progress();
        self.output.record(data);
        if self.output.tokens.is_multiple_of(OUTPUT_EVENTS) {
            self.session.report_output(self.output.tokens, None);
        }
    }

    async fn forward(&mut self, chunk: Bytes) -> Result<(), End> {
        let mut chunk = Some(chunk);
        loop {
            // Reserves capacity before sending, so that a cancelled wait does not lose the events.
            let permit = timeout(ACTIVITY_INTERVAL, self.sender.reserve());
            match self.session.race(permit).await {
                Ok(Ok(Some(permit))) => {
                    if let Some(chunk) = chunk.take() {
                        permit.send(chunk);
                    }
                    return Ok(());
                }
                Ok(Ok(None)) => return Err(End::Disconnected),
                // The engine is blocked by a slow caller and must not be treated as stalled.
                Ok(Err(_)) => self.session.report_output(self.output.tokens, None),
                Err(Stop::Cancelled) => {}
                Err(Stop::Refused(problem)) => return Err(End::Failed(problem)),
            }
        }
    }

    /// Waits for the next event, from the current engine or, after a failure, from another.
    async fn next(&mut self) -> Result<String, End> {
        let mut resumes = 0;
        loop {
            if !self.session.is_running() {
                resumes = 0;
                self.continue_elsewhere().await?;
            }
            let events = &mut self.events;
            let sender = &self.sender;
            let work = async {
                tokio::select! {
                    biased;
                    event = events.next() => Some(event),
                    () = sender.closed() => None,
                }
            };
            match self.session.race(work).await {
                Ok(Some(Ok(data))) => return Ok(data),
                Ok(Some(Err(Interrupted))) => self.session.shared().counts.cut.add(),
                Ok(None) => return Err(End::Disconnected),
                Err(Stop::Cancelled) => continue,
                Err(Stop::Refused(problem)) => return Err(End::Failed(problem)),
            }
            resumes += 1;
            if resumes > RESUMES_MAX || !self.resume().await? {
                self.session.finish(Outcome::Broken);
            }
        }
    }

    async fn resume(&mut self) -> Result<bool, End> {
        let shared = Arc::clone(self.session.shared());
        let work = resume(
            &shared,
            &self.dispatch,
            self.events.last_position(),
            &self.clients,
        );
        match self.session.race(work).await {
            Ok(Ok(events)) => {
                self.events = events;
                Ok(true)
            }
            Ok(Err(_)) | Err(Stop::Cancelled) => Ok(false),
            Err(Stop::Refused(problem)) => Err(End::Failed(problem)),
        }
    }

    /// Continues at another engine, if the machine allows a further attempt.
    async fn continue_elsewhere(&mut self) -> Result<(), End> {
        loop {
            let sender = &self.sender;
            let next = tokio::select! {
                biased;
                next = self.session.next() => next.map_err(End::Failed)?,
                () = sender.closed() => return Err(End::Disconnected),
            };
            let Some(body) = self.continuation() else {
                let problem = self.session.problem(
                    Kind::AttemptsFailed,
                    "the stream broke off and cannot go on elsewhere",
                );
                return Err(End::Failed(self.session.abort(problem)));
            };
            self.dispatch = next;
            let shared = Arc::clone(self.session.shared());
            let work = chat::send(&shared, &self.call, body, &self.dispatch, &self.clients);
            match self.session.race(work).await {
                Ok(Ok(reply)) if reply.response.status().is_success() => {
                    shared.counts.continued.add();
                    self.events = Events::new(&shared, &self.dispatch, reply.response, 0);
                    return Ok(());
                }
                Ok(Ok(_)) => self.session.finish(Outcome::Broken),
                Ok(Err(outcome)) => self.session.finish(outcome),
                Err(Stop::Cancelled) => {}
                Err(Stop::Refused(problem)) => return Err(End::Failed(problem)),
            }
        }
    }

    fn continuation(&self) -> Option<Bytes> {
        if self.output.is_final {
            return None;
        }
        self.call
            .continuation(&self.output.text, self.output.tokens)
    }
}

/// Appends a server-sent event with this data.
fn append_event(chunk: &mut String, data: &str) {
    for line in data.split('\n') {
        chunk.push_str("data: ");
        chunk.push_str(line);
        chunk.push('\n');
    }
    chunk.push('\n');
}
