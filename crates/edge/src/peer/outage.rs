//! Reports unreachable upstreams and zones to peers of the same availability zone.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use slog::debug;
use slog::info;
use snipeusher::fleet::Leaving;
use tokio::time::timeout;

use super::OUTAGE_PATH;
use super::OutageReport;
use super::Peers;
use super::client::Error;
use super::link;
use super::link::Call;
use crate::dialect::Platform;
use crate::shared::Shared;

/// Number of peers to which a report is sent. Each one to which it is news passes it on to as many.
const FANOUT: usize = 3;
/// Time limit of sending a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Reports what becomes unreachable. Never returns.
pub async fn report_outages<P: Platform>(shared: Rc<Shared<P>>, peers: Rc<RefCell<Peers>>) {
    loop {
        shared.outage.notified().await;
        let Some(outage) = shared.fleet.borrow_mut().take_outage() else {
            continue;
        };
        info!(shared.log, "upstream: outage reported";
            "zones" => names(&outage.zones), "upstreams" => names(&outage.upstreams),
            "leaving" => ids(&outage.leaving), "replaced" => ids(&outage.replaced));
        let report = OutageReport {
            host: shared.settings.host.clone(),
            zone: shared.settings.fleet.zone.clone(),
            outage,
        };
        let targets = peers.borrow().sample_local(FANOUT, shared.random());
        let sent = targets
            .into_iter()
            .map(|address| send_within_limit(&shared, address, &report));
        join_all(sent).await;
    }
}

/// Applies a report of a peer. Reports from other zones do not apply here.
pub(super) fn apply<P: Platform>(shared: &Shared<P>, report: &OutageReport) {
    if report.zone != shared.settings.fleet.zone {
        return;
    }
    let now = shared.now();
    let is_news = shared.fleet.borrow_mut().merge_outage(now, &report.outage);
    if is_news {
        shared.outage.notify_one();
        info!(shared.log, "upstream: outage received";
            "peer" => report.host.as_str(),
            "zones" => names(&report.outage.zones),
            "upstreams" => names(&report.outage.upstreams),
            "leaving" => ids(&report.outage.leaving),
            "replaced" => ids(&report.outage.replaced));
    }
}

fn names<T: AsRef<str>>(names: &[T]) -> String {
    let names: Vec<&str> = names.iter().map(AsRef::as_ref).collect();
    names.join(" ")
}

fn ids(incarnations: &[Leaving]) -> String {
    let ids = incarnations.iter().map(|incarnation| &incarnation.upstream);
    names(&ids.collect::<Vec<_>>())
}

async fn send_within_limit<P: Platform>(
    shared: &Shared<P>,
    address: SocketAddr,
    report: &OutageReport,
) {
    let sent = timeout(REPORT_TIMEOUT, send(shared, address, report)).await;
    if let Err(error) = sent.unwrap_or(Err(Error::TimedOut)) {
        debug!(shared.log, "peer: report not sent";
            "peer" => %address, "error" => %error);
    }
}

async fn send<P: Platform>(
    shared: &Shared<P>,
    address: SocketAddr,
    report: &OutageReport,
) -> Result<(), Error> {
    let call = Call::post(OUTAGE_PATH, report)?;
    let mut connection = link::open(address, &shared.http).await?;
    call.send(&mut connection, address).await?;
    Ok(())
}
