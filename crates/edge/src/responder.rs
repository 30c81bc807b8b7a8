//! Writes responses to callers.

use std::io;
use std::time::Duration;

use actix_http::ConnectionType;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BodySize;
use actix_http::h1::Codec;
use actix_http::h1::Message;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderValue;
use bytes::Bytes;
use bytes::BytesMut;
use tokio_util::codec::Encoder as _;

use crate::headers;
use crate::socket::Socket;

/// Largest body that is copied behind its head, so that both take one write. A larger one is not, as
/// it would be held twice while its caller reads.
const COPIED_BYTES_MAX: usize = 16 << 10;

/// Progress of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    NotStarted,
    Started,
    Complete,
}

/// Writes the response to one request.
#[derive(Debug)]
pub struct Responder<'a> {
    socket: &'a Socket,
    codec: &'a mut Codec,
    buffer: BytesMut,
    progress: Progress,
    close: bool,
    idle_timeout: Duration,
}

impl<'a> Responder<'a> {
    /// With `close`, the connection is closed after the response.
    pub(crate) fn new(
        socket: &'a Socket,
        codec: &'a mut Codec,
        close: bool,
        idle_timeout: Duration,
    ) -> Self {
        Self {
            socket,
            codec,
            buffer: BytesMut::new(),
            progress: Progress::NotStarted,
            close,
            idle_timeout,
        }
    }

    /// Whether a response was started.
    pub const fn has_started(&self) -> bool {
        !matches!(self.progress, Progress::NotStarted)
    }

    /// Whether the response is complete and another request may follow.
    pub(crate) fn is_reusable(&self) -> bool {
        self.progress == Progress::Complete && !self.close && self.codec.keep_alive()
    }

    /// Closes the connection after this response.
    pub const fn close(&mut self) {
        self.close = true;
    }

    /// Sends a complete response.
    pub async fn send(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: &Bytes,
    ) -> io::Result<()> {
        let size = BodySize::Sized(body.len() as u64);
        self.head(status, headers, size)?;
        self.progress = Progress::Started;
        if body.len() <= COPIED_BYTES_MAX {
            self.buffer.extend_from_slice(body);
            self.flush().await?;
        } else {
            self.flush().await?;
            self.socket.write(body).await?;
        }
        self.progress = Progress::Complete;
        Ok(())
    }

    /// Starts a response of unknown length. The head is sent with the first chunk.
    pub fn start(&mut self, status: StatusCode, headers: HeaderMap) -> io::Result<()> {
        self.progress = Progress::Started;
        self.head(status, headers, BodySize::Stream)
    }

    /// Starts a response that is sent in parts, with a length if it is known.
    pub fn start_sized(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        length: Option<usize>,
    ) -> io::Result<()> {
        self.progress = Progress::Started;
        let size = length.map_or(BodySize::Stream, |length| BodySize::Sized(length as u64));
        self.head(status, headers, size)
    }

    /// Sends a chunk of a started response.
    pub async fn send_chunk(&mut self, bytes: Bytes) -> io::Result<()> {
        self.codec
            .encode(Message::Chunk(Some(bytes)), &mut self.buffer)?;
        self.flush().await
    }

    /// Ends a started response.
    pub async fn finish(&mut self) -> io::Result<()> {
        self.codec.encode(Message::Chunk(None), &mut self.buffer)?;
        self.flush().await?;
        self.progress = Progress::Complete;
        Ok(())
    }

    fn head(&mut self, status: StatusCode, headers: HeaderMap, size: BodySize) -> io::Result<()> {
        let mut response = Response::with_body(status, ());
        let head = response.head_mut();
        head.headers = headers;
        if self.close {
            head.set_connection_type(ConnectionType::Close);
        } else {
            let seconds = self.idle_timeout.as_secs();
            let value = HeaderValue::try_from(format!("timeout={seconds}"));
            head.headers
                .insert(headers::KEEP_ALIVE, value.map_err(io::Error::other)?);
        }
        self.codec
            .encode(Message::Item((response, size)), &mut self.buffer)
    }

    async fn flush(&mut self) -> io::Result<()> {
        let written = self.socket.write(&self.buffer).await;
        self.buffer.clear();
        written
    }
}
