//! Holds back the head of each response until it is complete and checked.

use bytes::Buf as _;
use bytes::BytesMut;
use snafu::ResultExt as _;
use snafu::Snafu;
use snafu::ensure;
use tokio::io::ReadBuf;

use crate::head;

/// Largest head of a response, informational ones before it included.
const HEAD_BYTES_MAX: usize = 256 << 10;
/// How a request starts whose response has no body even with a length.
const HEAD_REQUEST: &[u8] = b"HEAD ";

/// Why a response is not passed on.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// Its head is invalid.
    #[snafu(display("the response head is invalid: {source}"))]
    Invalid {
        /// The cause.
        source: head::Error,
    },
    /// Its head has no end.
    #[snafu(display("the response head is larger than {HEAD_BYTES_MAX} bytes"))]
    TooLong,
    /// Its body has neither a length nor chunks.
    #[snafu(display("the response states no end of its body"))]
    Unframed,
}

/// What of a response has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Nothing, or a part of its head.
    Head,
    /// Its head.
    Body,
}

/// The bytes of a connection's responses, one after the other.
///
/// A client sends a whole request before it reads the response, so the first bytes after those of a
/// request are a head.
#[derive(Debug)]
pub(crate) struct Filter {
    stage: Stage,
    /// Bytes that arrived and were not passed on.
    held: BytesMut,
    /// Bytes of the informational heads of this response.
    skipped: usize,
    is_head_request: bool,
}

impl Filter {
    /// Starts before the first request.
    pub(crate) fn new() -> Self {
        Self {
            stage: Stage::Body,
            held: BytesMut::new(),
            skipped: 0,
            is_head_request: false,
        }
    }

    /// Records that bytes of a request were written.
    pub(crate) fn record_request(&mut self, bytes: &[u8]) {
        if self.stage == Stage::Body {
            self.stage = Stage::Head;
            self.held.clear();
            self.skipped = 0;
            self.is_head_request = bytes.starts_with(HEAD_REQUEST);
        }
    }

    /// Whether bytes that arrive are part of a head.
    pub(crate) fn is_in_head(&self) -> bool {
        self.stage == Stage::Head
    }

    /// Adds bytes that arrived within a head.
    pub(crate) fn receive(&mut self, bytes: &[u8]) -> Result<(), Error> {
        self.held.extend_from_slice(bytes);
        while let Some(head) = head::check(&self.held).context(InvalidSnafu)? {
            if !head.is_informational() {
                ensure!(self.is_head_request || head.is_framed(), UnframedSnafu);
                self.stage = Stage::Body;
                return Ok(());
            }
            // The client takes the first head that it reads for that of the final response.
            self.held.advance(head.length);
            self.skipped += head.length;
        }
        let length = self.skipped + self.held.len();
        ensure!(length <= HEAD_BYTES_MAX, TooLongSnafu);
        Ok(())
    }

    /// Passes on bytes that were held back. Returns whether there were some.
    pub(crate) fn pass_on(&mut self, buffer: &mut ReadBuf<'_>) -> bool {
        if self.stage == Stage::Head || self.held.is_empty() {
            return false;
        }
        let length = self.held.len().min(buffer.remaining());
        buffer.put_slice(&self.held[..length]);
        self.held.advance(length);
        true
    }
}
