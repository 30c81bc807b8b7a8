//! Exchanges started by this router.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use futures_util::future::Either;
use futures_util::future::join;
use futures_util::future::join_all;
use futures_util::future::select;
use slog::debug;
use slog::info;
use snafu::ResultExt as _;
use snafu::Snafu;
use snipeusher::time::Time;
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
/// Time after which a router that waits for an exchange checks the readers of its zone.
const READERS_CHECK_DELAY: Duration = Duration::from_millis(200);
/// Least time between two such checks.
const READERS_CHECK_INTERVAL: Duration = Duration::from_secs(1);
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
    let exchanges = Rc::new(Exchanges {
        shared: Rc::clone(&shared),
        peers: Rc::clone(&peers),
        links: Links::default(),
        in_progress: RefCell::default(),
        readers_checked_at: Cell::default(),
    });
    let mut sent = updates(&shared);
    let mut interval = Duration::ZERO;
    loop {
        let has_changed = timeout(interval, shared.changed.notified()).await.is_ok();
        interval = next_interval(&shared, &peers.borrow());
        contact_discovered(&shared, &mut peers.borrow_mut());
        let mut addresses = BTreeSet::new();
        addresses.extend(peers.borrow_mut().next(shared.random()));
        if !shared.is_loaded() {
            // Some of them may be down, and a connection attempt to one takes long.
            addresses.extend(peers.borrow().unknown_seeds());
        }
        let current = updates(&shared);
        if sent != current {
            sent = current;
            addresses.extend(peers.borrow().sample(FANOUT, shared.random()));
        }
        for address in addresses {
            // A peer that does not answer must not delay the exchanges with others.
            actix_rt::spawn(Rc::clone(&exchanges).run(address));
        }
        if has_changed {
            sleep(BATCH_DELAY).await;
        }
    }
}

/// Has the routers contacted that were found by their records in the store.
fn contact_discovered<P: Platform>(shared: &Shared<P>, peers: &mut Peers) {
    let now = shared.now();
    for router in shared.discovery.take() {
        if peers.introduce(now, &router.host, router.address) {
            info!(shared.log, "discovery: router found";
                "host" => router.host.as_str(), "address" => %router.address);
        }
    }
}

/// What peers are told at once when it changes: the known revisions, crashes of upstreams, and
/// whether the store answers this router as one of its readers.
fn updates<P: Platform>(shared: &Shared<P>) -> impl PartialEq + use<P> {
    let has_reply = shared.readers.borrow().has_reply();
    (
        shared.revisions(),
        shared.poison.borrow().updates(),
        has_reply,
    )
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

/// Exchanges in progress, at most one with each peer.
struct Exchanges<P> {
    shared: Rc<Shared<P>>,
    peers: Rc<RefCell<Peers>>,
    links: Links,
    in_progress: RefCell<BTreeSet<SocketAddr>>,
    /// When this router last looked whether the readers of its zone can be reached.
    readers_checked_at: Cell<Time>,
}

/// An exchange in progress, also if it ends by a panic.
struct InProgress<'a> {
    all: &'a RefCell<BTreeSet<SocketAddr>>,
    address: SocketAddr,
}

impl<'a> InProgress<'a> {
    /// `None` if an exchange with the peer is in progress.
    fn start(all: &'a RefCell<BTreeSet<SocketAddr>>, address: SocketAddr) -> Option<Self> {
        let is_new = all.borrow_mut().insert(address);
        is_new.then_some(Self { all, address })
    }
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.all.borrow_mut().remove(&self.address);
    }
}

impl<P: Platform> Exchanges<P> {
    /// Exchanges digests with a peer. If that takes long, checks whether the readers of this zone
    /// are lost, too.
    async fn run(self: Rc<Self>, address: SocketAddr) {
        let exchange = pin!(self.exchange(address));
        match select(exchange, pin!(sleep(READERS_CHECK_DELAY))).await {
            Either::Left((true, _)) => {}
            Either::Left((false, _)) => self.check_readers().await,
            Either::Right(((), exchange)) => {
                join(exchange, self.check_readers()).await;
            }
        }
    }

    /// Exchanges digests with the readers of this zone, unless that was done just before.
    async fn check_readers(&self) {
        let now = self.shared.now();
        if now.since(self.readers_checked_at.get()) < READERS_CHECK_INTERVAL {
            return;
        }
        self.readers_checked_at.set(now);
        let readers = self.local_readers();
        join_all(readers.into_iter().map(|reader| self.exchange(reader))).await;
    }

    /// Addresses of the readers of this router's zone.
    fn local_readers(&self) -> Vec<SocketAddr> {
        let readers = self.shared.readers.borrow();
        let peers = self.peers.borrow();
        let local = readers.local(self.shared.now());
        local.filter_map(|host| peers.address(host)).collect()
    }

    /// Exchanges digests with a peer unless an exchange with it is in progress. Returns false if it
    /// cannot be reached.
    async fn exchange(&self, address: SocketAddr) -> bool {
        let Some(_in_progress) = InProgress::start(&self.in_progress, address) else {
            return true;
        };
        let exchanged = timeout(EXCHANGE_TIMEOUT, self.try_exchange(address)).await;
        let Err(error) = exchanged.unwrap_or(Err(Error::TimedOut)) else {
            return true;
        };
        debug!(self.shared.log, "peer: exchange failed";
            "peer" => %address, "error" => %error);
        self.record_unavailable(address);
        false
    }

    /// A reader that cannot be reached delivers no changes.
    fn record_unavailable(&self, address: SocketAddr) {
        let now = self.shared.now();
        let peers = self.peers.borrow();
        let mut readers = self.shared.readers.borrow_mut();
        let host = peers.host(address);
        if let Some(host) = host.filter(|host| readers.record_unavailable(now, host)) {
            info!(self.shared.log, "reader: cannot be reached"; "host" => host.as_str());
            self.shared.reader_lost.notify_one();
        }
    }

    async fn try_exchange(&self, address: SocketAddr) -> Result<(), Error> {
        let shared = &*self.shared;
        let mut connection = self.links.open(address, &shared.http).await?;
        let digest = digest(shared, &mut self.peers.borrow_mut());
        let call = Call::post(EXCHANGE_PATH, &digest)?;
        let body = call.send(&mut connection, address).await?;
        self.links.keep(address, connection);
        let response: Response = rmp_serde::from_slice(&body).context(DecodeSnafu)?;
        let mut peers = self.peers.borrow_mut();
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
}
