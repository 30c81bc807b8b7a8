//! TCP connections that can be read and written through a shared reference.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Buffer space reserved for a read.
const READ_BYTES: usize = 8 << 10;
/// Idle time before the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 3;
/// Limit on the time that sent bytes stay unacknowledged. On Linux it also ends keepalive probes,
/// whatever their number, so that with a shorter one a single lost probe closes the connection.
const USER_TIMEOUT: Duration =
    KEEPALIVE_IDLE.saturating_add(KEEPALIVE_INTERVAL.saturating_mul(KEEPALIVE_RETRIES));

/// A TCP connection.
#[derive(Debug)]
pub(crate) struct Socket(TcpStream);

impl Socket {
    /// Connects within a time limit.
    pub(crate) async fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        match timeout(limit, TcpStream::connect(address)).await {
            Ok(stream) => Self::wrap(stream?),
            Err(_elapsed) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Wraps a connection and sets its options, so that it is closed if the other host disappears.
    pub(crate) fn wrap(stream: TcpStream) -> io::Result<Self> {
        // Events are small writes that must not be delayed.
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_RETRIES);
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        Ok(Self(stream))
    }

    /// Reads without waiting; `None` if nothing is available.
    pub(crate) fn try_read(&self, buffer: &mut BytesMut) -> io::Result<Option<usize>> {
        buffer.reserve(READ_BYTES);
        match self.0.try_read_buf(buffer) {
            Ok(count) => Ok(Some(count)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Reads at least one byte; zero at the end of the stream.
    pub(crate) async fn read(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        loop {
            if let Some(count) = self.try_read(buffer)? {
                return Ok(count);
            }
            self.0.readable().await?;
        }
    }

    /// Writes without waiting; zero if the send buffer is full.
    pub(crate) fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        match self.0.try_write(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            other => other,
        }
    }

    /// Writes all bytes.
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

    /// Makes the end of the connection a reset, which discards what the other host has not
    /// acknowledged. Otherwise the kernel goes on sending it after the connection was closed.
    pub(crate) fn abort_on_close(&self) {
        // It fails only if the connection is gone.
        let _aborted = self.0.set_zero_linger();
    }

    /// Waits until the socket is writable.
    pub(crate) async fn writable(&self) -> io::Result<()> {
        self.0.writable().await
    }

    /// Waits until the socket is readable.
    pub(crate) async fn readable(&self) -> io::Result<()> {
        self.0.readable().await
    }
}
