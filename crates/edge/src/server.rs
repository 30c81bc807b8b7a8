//! HTTP/1 server: reads complete requests from connections, one at a time.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_http::HttpMessage as _;
use actix_http::ServiceConfig;
use actix_http::StatusCode;
use actix_http::error::ParseError;
use actix_http::h1::Codec;
use actix_http::h1::Message;
use actix_http::h1::MessageType;
use actix_http::header;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderValue;
use bytes::Bytes;
use bytes::BytesMut;
use snipeusher::route::Limits;
use snipeusher_http::head;
use tokio::net::TcpListener;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio_util::codec::Decoder as _;

use crate::lifecycle::Lifecycle;
use crate::memory::Reservation;
use crate::responder::Responder;
use crate::socket::Socket;

/// Pipelined bytes that are read while a request is in progress.
const PIPELINED_BYTES_MAX: usize = 64 << 10;
/// Response to `Expect: 100-continue`, after which the caller sends the body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for which a new connection waits for its first request, whatever the state of the shutdown:
/// a round trip of the caller and what a busy host needs.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(300);
/// Memory reserved for a body by its stated length; more is reserved as it arrives.
const BODY_BYTES_RESERVED: usize = 64 << 10;
/// `Retry-After` of a request whose body has no room, in seconds: about the time that others take to
/// be sent on.
const RETRY_AFTER_NO_ROOM: &str = "0.500";
/// Time limit between two reads of a body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(5);

/// A complete request.
#[derive(Debug)]
pub struct Request {
    /// Request line and headers.
    pub head: actix_http::Request,
    /// The body.
    pub body: Bytes,
    /// The memory that the body takes.
    pub(crate) reservation: Reservation,
    /// When its last byte was read.
    pub received: Instant,
}

/// Who sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sender {
    /// A caller.
    Caller,
    /// A peer that relays the request of its caller.
    Peer,
}

/// Responds to requests.
pub trait Handler: 'static {
    /// Current limits on requests.
    fn limits(&self) -> Limits;

    /// Shutdown state and in-flight requests of this handler.
    fn lifecycle(&self) -> &Lifecycle;

    /// Opens the reservation for the body of a request.
    fn reserve(&self) -> Reservation;

    /// Responds to a request. The future is dropped if the caller disconnects.
    fn handle(
        &self,
        request: Request,
        responder: &mut Responder<'_>,
    ) -> impl Future<Output = io::Result<()>>;
}

/// Why no request was read.
enum Error {
    /// The connection was closed, failed or was idle for too long.
    Closed,
    /// The request is invalid and gets a response with this status.
    Rejected(StatusCode),
}

impl From<io::Error> for Error {
    fn from(_error: io::Error) -> Self {
        Self::Closed
    }
}

/// Listens on an address.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Accepts connections until the listener is dropped.
pub async fn accept<H: Handler>(listener: TcpListener, handler: Rc<H>, config: ServiceConfig) {
    loop {
        let Ok((stream, _address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let handler = Rc::clone(&handler);
        let config = config.clone();
        actix_rt::spawn(async move {
            if let Ok(socket) = Socket::wrap(stream) {
                let _guard = handler.lifecycle().track_connection();
                let mut connection = Connection::new(&socket, config);
                // A failed connection affects no other one.
                let _result = connection.serve(&*handler).await;
            }
        });
    }
}

struct Connection<'a> {
    socket: &'a Socket,
    codec: Codec,
    read: BytesMut,
    accepted: Instant,
}

impl<'a> Connection<'a> {
    fn new(socket: &'a Socket, config: ServiceConfig) -> Self {
        Self {
            socket,
            codec: Codec::new(config),
            read: BytesMut::new(),
            accepted: Instant::now(),
        }
    }

    async fn serve<H: Handler>(&mut self, handler: &H) -> io::Result<()> {
        loop {
            let limits = handler.limits();
            match self.request(handler, &limits).await {
                Ok(request) => {
                    if !self.respond(handler, request, &limits).await? {
                        return Ok(());
                    }
                }
                Err(Error::Closed) => return Ok(()),
                Err(Error::Rejected(status)) => {
                    let mut responder =
                        Responder::new(self.socket, &mut self.codec, true, limits.idle_timeout);
                    let mut headers = HeaderMap::new();
                    if status == StatusCode::SERVICE_UNAVAILABLE {
                        let after = HeaderValue::from_static(RETRY_AFTER_NO_ROOM);
                        headers.insert(header::RETRY_AFTER, after);
                    }
                    return responder.send(status, headers, &Bytes::new()).await;
                }
            }
        }
    }

    /// Responds to a request unless the caller disconnects. Returns whether the connection stays
    /// open.
    async fn respond<H: Handler>(
        &mut self,
        handler: &H,
        request: Request,
        limits: &Limits,
    ) -> io::Result<bool> {
        let _guard = handler.lifecycle().track();
        let close = handler.lifecycle().is_leaving() || !self.codec.keep_alive();
        let mut responder =
            Responder::new(self.socket, &mut self.codec, close, limits.idle_timeout);
        let disconnected = disconnected(self.socket, &mut self.read);
        tokio::select! {
            biased;
            sent = handler.handle(request, &mut responder) => sent?,
            () = disconnected => return Ok(false),
        }
        Ok(responder.is_reusable())
    }

    async fn request<H: Handler>(
        &mut self,
        handler: &H,
        limits: &Limits,
    ) -> Result<Request, Error> {
        self.first_byte(handler.lifecycle(), limits).await?;
        let head = timeout(limits.head_timeout, self.head(limits)).await;
        let head = head.unwrap_or(Err(Error::Rejected(StatusCode::REQUEST_TIMEOUT)))?;
        let mut reservation = handler.reserve();
        let body = self.body(&head, limits, &mut reservation).await?;
        Ok(Request {
            head,
            body,
            reservation,
            received: Instant::now(),
        })
    }

    /// Waits for the first byte of a request, at most for the idle timeout.
    ///
    /// During shutdown, idle connections stay open until the balancer sends no new ones. Then they
    /// are closed, so that callers connect to another router before the process exits. A connection
    /// that was accepted just before still gets time for its first request.
    async fn first_byte(&mut self, lifecycle: &Lifecycle, limits: &Limits) -> Result<(), Error> {
        if !self.read.is_empty() {
            return Ok(());
        }
        let shutdown_close = shutdown_close(lifecycle, self.accepted);
        let idle = timeout(limits.idle_timeout, self.socket.read(&mut self.read));
        tokio::select! {
            biased;
            count = idle => match count {
                Ok(Ok(count)) if count > 0 => Ok(()),
                _ => Err(Error::Closed),
            },
            () = shutdown_close => Err(Error::Closed),
        }
    }

    async fn head(&mut self, limits: &Limits) -> Result<actix_http::Request, Error> {
        loop {
            let before = self.read.len();
            if before > head::NAME_BYTES_MAX && head::check_request(&self.read).is_err() {
                let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
                return Err(Error::Rejected(status));
            }
            match self.codec.decode(&mut self.read) {
                Ok(Some(Message::Item(head))) => {
                    if before - self.read.len() > limits.head_bytes {
                        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
                        return Err(Error::Rejected(status));
                    }
                    return Ok(head);
                }
                Ok(Some(Message::Chunk(_))) => {
                    return Err(Error::Rejected(StatusCode::BAD_REQUEST));
                }
                Ok(None) if self.read.len() > limits.head_bytes => {
                    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
                    return Err(Error::Rejected(status));
                }
                Ok(None) => {}
                Err(ParseError::TooLarge) => {
                    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
                    return Err(Error::Rejected(status));
                }
                Err(_malformed) => return Err(Error::Rejected(StatusCode::BAD_REQUEST)),
            }
            if self.socket.read(&mut self.read).await? == 0 {
                return Err(Error::Closed);
            }
        }
    }

    /// Reads the body. One for which there is no room is read to its end, so that the caller gets
    /// the refusal, but not kept.
    async fn body(
        &mut self,
        head: &actix_http::Request,
        limits: &Limits,
        reservation: &mut Reservation,
    ) -> Result<Bytes, Error> {
        match self.codec.message_type() {
            MessageType::None => return Ok(Bytes::new()),
            MessageType::Payload => {}
            // Upgrades and tunnels are not supported.
            MessageType::Stream => return Err(Error::Rejected(StatusCode::NOT_IMPLEMENTED)),
        }
        let length = head.headers().get(header::CONTENT_LENGTH);
        let length = length.and_then(|length| length.to_str().ok()?.trim().parse::<usize>().ok());
        if length.is_some_and(|length| length > limits.body_bytes) {
            return Err(Error::Rejected(StatusCode::PAYLOAD_TOO_LARGE));
        }
        let mut expects_continue = head.head().expect();
        let mut body = BytesMut::with_capacity(length.unwrap_or_default().min(BODY_BYTES_RESERVED));
        let mut read = 0;
        let mut has_room = true;
        loop {
            match self.codec.decode(&mut self.read) {
                Ok(Some(Message::Chunk(Some(bytes)))) => {
                    read += bytes.len();
                    if read > limits.body_bytes {
                        return Err(Error::Rejected(StatusCode::PAYLOAD_TOO_LARGE));
                    }
                    has_room &= reservation.grow_to(read);
                    if has_room {
                        body.extend_from_slice(&bytes);
                    } else {
                        body = BytesMut::new();
                        reservation.clear();
                    }
                    continue;
                }
                Ok(Some(Message::Chunk(None))) if has_room => return Ok(body.freeze()),
                Ok(Some(Message::Chunk(None))) => {
                    return Err(Error::Rejected(StatusCode::SERVICE_UNAVAILABLE));
                }
                Ok(None) => {}
                Ok(Some(Message::Item(_))) | Err(_) => {
                    return Err(Error::Rejected(StatusCode::BAD_REQUEST));
                }
            }
            if std::mem::take(&mut expects_continue) && self.read.is_empty() {
                self.socket.write(CONTINUE).await?;
            }
            match timeout(BODY_READ_TIMEOUT, self.socket.read(&mut self.read)).await {
                Ok(Ok(count)) if count > 0 => {}
                Ok(_) => return Err(Error::Closed),
                Err(_elapsed) => return Err(Error::Rejected(StatusCode::REQUEST_TIMEOUT)),
            }
        }
    }
}

/// Returns when an idle connection is to be closed for the shutdown.
async fn shutdown_close(lifecycle: &Lifecycle, accepted: Instant) {
    lifecycle.deregistered().await;
    sleep_until((accepted + FIRST_REQUEST_TIME).into()).await;
}

/// Returns when the caller has closed the connection. Pipelined bytes are buffered.
async fn disconnected(socket: &Socket, read: &mut BytesMut) {
    loop {
        if read.len() >= PIPELINED_BYTES_MAX {
            std::future::pending::<()>().await;
        }
        match socket.read(read).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}
