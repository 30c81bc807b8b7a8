//! Finds out whether upstreams that requests avoid can be reached again.
//!
//! Only a connection is opened: no request has to fail for it, and nothing runs twice.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use slog::info;
use snipeusher::name;
use tokio::time::sleep;

use crate::connection::Connection;
use crate::dialect::Platform;
use crate::shared::Shared;

/// How often it is looked for upstreams that are due.
const LOOK: Duration = Duration::from_millis(100);
/// Connections that are tried at once.
const AT_ONCE_MAX: usize = 8;

/// Tries connections that are due, for ever.
pub(crate) async fn run<P: Platform>(shared: Rc<Shared<P>>) {
    loop {
        sleep(LOOK).await;
        let now = shared.now();
        let due = shared.fleet.borrow_mut().due(now);
        let tries = due.into_iter().take(AT_ONCE_MAX);
        join_all(tries.map(|(id, address)| connect(&shared, id, address))).await;
    }
}

async fn connect<P: Platform>(shared: &Shared<P>, id: name::Upstream, address: SocketAddr) {
    let limit = shared.settings.connect_timeout;
    let is_reached = Connection::open(address, limit, &shared.http).await.is_ok();
    let now = shared.now();
    if shared.fleet.borrow_mut().tried(now, &id, is_reached) {
        info!(shared.log, "upstream: reached again"; "upstream" => id.as_str());
    }
}
