//! The store's news: the operators' configuration and the entries of upstreams.
//!
//! Only routers that `Readers` names read it; the others hear the news from their peers. See
//! `docs/platform.md#readers`.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt as _;
use slog::info;
use slog::warn;
use snipeusher::kv;
use snipeusher::kv::Call;
use snipeusher::kv::Fault;
use snipeusher::kv::Range;
use snipeusher::kv::Reply;
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher_store::Change;
use snipeusher_store::Store;
use tokio::time::sleep;

use crate::dialect::Platform;
use crate::shared::Shared;

/// One watch covers all keys, since each counts as a call while it waits.
const ALL: &str = "";
/// First pause after a call that failed.
const PAUSE_MS: u64 = 100;
/// Longest such pause. All routers come back at once after an outage; half of it is random.
const PAUSE_MAX_MS: u64 = 1_000;

/// Pause after an answer with changes, in which further ones gather at the store, so that a rollout of many
/// upstreams does not cost a call for each.
const GATHER: Duration = Duration::from_millis(120);
/// How often a router that does not read the store looks whether it has to.
const LOOK: Duration = Duration::from_millis(250);

/// Reads the store for ever, as long as this router is one of its readers.
pub async fn run<P: Platform, S: Store>(shared: Rc<Shared<P>>, store: Rc<S>) {
    let mut pause_ms = PAUSE_MS;
    let mut needs_list = true;
    loop {
        if !reads(&shared) {
            sleep(LOOK).await;
            continue;
        }
        let listed = if needs_list {
            list(&shared, &*store).await
        } else {
            Ok(())
        };
        let ended = match listed {
            Ok(()) => watch(&shared, &*store).await,
            Err(fault) => Err(fault),
        };
        // Peers tell what happens until this router reads again, unless the store has forgotten.
        needs_list = ended.is_err();
        match ended {
            Ok(()) => info!(shared.log, "store: others read it"),
            Err(End::Watch(fault)) => {
                info!(shared.log, "store: watch lost"; "cause" => cause(fault));
                pause_ms = PAUSE_MS;
            }
            Err(End::List(fault)) => {
                shared.set_store_reachable(false, cause(fault));
                let random = shared.random() % (pause_ms / 2 + 1);
                sleep(Duration::from_millis(pause_ms / 2 + random)).await;
                pause_ms = (pause_ms * 2).min(PAUSE_MAX_MS);
            }
        }
    }
}

/// Why the store is not read any more.
enum End {
    /// A list failed.
    List(Fault),
    /// A watch was cut, or its history is gone.
    Watch(Fault),
}

fn reads<P: Platform>(shared: &Shared<P>) -> bool {
    let now = shared.now();
    let is_blank = shared.revisions() == (None, Revision(0));
    is_blank || shared.readers.borrow_mut().reads(now)
}

/// Notes that the store answered.
fn answered<P: Platform>(shared: &Shared<P>) {
    shared.set_store_reachable(true, "");
    shared.readers.borrow_mut().answered(shared.now());
}

/// Reads the configuration and all entries of upstreams.
async fn list<P: Platform, S: Store>(shared: &Shared<P>, store: &S) -> Result<(), End> {
    let (revision, entries) = range(store, P::UPSTREAMS).await.map_err(End::List)?;
    answered(shared);
    let mut upstreams = Vec::with_capacity(entries.len());
    for entry in &entries {
        match shared.platform.entry(entry) {
            Ok(entry) => upstreams.push(entry),
            Err(error) => {
                warn!(shared.log, "upstream: entry skipped"; "error" => %error);
            }
        }
    }
    info!(shared.log, "upstreams: listed";
        "count" => upstreams.len(), "revision" => revision.0);
    let now = shared.now();
    shared.fleet.borrow_mut().list(now, revision, upstreams);
    // Read last, since the watch goes on from the revision of the upstreams.
    configuration(shared, store).await.map_err(End::List)?;
    shared.changed.notify_one();
    Ok(())
}

/// Reads the configuration.
pub(crate) async fn configuration<P: Platform, S: Store>(
    shared: &Shared<P>,
    store: &S,
) -> Result<(), Fault> {
    let (_revision, entries) = range(store, P::CONFIGURATION).await?;
    for entry in entries.iter().filter(|entry| entry.key == P::CONFIGURATION) {
        shared.configure(entry.modified, &entry.value, "store");
    }
    Ok(())
}

async fn range<S: Store>(store: &S, prefix: &str) -> Result<(Revision, Vec<kv::Entry>), Fault> {
    let range = Range::Prefix(prefix.to_owned());
    match store.call(Call::Range(range)).await? {
        Reply::Range { revision, entries } => Ok((revision, entries)),
        _ => Err(Fault::Refused),
    }
}

/// Takes changes until the watch is lost or others read the store.
async fn watch<P: Platform, S: Store>(shared: &Shared<P>, store: &S) -> Result<(), End> {
    let from = shared.fleet.borrow().roster().revision();
    let mut changes = std::pin::pin!(store.watch(ALL, from));
    let mut has_news = false;
    while reads(shared) {
        match changes.next().await {
            Some(Ok(change)) => {
                answered(shared);
                let is_end = change.entries.is_empty() && change.deleted.is_empty();
                take(shared, &change);
                // Changes that came together are taken together.
                if is_end && std::mem::take(&mut has_news) {
                    sleep(GATHER).await;
                }
                has_news |= !is_end;
            }
            Some(Err(fault)) => return Err(End::Watch(fault)),
            None => return Err(End::Watch(Fault::Lost)),
        }
    }
    Ok(())
}

fn take<P: Platform>(shared: &Shared<P>, change: &Change) {
    let known = shared.revisions();
    let now = shared.now();
    for entry in &change.entries {
        if entry.key == P::CONFIGURATION {
            shared.configure(entry.modified, &entry.value, "store");
        } else if let Some(id) = shared.platform.upstream(&entry.key) {
            put(shared, &id, entry);
        }
    }
    for key in &change.deleted {
        if let Some(id) = shared.platform.upstream(key) {
            info!(shared.log, "upstream: entry removed";
                "upstream" => id.as_str(), "revision" => change.revision.0);
            let mut fleet = shared.fleet.borrow_mut();
            fleet.remove(now, &id, change.revision);
        }
    }
    shared.fleet.borrow_mut().reached(change.revision);
    if shared.revisions() != known {
        shared.changed.notify_one();
    }
}

fn put<P: Platform>(shared: &Shared<P>, id: &name::Upstream, entry: &kv::Entry) {
    let now = shared.now();
    let mut fleet = shared.fleet.borrow_mut();
    match shared.platform.entry(entry) {
        Ok(entry) => {
            info!(shared.log, "upstream: entry";
                "upstream" => id.as_str(), "service" => entry.service.as_str(),
                "draining" => entry.draining, "revision" => entry.revision.0);
            fleet.put(now, entry);
        }
        Err(error) => {
            warn!(shared.log, "upstream: entry skipped"; "error" => %error);
            fleet.remove(now, id, entry.modified);
        }
    }
}

const fn cause(fault: Fault) -> &'static str {
    match fault {
        Fault::NotSent => "unreachable",
        Fault::Lost => "no answer",
        Fault::Refused => "refused",
    }
}
