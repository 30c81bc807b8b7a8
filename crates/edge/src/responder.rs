//! Answers to callers.

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

/// How far an answer has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Nothing,
    Begun,
    Whole,
}

/// Writes the answer to one request of a caller.
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
    /// `close` ends the connection with the answer.
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
            progress: Progress::Nothing,
            close,
            idle_timeout,
        }
    }

    /// Whether a byte of an answer was written.
    pub const fn has_started(&self) -> bool {
        !matches!(self.progress, Progress::Nothing)
    }

    /// Whether the answer is whole and another request may follow.
    pub(crate) fn is_reusable(&self) -> bool {
        self.progress == Progress::Whole && !self.close && self.codec.keep_alive()
    }

    /// Ends the connection with this answer.
    pub const fn close(&mut self) {
        self.close = true;
    }

    /// Writes a whole answer.
    pub async fn send(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: &Bytes,
    ) -> io::Result<()> {
        let size = BodySize::Sized(body.len() as u64);
        self.head(status, headers, size)?;
        self.buffer.extend_from_slice(body);
        self.progress = Progress::Begun;
        self.flush().await?;
        self.progress = Progress::Whole;
        Ok(())
    }

    /// Begins an answer of unknown length; its head goes out with the first bytes.
    pub fn start(&mut self, status: StatusCode, headers: HeaderMap) -> io::Result<()> {
        self.progress = Progress::Begun;
        self.head(status, headers, BodySize::Stream)
    }

    /// Writes bytes of an answer that was begun.
    pub async fn send_chunk(&mut self, bytes: Bytes) -> io::Result<()> {
        self.codec
            .encode(Message::Chunk(Some(bytes)), &mut self.buffer)?;
        self.flush().await
    }

    /// Ends an answer that was begun.
    pub async fn finish(&mut self) -> io::Result<()> {
        self.codec.encode(Message::Chunk(None), &mut self.buffer)?;
        self.flush().await?;
        self.progress = Progress::Whole;
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
