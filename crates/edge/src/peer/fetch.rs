//! Fetches a configuration that a peer knows of.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use slog::info;
use snafu::ResultExt as _;
use snipeusher::kv::Revision;
use snipeusher_store::Store;
use tokio::time::sleep;
use tokio::time::timeout;

use super::CONFIGURATION_PATH;
use super::Configuration;
use super::client;
use super::client::CONNECT;
use super::client::ConnectionSnafu;
use super::client::DecodeSnafu;
use super::client::Error;
use crate::connection::Connection;
use crate::dialect::Platform;
use crate::shared::Shared;
use crate::watch;

/// Longest time for a configuration from a peer: a megabyte at 10 Mbit/s takes 0.8 s, and several
/// routers may ask the same one.
const FETCH: Duration = Duration::from_secs(3);
/// Longest time for a small one, after which the store is asked instead.
const FETCH_SMALL: Duration = Duration::from_millis(300);
/// Largest configuration in force for which peers are asked first. A change costs the fleet one
/// call of the store for each router otherwise; a large one would fill the links of its holders.
const SMALL_BYTES: usize = 128 << 10;
/// Pause after a peer did not bring what it told, such as one that started again.
const PAUSE: Duration = Duration::from_millis(150);

/// A peer that has a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source {
    /// Where it takes exchanges.
    pub address: SocketAddr,
    /// Whether it is in the own availability zone.
    pub is_local: bool,
}

/// A configuration that a peer has and this router has not.
#[derive(Debug, Default)]
pub struct Announcement {
    told: RefCell<Option<(Revision, Source)>>,
    notify: tokio::sync::Notify,
}

impl Announcement {
    /// Notes that a peer has a revision; the newest one counts, and a near peer before a far one.
    pub fn record(&self, revision: Option<Revision>, peer: Source) {
        let Some(revision) = revision else { return };
        let mut told = self.told.borrow_mut();
        let is_better = told.is_none_or(|(known, other)| {
            known < revision || known == revision && (peer.is_local || !other.is_local)
        });
        if is_better {
            *told = Some((revision, peer));
            self.notify.notify_one();
        }
    }

    /// Forgets a peer that did not bring what it has, so that any other may be asked.
    fn forget(&self, peer: Source) {
        let mut told = self.told.borrow_mut();
        *told = told.take_if(|(_, other)| *other != peer);
    }

    /// Forgets what is not newer than a revision.
    fn settle(&self, revision: Revision) {
        let mut told = self.told.borrow_mut();
        *told = told.take_if(|(known, _)| *known > revision);
    }

    fn newer_than(&self, known: Option<Revision>) -> Option<Source> {
        let told = *self.told.borrow();
        let newer = told.filter(|(revision, _)| known.is_none_or(|known| known < *revision));
        newer.map(|(_, peer)| peer)
    }
}

/// Fetches configurations that peers tell of, for ever.
pub async fn fetch<P: Platform, S: Store>(shared: Rc<Shared<P>>, store: Rc<S>) {
    loop {
        shared.announcement.notify.notified().await;
        while let Some(peer) = announced(&shared) {
            if is_small(&shared) && peer.is_local && try_peer(&shared, peer, FETCH_SMALL).await {
                continue;
            }
            if !shared.is_store_unreachable() {
                // If it fails a peer is asked, which says more of the cause.
                let _read = watch::configuration(&shared, &*store).await;
            }
            if let Some(peer) = announced(&shared)
                && !try_peer(&shared, peer, FETCH).await
            {
                shared.announcement.forget(peer);
                sleep(PAUSE).await;
            }
        }
    }
}

/// A peer with a newer configuration than this router has.
fn announced<P: Platform>(shared: &Shared<P>) -> Option<Source> {
    shared.announcement.newer_than(shared.revisions().0)
}

/// Whether the configuration in force is small, so that the next one most likely is.
fn is_small<P: Platform>(shared: &Shared<P>) -> bool {
    let document = shared.document();
    document.is_some_and(|document| document.value.len() <= SMALL_BYTES)
}

/// Fetches the configuration of a peer; false if what it told of does not come within the limit.
async fn try_peer<P: Platform>(shared: &Shared<P>, peer: Source, limit: Duration) -> bool {
    let fetched = timeout(limit, from_peer(shared, peer.address)).await;
    match fetched.unwrap_or(Err(Error::TimedOut)) {
        Ok(configuration) => {
            shared.configure(configuration.revision, &configuration.value, "peer");
            // One that cannot be read here is not asked for again.
            shared.announcement.settle(configuration.revision);
            announced(shared).is_none()
        }
        Err(error) => {
            info!(shared.log, "configuration: not fetched";
                "peer" => %peer.address, "error" => %error);
            false
        }
    }
}

async fn from_peer<P: Platform>(
    shared: &Shared<P>,
    address: SocketAddr,
) -> Result<Configuration, Error> {
    let connection = Connection::open(address, CONNECT, &shared.http).await;
    let mut connection = connection.context(ConnectionSnafu)?;
    let none = Vec::new();
    let body = client::call(
        &mut connection,
        address,
        Method::GET,
        CONFIGURATION_PATH,
        none,
    )
    .await?;
    rmp_serde::from_slice(&body).context(DecodeSnafu)
}
