//! What routers have spent of the retry budgets, stated to peers and queried after a restart.
//!
//! Nothing on a host outlives its process, so a router that is replaced, planned or not, would spend
//! its part of a budget again. While it sends retries, it therefore states its spending to a few
//! peers, chosen by rendezvous hashing of its host name, and a process that starts queries them. See
//! `docs/design/retry-budget.md`.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use slog::debug;
use slog::info;
use slog::warn;
use snafu::ResultExt as _;
use snipeusher::fleet::Account;
use snipeusher::fleet::Answer;
use snipeusher::fleet::Conclusion;
use snipeusher::fleet::Inquiry;
use snipeusher::fleet::Statement;
use snipeusher::fleet::conclude;
use snipeusher::time::Time;
use tokio::time::sleep;

use super::Peers;
use super::SPENDING_PATH;
use super::SPENT_PATH;
use super::client::DecodeSnafu;
use super::client::Error;
use super::link::Call;
use super::link::Links;
use super::peers::host_key;
use crate::dialect::Platform;
use crate::shared::Shared;

/// Peers to which a router states its spending, so that one is left if several are lost with it.
pub(super) const COPIES: usize = 4;
/// How often a router states its spending while it sends retries. What it sent since is unknown
/// after a kill.
const INTERVAL: Duration = Duration::from_millis(250);
/// Peers that are queried after a restart, before any has told which ones keep the statements.
const QUERIED: usize = 6;
/// Keepers that are queried at most. Peers that disagree on the fleet name different ones.
const KEEPERS_MAX: usize = 12;
/// Pause before the keepers are queried again.
const QUERY_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit of a call.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest number of routers that a peer can state.
const ROUTERS_MAX: u32 = 100_000;

/// States what this router spends. Never returns.
pub async fn state_spending<P: Platform>(shared: Rc<Shared<P>>, peers: Rc<RefCell<Peers>>) {
    let links = Links::default();
    let mut last = Vec::new();
    loop {
        sleep(INTERVAL).await;
        let spending = shared.fleet.borrow_mut().spending(shared.now());
        if spending == last {
            continue;
        }
        last = spending;
        let accounts = shared.fleet.borrow_mut().accounts(shared.now());
        if accounts.is_empty() {
            continue;
        }
        let statement = Statement {
            host: shared.settings.host.clone(),
            accounts,
        };
        let addresses = ranked(&shared, &peers, COPIES);
        let sends = addresses.into_iter().map(|address| {
            let (links, statement, shared) = (&links, &statement, &shared);
            async move {
                let sent = send(shared, links, address, statement).await;
                if let Err(error) = sent {
                    debug!(shared.log, "peer: spending not stated";
                        "peer" => %address, "error" => %error);
                }
            }
        });
        join_all(sends).await;
    }
}

/// Learns what an earlier process of this router spent, and returns once that can no longer matter.
pub async fn learn_spending<P: Platform>(shared: Rc<Shared<P>>, peers: Rc<RefCell<Peers>>) {
    let links = Links::default();
    let is_unknown = || {
        let fleet = shared.fleet.borrow();
        fleet.are_past_retries_unknown(shared.now())
    };
    let mut keepers = BTreeSet::new();
    while is_unknown() {
        let mut addresses = keepers.clone();
        addresses.extend(ranked(&shared, &peers, QUERIED));
        let inquiry = Inquiry {
            host: shared.settings.host.clone(),
            zone: shared.settings.fleet.zone.clone(),
        };
        let queries = addresses
            .iter()
            .map(|address| query(&shared, &links, *address, &inquiry));
        let answers: Vec<Answer> = join_all(queries).await.into_iter().flatten().collect();
        let stated = answers.iter().flat_map(|answer| &answer.keepers);
        keepers = stated.copied().take(KEEPERS_MAX).collect();
        match conclude(&answers) {
            Conclusion::Spent(accounts) if is_unknown() => apply(&shared, &accounts, &answers),
            // This router did not know yet whom to query.
            _ if !keepers.is_subset(&addresses) => {}
            _ => sleep(QUERY_INTERVAL).await,
        }
    }
    // By then the exchanges have told of all routers.
    let window = shared.fleet.borrow().retry_window();
    sleep(window.saturating_sub(uptime(&shared))).await;
    shared.fleet.borrow_mut().set_routers_min(1);
}

fn uptime<P: Platform>(shared: &Shared<P>) -> Duration {
    shared.now().since(Time::default())
}

fn apply<P: Platform>(shared: &Shared<P>, accounts: &[Account], answers: &[Answer]) {
    let now = shared.now();
    let stated = answers.iter().map(|answer| answer.routers);
    let routers = stated.filter(|routers| *routers <= ROUTERS_MAX).max();
    let mut fleet = shared.fleet.borrow_mut();
    fleet.learn_past_retries(now, accounts);
    fleet.set_routers_min(routers.unwrap_or(1) as usize);
    let retries = fleet.spending(now).into_iter();
    let retries: u32 = retries.map(|(_, spending)| spending.retries).sum();
    info!(shared.log, "retries: earlier spending known";
        "retries" => retries, "routers" => routers, "answers" => answers.len());
}

/// The peers that rank first for this router's host name.
fn ranked<P: Platform>(
    shared: &Shared<P>,
    peers: &RefCell<Peers>,
    count: usize,
) -> Vec<SocketAddr> {
    peers
        .borrow()
        .ranked(host_key(&shared.settings.host), count)
}

async fn send<P: Platform>(
    shared: &Shared<P>,
    links: &Links,
    address: SocketAddr,
    statement: &Statement,
) -> Result<(), Error> {
    let call = Call::post(SPENDING_PATH, statement)?;
    links
        .call(address, &shared.http, call, CALL_TIMEOUT)
        .await?;
    Ok(())
}

/// Queries a peer for the spending of a process that is gone; `None` if it does not answer. A router of
/// the build before does not.
pub(super) async fn query<P: Platform>(
    shared: &Shared<P>,
    links: &Links,
    address: SocketAddr,
    inquiry: &Inquiry,
) -> Option<Answer> {
    match try_query(shared, links, address, inquiry).await {
        Ok(answer) => Some(answer),
        Err(error) => {
            debug!(shared.log, "peer: spending not received";
                "peer" => %address, "error" => %error);
            None
        }
    }
}

async fn try_query<P: Platform>(
    shared: &Shared<P>,
    links: &Links,
    address: SocketAddr,
    inquiry: &Inquiry,
) -> Result<Answer, Error> {
    let call = Call::post(SPENT_PATH, inquiry)?;
    let body = links
        .call(address, &shared.http, call, CALL_TIMEOUT)
        .await?;
    rmp_serde::from_slice(&body).context(DecodeSnafu)
}

/// Keeps what a peer stated. Nobody else speaks for this router.
pub(super) fn record<P: Platform>(shared: &Shared<P>, statement: Statement) {
    if statement.host == shared.settings.host {
        warn!(shared.log, "peer: spending of this host ignored");
        return;
    }
    let window = shared.fleet.borrow().retry_window();
    let mut accounts = shared.accounts.borrow_mut();
    accounts.record(shared.now(), window, statement);
}

/// What this router knows of the earlier process of a host.
pub(super) fn answer<P: Platform>(shared: &Shared<P>, peers: &Peers, inquiry: &Inquiry) -> Answer {
    let now = shared.now();
    let fleet = shared.fleet.borrow();
    let window = fleet.retry_window();
    let stated = shared.accounts.borrow().get(now, window, &inquiry.host);
    let (age, accounts) = stated.unzip();
    let own = shared.settings.control;
    let keepers = peers.ranked_for(&inquiry.host, &inquiry.zone, own, COPIES);
    let has_run_long = uptime(shared) >= window || shared.settings.is_first_start;
    Answer {
        accounts: accounts.unwrap_or_default(),
        age_ms: age.map(|age| age.as_millis() as u32),
        is_complete: has_run_long && keepers.contains(&own),
        keepers,
        routers: u32::try_from(fleet.routers()).unwrap_or(u32::MAX),
    }
}
