//! Channel that carries the chunks of a response body to the caller.
//!
//! A separate task reads from the upstream, so that deadlines are enforced while a slow caller
//! reads nothing. The channel is bounded, so that a slow caller slows down the upstream.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures_util::Stream;
use tokio::sync::mpsc;

use crate::shared::OpenRequest;

/// Number of chunks that are buffered for a slow caller.
const CAPACITY: usize = 16;

/// The sending half.
#[derive(Debug)]
pub(crate) struct Sender {
    chunks: mpsc::Sender<Bytes>,
    complete: Rc<Cell<bool>>,
}

/// The receiving half: the response body. It fails if the sender is dropped before it finishes.
///
/// The failure makes the server abort the connection, so that the caller does not treat a truncated
/// response as complete.
#[derive(Debug)]
pub(crate) struct Body {
    chunks: mpsc::Receiver<Bytes>,
    complete: Rc<Cell<bool>>,
    _open: OpenRequest,
}

/// Creates a channel; the request counts as open until the body is dropped.
pub(crate) fn channel(open: OpenRequest) -> (Sender, Body) {
    let (sender, receiver) = mpsc::channel(CAPACITY);
    let complete = Rc::new(Cell::new(false));
    let body = Body {
        chunks: receiver,
        complete: Rc::clone(&complete),
        _open: open,
    };
    let sender = Sender {
        chunks: sender,
        complete,
    };
    (sender, body)
}

impl Sender {
    /// Sends a chunk once there is capacity; returns `false` if the body was dropped.
    pub(crate) async fn send(&self, chunk: Bytes) -> bool {
        self.chunks.send(chunk).await.is_ok()
    }

    /// Waits for capacity for one chunk; returns `None` if the body was dropped.
    pub(crate) async fn reserve(&self) -> Option<mpsc::Permit<'_, Bytes>> {
        self.chunks.reserve().await.ok()
    }

    /// Sends a chunk if there is capacity.
    pub(crate) fn try_send(&self, chunk: Bytes) -> bool {
        self.chunks.try_send(chunk).is_ok()
    }

    /// Waits until the body is dropped.
    pub(crate) async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Marks the body as complete.
    pub(crate) fn finish(&self) {
        self.complete.set(true);
    }
}

impl Stream for Body {
    type Item = io::Result<Bytes>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        match self.chunks.poll_recv(cx) {
            Poll::Ready(Some(chunk)) => Poll::Ready(Some(Ok(chunk))),
            Poll::Ready(None) if self.complete.get() => Poll::Ready(None),
            Poll::Ready(None) => {
                Poll::Ready(Some(Err(io::Error::other("the response ended early"))))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}
