//! Streamed answers, resumed or continued where an engine breaks off.

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

/// Events between two reports of output to the machine.
const OUTPUT_EVENTS: u64 = 32;
/// How often an engine that waits for a slow caller is reported as alive.
const ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes of an event besides its data.
const FRAME_BYTES: usize = 8;
/// Events that are there at once are joined up to this size, which saves wake-ups and writes.
const JOINED_BYTES: usize = 8 << 10;
/// Resumes in a row without a new event before the engine is given up.
const RESUMES: u32 = 2;

/// The start of an answer.
enum Opened {
    Stream(Box<Events>, String, Option<u64>),
    /// The engine answered with something else, such as an error of the caller.
    Other(HttpResponse),
}

/// Opens a streamed answer; nothing goes to the caller before the first event is there.
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
                session.output(1, cached);
                let head = chat::head(actix_web::http::StatusCode::OK, &dispatch, cached);
                let (sender, body) = relay::channel(session.open());
                let relay = Relay {
                    session,
                    call,
                    clients,
                    sender,
                    dispatch,
                    events: *events,
                    answer: Answer::default(),
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
            // The engine may have run it and may still hold the whole answer.
            let mut events = resume(shared, dispatch, 0, clients).await?;
            let first = events.next().await.map_err(|Interrupted| Outcome::Broken)?;
            return Ok(Opened::Stream(Box::new(events), first, None));
        }
        Err(outcome) => return Err(outcome),
    };
    let cached = attempt::cached(&reply.response);
    let kind = attempt::header_text(reply.response.headers(), "content-type").unwrap_or("");
    if !kind.starts_with("text/event-stream") {
        let mut head = chat::head(reply.response.status(), dispatch, cached);
        head.content_type(kind);
        let body = reply.whole(chat::ANSWER_BYTES).await;
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

/// Asks the engine to go on with a stream that broke off.
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

/// What has gone to the caller.
#[derive(Debug, Default)]
struct Answer {
    text: String,
    tokens: u64,
    /// Something other than plain text of one choice came, or the engine said that it is done.
    fixed: bool,
}

impl Answer {
    /// Notes an event, so that the answer can go on from its end.
    fn note(&mut self, data: &str) {
        self.tokens += 1;
        match serde_json::from_str::<Chunk<'_>>(data) {
            Ok(chunk) => match chunk.choices.as_slice() {
                [] => {}
                [choice] if choice.is_text() => self.text.push_str(choice.text()),
                _ => self.fixed = true,
            },
            Err(_) => self.fixed = true,
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
        let calls = self
            .delta
            .as_ref()
            .is_some_and(|delta| delta.tool_calls.is_some());
        self.index == 0 && !calls && self.finish_reason.is_none()
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
    /// Nobody reads it any more.
    Gone,
    /// The caller gets this as an error event.
    Failed(Problem),
}

struct Relay {
    session: Session,
    call: Call,
    clients: Clients,
    sender: Sender,
    dispatch: Dispatch,
    events: Events,
    answer: Answer,
}

impl Relay {
    async fn run(mut self, first: String) {
        match self.relay(first).await {
            Ok(()) => self.sender.end(),
            Err(End::Gone) => {}
            Err(End::Failed(problem)) => {
                let event = format!("event: error\ndata: {}\n\n", problem.document());
                if self.sender.try_send(event.into()) {
                    self.sender.end();
                }
            }
        }
    }

    async fn relay(&mut self, first: String) -> Result<(), End> {
        // The first event does not wait for others to be joined.
        let (frames, mut done) = self.collect(first, 0);
        self.forward(frames).await?;
        while !done {
            let data = self.next().await?;
            let frames;
            (frames, done) = self.collect(data, JOINED_BYTES);
            self.forward(frames).await?;
        }
        self.session.output(self.answer.tokens, None);
        self.session.finish(Outcome::Complete);
        Ok(())
    }

    /// Joins an event with those that are there already until `limit` bytes are reached; returns
    /// whether the last one is the end.
    fn collect(&mut self, first: String, limit: usize) -> (Bytes, bool) {
        let mut frames = String::with_capacity(first.len() + FRAME_BYTES);
        let mut next = Some(first);
        while let Some(data) = next {
            frame(&mut frames, &data);
            if data == DONE {
                return (frames.into(), true);
            }
            self.note(&data);
            let is_full = frames.len() >= limit;
            next = if is_full {
                None
            } else {
                self.events.try_next()
            };
        }
        (frames.into(), false)
    }

    fn note(&mut self, data: &str) {
        self.session.progress();
        self.answer.note(data);
        if self.answer.tokens.is_multiple_of(OUTPUT_EVENTS) {
            self.session.output(self.answer.tokens, None);
        }
    }

    async fn forward(&mut self, frames: Bytes) -> Result<(), End> {
        let mut frames = Some(frames);
        loop {
            // Waits for room first, so that an interrupted wait does not lose the event.
            let room = timeout(ALIVE_INTERVAL, self.sender.room());
            match self.session.race(room).await {
                Ok(Ok(Some(room))) => {
                    if let Some(frames) = frames.take() {
                        room.send(frames);
                    }
                    return Ok(());
                }
                Ok(Ok(None)) => return Err(End::Gone),
                // The engine waits for a slow caller and is not to be taken for stalled.
                Ok(Err(_)) => self.session.output(self.answer.tokens, None),
                Err(Stop::Cancelled) => {}
                Err(Stop::Refused(problem)) => return Err(End::Failed(problem)),
            }
        }
    }

    /// The next event, from this engine or another.
    async fn next(&mut self) -> Result<String, End> {
        let mut resumes = 0;
        loop {
            if !self.session.is_running() {
                resumes = 0;
                self.proceed().await?;
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
                Ok(None) => return Err(End::Gone),
                Err(Stop::Cancelled) => continue,
                Err(Stop::Refused(problem)) => return Err(End::Failed(problem)),
            }
            resumes += 1;
            if resumes > RESUMES || !self.resume().await? {
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

    /// Goes on at another engine, if the machine allows a further attempt.
    async fn proceed(&mut self) -> Result<(), End> {
        loop {
            let sender = &self.sender;
            let next = tokio::select! {
                biased;
                next = self.session.next() => next.map_err(End::Failed)?,
                () = sender.closed() => return Err(End::Gone),
            };
            let Some(body) = self.rest() else {
                let problem = self.session.problem(
                    Kind::AttemptsFailed,
                    "the stream broke off and cannot go on elsewhere",
                );
                return Err(End::Failed(self.session.give_up(problem)));
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

    fn rest(&self) -> Option<Bytes> {
        if self.answer.fixed {
            return None;
        }
        self.call.continued(&self.answer.text, self.answer.tokens)
    }
}

/// Adds an event for the caller.
fn frame(frames: &mut String, data: &str) {
    for line in data.split('\n') {
        frames.push_str("data: ");
        frames.push_str(line);
        frames.push('\n');
    }
    frames.push('\n');
}
