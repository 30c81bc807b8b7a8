//! Exchanges that this router begins.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use actix_http::Uri;
use actix_http::header;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderValue;
use bytes::Bytes;
use futures_util::future::join_all;
use slog::debug;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::time::sleep;
use tokio::time::timeout;

use super::BYTES_MAX;
use super::EXCHANGE_PATH;
use super::Peers;
use super::Response;
use super::digest;
use super::take;
use crate::connection;
use crate::connection::Connection;
use crate::dialect::Platform;
use crate::shared::Shared;

/// Time between two exchanges that a router begins; news goes out at once.
const INTERVAL: Duration = Duration::from_millis(250);
/// The same in a large fleet, whose digests name more readers: control may take 14 KB/s.
const INTERVAL_LARGE: Duration = Duration::from_millis(500);
/// Routers beyond which a fleet is large.
const LARGE: usize = 100;
/// Peers that hear news at once; those that had not heard it pass it on to as many.
const FANOUT: usize = 3;
/// Pause after an exchange of news, in which further news gathers.
const GATHER: Duration = Duration::from_millis(30);
/// Longest time to connect to a peer.
pub(super) const CONNECT: Duration = Duration::from_millis(200);
/// Longest exchange.
const EXCHANGE: Duration = Duration::from_millis(500);

/// Why an exchange failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(super) enum Error {
    /// The connection failed.
    #[snafu(display("{source}"))]
    Connection {
        /// The cause.
        source: connection::Error,
    },
    /// The digest cannot be encoded.
    #[snafu(display("the digest cannot be encoded: {source}"))]
    Encode {
        /// The cause.
        source: rmp_serde::encode::Error,
    },
    /// The answer cannot be decoded.
    #[snafu(display("the answer cannot be decoded: {source}"))]
    Decode {
        /// The cause.
        source: rmp_serde::decode::Error,
    },
    /// The peer refused.
    #[snafu(display("the peer answers {status}"))]
    Status {
        /// Its status.
        status: StatusCode,
    },
    /// The peer did not answer in time.
    #[snafu(display("the peer did not answer in time"))]
    TimedOut,
}

/// Exchanges with one peer after the other, and at once with some when there is news, for ever.
pub async fn run<P: Platform>(shared: Rc<Shared<P>>, peers: Rc<RefCell<Peers>>) {
    let connections: Connections = RefCell::default();
    let mut known = shared.revisions();
    loop {
        let interval = interval(peers.borrow().len(shared.now()));
        let is_news = timeout(interval, shared.changed.notified()).await.is_ok();
        let mut addresses = Vec::new();
        addresses.extend(peers.borrow_mut().next(shared.random()));
        let knowledge = shared.revisions();
        if known != knowledge {
            known = knowledge;
            addresses.extend(peers.borrow().sample(FANOUT, shared.random()));
        }
        let exchanges = addresses
            .into_iter()
            .map(|address| with(&shared, &peers, &connections, address));
        join_all(exchanges).await;
        if is_news {
            sleep(GATHER).await;
        }
    }
}

/// Time between two exchanges of one router beside `others`.
pub const fn interval(others: usize) -> Duration {
    if others > LARGE {
        INTERVAL_LARGE
    } else {
        INTERVAL
    }
}

type Connections = RefCell<BTreeMap<SocketAddr, Connection>>;

async fn with<P: Platform>(
    shared: &Shared<P>,
    peers: &RefCell<Peers>,
    connections: &Connections,
    address: SocketAddr,
) {
    let idle = connections.borrow_mut().remove(&address);
    let exchange = exchange(shared, peers, address, idle);
    match timeout(EXCHANGE, exchange)
        .await
        .unwrap_or(Err(Error::TimedOut))
    {
        Ok(connection) => {
            connections.borrow_mut().insert(address, connection);
        }
        Err(error) => {
            debug!(shared.log, "peer: exchange failed";
                "peer" => %address, "error" => %error);
        }
    }
}

/// Sends a request to a peer and reads its answer.
pub(super) async fn call(
    connection: &mut Connection,
    address: SocketAddr,
    method: Method,
    path: &'static str,
    body: Vec<u8>,
) -> Result<Bytes, Error> {
    let mut headers = HeaderMap::new();
    if let Ok(host) = HeaderValue::try_from(address.to_string()) {
        headers.insert(header::HOST, host);
    }
    let head = connection::request(method, Uri::from_static(path), headers);
    connection
        .send(head, &Bytes::from(body))
        .context(ConnectionSnafu)?;
    let head = connection.head().await.context(ConnectionSnafu)?;
    let body = connection.body(BYTES_MAX).await.context(ConnectionSnafu)?;
    if !head.status.is_success() {
        return StatusSnafu {
            status: head.status,
        }
        .fail();
    }
    Ok(body)
}

async fn exchange<P: Platform>(
    shared: &Shared<P>,
    peers: &RefCell<Peers>,
    address: SocketAddr,
    idle: Option<Connection>,
) -> Result<Connection, Error> {
    let idle = idle.and_then(|mut connection| connection.is_silent().then_some(connection));
    let mut connection = match idle {
        Some(connection) => connection,
        None => Connection::open(address, CONNECT, &shared.http)
            .await
            .context(ConnectionSnafu)?,
    };
    let digest = digest(shared, &mut peers.borrow_mut());
    let body = rmp_serde::to_vec(&digest).context(EncodeSnafu)?;
    let body = call(&mut connection, address, Method::POST, EXCHANGE_PATH, body).await?;
    let answer: Response = rmp_serde::from_slice(&body).context(DecodeSnafu)?;
    if let Some(upstreams) = answer.upstreams {
        let now = shared.now();
        shared.fleet.borrow_mut().merge(now, upstreams);
        shared.changed.notify_one();
    }
    take(shared, &mut peers.borrow_mut(), &answer.digest);
    Ok(connection)
}
