//! The body of an answer that is kept with its claim as it passes.

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

/// Passes a body on and keeps its start. If it ends early, the claim ends as unknown.
struct Recorded {
    inner: BoxBody,
    ticket: Option<Ticket>,
    answer: Answer,
    /// The body so far, at most one byte more than is kept.
    body: Vec<u8>,
    passed: u64,
}

/// Records the answer of a response once its body has passed.
pub(super) fn record(response: HttpResponse, ticket: Ticket) -> HttpResponse {
    let status = response.status().as_u16();
    let header = response.headers().get("content-type");
    let content_type = header
        .and_then(|value| value.to_str().ok())
        .map(String::from);
    response.map_body(|_head, inner| {
        let mut recorded = Recorded {
            inner,
            ticket: Some(ticket),
            answer: Answer {
                status,
                content_type,
                body: None,
            },
            body: Vec::new(),
            passed: 0,
        };
        // A body of a known size may not be polled past its last byte, or not at all.
        recorded.end_if_passed();
        BoxBody::new(recorded)
    })
}

impl Recorded {
    fn pass(&mut self, part: &Bytes) {
        self.passed += part.len() as u64;
        let room = (ANSWER_BYTES_MAX + 1).saturating_sub(self.body.len());
        self.body.extend_from_slice(&part[..room.min(part.len())]);
        self.end_if_passed();
    }

    fn end_if_passed(&mut self) {
        let whole = match self.inner.size() {
            BodySize::None => true,
            BodySize::Sized(size) => self.passed >= size,
            BodySize::Stream => false,
        };
        if whole {
            self.end();
        }
    }

    fn end(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let body = std::mem::take(&mut self.body);
            let mut answer = self.answer.clone();
            answer.body = (body.len() <= ANSWER_BYTES_MAX).then(|| body.into());
            ticket.end(Outcome::Answered(answer));
        }
    }
}

impl MessageBody for Recorded {
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
            Poll::Ready(Some(Ok(part))) => self.pass(part),
            Poll::Ready(None) => self.end(),
            Poll::Ready(Some(Err(_))) => self.ticket = None,
            Poll::Pending => {}
        }
        polled
    }
}
