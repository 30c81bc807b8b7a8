//! Connections of callers: requests are read whole, one after the other.

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
use bytes::Bytes;
use bytes::BytesMut;
use snipeusher::route::Limits;
use tokio::net::TcpListener;
use tokio::time::timeout;
use tokio_util::codec::Decoder as _;

use crate::lifecycle::Lifecycle;
use crate::responder::Responder;
use crate::socket::Socket;

/// Bytes that a caller may send ahead while its request is worked on.
const AHEAD_BYTES_MAX: usize = 64 << 10;
/// Tells a caller that waits for it to send the body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Pause after a failed accept, such as one for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Longest time that a body may pause.
const BODY_PAUSE: Duration = Duration::from_secs(5);

/// A request that was read whole.
#[derive(Debug)]
pub struct Request {
    /// Its head.
    pub head: actix_http::Request,
    /// Its body.
    pub body: Bytes,
    /// When its last byte was read.
    pub received: Instant,
}

/// Answers requests.
pub trait Handler: 'static {
    /// Bounds of what callers may send now.
    fn limits(&self) -> Limits;

    /// Whether the process is leaving.
    fn lifecycle(&self) -> &Lifecycle;

    /// Answers a request. Dropped if the caller leaves.
    fn handle(
        &self,
        request: Request,
        responder: &mut Responder<'_>,
    ) -> impl Future<Output = io::Result<()>>;
}

/// Why a request was not read.
enum Fault {
    /// The connection ended or broke, or was idle for too long.
    Gone,
    /// It is refused with a status.
    Refused(StatusCode),
}

impl From<io::Error> for Fault {
    fn from(_error: io::Error) -> Self {
        Self::Gone
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
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let handler = Rc::clone(&handler);
        let config = config.clone();
        actix_rt::spawn(async move {
            if let Ok(socket) = Socket::wrap(stream) {
                let mut connection = Connection::new(&socket, config);
                // A connection that breaks concerns nobody else.
                let _ended = connection.serve(&*handler).await;
            }
        });
    }
}

struct Connection<'a> {
    socket: &'a Socket,
    codec: Codec,
    read: BytesMut,
}

impl<'a> Connection<'a> {
    fn new(socket: &'a Socket, config: ServiceConfig) -> Self {
        Self {
            socket,
            codec: Codec::new(config),
            read: BytesMut::new(),
        }
    }

    async fn serve<H: Handler>(&mut self, handler: &H) -> io::Result<()> {
        loop {
            let limits = handler.limits();
            match self.request(handler.lifecycle(), &limits).await {
                Ok(request) => {
                    if !self.answer(handler, request, &limits).await? {
                        return Ok(());
                    }
                }
                Err(Fault::Gone) => return Ok(()),
                Err(Fault::Refused(status)) => {
                    let mut responder =
                        Responder::new(self.socket, &mut self.codec, true, limits.idle_timeout);
                    return responder
                        .send(status, HeaderMap::new(), &Bytes::new())
                        .await;
                }
            }
        }
    }

    /// Answers a request while it watches for the caller to leave; false ends the connection.
    async fn answer<H: Handler>(
        &mut self,
        handler: &H,
        request: Request,
        limits: &Limits,
    ) -> io::Result<bool> {
        let _open = handler.lifecycle().track();
        let close = handler.lifecycle().is_leaving() || !self.codec.keep_alive();
        let mut responder =
            Responder::new(self.socket, &mut self.codec, close, limits.idle_timeout);
        let watch = watch(self.socket, &mut self.read);
        tokio::select! {
            biased;
            answered = handler.handle(request, &mut responder) => answered?,
            () = watch => return Ok(false),
        }
        Ok(responder.is_reusable())
    }

    async fn request(&mut self, lifecycle: &Lifecycle, limits: &Limits) -> Result<Request, Fault> {
        self.first_byte(lifecycle, limits).await?;
        let head = timeout(limits.head_timeout, self.head(limits)).await;
        let head = head.unwrap_or(Err(Fault::Refused(StatusCode::REQUEST_TIMEOUT)))?;
        let body = self.body(&head, limits).await?;
        Ok(Request {
            head,
            body,
            received: Instant::now(),
        })
    }

    /// Waits for a request to begin, at most for the idle time.
    ///
    /// A process that leaves keeps idle connections as long as the balancer may still send it
    /// new ones; then it closes them, so that callers go elsewhere before it ends.
    async fn first_byte(&mut self, lifecycle: &Lifecycle, limits: &Limits) -> Result<(), Fault> {
        if !self.read.is_empty() {
            return Ok(());
        }
        let idle = timeout(limits.idle_timeout, self.socket.read(&mut self.read));
        tokio::select! {
            biased;
            count = idle => match count {
                Ok(Ok(count)) if count > 0 => Ok(()),
                _ => Err(Fault::Gone),
            },
            () = lifecycle.deregistered() => Err(Fault::Gone),
        }
    }

    async fn head(&mut self, limits: &Limits) -> Result<actix_http::Request, Fault> {
        loop {
            let before = self.read.len();
            match self.codec.decode(&mut self.read) {
                Ok(Some(Message::Item(head))) => {
                    if before - self.read.len() > limits.head_bytes {
                        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
                        return Err(Fault::Refused(status));
                    }
                    return Ok(head);
                }
                Ok(Some(Message::Chunk(_))) => {
                    return Err(Fault::Refused(StatusCode::BAD_REQUEST));
                }
                Ok(None) if self.read.len() > limits.head_bytes => {
                    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
                    return Err(Fault::Refused(status));
                }
                Ok(None) => {}
                Err(ParseError::TooLarge) => {
                    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
                    return Err(Fault::Refused(status));
                }
                Err(_malformed) => return Err(Fault::Refused(StatusCode::BAD_REQUEST)),
            }
            if self.socket.read(&mut self.read).await? == 0 {
                return Err(Fault::Gone);
            }
        }
    }

    async fn body(&mut self, head: &actix_http::Request, limits: &Limits) -> Result<Bytes, Fault> {
        match self.codec.message_type() {
            MessageType::None => return Ok(Bytes::new()),
            MessageType::Payload => {}
            // Upgrades and tunnels are not served.
            MessageType::Stream => return Err(Fault::Refused(StatusCode::NOT_IMPLEMENTED)),
        }
        let length = head.headers().get(header::CONTENT_LENGTH);
        let length = length.and_then(|length| length.to_str().ok()?.trim().parse::<usize>().ok());
        if length.is_some_and(|length| length > limits.body_bytes) {
            return Err(Fault::Refused(StatusCode::PAYLOAD_TOO_LARGE));
        }
        let mut continues = head.head().expect();
        let mut body = BytesMut::with_capacity(length.unwrap_or_default());
        loop {
            match self.codec.decode(&mut self.read) {
                Ok(Some(Message::Chunk(Some(bytes)))) => {
                    if body.len() + bytes.len() > limits.body_bytes {
                        return Err(Fault::Refused(StatusCode::PAYLOAD_TOO_LARGE));
                    }
                    body.extend_from_slice(&bytes);
                    continue;
                }
                Ok(Some(Message::Chunk(None))) => return Ok(body.freeze()),
                Ok(None) => {}
                Ok(Some(Message::Item(_))) | Err(_) => {
                    return Err(Fault::Refused(StatusCode::BAD_REQUEST));
                }
            }
            if std::mem::take(&mut continues) && self.read.is_empty() {
                self.socket.write(CONTINUE).await?;
            }
            match timeout(BODY_PAUSE, self.socket.read(&mut self.read)).await {
                Ok(Ok(count)) if count > 0 => {}
                Ok(_) => return Err(Fault::Gone),
                Err(_elapsed) => return Err(Fault::Refused(StatusCode::REQUEST_TIMEOUT)),
            }
        }
    }
}

/// Returns when the caller has closed its connection; keeps what it sends ahead.
async fn watch(socket: &Socket, read: &mut BytesMut) {
    loop {
        if read.len() >= AHEAD_BYTES_MAX {
            std::future::pending::<()>().await;
        }
        match socket.read(read).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}
