//! Recognises upstreams that crash while requests wait for their answers.
//!
//! A lost connection alone does not show a crash: upstreams also break off single responses. An
//! upstream that refuses the next connection has ended, unless its neighbours cannot be reached
//! either: then this router's links are cut. The requests that it had not begun to
//! answer by then may be the cause; one that had brought events for a while is not. See
//! `docs/platform.md#requests-that-crash-upstreams`.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::info;
use slog::warn;
use snipeusher::fleet::Entry;
use snipeusher::name;
use snipeusher::poison;
use snipeusher::time::Time;
use tokio::time::sleep;

use crate::connection;
use crate::connection::Connection;
use crate::dialect::Platform;
use crate::shared::Shared;

/// Time for which requests that an upstream lost are collected before the upstream is checked.
const COLLECT_TIME: Duration = Duration::from_millis(20);
/// Lost requests that are kept for each upstream; more would not narrow down the cause.
const LOST_MAX: usize = 256;

/// Other upstreams of which one has to accept a connection, else the way to all may be cut.
const NEIGHBOURS_MAX: usize = 2;

/// A request that was lost before its answer had begun, or shortly after.
#[derive(Clone, Debug)]
pub(crate) struct Lost {
    /// Prompt parts that it shares with other requests.
    pub(crate) parts: Vec<u64>,
    /// Hash of the whole request, the same when a caller repeats it.
    pub(crate) fingerprint: u64,
    /// When it was sent to the upstream.
    pub(crate) sent_at: Time,
    /// When it was lost.
    pub(crate) ended_at: Time,
}

impl Lost {
    fn into_loss(self, crash: poison::Crash, service: &name::Service) -> poison::Loss {
        poison::Loss {
            crash,
            service: service.clone(),
            parts: self.parts,
            request: self.fingerprint,
            ran_ms: self.ended_at.since(self.sent_at).as_millis() as u64,
        }
    }
}

/// Requests whose upstreams are about to be checked.
#[derive(Debug, Default)]
pub(crate) struct Unverified(RefCell<BTreeMap<name::Upstream, Vec<Lost>>>);

impl Unverified {
    /// Adds a request; returns whether it is the first one of its upstream.
    fn add(&self, upstream: &name::Upstream, lost: Lost) -> bool {
        let mut upstreams = self.0.borrow_mut();
        let requests = upstreams.entry(upstream.clone()).or_default();
        if requests.len() < LOST_MAX {
            requests.push(lost);
        }
        requests.len() == 1
    }

    fn take(&self, upstream: &name::Upstream) -> Vec<Lost> {
        self.0.borrow_mut().remove(upstream).unwrap_or_default()
    }
}

/// Checks whether the upstream of a lost request has crashed.
pub(crate) fn check<P: Platform>(shared: &Rc<Shared<P>>, upstream: &name::Upstream, lost: Lost) {
    let known = shared
        .fleet
        .borrow()
        .upstream(upstream)
        .map(|known| known.entry.clone());
    let Some(entry) = known else { return };
    if shared.lost.add(upstream, lost) {
        let shared = Rc::clone(shared);
        actix_rt::spawn(async move { verify(&shared, &entry).await });
    }
}

async fn verify<P: Platform>(shared: &Shared<P>, entry: &Entry) {
    sleep(COLLECT_TIME).await;
    let upstream = &entry.id;
    let lost = shared.lost.take(upstream);
    let limit = shared.settings.connect_timeout;
    let opened = Connection::open(entry.address, limit, &shared.http).await;
    if !opened.is_err_and(|error| is_refused(&error)) {
        return;
    }
    let Some(crashed_at) = lost.iter().map(|lost| lost.ended_at).min() else {
        return;
    };
    if is_way_cut(shared, upstream, crashed_at).await {
        info!(shared.log, "upstream: refuses like its neighbours";
            "upstream" => upstream.as_str(), "requests" => lost.len());
        return;
    }
    let fingerprints: BTreeSet<u64> = lost.iter().map(|lost| lost.fingerprint).collect();
    let parts: BTreeSet<u64> = lost.iter().flat_map(|lost| &lost.parts).copied().collect();
    shared.metrics.crash();
    warn!(shared.log, "upstream: crashed";
        "upstream" => upstream.as_str(), "requests" => lost.len(),
        "fingerprints" => hex(&fingerprints), "parts" => hex(&parts));
    let crash = poison::Crash::of(upstream, entry.incarnation);
    let losses = lost.into_iter();
    let losses = losses.map(|lost| lost.into_loss(crash, &entry.service));
    let blocked = shared.poison.borrow_mut().record_losses(crashed_at, losses);
    log_blocked(shared, &blocked, "crashes");
}

/// Whether the neighbours of an upstream that was lost at a time do not accept connections either.
/// Those that are known to have been down before tell nothing.
async fn is_way_cut<P: Platform>(shared: &Shared<P>, upstream: &name::Upstream, at: Time) -> bool {
    let neighbours: Vec<SocketAddr> = {
        let fleet = shared.fleet.borrow();
        let poison = shared.poison.borrow();
        let neighbours = fleet.neighbours(upstream, at, shared.random()).into_iter();
        let up = neighbours
            .filter(|other| !poison.is_known(poison::Crash::of(&other.id, other.incarnation)));
        up.map(|other| other.address).take(NEIGHBOURS_MAX).collect()
    };
    for address in &neighbours {
        let limit = shared.settings.connect_timeout;
        if Connection::open(*address, limit, &shared.http)
            .await
            .is_ok()
        {
            return false;
        }
    }
    !neighbours.is_empty()
}

/// Logs which requests and combinations of prompt parts are newly blocked, and how this router
/// learnt of them.
pub(crate) fn log_blocked<P: Platform>(
    shared: &Shared<P>,
    causes: &[poison::Cause],
    source: &'static str,
) {
    for cause in causes {
        let service = cause.service.as_str();
        match &cause.pattern {
            poison::Pattern::Parts(parts) => warn!(shared.log, "prompt: blocked";
                "service" => service, "parts" => hex(parts), "source" => source),
            poison::Pattern::Request(request) => warn!(shared.log, "request: blocked";
                "service" => service, "fingerprint" => hex([request]), "source" => source),
        }
    }
}

/// Whether no process listens at the address, as opposed to a host that does not answer.
fn is_refused(error: &connection::Error) -> bool {
    matches!(error, connection::Error::Connect { source, .. }
        if source.kind() == io::ErrorKind::ConnectionRefused)
}

/// Prompt parts as text for logs.
pub(crate) fn hex<'a>(parts: impl IntoIterator<Item = &'a u64>) -> String {
    let parts: Vec<String> = parts.into_iter().map(|part| format!("{part:x}")).collect();
    parts.join(" ")
}
