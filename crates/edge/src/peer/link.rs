//! Connections to peers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use actix_http::ServiceConfig;
use actix_http::Uri;
use actix_http::header;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderValue;
use bytes::Bytes;
use serde::Serialize;
use snafu::ResultExt as _;
use tokio::time::timeout;

use super::BYTES_MAX;
use super::client::ConnectionSnafu;
use super::client::DecompressSnafu;
use super::client::EncodeSnafu;
use super::client::Error;
use super::client::StatusSnafu;
use super::gzip;
use crate::connection;
use crate::connection::Connection;

/// Time limit for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// A call to a peer.
#[derive(Debug)]
pub(super) struct Call {
    method: Method,
    path: &'static str,
    body: Vec<u8>,
}

/// Idle connections to peers, one to each, kept for the next call.
#[derive(Default)]
pub(super) struct Links(RefCell<BTreeMap<SocketAddr, Connection>>);

impl fmt::Debug for Links {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_set().entries(self.0.borrow().keys()).finish()
    }
}

impl Links {
    /// The idle connection to a peer, or a new one.
    pub(super) async fn open(
        &self,
        address: SocketAddr,
        http: &ServiceConfig,
    ) -> Result<Connection, Error> {
        let idle = self.0.borrow_mut().remove(&address);
        match idle.and_then(|mut connection| connection.is_idle().then_some(connection)) {
            Some(connection) => Ok(connection),
            None => open(address, http).await,
        }
    }

    /// Keeps a connection on which a response was read completely.
    pub(super) fn keep(&self, address: SocketAddr, connection: Connection) {
        self.0.borrow_mut().insert(address, connection);
    }

    /// Calls a peer and reads the body of the response, all within a time limit.
    pub(super) async fn call(
        &self,
        address: SocketAddr,
        http: &ServiceConfig,
        call: Call,
        limit: Duration,
    ) -> Result<Bytes, Error> {
        let called = async {
            let mut connection = self.open(address, http).await?;
            let body = call.send(&mut connection, address).await?;
            self.keep(address, connection);
            Ok(body)
        };
        timeout(limit, called).await.unwrap_or(Err(Error::TimedOut))
    }
}

/// Opens a connection to a peer.
pub(super) async fn open(address: SocketAddr, http: &ServiceConfig) -> Result<Connection, Error> {
    let opened = Connection::open(address, CONNECT_TIMEOUT, http).await;
    opened.context(ConnectionSnafu)
}

impl Call {
    /// A call with a message.
    pub(super) fn post<T: Serialize>(path: &'static str, message: &T) -> Result<Self, Error> {
        Ok(Self {
            method: Method::POST,
            path,
            body: rmp_serde::to_vec(message).context(EncodeSnafu)?,
        })
    }

    /// A call for data that may be large, so that its response may be compressed.
    pub(super) const fn get(path: &'static str) -> Self {
        Self {
            method: Method::GET,
            path,
            body: Vec::new(),
        }
    }

    /// Sends the request to a peer and reads the body of the response.
    pub(super) async fn send(
        self,
        connection: &mut Connection,
        address: SocketAddr,
    ) -> Result<Bytes, Error> {
        let mut headers = HeaderMap::new();
        if let Ok(host) = HeaderValue::try_from(address.to_string()) {
            headers.insert(header::HOST, host);
        }
        if self.method == Method::GET {
            let encoding = HeaderValue::from_static(gzip::ENCODING);
            headers.insert(header::ACCEPT_ENCODING, encoding);
        }
        let head = connection::request(self.method, Uri::from_static(self.path), headers);
        connection
            .send(head, &Bytes::from(self.body))
            .context(ConnectionSnafu)?;
        let head = connection.head().await.context(ConnectionSnafu)?;
        let body = connection.body(BYTES_MAX).await.context(ConnectionSnafu)?;
        if !head.status.is_success() {
            return StatusSnafu {
                status: head.status,
            }
            .fail();
        }
        match head.headers.get(header::CONTENT_ENCODING) {
            Some(encoding) if encoding == gzip::ENCODING => {
                gzip::decompress(&body, BYTES_MAX).context(DecompressSnafu)
            }
            _ => Ok(body),
        }
    }
}
