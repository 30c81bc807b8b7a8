//! Fetches configurations announced by peers.

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
use super::client::CONNECT_TIMEOUT;
use super::client::ConnectionSnafu;
use super::client::DecodeSnafu;
use super::client::Error;
use crate::connection::Connection;
use crate::dialect::Platform;
use crate::shared::Shared;
use crate::watch;

/// Time limit for fetching a configuration from a peer. A megabyte at 10 Mbit/s takes 0.8 s, and
/// several routers may fetch from the same peer at once.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for fetching a small configuration, after which it is read from the store instead.
const SMALL_FETCH_TIMEOUT: Duration = Duration::from_millis(300);
/// Size of the configuration in force up to which a new one is first requested from peers, which
/// saves the fleet one call of the store for each router and change. A larger one would saturate
/// the links of the routers that already have it.
const SMALL_BYTES: usize = 128 << 10;
/// Pause after a peer, for example a restarted one, did not deliver the announced configuration.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// A peer from which a configuration can be fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source {
    /// Address for exchanges.
    pub address: SocketAddr,
    /// Whether it is in this router's availability zone.
    pub is_local: bool,
}

/// The newest configuration announced by a peer that this router does not have.
#[derive(Debug, Default)]
pub struct Announcement {
    newest: RefCell<Option<(Revision, Source)>>,
    notify: tokio::sync::Notify,
}

impl Announcement {
    /// Records that a peer has a revision, if it is newer than the recorded one. A peer of the own
    /// availability zone replaces another one with the same revision.
    pub fn record(&self, revision: Option<Revision>, source: Source) {
        let Some(revision) = revision else { return };
        let mut newest = self.newest.borrow_mut();
        let is_better = newest.is_none_or(|(known, other)| {
            known < revision || known == revision && (source.is_local || !other.is_local)
        });
        if is_better {
            *newest = Some((revision, source));
            self.notify.notify_one();
        }
    }

    /// Removes a peer that did not deliver its configuration, so that another one is used.
    fn remove(&self, source: Source) {
        let mut newest = self.newest.borrow_mut();
        *newest = newest.take_if(|(_, other)| *other != source);
    }

    /// Clears an announcement that is not newer than a revision.
    fn clear_up_to(&self, revision: Revision) {
        let mut newest = self.newest.borrow_mut();
        *newest = newest.take_if(|(known, _)| *known > revision);
    }

    fn newer_than(&self, known: Option<Revision>) -> Option<Source> {
        let newest = *self.newest.borrow();
        let newer = newest.filter(|(revision, _)| known.is_none_or(|known| known < *revision));
        newer.map(|(_, source)| source)
    }
}

/// Fetches each configuration that peers announce. Never returns.
pub async fn fetch<P: Platform, S: Store>(shared: Rc<Shared<P>>, store: Rc<S>) {
    loop {
        shared.announcement.notify.notified().await;
        while let Some(source) = announced(&shared) {
            if is_small(&shared)
                && source.is_local
                && try_fetch(&shared, source, SMALL_FETCH_TIMEOUT).await
            {
                continue;
            }
            if !shared.is_store_unreachable() {
                // If this fails, the fetch from the peer follows and logs its own error.
                let _read = watch::configuration(&shared, &*store).await;
            }
            if let Some(source) = announced(&shared)
                && !try_fetch(&shared, source, FETCH_TIMEOUT).await
            {
                shared.announcement.remove(source);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// A peer that announced a newer configuration than this router has.
fn announced<P: Platform>(shared: &Shared<P>) -> Option<Source> {
    shared.announcement.newer_than(shared.revisions().0)
}

/// Whether the configuration in force is small, so that the next one most likely is, too.
fn is_small<P: Platform>(shared: &Shared<P>) -> bool {
    let document = shared.document();
    document.is_some_and(|document| document.value.len() <= SMALL_BYTES)
}

/// Fetches the configuration of a peer. Returns false if the announced one was not received within
/// the time limit.
async fn try_fetch<P: Platform>(shared: &Shared<P>, source: Source, limit: Duration) -> bool {
    let fetched = timeout(limit, request_configuration(shared, source.address)).await;
    match fetched.unwrap_or(Err(Error::TimedOut)) {
        Ok(configuration) => {
            shared.configure(configuration.revision, &configuration.value, "peer");
            // A configuration that cannot be decoded here is not fetched again.
            shared.announcement.clear_up_to(configuration.revision);
            announced(shared).is_none()
        }
        Err(error) => {
            info!(shared.log, "configuration: not fetched";
                "peer" => %source.address, "error" => %error);
            false
        }
    }
}

async fn request_configuration<P: Platform>(
    shared: &Shared<P>,
    address: SocketAddr,
) -> Result<Configuration, Error> {
    let connection = Connection::open(address, CONNECT_TIMEOUT, &shared.http).await;
    let mut connection = connection.context(ConnectionSnafu)?;
    let empty = Vec::new();
    let body = client::call(
        &mut connection,
        address,
        Method::GET,
        CONFIGURATION_PATH,
        empty,
    )
    .await?;
    rmp_serde::from_slice(&body).context(DecodeSnafu)
}
