//! HTTP client that writes and reads raw bytes.

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::net::TcpStream;
use actix_rt::time::timeout;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Limit on the time that a caller waits for a response.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A response as received.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body is complete according to its framing.
    pub complete: bool,
}

impl Response {
    /// Whether it is the router's own failure, which promises nothing.
    pub fn is_own_failure(&self) -> bool {
        self.status == 502 && self.header("t-signature").is_none() && self.body.is_empty()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

/// A connection to a router.
pub struct Caller {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Caller {
    pub async fn connect(address: SocketAddr) -> Self {
        Self {
            stream: TcpStream::connect(address)
                .await
                .expect("the router listens"),
            buffer: Vec::new(),
        }
    }

    pub async fn write(&mut self, text: &str) {
        self.write_bytes(text.as_bytes()).await;
    }

    pub async fn write_bytes(&mut self, bytes: &[u8]) {
        let written = self.stream.write_all(bytes).await;
        written.expect("the router reads");
    }

    /// Writes to a router that may have closed the connection. Returns whether it had not.
    pub async fn try_write(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).await.is_ok()
    }

    /// Reads one response; `None` if the connection is closed before.
    pub async fn read(&mut self) -> Option<Response> {
        let read = timeout(TIMEOUT, self.response()).await;
        read.expect("the router answers in time")
    }

    /// Reads until a text has arrived and returns everything received so far.
    pub async fn read_to(&mut self, text: &str) -> String {
        loop {
            let read = String::from_utf8_lossy(&self.buffer).into_owned();
            if read.contains(text) {
                return read;
            }
            let more = timeout(TIMEOUT, self.more()).await;
            assert!(matches!(more, Ok(true)), "the router answers in time");
        }
    }

    /// Whether the router closed the connection without sending more.
    pub async fn is_closed(&mut self) -> bool {
        let read = timeout(TIMEOUT, self.more()).await;
        self.buffer.is_empty() && matches!(read, Ok(false))
    }

    async fn response(&mut self) -> Option<Response> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                break end;
            }
            if !self.more().await {
                return None;
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut response = Response {
            status: head[9..12].parse().expect("a status"),
            head,
            body: String::new(),
            complete: true,
        };
        if response.status == 100 {
            return Some(response);
        }
        if response.header("transfer-encoding").is_some() {
            self.chunks(&mut response).await;
        } else {
            let length = response
                .header("content-length")
                .map_or(0, |text| text.parse().expect("a length"));
            while self.buffer.len() < length && self.more().await {}
            response.complete = self.buffer.len() >= length;
            let length = length.min(self.buffer.len());
            let body: Vec<u8> = self.buffer.drain(..length).collect();
            response.body = String::from_utf8_lossy(&body).into_owned();
        }
        Some(response)
    }

    async fn chunks(&mut self, response: &mut Response) {
        loop {
            let line = self.buffer.windows(2).position(|part| part == b"\r\n");
            let Some(line) = line else {
                if self.more().await {
                    continue;
                }
                response.complete = false;
                return;
            };
            let size = String::from_utf8_lossy(&self.buffer[..line]).into_owned();
            let size = usize::from_str_radix(&size, 16).expect("the size of a chunk");
            while self.buffer.len() < line + 2 + size + 2 {
                if !self.more().await {
                    response.complete = false;
                    return;
                }
            }
            let chunk: Vec<u8> = self.buffer.drain(..line + 2 + size + 2).collect();
            if size == 0 {
                return;
            }
            let text = String::from_utf8_lossy(&chunk[line + 2..line + 2 + size]);
            response.body.push_str(&text);
        }
    }

    async fn more(&mut self) -> bool {
        matches!(self.stream.read_buf(&mut self.buffer).await, Ok(count) if count > 0)
    }
}

/// The text of a request without a body.
pub fn get(path: &str, id: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: test.example\r\nT-Id: {id}\r\n\r\n")
}

/// The text of a request with a body.
pub fn post(path: &str, id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: test.example\r\nT-Id: {id}\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Sends one request on a new connection.
pub async fn call(address: SocketAddr, text: &str) -> Response {
    let mut caller = Caller::connect(address).await;
    caller.write(text).await;
    caller.read().await.expect("a response")
}
