//! Finds other routers by records in the store while none of those that the settings name is known.
//!
//! The routers that the settings name may all be down. Routers that started meanwhile, or groups of
//! them, would never learn of each other and each use the whole retry budget. The first reader of
//! each zone of such a group therefore announces itself in the store, where the readers of all
//! others see it. See `docs/platform.md#peers`.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use slog::debug;
use slog::info;
use snipeusher::archive::Announcer;
use snipeusher::archive::Router;
use snipeusher_store::Store;
use tokio::time::sleep;

use crate::dialect::Platform;
use crate::peer::Peers;
use crate::shared::Shared;

/// How often a router checks whether it has to announce itself.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Least time without a known seed before a router announces itself. Routers that start together
/// reach their seeds within it.
const DELAY: Duration = Duration::from_secs(1);
/// Random time added to it, in milliseconds. The first of many routers that start without a common
/// peer is found by the others before most of them have written a record.
const DELAY_SPREAD_MS: u64 = 2_000;
/// Routers that were found but not contacted yet, at most.
const FOUND_MAX: usize = 64;

/// Routers whose records were read.
#[derive(Debug, Default)]
pub struct Discovery {
    found: RefCell<Vec<Router>>,
}

impl Discovery {
    /// Keeps routers until they are contacted.
    pub(crate) fn record(&self, routers: impl IntoIterator<Item = Router>) {
        let mut found = self.found.borrow_mut();
        found.extend(routers);
        found.truncate(FOUND_MAX);
    }

    /// The routers to contact.
    pub(crate) fn take(&self) -> Vec<Router> {
        self.found.take()
    }
}

/// Announces this router in the store whenever others have to find it there. Never returns.
pub async fn announce<P: Platform, S: Store>(
    shared: Rc<Shared<P>>,
    peers: Rc<RefCell<Peers>>,
    store: Rc<S>,
) {
    let mut announcer = Announcer::new(Router {
        host: shared.settings.host.clone(),
        address: shared.settings.control,
    });
    let delay = DELAY + Duration::from_millis(shared.random() % DELAY_SPREAD_MS);
    loop {
        sleep(CHECK_INTERVAL).await;
        let is_needed = must_announce(&shared, &peers.borrow());
        while let Some(call) = announcer.next(shared.now(), is_needed, delay) {
            let result = store.call(call).await;
            let is_written = announcer.handle(shared.now(), &result);
            match result {
                Ok(_) if is_written => {
                    shared.metrics.archive_call("written");
                    info!(shared.log, "discovery: announced");
                }
                Ok(_) => {}
                Err(fault) => {
                    shared.metrics.archive_call("write_failed");
                    debug!(shared.log, "discovery: not announced"; "cause" => ?fault);
                }
            }
        }
    }
}

/// Whether this router speaks for those of its zone and none of its seeds is known to run.
fn must_announce<P: Platform>(shared: &Shared<P>, peers: &Peers) -> bool {
    let now = shared.now();
    let readers = shared.readers.borrow();
    let is_first = readers.first_of_zone(now) == Some(&shared.settings.host);
    is_first && !shared.lifecycle.is_leaving() && peers.lacks_seeds(now)
}
