//! The store's news: the operators' configuration and the entries of upstreams.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt as _;
use slog::info;
use slog::warn;
use snipeusher::fleet::Snapshot;
use snipeusher::kv::Call;
use snipeusher::kv::Fault;
use snipeusher::kv::Range;
use snipeusher::kv::Reply;
use snipeusher::kv::Revision;
use snipeusher_store::Change;
use snipeusher_store::Store;
use tokio::time::sleep;

use crate::dialect::Platform;
use crate::shared::Shared;

/// First pause after a call that failed.
const PAUSE_MS: u64 = 100;
/// Longest such pause. All routers come back at once after an outage; half of it is random.
const PAUSE_MAX_MS: u64 = 1_000;

/// What is read below a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Section {
    Configuration,
    Upstreams,
}

impl Section {
    const fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Upstreams => "upstreams",
        }
    }
}

/// Follows the operators' configuration for ever.
pub async fn configuration<P: Platform, S: Store>(shared: Rc<Shared<P>>, store: Rc<S>) {
    follow(&shared, &*store, Section::Configuration, P::CONFIGURATION).await;
}

/// Follows the entries of upstreams for ever.
pub async fn upstreams<P: Platform, S: Store>(shared: Rc<Shared<P>>, store: Rc<S>) {
    follow(&shared, &*store, Section::Upstreams, P::UPSTREAMS).await;
}

async fn follow<P: Platform, S: Store>(
    shared: &Shared<P>,
    store: &S,
    section: Section,
    prefix: &str,
) {
    let mut pause_ms = PAUSE_MS;
    loop {
        match read(shared, store, section, prefix).await {
            Ok(revision) => {
                pause_ms = PAUSE_MS;
                watch(shared, store, section, prefix, revision).await;
            }
            Err(fault) => {
                shared.store_answers(false, cause(fault));
                let random = shared.random() % (pause_ms / 2 + 1);
                sleep(Duration::from_millis(pause_ms / 2 + random)).await;
                pause_ms = (pause_ms * 2).min(PAUSE_MAX_MS);
            }
        }
    }
}

/// Reads all keys below a prefix.
async fn read<P: Platform, S: Store>(
    shared: &Shared<P>,
    store: &S,
    section: Section,
    prefix: &str,
) -> Result<Revision, Fault> {
    let range = Range::Prefix(prefix.to_owned());
    let Reply::Range { revision, entries } = store.call(Call::Range(range)).await? else {
        return Err(Fault::Refused);
    };
    shared.store_answers(true, "");
    match section {
        Section::Configuration => {
            for entry in entries.iter().filter(|entry| entry.key == prefix) {
                shared.configure(entry.modified, &entry.value, "store");
            }
        }
        Section::Upstreams => {
            let mut snapshot = Snapshot {
                revision,
                entries: Vec::new(),
            };
            for entry in &entries {
                match shared.platform.entry(entry) {
                    Ok(entry) => snapshot.entries.push(entry),
                    Err(error) => {
                        warn!(shared.log, "upstream: entry skipped"; "error" => %error);
                    }
                }
            }
            info!(shared.log, "upstreams: listed";
                "count" => snapshot.entries.len(), "revision" => revision.0);
            shared.fleet.borrow_mut().sync(shared.now(), snapshot);
        }
    }
    Ok(revision)
}

/// Takes changes until the watch is lost.
async fn watch<P: Platform, S: Store>(
    shared: &Shared<P>,
    store: &S,
    section: Section,
    prefix: &str,
    from: Revision,
) {
    let mut changes = std::pin::pin!(store.watch(prefix, from));
    while let Some(change) = changes.next().await {
        match change {
            Ok(change) => {
                shared.store_answers(true, "");
                take(shared, section, prefix, &change);
            }
            Err(fault) => {
                info!(shared.log, "store: watch lost";
                    "section" => section.name(), "cause" => cause(fault));
                return;
            }
        }
    }
}

fn take<P: Platform>(shared: &Shared<P>, section: Section, prefix: &str, change: &Change) {
    match section {
        Section::Configuration => {
            for entry in change.entries.iter().filter(|entry| entry.key == prefix) {
                shared.configure(entry.modified, &entry.value, "store");
            }
        }
        Section::Upstreams => take_upstreams(shared, change),
    }
}

fn take_upstreams<P: Platform>(shared: &Shared<P>, change: &Change) {
    let now = shared.now();
    let mut fleet = shared.fleet.borrow_mut();
    for entry in &change.entries {
        match shared.platform.entry(entry) {
            Ok(entry) => {
                info!(shared.log, "upstream: entry";
                    "upstream" => entry.id.as_str(), "service" => entry.service.as_str(),
                    "draining" => entry.draining, "revision" => entry.revision.0);
                fleet.put(now, entry);
            }
            Err(error) => {
                warn!(shared.log, "upstream: entry skipped"; "error" => %error);
                if let Some(id) = shared.platform.upstream(&entry.key) {
                    fleet.remove(now, &id, entry.modified);
                }
            }
        }
    }
    for key in &change.deleted {
        if let Some(id) = shared.platform.upstream(key) {
            info!(shared.log, "upstream: entry removed";
                "upstream" => id.as_str(), "revision" => change.revision.0);
            fleet.remove(now, &id, change.revision);
        }
    }
    fleet.reached(change.revision);
}

const fn cause(fault: Fault) -> &'static str {
    match fault {
        Fault::NotSent => "unreachable",
        Fault::Lost => "no answer",
        Fault::Refused => "refused",
    }
}
