//! Connections of the client library `awc`, whose responses are checked before it reads them.
//!
//! The socket handles TLS, so URLs of upstreams use `http` with and without it.
//!
//! `awc` treats the end of a connection within a body as the end of the body. Here the end of a
//! connection is an error, so that a truncated response is never treated as complete. It takes a body
//! that is delimited only by the end of the connection for none, so that is an error, too.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use actix_rt::net::ActixStream;
use actix_rt::net::Ready;
use actix_rt::net::TcpStream;
use actix_service::Service;
use actix_service::fn_service;
use actix_tls::connect::ConnectError;
use actix_tls::connect::ConnectInfo;
use actix_tls::connect::Connection;
use actix_tls::connect::ConnectorService;
use awc::Connector;
use awc::http::Uri;
use awc::http::uri::Scheme;
use rustls::pki_types::ServerName;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;

use crate::filter::Filter;

/// Bytes that are read at once while a head arrives.
const READ_BYTES: usize = 8 << 10;

/// A connection that passes on the bytes of valid responses, and reports its end as an error.
#[derive(Debug)]
pub struct Socket {
    stream: Stream,
    /// `None` if the bytes are those of a TLS connection within this one.
    filter: Option<Filter>,
}

/// The connection itself.
#[derive(Debug)]
enum Stream {
    /// Without TLS.
    Plain(TcpStream),
    /// With TLS.
    Tls(Box<TlsStream<TcpStream>>),
}

/// Returns a connector that opens [`Socket`]s, with TLS if a configuration is given. Responses are
/// not checked if `awc` itself speaks TLS, which it does for `https` URLs.
pub fn connector(
    tls: Option<Arc<rustls::ClientConfig>>,
) -> Connector<
    impl Service<ConnectInfo<Uri>, Response = Connection<Uri, Socket>, Error = ConnectError> + Clone,
> {
    let tcp = actix_tls::connect::Connector::default().service();
    Connector::new().connector(fn_service(move |info| open(tcp.clone(), tls.clone(), info)))
}

async fn open(
    tcp: ConnectorService,
    tls: Option<Arc<rustls::ClientConfig>>,
    info: ConnectInfo<Uri>,
) -> Result<Connection<Uri, Socket>, ConnectError> {
    let connection = tcp.call(info).await?;
    let (stream, uri) = connection.into_parts();
    // A request consists of several small writes, which Nagle's algorithm would delay.
    stream.set_nodelay(true).map_err(ConnectError::Io)?;
    let is_encrypted = uri.scheme() == Some(&Scheme::HTTPS);
    let stream = match tls {
        None => Stream::Plain(stream),
        Some(config) => {
            let host = uri.host().unwrap_or_default().to_owned();
            let name = ServerName::try_from(host)
                .map_err(|error| ConnectError::Io(io::Error::other(error)))?;
            let handshake = TlsConnector::from(config).connect(name, stream).await;
            Stream::Tls(Box::new(handshake.map_err(ConnectError::Io)?))
        }
    };
    let filter = (!is_encrypted).then(Filter::new);
    Ok(Connection::new(uri, Socket { stream, filter }))
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Self { stream, filter } = self.get_mut();
        let Some(filter) = filter else {
            return stream.poll_some(cx, buf);
        };
        while filter.is_in_head() {
            ready!(stream.poll_head(cx, filter))?;
        }
        if filter.pass_on(buf) {
            return Poll::Ready(Ok(()));
        }
        stream.poll_some(cx, buf)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, filter } = self.get_mut();
        let written = ready!(stream.poll_write(cx, buf))?;
        if let Some(filter) = filter {
            filter.record_request(&buf[..written]);
        }
        Poll::Ready(Ok(written))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.get_mut().stream {
            Stream::Plain(stream) => Pin::new(stream).poll_flush(cx),
            Stream::Tls(stream) => Pin::new(stream).poll_flush(cx),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.get_mut().stream {
            Stream::Plain(stream) => Pin::new(stream).poll_shutdown(cx),
            Stream::Tls(stream) => Pin::new(stream).poll_shutdown(cx),
        }
    }
}

impl ActixStream for Socket {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(self.tcp(), cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(self.tcp(), cx)
    }
}

impl Socket {
    fn tcp(&self) -> &TcpStream {
        match &self.stream {
            Stream::Plain(stream) => stream,
            Stream::Tls(stream) => stream.get_ref().0,
        }
    }
}

impl Stream {
    /// Reads at least one byte; the end of the connection is an error.
    fn poll_some(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = match self {
            Self::Plain(stream) => Pin::new(stream).poll_read(cx, buf),
            Self::Tls(stream) => Pin::new(stream).poll_read(cx, buf),
        };
        if matches!(polled, Poll::Ready(Ok(()))) && buf.filled().len() == before {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        polled
    }

    /// Reads a part of a head.
    fn poll_head(&mut self, cx: &mut Context<'_>, filter: &mut Filter) -> Poll<io::Result<()>> {
        let mut bytes = [0; READ_BYTES];
        let mut part = ReadBuf::new(&mut bytes);
        ready!(self.poll_some(cx, &mut part))?;
        Poll::Ready(filter.receive(part.filled()).map_err(io::Error::other))
    }

    fn poll_write(&mut self, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        match self {
            Self::Plain(stream) => Pin::new(stream).poll_write(cx, buf),
            Self::Tls(stream) => Pin::new(stream).poll_write(cx, buf),
        }
    }
}
