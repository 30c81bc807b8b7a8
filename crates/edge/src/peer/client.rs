//! Exchanges started by this router.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use futures_util::future::join_all;
use slog::debug;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::time::sleep;
use tokio::time::timeout;

use super::EXCHANGE_PATH;
use super::Peers;
use super::Response;
use super::digest;
use super::link::Call;
use super::link::Links;
use super::merge;
use super::source;
use crate::connection;
use crate::dialect::Platform;
use crate::shared::Shared;

/// Interval between exchanges while this router lacks the configuration or the upstreams.
const INTERVAL_START: Duration = Duration::from_millis(50);
/// Interval between exchanges; changes are sent at once.
const INTERVAL: Duration = Duration::from_millis(250);
/// Interval in a large fleet. Its digests list more readers, and control traffic may take 14 KB/s.
const INTERVAL_LARGE: Duration = Duration::from_millis(500);
/// Number of other routers above which a fleet is large.
const LARGE_FLEET: usize = 100;
/// Number of peers to which a change is sent at once. Each peer that did not have it forwards it
/// to as many.
const FANOUT: usize = 3;
/// Pause after a change was sent, so that changes that follow are sent together.
const BATCH_DELAY: Duration = Duration::from_millis(30);
/// Time limit of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

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
    /// The response cannot be decoded.
    #[snafu(display("the response cannot be decoded: {source}"))]
    Decode {
        /// The cause.
        source: rmp_serde::decode::Error,
    },
    /// The response cannot be decompressed.
    #[snafu(display("the response cannot be decompressed: {source}"))]
    Decompress {
        /// The cause.
        source: io::Error,
    },
    /// The peer responded with an error status.
    #[snafu(display("the peer responded with status {status}"))]
    Status {
        /// The status.
        status: StatusCode,
    },
    /// The peer did not respond in time.
    #[snafu(display("the peer did not respond in time"))]
    TimedOut,
}

/// Exchanges digests with peers in turn at the given interval, and at once with a few when
/// something changed. Never returns.
pub async fn run<P: Platform>(shared: Rc<Shared<P>>, peers: Rc<RefCell<Peers>>) {
    let links = Links::default();
    let mut sent = (shared.revisions(), shared.poison.borrow().news());
    let mut interval = Duration::ZERO;
    loop {
        let has_changed = timeout(interval, shared.changed.notified()).await.is_ok();
        interval = next_interval(&shared, &peers.borrow());
        let mut addresses = BTreeSet::new();
        addresses.extend(peers.borrow_mut().next(shared.random()));
        if !shared.is_loaded() {
            // Some of them may be down, and a connection attempt to one takes long.
            addresses.extend(peers.borrow().unknown_seeds());
        }
        let current = (shared.revisions(), shared.poison.borrow().news());
        if sent != current {
            sent = current;
            addresses.extend(peers.borrow().sample(FANOUT, shared.random()));
        }
        let exchanges = addresses
            .into_iter()
            .map(|address| exchange_within_limit(&shared, &peers, &links, address));
        join_all(exchanges).await;
        if has_changed {
            sleep(BATCH_DELAY).await;
        }
    }
}

fn next_interval<P: Platform>(shared: &Shared<P>, peers: &Peers) -> Duration {
    if shared.is_loaded() {
        interval(peers.len(shared.now()))
    } else {
        INTERVAL_START
    }
}

/// Interval between exchanges of a router that knows `others` other routers.
pub const fn interval(others: usize) -> Duration {
    if others > LARGE_FLEET {
        INTERVAL_LARGE
    } else {
        INTERVAL
    }
}

async fn exchange_within_limit<P: Platform>(
    shared: &Shared<P>,
    peers: &RefCell<Peers>,
    links: &Links,
    address: SocketAddr,
) {
    let exchange = exchange(shared, peers, links, address);
    let exchanged = timeout(EXCHANGE_TIMEOUT, exchange).await;
    if let Err(error) = exchanged.unwrap_or(Err(Error::TimedOut)) {
        debug!(shared.log, "peer: exchange failed";
            "peer" => %address, "error" => %error);
    }
}

async fn exchange<P: Platform>(
    shared: &Shared<P>,
    peers: &RefCell<Peers>,
    links: &Links,
    address: SocketAddr,
) -> Result<(), Error> {
    let mut connection = links.open(address, &shared.http).await?;
    let digest = digest(shared, &mut peers.borrow_mut());
    let call = Call::post(EXCHANGE_PATH, &digest)?;
    let body = call.send(&mut connection, address).await?;
    links.keep(address, connection);
    let response: Response = rmp_serde::from_slice(&body).context(DecodeSnafu)?;
    let mut peers = peers.borrow_mut();
    if let Some(upstreams) = response.upstreams {
        let now = shared.now();
        shared.fleet.borrow_mut().merge(now, upstreams);
        shared.record_change();
    } else if response.digest.upstreams > shared.revisions().1 {
        let source = source(&peers, &response.digest);
        let revision = response.digest.upstreams;
        shared.rosters.record(shared, revision, source);
    }
    merge(shared, &mut peers, &response.digest);
    Ok(())
}
