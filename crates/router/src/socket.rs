//! Connections to upstreams.
//!
//! The socket handles TLS, so URLs of upstreams use `http` with and without it.
//!
//! `awc` treats the end of a connection within a body as the end of the body. Here the end of a
//! connection is an error, so that a truncated response is never treated as complete. A response
//! that is delimited only by the end of the connection is therefore an error too.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use actix_rt::net::ActixStream;
use actix_rt::net::Ready;
use actix_rt::net::TcpStream;
use actix_tls::connect::ConnectError;
use actix_tls::connect::ConnectInfo;
use actix_tls::connect::Connection;
use actix_tls::connect::ConnectorService;
use actix_web::dev::Service;
use actix_web::dev::fn_service;
use awc::Connector;
use awc::http::Uri;
use rustls::pki_types::ServerName;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;

/// A connection that reports its end as an error.
#[derive(Debug)]
pub(crate) enum Socket {
    /// Without TLS.
    Plain(TcpStream),
    /// With TLS.
    Tls(Box<TlsStream<TcpStream>>),
}

/// Returns a connector that opens [`Socket`]s, with TLS if a configuration is given.
pub(crate) fn connector(
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
    let socket = match tls {
        None => Socket::Plain(stream),
        Some(config) => {
            let host = uri.host().unwrap_or_default().to_owned();
            let name = ServerName::try_from(host)
                .map_err(|error| ConnectError::Io(io::Error::other(error)))?;
            let handshake = TlsConnector::from(config).connect(name, stream).await;
            Socket::Tls(Box::new(handshake.map_err(ConnectError::Io)?))
        }
    };
    Ok(Connection::new(uri, socket))
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_read(cx, buf),
            Self::Tls(stream) => Pin::new(stream).poll_read(cx, buf),
        };
        if matches!(polled, Poll::Ready(Ok(()))) && buf.filled().len() == before {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        polled
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_write(cx, buf),
            Self::Tls(stream) => Pin::new(stream).poll_write(cx, buf),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_flush(cx),
            Self::Tls(stream) => Pin::new(stream).poll_flush(cx),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_shutdown(cx),
            Self::Tls(stream) => Pin::new(stream).poll_shutdown(cx),
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
        match self {
            Self::Plain(stream) => stream,
            Self::Tls(stream) => stream.get_ref().0,
        }
    }
}
