//! Retries beyond a router's part of a retry budget, handed over to peers.
//!
//! The callers of a router that is drained, or whose zone the balancer avoids, move to others, which
//! earn retries by the same requests again. What the router has spent then exceeds its part, and
//! would be spent twice within one window. The callers of a router that is lost move as well; what it
//! had spent is counted by the first of the peers that keep its statements. See
//! `docs/design/retry-budget.md`.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use serde::Deserialize;
use serde::Serialize;
use slog::debug;
use slog::info;
use snafu::ResultExt as _;
use snipeusher::fleet::Account;
use snipeusher::fleet::Inquiry;
use snipeusher::fleet::Lost;
use snipeusher::name;
use tokio::time::sleep;

use super::OVERDRAFT_PATH;
use super::Peers;
use super::client::DecodeSnafu;
use super::client::Error;
use super::link::Call;
use super::link::Links;
use super::spending::CALL_TIMEOUT;
use super::spending::COPIES;
use super::spending::query;
use crate::dialect::Platform;
use crate::shared::Shared;

/// How often this router checks whether it is beyond its part of a budget.
const INTERVAL: Duration = Duration::from_millis(250);
/// Peers to which it hands over what is beyond, each time.
const TAKERS: usize = 2;
/// Time without a statement from which on a router may be lost. It states its spending twice within
/// it while it spends, and is queried before it counts as lost.
const SILENT_AFTER: Duration = Duration::from_millis(500);

/// The response to retries that are handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Taken {
    /// How many of them the peer counts from now on.
    retries: u32,
}

/// Hands over what this router spends beyond its parts. Never returns.
pub async fn hand_over_overdrafts<P: Platform>(shared: Rc<Shared<P>>, peers: Rc<RefCell<Peers>>) {
    let links = Links::default();
    loop {
        sleep(INTERVAL).await;
        let takers = peers.borrow().sample(TAKERS, shared.random());
        // One after another, since each is offered what those before have not taken.
        for taker in takers {
            let overdrafts = shared.fleet.borrow_mut().overdrafts(shared.now());
            let offers = overdrafts
                .iter()
                .map(|account| hand_over(&shared, &links, taker, account));
            join_all(offers).await;
        }
        count_for_lost(&shared, &peers, &links).await;
    }
}

/// Counts what lost routers have spent beyond their parts, if this router is the first that keeps
/// their statements.
async fn count_for_lost<P: Platform>(shared: &Shared<P>, peers: &RefCell<Peers>, links: &Links) {
    let lost = lost_routers(shared);
    for host in lost.into_iter().map(|lost| lost.host) {
        if is_counted_elsewhere(shared, peers, links, &host).await {
            continue;
        }
        // It may have stated its spending meanwhile.
        let Some(lost) = lost_routers(shared)
            .into_iter()
            .find(|lost| lost.host == host)
        else {
            continue;
        };
        let now = shared.now();
        let mut fleet = shared.fleet.borrow_mut();
        fleet.count_for_lost(now, &lost);
        let window = fleet.retry_window();
        shared.accounts.borrow_mut().release(now, window, &lost);
        info!(shared.log, "retries: counted for a lost router";
            "host" => host.as_str(), "retries" => retries(&lost));
    }
}

fn lost_routers<P: Platform>(shared: &Shared<P>) -> Vec<Lost> {
    let fleet = shared.fleet.borrow();
    fleet.lost_routers(shared.now(), &shared.accounts.borrow(), SILENT_AFTER)
}

fn retries(lost: &Lost) -> u32 {
    let spans = lost.accounts.iter().flat_map(|account| &account.spans);
    spans.map(|span| span.spending.retries).sum()
}

/// Whether a router runs after all, or a peer that keeps its statements and ranks before this router
/// does.
async fn is_counted_elsewhere<P: Platform>(
    shared: &Shared<P>,
    peers: &RefCell<Peers>,
    links: &Links,
    host: &name::Host,
) -> bool {
    let own = shared.settings.control;
    let (inquiry, keepers, address) = {
        let peers = peers.borrow();
        let Some(zone) = peers.zone(host).cloned() else {
            // Nothing was heard of it for long; its retries have left the window.
            return true;
        };
        let keepers = peers.ranked_for(host, &zone, own, COPIES);
        let host = host.clone();
        let address = peers.address(&host);
        (Inquiry { host, zone }, keepers, address)
    };
    if !keepers.contains(&own) {
        return true;
    }
    if let Some(address) = address
        && query(shared, links, address, &inquiry).await.is_some()
    {
        return true;
    }
    for keeper in keepers.into_iter().take_while(|keeper| *keeper != own) {
        let answer = query(shared, links, keeper, &inquiry).await;
        if answer.is_some_and(|answer| answer.age_ms.is_some()) {
            return true;
        }
    }
    false
}

/// Hands over the retries of one service as far as a peer takes them.
async fn hand_over<P: Platform>(
    shared: &Shared<P>,
    links: &Links,
    peer: SocketAddr,
    account: &Account,
) {
    match try_hand_over(shared, links, peer, account).await {
        Ok(taken) => release(shared, peer, account, taken),
        // The retries count here for as long as it is not known that they do there.
        Err(error) => debug!(shared.log, "peer: retries not handed over";
            "peer" => %peer, "error" => %error),
    }
}

async fn try_hand_over<P: Platform>(
    shared: &Shared<P>,
    links: &Links,
    peer: SocketAddr,
    account: &Account,
) -> Result<Taken, Error> {
    let call = Call::post(OVERDRAFT_PATH, account)?;
    let body = links.call(peer, &shared.http, call, CALL_TIMEOUT).await?;
    rmp_serde::from_slice(&body).context(DecodeSnafu)
}

fn release<P: Platform>(shared: &Shared<P>, peer: SocketAddr, account: &Account, taken: Taken) {
    let offered = account.spans.iter().map(|span| span.spending.retries);
    let retries = taken.retries.min(offered.sum());
    if retries > 0 {
        info!(shared.log, "retries: handed over";
            "service" => account.service.as_str(), "peer" => %peer, "retries" => retries);
        let mut fleet = shared.fleet.borrow_mut();
        fleet.release_retries(&account.service, retries);
    }
}

/// Counts retries of a peer in its place, as far as this router has credit.
pub(super) fn take_over<P: Platform>(shared: &Shared<P>, account: &Account) -> Taken {
    let now = shared.now();
    let retries = shared.fleet.borrow_mut().take_over_retries(now, account);
    Taken { retries }
}
