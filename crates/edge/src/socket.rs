//! TCP connections whose reader and writer share one reference.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Bytes that a read makes room for.
const READ_BYTES: usize = 8 << 10;
/// Idle time after which the peer's host is asked whether it still lives.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Time between two such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered questions that end a connection.
const KEEPALIVE_RETRIES: u32 = 3;
/// Longest time that sent bytes stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);

/// A TCP connection.
#[derive(Debug)]
pub(crate) struct Socket(TcpStream);

impl Socket {
    /// Connects within a time.
    pub(crate) async fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        match timeout(limit, TcpStream::connect(address)).await {
            Ok(stream) => Self::wrap(stream?),
            Err(_elapsed) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Takes a connection, so that a peer that vanished without a word ends it.
    pub(crate) fn wrap(stream: TcpStream) -> io::Result<Self> {
        // Events are small writes that must not wait for one another.
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_RETRIES);
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
        Ok(Self(stream))
    }

    /// Reads what is there; `None` if nothing is.
    pub(crate) fn try_read(&self, buffer: &mut BytesMut) -> io::Result<Option<usize>> {
        buffer.reserve(READ_BYTES);
        match self.0.try_read_buf(buffer) {
            Ok(count) => Ok(Some(count)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Reads at least one byte; zero at the end of the connection.
    pub(crate) async fn read(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        loop {
            if let Some(count) = self.try_read(buffer)? {
                return Ok(count);
            }
            self.0.readable().await?;
        }
    }

    /// Writes as much as fits; zero if nothing does.
    pub(crate) fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        match self.0.try_write(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            other => other,
        }
    }

    /// Writes all.
    pub(crate) async fn write(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let count = self.try_write(bytes)?;
            if count == 0 {
                self.writable().await?;
            }
            bytes = &bytes[count..];
        }
        Ok(())
    }

    /// Waits until something can be written.
    pub(crate) async fn writable(&self) -> io::Result<()> {
        self.0.writable().await
    }

    /// Waits until something can be read.
    pub(crate) async fn readable(&self) -> io::Result<()> {
        self.0.readable().await
    }
}
