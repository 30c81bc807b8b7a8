//! Answers of the fake engine, whole or event by event.

use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::HttpResponseBuilder;
use actix_web::web::Bytes;
use futures_util::Stream;
use futures_util::StreamExt as _;
use futures_util::stream;
use serde_json::Value;
use serde_json::json;
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::engine::Fault;
use crate::engine::serve::Running;

/// An answer that is ready to be sent.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) attempt: String,
    pub(crate) model: String,
    pub(crate) is_chat: bool,
    pub(crate) words: Vec<&'static str>,
    pub(crate) prompt_tokens: u64,
    pub(crate) cached: u64,
}

impl Reply {
    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.words.len(),
            "total_tokens": self.prompt_tokens + self.words.len() as u64,
            "prompt_tokens_details": { "cached_tokens": self.cached },
        })
    }

    /// The whole answer as one body.
    pub(crate) fn body(&self) -> String {
        let text = self.words.concat();
        let choice = if self.is_chat {
            let message = json!({ "role": "assistant", "content": text });
            json!({ "index": 0, "message": message, "finish_reason": "stop" })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": "stop" })
        };
        json!({
            "id": self.attempt,
            "object": if self.is_chat { "chat.completion" } else { "text_completion" },
            "model": self.model,
            "choices": [choice],
            "usage": self.usage(),
        })
        .to_string()
    }

    /// The data of the event at a position, counted from zero; the end marker comes last.
    pub(crate) fn data(&self, position: u64) -> Option<String> {
        let words = self.words.len() as u64;
        match position {
            _ if position < words => {
                let word = self.words[position as usize];
                Some(self.event(word, None, Value::Null))
            }
            _ if position == words => Some(self.event("", Some("stop"), self.usage())),
            _ if position == words + 1 => Some("[DONE]".to_owned()),
            _ => None,
        }
    }

    fn event(&self, word: &str, finish: Option<&str>, usage: Value) -> String {
        let choice = if self.is_chat {
            json!({ "index": 0, "delta": { "content": word }, "finish_reason": finish })
        } else {
            json!({ "index": 0, "text": word, "finish_reason": finish })
        };
        let object = if self.is_chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        let mut event = json!({
            "id": self.attempt,
            "object": object,
            "model": self.model,
            "choices": [choice],
        });
        if !usage.is_null() {
            event["usage"] = usage;
        }
        event.to_string()
    }
}

/// Sends the events of a run from a position on.
#[derive(Debug)]
pub(crate) struct Sender {
    running: Running,
    attempt: String,
    reply: Arc<Reply>,
    next: u64,
    pace: Duration,
    faults: Vec<Fault>,
    ready: VecDeque<Bytes>,
}

impl Sender {
    pub(crate) fn new(
        running: Running,
        reply: Arc<Reply>,
        after: u64,
        pace: Duration,
        faults: Vec<Fault>,
    ) -> Self {
        Self {
            attempt: running.attempt().to_owned(),
            running,
            reply,
            next: after,
            pace,
            faults,
            ready: VecDeque::new(),
        }
    }

    pub(crate) fn stream(self) -> impl Stream<Item = io::Result<Bytes>> {
        stream::unfold(Some(self), async |sender| {
            let mut sender = sender?;
            match sender.step().await {
                Some(Ok(bytes)) => Some((Ok(bytes), Some(sender))),
                Some(Err(error)) => Some((Err(error), None)),
                None => {
                    sender.running.finish();
                    None
                }
            }
        })
    }

    async fn step(&mut self) -> Option<io::Result<Bytes>> {
        if let Some(bytes) = self.ready.pop_front() {
            return Some(Ok(bytes));
        }
        let data = self.reply.data(self.next)?;
        if self.running.cancelled() {
            return Some(Err(io::Error::other("cancelled")));
        }
        if !self.pace.is_zero() {
            sleep(self.pace).await;
        }
        let mut attempt = self.attempt.clone();
        let mut twice = false;
        for fault in &self.faults {
            match fault {
                Fault::Cut(after) if *after == self.next => {
                    // Lets the server flush what came before.
                    yield_now().await;
                    return Some(Err(io::Error::other("cut")));
                }
                Fault::Stall(at, time) if *at == self.next => sleep(*time).await,
                Fault::WrongEvents(from, other) if *from <= self.next => attempt.clone_from(other),
                Fault::Duplicate(at) => twice = *at == self.next,
                _ => {}
            }
        }
        self.next += 1;
        let event = Bytes::from(format!("id: {attempt}:{}\ndata: {data}\n\n", self.next));
        if twice {
            self.ready.push_back(event.clone());
        }
        Some(Ok(event))
    }
}

/// An answer whose connection breaks before the head is sent whole.
pub(crate) fn broken() -> HttpResponse {
    // A body that fails at once makes the server drop the connection; the head goes out with the
    // first body byte and so never leaves.
    HttpResponse::Ok().streaming(stream::once(async {
        Err::<Bytes, _>(io::Error::other("broken"))
    }))
}

/// An answer that says its length and breaks half-way.
pub(crate) fn cut(mut response: HttpResponseBuilder, body: String) -> HttpResponse {
    let length = body.len() as u64;
    let half = Bytes::from(body).slice(..length as usize / 2);
    let parts = stream::once(async { Ok(half) }).chain(stream::once(async {
        // Lets the server flush what came before.
        yield_now().await;
        Err(io::Error::other("cut"))
    }));
    response
        .content_type("application/json")
        .no_chunking(length)
        .streaming(parts)
}
