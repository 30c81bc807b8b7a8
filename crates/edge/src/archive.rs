//! Reads and writes the records that routers keep in the store.
//!
//! The first reader of each availability zone writes the origins of its zone's streams while several
//! software versions run; the first reader of all writes the versions whenever they change. A router
//! reads the records with the list of upstreams, and again when a caller takes up a stream that
//! neither it nor its peers know. See `docs/design/archive.md`.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::try_join;
use slog::debug;
use slog::info;
use slog::warn;
use snipeusher::archive;
use snipeusher::archive::Records;
use snipeusher::archive::Versions;
use snipeusher::archive::Writer;
use snipeusher::kv;
use snipeusher::kv::Call;
use snipeusher::kv::Compare;
use snipeusher::kv::Fault;
use snipeusher::kv::Op;
use snipeusher::kv::Reply;
use snipeusher::kv::Revision;
use snipeusher::kv::Txn;
use snipeusher::stream::Id;
use snipeusher::stream::Origin;
use snipeusher::time::Time;
use snipeusher_store::Store;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::dialect::Platform;
use crate::shared::Shared;
use crate::watch;

/// Least time between two writes of streams. It bounds the calls to the store, whatever the load;
/// streams that began since the last write are unknown after a loss of all routers.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a failed write.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// How often a reader checks whether the versions are recorded.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a reader leaves the record of changed versions to each reader that ranks before
/// it. The write of the first one takes less, and its result arrives with the watch.
const TURN: Duration = Duration::from_millis(750);
/// Time for which readers wait before the first record of all. Readers of a fleet that starts learn
/// of each other within it.
const FIRST_DELAY: Duration = Duration::from_secs(1);
/// Least time between two reads of the records.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit of such a read, while callers wait.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(400);

/// Streams that are deferred at most.
const UNASSIGNED_MAX: usize = 4_096;

/// The records of this router, and what it asks of the store.
#[derive(Debug)]
pub struct Archive {
    writer: RefCell<Writer>,
    /// Notified when there are streams to write.
    written: Notify,
    /// Streams of this router while its zone has no known writer.
    unassigned: RefCell<Vec<(Id, Origin)>>,
    /// Revision of the record of versions, once it was read; zero if there is none.
    versions_at: Cell<Option<Revision>>,
    /// Since when the record differs from the versions that this router knows.
    outdated_since: Cell<Option<Time>>,
    /// Callers that wait for a read of the records; each is told whether it succeeded.
    lookups: RefCell<Vec<oneshot::Sender<bool>>>,
    /// Notified when a caller waits.
    lookup: Notify,
}

impl Archive {
    /// Starts without records. `process` differs between all processes.
    pub fn new(process: u64) -> Self {
        Self {
            writer: RefCell::new(Writer::new(process)),
            written: Notify::new(),
            unassigned: RefCell::default(),
            versions_at: Cell::new(None),
            outdated_since: Cell::new(None),
            lookups: RefCell::default(),
            lookup: Notify::new(),
        }
    }

    /// Has streams written to the store by this router.
    pub fn write(&self, streams: Vec<(Id, Origin)>) {
        self.writer.borrow_mut().add(streams);
        self.written.notify_one();
    }

    /// Extends the time for which the store keeps streams to their time limit.
    pub fn extend_retention(&self, limit: Duration) {
        self.writer.borrow_mut().extend_retention(limit);
    }

    /// Keeps streams until the writer of the zone is known.
    pub fn defer(&self, streams: Vec<(Id, Origin)>) {
        let mut unassigned = self.unassigned.borrow_mut();
        unassigned.extend(streams);
        let excess = unassigned.len().saturating_sub(UNASSIGNED_MAX);
        unassigned.drain(..excess);
    }

    /// The streams that were deferred.
    pub fn take_deferred(&self) -> Vec<(Id, Origin)> {
        self.unassigned.take()
    }

    /// Reads the records anew. Returns whether they are up to date.
    pub async fn look_up(&self) -> bool {
        let (tx, rx) = oneshot::channel();
        self.lookups.borrow_mut().push(tx);
        self.lookup.notify_one();
        matches!(timeout(LOOKUP_TIMEOUT, rx).await, Ok(Ok(true)))
    }
}

/// Writes streams to the store. Never returns.
pub async fn write_streams<P: Platform, S: Store>(shared: Rc<Shared<P>>, store: Rc<S>) {
    let archive = &shared.archive;
    loop {
        archive.written.notified().await;
        while archive.writer.borrow().waiting() > 0 {
            let delay = if write(&shared, &*store).await {
                WRITE_INTERVAL
            } else {
                WRITE_RETRY_DELAY
            };
            sleep(delay).await;
        }
    }
}

/// Makes the calls of one write. Returns whether it succeeded.
async fn write<P: Platform, S: Store>(shared: &Shared<P>, store: &S) -> bool {
    let writer = &shared.archive.writer;
    loop {
        let Some(call) = writer.borrow_mut().next(shared.now()) else {
            return true;
        };
        let is_last = matches!(call, Call::Txn(_));
        let result = store.call(call).await;
        writer.borrow_mut().handle(&result);
        let outcome = if result.is_ok() {
            "written"
        } else {
            "write_failed"
        };
        shared.metrics.archive_call(outcome);
        match result {
            Ok(_) if is_last => return true,
            Ok(_) => {}
            Err(fault) => {
                debug!(shared.log, "archive: streams not recorded";
                    "cause" => ?fault, "waiting" => writer.borrow().waiting());
                return false;
            }
        }
    }
}

/// Records the software versions whenever they change. Never returns.
pub async fn write_versions<P: Platform, S: Store>(shared: Rc<Shared<P>>, store: Rc<S>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        if let Some(versions) = due_versions(&shared) {
            record_versions(&shared, &*store, versions).await;
        }
    }
}

/// The versions that this router has to record now.
fn due_versions<P: Platform>(shared: &Shared<P>) -> Option<Versions> {
    let now = shared.now();
    let outdated_since = &shared.archive.outdated_since;
    let position = shared.readers.borrow().position(now);
    let wanted = shared.fleet.borrow().unrecorded_versions(now);
    let (Some(position), Some(wanted)) = (position, wanted) else {
        outdated_since.set(None);
        return None;
    };
    let since = outdated_since.get().unwrap_or(now);
    outdated_since.set(Some(since));
    let is_first = shared.archive.versions_at.get() == Some(Revision::default());
    let delay = if is_first {
        FIRST_DELAY
    } else {
        Duration::ZERO
    };
    (now.since(since) >= delay + TURN * position as u32).then_some(wanted)
}

async fn record_versions<P: Platform, S: Store>(shared: &Shared<P>, store: &S, versions: Versions) {
    // The next attempt is due after the turns of the readers that rank before this one.
    shared.archive.outdated_since.set(None);
    let Some(known) = shared.archive.versions_at.get() else {
        read(shared, store).await;
        return;
    };
    let value = match versions.encode() {
        Ok(value) => value,
        Err(error) => {
            warn!(shared.log, "archive: versions not recorded"; "error" => %error);
            sleep(WRITE_RETRY_DELAY).await;
            return;
        }
    };
    let txn = Txn {
        compare: vec![Compare::Modified(archive::VERSIONS_KEY.to_owned(), known)],
        success: vec![Op::Put {
            key: archive::VERSIONS_KEY.to_owned(),
            value,
            lease: None,
        }],
        ..Txn::default()
    };
    match store.call(Call::Txn(txn)).await {
        Ok(Reply::Txn {
            revision,
            succeeded: true,
            ..
        }) => {
            info!(shared.log, "archive: versions recorded"; "versions" => ?versions);
            shared.metrics.archive_call("written");
            apply_versions(shared, revision, versions);
        }
        // Another router has changed the record, or the answer of an earlier write was lost.
        Ok(_) => read(shared, store).await,
        Err(fault) => {
            shared.metrics.archive_call("write_failed");
            debug!(shared.log, "archive: versions not recorded"; "cause" => ?fault);
            sleep(WRITE_RETRY_DELAY).await;
            read(shared, store).await;
        }
    }
}

/// Reads the records whenever a caller waits for them. Never returns.
pub async fn serve_lookups<P: Platform, S: Store>(shared: Rc<Shared<P>>, store: Rc<S>) {
    loop {
        shared.archive.lookup.notified().await;
        // Callers that come later need a later read.
        let waiting = shared.archive.lookups.take();
        let reads = try_join(try_read(&shared, &*store), learn_versions(&shared, &*store));
        let is_read = matches!(timeout(LOOKUP_TIMEOUT, reads).await, Ok(Ok(_)));
        for caller in waiting {
            // One that has left needs no answer.
            let _left = caller.send(is_read);
        }
        sleep(LOOKUP_INTERVAL).await;
    }
}

async fn read<P: Platform, S: Store>(shared: &Shared<P>, store: &S) {
    if let Err(fault) = try_read(shared, store).await {
        debug!(shared.log, "archive: not read"; "cause" => ?fault);
    }
}

async fn try_read<P: Platform, S: Store>(shared: &Shared<P>, store: &S) -> Result<(), Fault> {
    let read = watch::range(store, archive::PREFIX).await;
    let outcome = if read.is_ok() { "read" } else { "read_failed" };
    shared.metrics.archive_call(outcome);
    let (_revision, entries) = read?;
    apply_list(shared, &entries);
    Ok(())
}

/// Learns which software versions the upstreams run that the store lists at present.
async fn learn_versions<P: Platform, S: Store>(shared: &Shared<P>, store: &S) -> Result<(), Fault> {
    let (_revision, entries) = watch::range(store, P::UPSTREAMS).await?;
    let entries = entries
        .iter()
        .filter_map(|entry| shared.platform.entry(entry).ok());
    let mut listed = Versions::default();
    for entry in entries {
        listed
            .0
            .entry(entry.service)
            .or_default()
            .insert(entry.build);
    }
    let now = shared.now();
    shared
        .fleet
        .borrow_mut()
        .learn_listed_versions(now, &listed);
    Ok(())
}

/// Applies all records of the store.
pub(crate) fn apply_list<P: Platform>(shared: &Shared<P>, entries: &[kv::Entry]) {
    let records = Records::decode(entries);
    let is_absent = records.versions.is_none();
    apply(shared, records);
    if is_absent {
        apply_versions(shared, Revision::default(), Versions::default());
    }
}

/// Applies changes of records.
pub(crate) fn apply_changes<'a, P: Platform>(
    shared: &Shared<P>,
    entries: impl Iterator<Item = &'a kv::Entry>,
) {
    apply(shared, Records::decode(entries));
}

fn apply<P: Platform>(shared: &Shared<P>, records: Records) {
    for unusable in &records.unusable {
        warn!(shared.log, "archive: record ignored";
            "key" => &unusable.key, "error" => %unusable.error);
    }
    let now = shared.now();
    shared
        .origins
        .borrow_mut()
        .merge_stored(now, records.streams);
    if !records.routers.is_empty() {
        shared.discovery.record(records.routers);
        shared.changed.notify_one();
    }
    if let Some((revision, versions)) = records.versions {
        apply_versions(shared, revision, versions);
    }
}

fn apply_versions<P: Platform>(shared: &Shared<P>, revision: Revision, versions: Versions) {
    shared.archive.versions_at.set(Some(revision));
    let now = shared.now();
    shared.fleet.borrow_mut().record_versions(now, versions);
}
