//! Connections to upstreams, the store and peers.
//!
//! A connection carries one request at a time and is used again only if it is certain that nothing
//! of the last answer can follow. An answer that ends early is an error and never looks whole.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use actix_http::Method;
use actix_http::RequestHead;
use actix_http::RequestHeadType;
use actix_http::ResponseHead;
use actix_http::ServiceConfig;
use actix_http::Uri;
use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::error::PayloadError;
use actix_http::h1::ClientCodec;
use actix_http::h1::ClientPayloadCodec;
use actix_http::h1::Message;
use actix_http::h1::MessageType;
use actix_http::header;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use bytes::BytesMut;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio_util::codec::Decoder as _;
use tokio_util::codec::Encoder as _;

use crate::headers;
use crate::socket::Socket;

/// Status of the first answer that is not informational.
const STATUS_FINAL: u16 = 200;
/// Status that ends with the head, beside informational ones.
const STATUS_NO_CONTENT: u16 = 204;
/// Status that ends with the head, since the caller has the content.
const STATUS_NOT_MODIFIED: u16 = 304;

/// Why an exchange failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No connection could be opened; nothing was sent.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// Where.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The request cannot be encoded; nothing was sent.
    #[snafu(display("the request cannot be encoded: {source}"))]
    Encode {
        /// The cause.
        source: io::Error,
    },
    /// The connection broke.
    #[snafu(display("the connection broke: {source}"))]
    Broken {
        /// The cause.
        source: io::Error,
    },
    /// The connection ended before the answer did.
    #[snafu(display("the connection ended before the answer did"))]
    Ended,
    /// The answer is not HTTP.
    #[snafu(display("the answer's head cannot be read: {source}"))]
    Head {
        /// The cause.
        source: ParseError,
    },
    /// The body's framing is wrong.
    #[snafu(display("the answer's body cannot be read: {source}"))]
    Body {
        /// The cause.
        source: PayloadError,
    },
    /// The answer belongs to no request that is known.
    #[snafu(display("no response carries the id of the request"))]
    Foreign,
    /// The answer is longer than allowed.
    #[snafu(display("the answer is longer than {limit} bytes"))]
    TooLong {
        /// The bound in bytes.
        limit: usize,
    },
}

/// Where the reader of the connection is.
enum Reader {
    /// Before the head of an answer.
    Head(ClientCodec),
    /// Within a body whose end is framed.
    Framed(ClientPayloadCodec),
    /// Within a body that ends with the connection.
    Unframed,
    /// A failure made the rest unreadable.
    Void,
}

/// A connection that requests are sent on.
pub struct Connection {
    socket: Socket,
    reader: Reader,
    read: BytesMut,
    unsent: BytesMut,
    keep: bool,
    bodiless: bool,
    idle_since: Instant,
    idle_limit: Option<Duration>,
    rested: Option<Duration>,
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connection")
            .field("socket", &self.socket)
            .field("keep", &self.keep)
            .finish_non_exhaustive()
    }
}

impl Connection {
    /// Connects within a time.
    pub async fn open(
        address: SocketAddr,
        limit: Duration,
        config: &ServiceConfig,
    ) -> Result<Self, Error> {
        let socket = Socket::open(address, limit).await;
        Ok(Self {
            socket: socket.context(ConnectSnafu { address })?,
            reader: Reader::Head(ClientCodec::new(config.clone())),
            read: BytesMut::new(),
            unsent: BytesMut::new(),
            keep: false,
            bodiless: false,
            idle_since: Instant::now(),
            idle_limit: None,
            rested: None,
        })
    }

    /// For how long it has carried no request.
    pub fn idle_for(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// For how long it had been idle before the request that it carries; `None` for its first one.
    pub const fn rested(&self) -> Option<Duration> {
        self.rested
    }

    /// How long the other side keeps it open while idle, where it says so.
    pub const fn idle_limit(&self) -> Option<Duration> {
        self.idle_limit
    }

    /// Whether the last answer ended so that another request may follow.
    pub fn is_reusable(&self) -> bool {
        let is_before_head = matches!(self.reader, Reader::Head(_));
        self.keep && is_before_head && self.read.is_empty() && self.unsent.is_empty()
    }

    /// Whether it is reusable and nothing arrived since, not even the end of the connection.
    pub fn is_silent(&mut self) -> bool {
        self.is_reusable()
            && matches!(self.socket.try_read(&mut self.read), Ok(None))
            && self.read.is_empty()
    }

    /// Sends a request; the rest is written while the answer is read.
    pub fn send(&mut self, head: RequestHead, body: &Bytes) -> Result<(), Error> {
        // Only a connection that carried a request before is kept.
        self.rested = self.keep.then(|| self.idle_for());
        let Reader::Head(codec) = &mut self.reader else {
            return EndedSnafu.fail();
        };
        let size = if body.is_empty() {
            BodySize::None
        } else {
            BodySize::Sized(body.len() as u64)
        };
        self.keep = false;
        self.bodiless = head.method == Method::HEAD;
        let head = RequestHeadType::from(head);
        let encoded = codec.encode(Message::Item((head, size)), &mut self.unsent);
        encoded.context(EncodeSnafu)?;
        self.unsent.extend_from_slice(body);
        self.flush()
    }

    /// Reads the head of the next answer.
    pub async fn head(&mut self) -> Result<ResponseHead, Error> {
        loop {
            let Reader::Head(codec) = &mut self.reader else {
                return EndedSnafu.fail();
            };
            if let Some(head) = codec.decode(&mut self.read).context(HeadSnafu)? {
                if head.status.as_u16() < STATUS_FINAL {
                    continue;
                }
                self.enter_body(&head);
                return Ok(head);
            }
            if self.fill().await? == 0 {
                self.reader = Reader::Void;
                return EndedSnafu.fail();
            }
        }
    }

    /// Reads the next bytes of the body; `None` at its end.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match &mut self.reader {
                Reader::Head(_) => return Ok(None),
                Reader::Void => return EndedSnafu.fail(),
                Reader::Framed(codec) => match codec.decode(&mut self.read).context(BodySnafu)? {
                    Some(Some(bytes)) => return Ok(Some(bytes)),
                    Some(None) => {
                        self.leave_body();
                        return Ok(None);
                    }
                    None => {}
                },
                Reader::Unframed if !self.read.is_empty() => {
                    return Ok(Some(self.read.split().freeze()));
                }
                Reader::Unframed => {}
            }
            if self.fill().await? == 0 {
                let is_end = matches!(self.reader, Reader::Unframed);
                self.keep = false;
                self.reader = Reader::Void;
                return if is_end { Ok(None) } else { EndedSnafu.fail() };
            }
        }
    }

    /// Reads the rest of the body.
    pub async fn body(&mut self, limit: usize) -> Result<Bytes, Error> {
        let Some(first) = self.chunk().await? else {
            return Ok(Bytes::new());
        };
        let Some(second) = self.chunk().await? else {
            return Ok(first);
        };
        let mut whole = BytesMut::from(first);
        whole.extend_from_slice(&second);
        while let Some(more) = self.chunk().await? {
            whole.extend_from_slice(&more);
            if whole.len() > limit {
                self.reader = Reader::Void;
                return TooLongSnafu { limit }.fail();
            }
        }
        Ok(whole.freeze())
    }

    fn enter_body(&mut self, head: &ResponseHead) {
        let Reader::Head(codec) = std::mem::replace(&mut self.reader, Reader::Void) else {
            return;
        };
        self.keep = codec.keep_alive();
        self.idle_limit = keep_alive(head);
        let is_framed = head.headers.contains_key(header::CONTENT_LENGTH);
        let status = head.status.as_u16();
        let is_empty = self.bodiless || matches!(status, STATUS_NO_CONTENT | STATUS_NOT_MODIFIED);
        self.reader = match codec.message_type() {
            MessageType::None if is_framed || is_empty => Reader::Head(codec),
            // Without a length, the end of the connection is the end of the body.
            MessageType::None => Reader::Unframed,
            MessageType::Payload => Reader::Framed(codec.into_payload_codec()),
            MessageType::Stream => Reader::Void,
        };
        if !matches!(self.reader, Reader::Framed(_) | Reader::Head(_)) {
            self.keep = false;
        }
        self.idle_since = Instant::now();
    }

    fn leave_body(&mut self) {
        let reader = std::mem::replace(&mut self.reader, Reader::Void);
        if let Reader::Framed(codec) = reader {
            self.reader = Reader::Head(codec.into_message_codec());
        }
        self.idle_since = Instant::now();
    }

    fn flush(&mut self) -> Result<(), Error> {
        while !self.unsent.is_empty() {
            let count = self.socket.try_write(&self.unsent).context(BrokenSnafu)?;
            if count == 0 {
                return Ok(());
            }
            let _written = self.unsent.split_to(count);
        }
        Ok(())
    }

    /// Reads more, and writes what is not sent yet as it fits.
    async fn fill(&mut self) -> Result<usize, Error> {
        loop {
            let count = self.socket.try_read(&mut self.read).context(BrokenSnafu)?;
            if let Some(count) = count {
                return Ok(count);
            }
            if self.unsent.is_empty() {
                self.socket.readable().await.context(BrokenSnafu)?;
                continue;
            }
            tokio::select! {
                ready = self.socket.readable() => ready.context(BrokenSnafu)?,
                ready = self.socket.writable() => ready.context(BrokenSnafu)?,
            }
            // An upstream may answer and close before it has read the whole request.
            if self.flush().is_err() {
                self.unsent.clear();
                self.keep = false;
            }
        }
    }
}

/// The head of a request.
pub(crate) fn request(method: Method, uri: Uri, headers: HeaderMap) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = uri;
    head.headers = headers;
    head
}

/// The idle time that the other side states.
fn keep_alive(head: &ResponseHead) -> Option<Duration> {
    let value = head.headers.get(headers::KEEP_ALIVE)?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|item| item.trim().strip_prefix("timeout="))?;
    timeout.parse().ok().map(Duration::from_secs)
}
