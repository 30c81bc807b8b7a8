//! Copies configurations and lists of upstreams from peers that announced them.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::future::Either;
use futures_util::stream::FuturesUnordered;
use slog::info;
use snafu::ResultExt as _;
use snipeusher::fetch::Fetch;
use snipeusher::fetch::Query;
use snipeusher::fetch::Source;
use snipeusher::fetch::Step;
use snipeusher::fetch::Target;
use snipeusher::fleet::Delta;
use snipeusher::kv::Revision;
use snipeusher::route::Position;
use snipeusher::time::Time;
use snipeusher_store::Store;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout;

use super::CONFIGURATION_PATH;
use super::Configuration;
use super::UPSTREAMS_PATH;
use super::client::DecodeSnafu;
use super::client::Error;
use super::link;
use super::link::Call;
use crate::dialect::Platform;
use crate::shared::Shared;
use crate::watch;

/// Newer data that peers announced.
///
/// `K` orders the versions of the data.
#[derive(Debug, Default)]
pub struct Announcement<K> {
    fetch: RefCell<Fetch<SocketAddr, K>>,
    notify: Notify,
    /// When a peer first announced a version that this router still lacks.
    behind_since: Cell<Option<Time>>,
}

impl<K: Copy + Ord> Announcement<K> {
    /// Ends the time for which this router has known of a version that it lacked, and returns it.
    pub(crate) fn take_delay(&self, now: Time) -> Option<Duration> {
        let since = self.behind_since.take()?;
        Some(now.since(since))
    }

    /// Records that a peer has a version.
    pub fn record<P: Platform>(&self, shared: &Shared<P>, version: K, source: Source<SocketAddr>) {
        let now = shared.now();
        let since = self.behind_since.get().unwrap_or(now);
        self.behind_since.set(Some(since));
        let is_news = self.fetch.borrow_mut().announce(now, version, source);
        if is_news {
            self.notify.notify_one();
        }
    }
}

/// A kind of data that routers copy from each other.
trait Topic<P: Platform> {
    /// Orders the versions of the data.
    type Version: Copy + Ord;

    /// Path at which peers serve it.
    const PATH: &'static str;
    /// Name in logs.
    const NAME: &'static str;

    /// Announcements of the data.
    fn announcement(shared: &Shared<P>) -> &Announcement<Self::Version>;

    /// Version that this router has.
    fn known(shared: &Shared<P>) -> Option<Self::Version>;

    /// Whether this task may read the data from the store.
    fn may_read_store(shared: &Shared<P>) -> bool;

    /// Decodes the data and applies it; returns its version, or `None` if it cannot be used.
    fn apply(shared: &Shared<P>, body: &Bytes) -> Result<Option<Self::Version>, Error>;
}

struct ConfigurationTopic;

impl<P: Platform> Topic<P> for ConfigurationTopic {
    type Version = Position;

    const PATH: &'static str = CONFIGURATION_PATH;
    const NAME: &'static str = "configuration";

    fn announcement(shared: &Shared<P>) -> &Announcement<Position> {
        &shared.configurations
    }

    fn known(shared: &Shared<P>) -> Option<Position> {
        shared.revisions().0
    }

    fn may_read_store(shared: &Shared<P>) -> bool {
        !shared.is_store_unreachable()
    }

    fn apply(shared: &Shared<P>, body: &Bytes) -> Result<Option<Position>, Error> {
        let configuration: Configuration = rmp_serde::from_slice(body).context(DecodeSnafu)?;
        Ok(shared.configure(configuration.revision, &configuration.value, "peer"))
    }
}

struct RosterTopic;

impl<P: Platform> Topic<P> for RosterTopic {
    type Version = Revision;

    const PATH: &'static str = UPSTREAMS_PATH;
    const NAME: &'static str = "upstreams";

    fn announcement(shared: &Shared<P>) -> &Announcement<Revision> {
        &shared.rosters
    }

    fn known(shared: &Shared<P>) -> Option<Revision> {
        Some(shared.revisions().1)
    }

    /// The task that watches the store reads the list where necessary.
    fn may_read_store(_shared: &Shared<P>) -> bool {
        false
    }

    fn apply(shared: &Shared<P>, body: &Bytes) -> Result<Option<Revision>, Error> {
        let delta: Delta = rmp_serde::from_slice(body).context(DecodeSnafu)?;
        let revision = delta.revision;
        info!(shared.log, "upstreams: received";
            "count" => delta.entries.len(), "revision" => revision.number);
        let now = shared.now();
        shared.fleet.borrow_mut().merge(now, delta);
        shared.record_change();
        Ok(Some(revision))
    }
}

/// Fetches each configuration that peers announce. Never returns.
pub async fn fetch_configurations<P: Platform, S: Store>(shared: Rc<Shared<P>>, store: Rc<S>) {
    run::<ConfigurationTopic, P, S>(&shared, &store).await;
}

/// Fetches each list of upstreams that peers announce. Never returns.
pub async fn fetch_rosters<P: Platform, S: Store>(shared: Rc<Shared<P>>, store: Rc<S>) {
    run::<RosterTopic, P, S>(&shared, &store).await;
}

async fn run<T: Topic<P>, P: Platform, S: Store>(shared: &Shared<P>, store: &S) {
    let announcement = T::announcement(shared);
    loop {
        announcement.notify.notified().await;
        let mut requests = FuturesUnordered::new();
        while let Some(step) = next_step::<T, P>(shared) {
            let wait = match step {
                Step::Peer(address, limit) => {
                    requests.push(Either::Left(copy::<T, P>(shared, address, limit)));
                    continue;
                }
                Step::Store => {
                    requests.push(Either::Right(read_configuration(shared, store)));
                    continue;
                }
                Step::Wait(time) => time,
            };
            if requests.is_empty() {
                sleep(wait).await;
            } else {
                // What a request delivered is applied; if none has ended, another one may start.
                let _ended = timeout(wait, requests.next()).await;
            }
        }
    }
}

fn next_step<T: Topic<P>, P: Platform>(shared: &Shared<P>) -> Option<Step<SocketAddr>> {
    let query = Query {
        known: T::known(shared),
        store: T::may_read_store(shared),
        random: shared.random(),
    };
    let mut fetch = T::announcement(shared).fetch.borrow_mut();
    fetch.next(shared.now(), &query)
}

/// Copies the data of a peer.
async fn copy<T: Topic<P>, P: Platform>(shared: &Shared<P>, address: SocketAddr, limit: Duration) {
    let requested = timeout(limit, request(shared, address, T::PATH)).await;
    let body = requested.unwrap_or(Err(Error::TimedOut));
    let applied = body.and_then(|body| T::apply(shared, &body));
    let mut fetch = T::announcement(shared).fetch.borrow_mut();
    let target = Target::Peer(address);
    match applied {
        Ok(Some(version)) => fetch.record_received(target, version),
        Ok(None) => fetch.record_failure(shared.now(), target),
        Err(error) => {
            fetch.record_failure(shared.now(), target);
            info!(shared.log, "peer: copy not received";
                "data" => T::NAME, "peer" => %address, "error" => %error);
        }
    }
}

async fn read_configuration<P: Platform, S: Store>(shared: &Shared<P>, store: &S) {
    let started_at = shared.now();
    let read = watch::configuration(shared, store).await;
    let now = shared.now();
    let mut fetch = shared.configurations.fetch.borrow_mut();
    // One that the store does not have yet is read again after a pause.
    fetch.record_failure(now, Target::Store);
    if let Err(fault) = read {
        let elapsed = now.since(started_at);
        info!(shared.log, "configuration: not read from the store";
            "cause" => watch::cause(fault), "ms" => elapsed.as_millis() as u64);
    }
}

async fn request<P: Platform>(
    shared: &Shared<P>,
    address: SocketAddr,
    path: &'static str,
) -> Result<Bytes, Error> {
    let mut connection = link::open(address, &shared.http).await?;
    Call::get(path).send(&mut connection, address).await
}
