//! Responses of the fake engine, as one body or as a stream of events.

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

/// Content of a response.
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

    /// Returns the body of an unstreamed response.
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

    /// Returns the data of the event at a position, counted from zero. The last event is `[DONE]`.
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

/// Sends the events of a response from a position on.
#[derive(Debug)]
pub(crate) struct Sender {
    running: Running,
    attempt: String,
    reply: Arc<Reply>,
    next: u64,
    token_interval: Duration,
    faults: Vec<Fault>,
    queued: VecDeque<Bytes>,
}

impl Sender {
    pub(crate) fn new(
        running: Running,
        reply: Arc<Reply>,
        after: u64,
        token_interval: Duration,
        faults: Vec<Fault>,
    ) -> Self {
        Self {
            attempt: running.attempt().to_owned(),
            running,
            reply,
            next: after,
            token_interval,
            faults,
            queued: VecDeque::new(),
        }
    }

    pub(crate) fn stream(self) -> impl Stream<Item = io::Result<Bytes>> {
        stream::unfold(Some(self), async |sender| {
            let mut sender = sender?;
            match sender.next_chunk().await {
                Some(Ok(bytes)) => Some((Ok(bytes), Some(sender))),
                Some(Err(error)) => Some((Err(error), None)),
                None => {
                    sender.running.finish();
                    None
                }
            }
        })
    }

    async fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        if let Some(bytes) = self.queued.pop_front() {
            return Some(Ok(bytes));
        }
        let data = self.reply.data(self.next)?;
        if self.running.is_cancelled() {
            return Some(Err(io::Error::other("cancelled")));
        }
        if !self.token_interval.is_zero() {
            sleep(self.token_interval).await;
        }
        let mut attempt = self.attempt.clone();
        let mut is_duplicated = false;
        for fault in &self.faults {
            match fault {
                Fault::Cut(after) if *after == self.next => {
                    // Lets the server flush the bytes sent so far.
                    yield_now().await;
                    return Some(Err(io::Error::other("cut")));
                }
                Fault::Stall(at, time) if *at == self.next => sleep(*time).await,
                Fault::WrongEvents(from, other) if *from <= self.next => attempt.clone_from(other),
                Fault::Duplicate(at) => is_duplicated = *at == self.next,
                _ => {}
            }
        }
        self.next += 1;
        let event = Bytes::from(format!("id: {attempt}:{}\ndata: {data}\n\n", self.next));
        if is_duplicated {
            self.queued.push_back(event.clone());
        }
        Some(Ok(event))
    }
}

/// Closes the connection before the head of the response is sent.
pub(crate) fn close_before_head() -> HttpResponse {
    // The server sends the head together with the first body byte. If the body fails before that,
    // the server closes the connection and the head is never sent.
    HttpResponse::Ok().streaming(stream::once(async {
        Err::<Bytes, _>(io::Error::other("broken"))
    }))
}

/// Closes the connection after half of a body whose full length is announced.
pub(crate) fn close_within_body(mut response: HttpResponseBuilder, body: String) -> HttpResponse {
    let length = body.len() as u64;
    let half = Bytes::from(body).slice(..length as usize / 2);
    let parts = stream::once(async { Ok(half) }).chain(stream::once(async {
        // Lets the server flush the bytes sent so far.
        yield_now().await;
        Err(io::Error::other("cut"))
    }));
    response
        .content_type("application/json")
        .no_chunking(length)
        .streaming(parts)
}
