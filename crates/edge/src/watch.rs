//! Reads the configuration and the entries of upstreams from the store and watches them.
//!
//! Only the routers selected by `Readers` do so; the others receive changes from their peers. See
//! `docs/platform.md#readers`.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt as _;
use slog::info;
use slog::warn;
use snipeusher::archive::is_record;
use snipeusher::fleet::List;
use snipeusher::fleet::Update;
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
use tokio::time::timeout;

use crate::archive;
use crate::dialect::Platform;
use crate::evacuation;
use crate::shared::Shared;

/// Prefix of all keys. One watch covers them, since each pending watch counts as a call.
const ALL_KEYS: &str = "";
/// First delay before a failed call is retried.
const RETRY_DELAY_MS: u64 = 100;
/// Longest such delay. Half of each delay is random, since after an outage all routers retry at
/// once.
const RETRY_DELAY_MAX_MS: u64 = 1_000;

/// Time within which the readers list a restored store, since all of them notice it at once.
const RESTORE_SPREAD_MS: u64 = 150;

/// Delay before the next watch call after one with changes. Changes that follow arrive together, so
/// that a rollout of many upstreams does not cost a call for each.
const BATCH_DELAY: Duration = Duration::from_millis(250);
/// Changes that are applied together at most, so that requests are not delayed for long.
const CHANGES_MAX: usize = 256;
/// How often a router that does not read the store checks whether it has to.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The same while it knows no upstreams.
const CHECK_INTERVAL_START: Duration = Duration::from_millis(20);

/// Reads the store whenever this router is one of its readers. Never returns.
pub async fn run<P: Platform, S: Store>(shared: Rc<Shared<P>>, store: Rc<S>) {
    let mut delay_ms = RETRY_DELAY_MS;
    let mut needs_list = true;
    loop {
        if !must_read(&shared) {
            // The loss of a reader may make this router one.
            let _elapsed = timeout(next_check(&shared), shared.reader_lost.notified()).await;
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
        // If other routers read the store, their changes arrive from peers, so that the watch can
        // later continue without a list. After a failure the history may be compacted.
        needs_list = ended.is_err();
        match ended {
            Ok(()) => info!(shared.log, "store: read by other routers"),
            Err(Error::Watch(fault)) => {
                info!(shared.log, "store: watch lost"; "cause" => cause(fault));
                if matches!(fault, Fault::Lost | Fault::NotSent) {
                    // Others must not rely on this reader until the store has answered it again.
                    shared.readers.borrow_mut().record_loss();
                    shared.changed.notify_one();
                }
                delay_ms = RETRY_DELAY_MS;
                if fault == Fault::Restored {
                    let spread = shared.random() % RESTORE_SPREAD_MS;
                    sleep(Duration::from_millis(spread)).await;
                }
            }
            Err(Error::List(fault)) => {
                shared.set_store_reachable(false, cause(fault));
                let random = shared.random() % (delay_ms / 2 + 1);
                sleep(Duration::from_millis(delay_ms / 2 + random)).await;
                delay_ms = (delay_ms * 2).min(RETRY_DELAY_MAX_MS);
            }
        }
    }
}

/// Why reading failed.
enum Error {
    /// A list failed.
    List(Fault),
    /// The watch was disconnected, or its start revision was compacted.
    Watch(Fault),
}

/// Whether this router has to read the store: it is one of the readers, or peers have not sent it
/// the upstreams in time.
fn must_read<P: Platform>(shared: &Shared<P>) -> bool {
    let now = shared.now();
    let mut readers = shared.readers.borrow_mut();
    let routers = shared.fleet.borrow().routers();
    if !knows_upstreams(shared) {
        return readers.must_list(now, routers > 1);
    }
    readers.update_role(now, routers)
}

/// Time until a router that does not read the store has to check again whether it has to.
fn next_check<P: Platform>(shared: &Shared<P>) -> Duration {
    if !knows_upstreams(shared) {
        return CHECK_INTERVAL_START;
    }
    let start_at = shared.readers.borrow().start_at();
    start_at.map_or(CHECK_INTERVAL, |start_at| {
        start_at.since(shared.now()).min(CHECK_INTERVAL)
    })
}

fn knows_upstreams<P: Platform>(shared: &Shared<P>) -> bool {
    !shared.fleet.borrow().roster().is_unsynced()
}

/// Records that the store responded.
fn record_response<P: Platform>(shared: &Shared<P>) {
    shared.set_store_reachable(true, "");
    shared.readers.borrow_mut().record_reply(shared.now());
}

/// Reads the configuration, all entries of upstreams and the records of routers.
///
/// One call reads all keys, so that upstreams are not known without the evacuations and the records
/// of their versions.
async fn list<P: Platform, S: Store>(shared: &Shared<P>, store: &S) -> Result<(), Error> {
    let (revision, entries) = range(store, ALL_KEYS).await.map_err(Error::List)?;
    record_response(shared);
    let (operators, others): (Vec<_>, Vec<_>) = entries
        .into_iter()
        .partition(|entry| entry.key.starts_with(P::OPERATORS));
    let mut upstreams = Vec::with_capacity(others.len());
    for entry in others
        .iter()
        .filter(|entry| shared.platform.upstream(&entry.key).is_some())
    {
        log_warnings(shared, entry);
        match shared.platform.entry(entry) {
            Ok(entry) => upstreams.push(entry),
            Err(error) => {
                warn!(shared.log, "upstream: entry skipped"; "error" => %error);
            }
        }
    }
    info!(shared.log, "upstreams: listed";
        "count" => upstreams.len(), "revision" => revision.number, "era" => revision.era.0);
    let list = List {
        revision,
        entries: upstreams,
        evacuations: evacuation::listed(shared, &operators),
    };
    replace_upstreams(shared, list);
    archive::apply_list(shared, &others);
    configure(shared, &operators);
    shared.record_change();
    Ok(())
}

/// Applies a list of upstreams, and tells what is left of them if the store was restored.
fn replace_upstreams<P: Platform>(shared: &Shared<P>, list: List) {
    let revision = list.revision;
    let now = shared.now();
    let before = shared.revisions().1;
    let mut fleet = shared.fleet.borrow_mut();
    fleet.replace(now, list);
    if revision.era > before.era {
        let roster = fleet.roster();
        info!(shared.log, "store: restored";
            "era" => revision.era.0, "revision" => revision.number,
            "era_before" => before.era.0, "revision_before" => before.number,
            "upstreams" => roster.entries().count(), "ready" => roster.ready(now).count());
    }
}

/// Reads the configuration.
pub(crate) async fn configuration<P: Platform, S: Store>(
    shared: &Shared<P>,
    store: &S,
) -> Result<(), Fault> {
    let (_revision, entries) = range(store, P::CONFIGURATION).await?;
    configure(shared, &entries);
    Ok(())
}

/// Applies the configuration among listed entries.
fn configure<P: Platform>(shared: &Shared<P>, entries: &[kv::Entry]) {
    for entry in entries.iter().filter(|entry| entry.key == P::CONFIGURATION) {
        shared.configure(entry.modified, &entry.value, "store");
    }
}

/// Reads all keys with a prefix.
pub(crate) async fn range<S: Store>(
    store: &S,
    prefix: &str,
) -> Result<(Revision, Vec<kv::Entry>), Fault> {
    let range = Range::Prefix(prefix.to_owned());
    match store.call(Call::Range(range)).await? {
        Reply::Range { revision, entries } => Ok((revision, entries)),
        _ => Err(Fault::Refused),
    }
}

/// Applies changes until the watch fails or other routers read the store.
async fn watch<P: Platform, S: Store>(shared: &Shared<P>, store: &S) -> Result<(), Error> {
    let from = shared.fleet.borrow().roster().revision();
    let hold = |reply, longest| {
        let readers = shared.readers.borrow();
        readers.watch_hold(shared.now(), reply, longest)
    };
    let changes = store.watch(ALL_KEYS, from, hold);
    let changes = changes.ready_chunks(CHANGES_MAX);
    let mut changes = std::pin::pin!(changes);
    let mut has_changes = false;
    while must_read(shared) {
        let Some(chunk) = changes.next().await else {
            return Err(Error::Watch(Fault::Lost));
        };
        let mut fault = None;
        let received = chunk.into_iter().filter_map(|change| match change {
            Ok(change) => Some(change),
            Err(cause) => {
                fault = Some(cause);
                None
            }
        });
        let received: Vec<Change> = received.collect();
        if !received.is_empty() {
            record_response(shared);
            apply(shared, &received);
        }
        if let Some(fault) = fault {
            return Err(Error::Watch(fault));
        }
        has_changes |= received.iter().any(has_keys);
        // An empty change ends the changes of one call.
        let is_call_end = received.iter().any(|change| !has_keys(change));
        if is_call_end && std::mem::take(&mut has_changes) {
            sleep(BATCH_DELAY).await;
        }
    }
    Ok(())
}

const fn has_keys(change: &Change) -> bool {
    !change.entries.is_empty() || !change.deleted.is_empty()
}

/// Whether a change is one of the platform, which all routers apply.
fn concerns_all(change: &Change) -> bool {
    let mut written = change.entries.iter().map(|entry| &entry.key);
    let mut keys = written.by_ref().chain(&change.deleted);
    keys.any(|key| !is_record(key))
}

/// Applies changes that arrived together.
fn apply<P: Platform>(shared: &Shared<P>, changes: &[Change]) {
    let before = shared.revisions();
    let entries = changes.iter().flat_map(|change| &change.entries);
    archive::apply_changes(shared, entries);
    let mut updates = Vec::new();
    let mut configurations = Vec::new();
    for change in changes.iter().filter(|change| concerns_all(change)) {
        for entry in &change.entries {
            if entry.key == P::CONFIGURATION {
                configurations.push(entry);
            } else if let Some(id) = shared.platform.upstream(&entry.key) {
                updates.push(written(shared, id, entry));
            } else {
                updates.extend(evacuation::written(shared, entry));
            }
        }
        for key in &change.deleted {
            let upstream = shared.platform.upstream(key);
            let removed = upstream.map(|id| removed_at(shared, id, change.revision));
            updates.extend(removed.or_else(|| evacuation::removed(shared, key, change.revision)));
        }
    }
    // Only the last one that can be decoded comes into force: to compile a large one takes long.
    let mut configurations = configurations.into_iter().rev();
    let _in_force =
        configurations.find_map(|entry| shared.configure(entry.modified, &entry.value, "store"));
    let mut fleet = shared.fleet.borrow_mut();
    if !updates.is_empty() {
        fleet.apply(shared.now(), updates);
    }
    // Records of routers are not passed on, so peers need not catch up with them.
    let latest = changes.iter().rfind(|change| concerns_all(change));
    if let Some(change) = latest {
        fleet.advance_to(change.revision);
    }
    drop(fleet);
    if shared.revisions() != before {
        shared.record_change();
    }
}

/// The update for a written entry. One that cannot be decoded names no upstream to use.
fn written<P: Platform>(shared: &Shared<P>, id: name::Upstream, entry: &kv::Entry) -> Update {
    log_warnings(shared, entry);
    match shared.platform.entry(entry) {
        Ok(entry) => {
            info!(shared.log, "upstream: entry";
                "upstream" => id.as_str(), "service" => entry.service.as_str(),
                "draining" => entry.draining, "revision" => entry.revision.number);
            Update::Written(entry)
        }
        Err(error) => {
            warn!(shared.log, "upstream: entry skipped"; "error" => %error);
            Update::Removed(id, entry.modified)
        }
    }
}

/// Logs values of an entry that cannot be used, although the rest can.
fn log_warnings<P: Platform>(shared: &Shared<P>, entry: &kv::Entry) {
    for warning in shared.platform.warnings(entry) {
        warn!(shared.log, "upstream: invalid cold time";
            "key" => &entry.key, "value" => warning);
    }
}

fn removed_at<P: Platform>(shared: &Shared<P>, id: name::Upstream, revision: Revision) -> Update {
    info!(shared.log, "upstream: entry removed";
        "upstream" => id.as_str(), "revision" => revision.number);
    Update::Removed(id, revision)
}

/// Name of a fault in logs.
pub(crate) const fn cause(fault: Fault) -> &'static str {
    match fault {
        Fault::NotSent => "unreachable",
        Fault::Lost => "no answer",
        Fault::Refused => "refused",
        Fault::Restored => "the store was restored",
    }
}
