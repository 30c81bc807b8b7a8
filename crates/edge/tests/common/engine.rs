//! A fake upstream that responds according to a script.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::TcpListener;
use actix_rt::net::TcpStream;
use actix_rt::time::sleep;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::sync::Notify;

/// A step of a script.
#[derive(Clone, Debug)]
pub enum Act {
    Write(String),
    /// Reads this many further bytes of the request.
    Read(usize),
    Pause(u64),
    /// Ends the response in order, as by a close, and goes on reading.
    Finish,
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Waits until the router closes the connection.
    Hang,
    /// Ends the engine: all its connections are closed and new ones are refused.
    Crash,
}

/// A request as received.
#[derive(Clone, Debug)]
pub struct Seen {
    pub head: String,
    pub body: Vec<u8>,
    /// Number of the connection on which it was received.
    pub connection: usize,
}

impl Seen {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn id(&self) -> &str {
        self.header("t-id").unwrap_or_default()
    }
}

/// An upstream.
pub struct Engine {
    pub address: SocketAddr,
    seen: Rc<RefCell<Vec<Seen>>>,
    /// Requests whose connection the router closed before the script ended.
    pub abandoned: Rc<Cell<usize>>,
}

impl Engine {
    /// Starts an upstream that runs the script for each request.
    pub async fn start(script: impl Fn(&Seen) -> Vec<Act> + 'static) -> Self {
        Self::start_reading(Extent::Whole, script).await
    }

    /// Starts an upstream that runs the script before it reads the body of a request.
    pub async fn start_early(script: impl Fn(&Seen) -> Vec<Act> + 'static) -> Self {
        Self::start_reading(Extent::Head, script).await
    }

    async fn start_reading(extent: Extent, script: impl Fn(&Seen) -> Vec<Act> + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let engine = Self {
            address,
            seen: Rc::default(),
            abandoned: Rc::default(),
        };
        let crash = Crash::default();
        let seen = Rc::clone(&engine.seen);
        let abandoned = Rc::clone(&engine.abandoned);
        let script = Rc::new(script);
        actix_rt::spawn(async move {
            let mut count = 0;
            while let Some(Ok((stream, _))) = crash.before(listener.accept()).await {
                let connection = Connection {
                    stream,
                    extent,
                    number: count,
                    seen: Rc::clone(&seen),
                    abandoned: Rc::clone(&abandoned),
                    crash: crash.clone(),
                };
                count += 1;
                let (script, crash) = (Rc::clone(&script), crash.clone());
                actix_rt::spawn(async move { crash.before(connection.serve(&*script)).await });
            }
        });
        engine
    }

    /// An upstream that something else runs at an address.
    pub fn at(address: SocketAddr) -> Self {
        Self {
            address,
            seen: Rc::default(),
            abandoned: Rc::default(),
        }
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.seen.borrow().clone()
    }

    pub fn count(&self) -> usize {
        self.seen.borrow().len()
    }
}

/// Whether the engine has ended, and what tells its tasks.
#[derive(Clone, Default)]
struct Crash {
    has_crashed: Rc<Cell<bool>>,
    notify: Rc<Notify>,
}

impl Crash {
    /// Runs a future until the engine ends; `None` if that came first.
    async fn before<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        if self.has_crashed.get() {
            return None;
        }
        tokio::select! {
            () = self.notify.notified() => None,
            output = future => Some(output),
        }
    }

    fn strike(&self) {
        self.has_crashed.set(true);
        self.notify.notify_waiters();
    }
}

/// How much of a request an upstream reads before its script runs.
#[derive(Clone, Copy, Debug)]
enum Extent {
    Head,
    Whole,
}

struct Connection {
    stream: TcpStream,
    extent: Extent,
    number: usize,
    seen: Rc<RefCell<Vec<Seen>>>,
    abandoned: Rc<Cell<usize>>,
    crash: Crash,
}

impl Connection {
    async fn serve(mut self, script: &impl Fn(&Seen) -> Vec<Act>) {
        let mut buffer = Vec::new();
        while let Some(seen) = self.request(&mut buffer).await {
            let acts = script(&seen);
            self.seen.borrow_mut().push(seen);
            for act in acts {
                match act {
                    Act::Write(text) => {
                        if self.stream.write_all(text.as_bytes()).await.is_err() {
                            self.abandoned.set(self.abandoned.get() + 1);
                            return;
                        }
                    }
                    Act::Read(bytes) => {
                        let mut body = vec![0; bytes];
                        if self.stream.read_exact(&mut body).await.is_err() {
                            return;
                        }
                    }
                    Act::Pause(ms) => sleep(Duration::from_millis(ms)).await,
                    Act::Finish => {
                        if self.stream.shutdown().await.is_err() {
                            return;
                        }
                    }
                    Act::Close => return,
                    Act::Crash => {
                        self.crash.strike();
                        return;
                    }
                    Act::Reset => {
                        self.stream
                            .set_zero_linger()
                            .expect("the socket takes options");
                        return;
                    }
                    Act::Hang => {
                        let mut rest = Vec::new();
                        let _ended = self.stream.read_to_end(&mut rest).await;
                        self.abandoned.set(self.abandoned.get() + 1);
                        return;
                    }
                }
            }
        }
    }

    async fn request(&mut self, buffer: &mut Vec<u8>) -> Option<Seen> {
        loop {
            if let Some(end) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
                let seen = Seen {
                    head,
                    body: Vec::new(),
                    connection: self.number,
                };
                let length = match self.extent {
                    Extent::Head => None,
                    Extent::Whole => seen.header("content-length"),
                };
                let length = length.map_or(0, |text| text.parse().expect("a length"));
                if buffer.len() >= end + 4 + length {
                    let body = buffer[end + 4..end + 4 + length].to_vec();
                    buffer.drain(..end + 4 + length);
                    return Some(Seen { body, ..seen });
                }
            }
            if self.stream.read_buf(buffer).await.ok()? == 0 {
                return None;
            }
        }
    }
}

/// A complete response with a length.
pub fn response(id: &str, status: &str, body: &str) -> Act {
    let length = body.len();
    Act::Write(format!(
        "HTTP/1.1 {status}\r\nT-Id: {id}\r\nT-Signature: s\r\nContent-Length: {length}\r\n\r\n{body}"
    ))
}

/// A response stating that the request was not executed.
pub fn not_run(id: &str) -> Act {
    Act::Write(format!(
        "HTTP/1.1 503 Busy\r\nT-Id: {id}\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    ))
}

/// A complete response with further headers, each ended by a line break.
pub fn response_with(id: &str, status: &str, headers: &str, body: &str) -> Act {
    let length = body.len();
    Act::Write(format!(
        "HTTP/1.1 {status}\r\nT-Id: {id}\r\nT-Signature: s\r\n{headers}Content-Length: {length}\r\n\r\n\
         {body}"
    ))
}

/// The head of a stream.
pub fn stream(id: &str) -> Act {
    Act::Write(format!(
        "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Signature: s\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    ))
}

/// One event in a separate chunk.
pub fn event(number: u32) -> Act {
    chunk(&event_text(number))
}

/// The same as callers receive it.
pub fn event_text(number: u32) -> String {
    format!("id: {number}\ndata: part {number}\n\n")
}

/// Bytes of a body as one chunk.
pub fn chunk(text: &str) -> Act {
    Act::Write(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// The end of a chunked body.
pub fn end() -> Act {
    Act::Write("0\r\n\r\n".to_owned())
}
