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
use super::client::ChannelSnafu;
use super::client::DecodeSnafu;
use super::client::Error;
use crate::channel::Channel;
use crate::dialect::Platform;
use crate::follow;
use crate::shared::Shared;

/// Longest time for a configuration from a peer: a megabyte at 10 Mbit/s takes 0.8 s, and several
/// routers may ask the same one.
const FETCH: Duration = Duration::from_secs(3);
/// Pause after a failure.
const PAUSE: Duration = Duration::from_millis(150);

/// A configuration that a peer has and this router has not.
#[derive(Debug, Default)]
pub struct Wanted {
    told: RefCell<Option<(Revision, SocketAddr)>>,
    news: tokio::sync::Notify,
}

impl Wanted {
    /// Notes that a peer has a revision; the newest one counts, and the last peer that has it.
    pub fn tell(&self, revision: Option<Revision>, address: SocketAddr) {
        let Some(revision) = revision else { return };
        let mut told = self.told.borrow_mut();
        if told.is_none_or(|(known, _)| known <= revision) {
            *told = Some((revision, address));
            self.news.notify_one();
        }
    }

    /// Forgets what is not newer than a revision.
    fn settle(&self, revision: Revision) {
        let mut told = self.told.borrow_mut();
        *told = told.take_if(|(known, _)| *known > revision);
    }

    fn newer_than(&self, known: Option<Revision>) -> Option<SocketAddr> {
        let told = *self.told.borrow();
        let newer = told.filter(|(revision, _)| known.is_none_or(|known| known < *revision));
        newer.map(|(_, address)| address)
    }
}

/// Fetches configurations that peers tell of, for ever.
pub async fn fetch<P: Platform, S: Store>(shared: Rc<Shared<P>>, store: Rc<S>) {
    loop {
        shared.wanted.news.notified().await;
        while let Some(address) = shared.wanted.newer_than(shared.knowledge().0) {
            if !shared.store_is_lost() {
                // If it fails the peer is asked, which says more of the cause.
                let _read = follow::configuration(&shared, &*store).await;
            }
            if shared.wanted.newer_than(shared.knowledge().0).is_none() {
                break;
            }
            let fetched = timeout(FETCH, from_peer(&shared, address)).await;
            match fetched.unwrap_or(Err(Error::TimedOut)) {
                Ok(configuration) => {
                    let value = &configuration.value;
                    shared.configure(configuration.revision, value, "peer");
                    // One that cannot be read here is not asked for again.
                    shared.wanted.settle(configuration.revision);
                }
                Err(error) => {
                    info!(shared.log, "configuration: not fetched";
                        "peer" => %address, "error" => %error);
                    sleep(PAUSE).await;
                }
            }
        }
    }
}

async fn from_peer<P: Platform>(
    shared: &Shared<P>,
    address: SocketAddr,
) -> Result<Configuration, Error> {
    let channel = Channel::open(address, CONNECT, &shared.http).await;
    let mut channel = channel.context(ChannelSnafu)?;
    let none = Vec::new();
    let body = client::call(&mut channel, address, Method::GET, CONFIGURATION_PATH, none).await?;
    rmp_serde::from_slice(&body).context(DecodeSnafu)
}
