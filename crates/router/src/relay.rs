//! The way of an answer's bytes to the caller.
//!
//! A task of its own reads from the upstream, so that deadlines hold while a slow caller reads
//! nothing. A bounded channel holds the upstream back.

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

/// Chunks that wait for a slow caller.
const CHUNKS: usize = 16;

/// The end that is written.
#[derive(Debug)]
pub(crate) struct Sender {
    chunks: mpsc::Sender<Bytes>,
    whole: Rc<Cell<bool>>,
}

/// The end that the caller reads; it fails where the sender is gone before the end.
///
/// The failure makes the server break the connection, which no caller takes for a whole answer.
#[derive(Debug)]
pub(crate) struct Body {
    chunks: mpsc::Receiver<Bytes>,
    whole: Rc<Cell<bool>>,
    _open: OpenRequest,
}

/// A channel to a caller; the request counts as open until the body is dropped.
pub(crate) fn channel(open: OpenRequest) -> (Sender, Body) {
    let (sender, receiver) = mpsc::channel(CHUNKS);
    let whole = Rc::new(Cell::new(false));
    let body = Body {
        chunks: receiver,
        whole: Rc::clone(&whole),
        _open: open,
    };
    let sender = Sender {
        chunks: sender,
        whole,
    };
    (sender, body)
}

impl Sender {
    /// Waits for room; returns `false` once nobody reads.
    pub(crate) async fn send(&self, chunk: Bytes) -> bool {
        self.chunks.send(chunk).await.is_ok()
    }

    /// Waits for room for one chunk; returns `None` once nobody reads.
    pub(crate) async fn room(&self) -> Option<mpsc::Permit<'_, Bytes>> {
        self.chunks.reserve().await.ok()
    }

    /// Sends if there is room at once.
    pub(crate) fn try_send(&self, chunk: Bytes) -> bool {
        self.chunks.try_send(chunk).is_ok()
    }

    /// Resolves once nobody reads.
    pub(crate) async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Ends the body as it should.
    pub(crate) fn end(&self) {
        self.whole.set(true);
    }
}

impl Stream for Body {
    type Item = io::Result<Bytes>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        match self.chunks.poll_recv(cx) {
            Poll::Ready(Some(chunk)) => Poll::Ready(Some(Ok(chunk))),
            Poll::Ready(None) if self.whole.get() => Poll::Ready(None),
            Poll::Ready(None) => Poll::Ready(Some(Err(io::Error::other("the answer broke off")))),
            Poll::Pending => Poll::Pending,
        }
    }
}
