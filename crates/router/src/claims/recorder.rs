//! Records a response with its claim while its body is sent to the caller.

use std::error::Error;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use actix_web::HttpResponse;
use actix_web::body::BodySize;
use actix_web::body::BoxBody;
use actix_web::body::MessageBody;
use bytes::Bytes;
use snipeusher::claim::ANSWER_BYTES_MAX;
use snipeusher::claim::Answer;
use snipeusher::claim::Outcome;

use super::Ticket;

/// A response body that keeps a copy of its start. If it fails or is dropped before its end, the
/// outcome of the claim is unknown.
struct Recorder {
    inner: BoxBody,
    ticket: Option<Ticket>,
    answer: Answer,
    /// The body so far, up to one byte more than the limit, which shows that it was exceeded.
    copy: Vec<u8>,
    sent_bytes: u64,
}

/// Records a response once its body was sent.
pub(super) fn record(response: HttpResponse, ticket: Ticket) -> HttpResponse {
    let status = response.status().as_u16();
    let header = response.headers().get("content-type");
    let content_type = header
        .and_then(|value| value.to_str().ok())
        .map(String::from);
    response.map_body(|_head, inner| {
        let mut recorder = Recorder {
            inner,
            ticket: Some(ticket),
            answer: Answer {
                status,
                content_type,
                body: None,
            },
            copy: Vec::new(),
            sent_bytes: 0,
        };
        // The server need not poll a body of known size after its last byte, nor an empty body at
        // all.
        recorder.end_if_complete();
        BoxBody::new(recorder)
    })
}

impl Recorder {
    fn add(&mut self, chunk: &Bytes) {
        self.sent_bytes += chunk.len() as u64;
        let remaining = (ANSWER_BYTES_MAX + 1).saturating_sub(self.copy.len());
        self.copy
            .extend_from_slice(&chunk[..remaining.min(chunk.len())]);
        self.end_if_complete();
    }

    fn end_if_complete(&mut self) {
        let is_complete = match self.inner.size() {
            BodySize::None => true,
            BodySize::Sized(size) => self.sent_bytes >= size,
            BodySize::Stream => false,
        };
        if is_complete {
            self.end();
        }
    }

    fn end(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let body = std::mem::take(&mut self.copy);
            let mut answer = self.answer.clone();
            answer.body = (body.len() <= ANSWER_BYTES_MAX).then(|| body.into());
            ticket.end(Outcome::Answered(answer));
        }
    }
}

impl MessageBody for Recorder {
    type Error = Box<dyn Error>;

    fn size(&self) -> BodySize {
        self.inner.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_next(cx);
        match &polled {
            Poll::Ready(Some(Ok(chunk))) => self.add(chunk),
            Poll::Ready(None) => self.end(),
            Poll::Ready(Some(Err(_))) => self.ticket = None,
            Poll::Pending => {}
        }
        polled
    }
}
