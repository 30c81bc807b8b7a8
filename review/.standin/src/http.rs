//! Small HTTP/1.1 server and client on blocking sockets, enough for what the pages describe.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request or a response: first line, headers and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The path and query of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of a response; zero if there is none.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// A parameter of the query, with `%2F` decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        Some(value.replace("%2F", "/").replace("%2f", "/"))
    }
}

/// Buffered bytes of a connection that were read and not used yet.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut part = [0; 16_384];
        let count = self.stream.read(&mut part)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&part[..count]);
        Ok(())
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|part| part == b"\r\n") {
                let line = self.take(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads a whole request or response, with a body that has a length or comes in chunks.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = Message {
            line: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            message
                .headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.trim(), 16);
                let size = size.map_err(|_error| io::ErrorKind::InvalidData)?;
                message.body.extend(self.take(size)?);
                self.line()?;
                if size == 0 {
                    return Ok(message);
                }
            }
        }
        let length = message.header("content-length");
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        message.body = self.take(length)?;
        Ok(message)
    }
}

/// Answers a request on its connection. Returns whether the connection stays open.
pub type Handler = dyn Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// Serves an address until the process ends.
pub fn serve(address: SocketAddr, handler: Arc<Handler>) -> SocketAddr {
    let listener = TcpListener::bind(address).expect("the address is free");
    let address = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _nodelay = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = Reader::new(stream);
                while let Ok(request) = reader.message() {
                    match handler(&request, &mut writer) {
                        Ok(true) => {}
                        _ => break,
                    }
                }
                let _closed = writer.shutdown(std::net::Shutdown::Both);
            });
        }
    });
    address
}

/// Writes a response with a length.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let text =
        format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())
}

/// Sends one request on a connection of its own and reads the response.
pub fn call(address: SocketAddr, text: &str, limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(text.as_bytes())?;
    Reader::new(stream).message()
}
