//! Active health checks of unreachable and silent upstreams.
//!
//! A check only opens a connection, so that no request has to fail and none is executed twice.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use slog::info;
use slog::warn;
use snipeusher::name;
use tokio::time::sleep;

use crate::connection::Connection;
use crate::dialect::Platform;
use crate::evacuation;
use crate::peer::Peers;
use crate::shared::Shared;

/// Interval between lookups of upstreams that are due for a check.
const INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of concurrent checks.
const CONCURRENT_MAX: usize = 8;

/// Runs the checks that are due. Never returns.
pub(crate) async fn run<P: Platform>(shared: Rc<Shared<P>>, peers: Rc<RefCell<Peers>>) {
    let mut unreachable = Vec::new();
    loop {
        sleep(INTERVAL).await;
        log_unreachable(&shared, &peers.borrow(), &mut unreachable);
        let now = shared.now();
        let due = shared.fleet.borrow_mut().due_probes(now);
        evacuation::log(&shared);
        shared.log_warmups();
        let checks = due.into_iter().take(CONCURRENT_MAX);
        join_all(checks.map(|(id, address)| check(&shared, id, address))).await;
        shared.outage.notify_one();
    }
}

/// Logs which services have become unreachable for this router, with the number of peers that reach
/// them, and which it reaches again.
fn log_unreachable<P: Platform>(shared: &Shared<P>, peers: &Peers, known: &mut Vec<name::Service>) {
    let unreachable = shared.fleet.borrow().unreachable_services();
    for service in unreachable
        .iter()
        .filter(|service| !known.contains(service))
    {
        let reaching = peers.reaching(shared.now(), service, 0).len();
        warn!(shared.log, "service: unreachable";
            "service" => service.as_str(), "peers_reaching" => reaching);
    }
    for service in known
        .iter()
        .filter(|service| !unreachable.contains(service))
    {
        info!(shared.log, "service: reached again"; "service" => service.as_str());
    }
    *known = unreachable;
}

async fn check<P: Platform>(shared: &Shared<P>, id: name::Upstream, address: SocketAddr) {
    let limit = shared.settings.connect_timeout;
    let is_reached = Connection::open(address, limit, &shared.http).await.is_ok();
    let now = shared.now();
    if shared.fleet.borrow_mut().record_probe(now, &id, is_reached) {
        info!(shared.log, "upstream: reached again"; "upstream" => id.as_str());
    }
}
