//! What the process believes, for operators: one JSON object on the address of the metrics.
//!
//! See `docs/OPERATIONS.md#status`.

use serde::Deserialize;
use serde::Serialize;
use snipeusher::fleet::Cell;
use snipeusher::fleet::Fleet;
use snipeusher::name;
use snipeusher::time::Time;

use crate::dialect::Platform;
use crate::shared::Shared;

/// Path of the status.
pub const PATH: &str = "/status";

/// What the process believes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Its host.
    pub host: name::Host,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Whether new connections are welcome.
    pub ready: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Requests in progress.
    pub open_requests: usize,
    /// The configuration in force.
    pub configuration: Option<Configuration>,
    /// How it stands with the store.
    pub store: Store,
    /// Routers that share the repeats, this one included.
    pub routers: usize,
    /// Retries that it may still send now, by service.
    #[serde(rename = "repeats_left")]
    pub retries_left: Vec<Retries>,
    /// The upstreams by identity.
    pub upstreams: Vec<Upstream>,
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// The operators' number.
    pub version: u64,
    /// The store's revision.
    pub revision: u64,
    /// Routes in it.
    pub routes: usize,
    /// For how long it has been in force, in milliseconds.
    pub age_ms: u64,
}

/// How the process stands with the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Store {
    /// Whether it reads the store for its availability zone.
    pub reads: bool,
    /// For how long the store has not answered it, in milliseconds.
    pub lost_ms: Option<u64>,
    /// The revision up to which it knows the upstreams.
    pub upstreams_revision: u64,
}

/// Retries of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Retries {
    /// The service.
    pub service: name::Service,
    /// Whole repeats that are left of its share.
    #[serde(rename = "left")]
    pub remaining: u32,
}

/// What is believed of an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its identity.
    pub id: name::Upstream,
    /// Its service.
    pub service: name::Service,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Why it gets requests or not.
    pub state: State,
    /// Requests of this router at it.
    pub own: u32,
    /// Requests of all routers that are believed to be at it.
    pub load: u32,
    /// Share of this router's recent requests that failed.
    pub failures: f64,
}

/// Why an upstream gets requests or not; the first that holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It leaves, or the store lists it no longer.
    Leaving,
    /// No connection can be opened.
    Unreachable,
    /// It failed too often.
    #[serde(rename = "set_aside")]
    Ejected,
    /// It has requests and says nothing.
    Silent,
    /// It gets requests.
    Ready,
}

/// What the process believes now.
pub fn read<P: Platform>(shared: &Shared<P>) -> Status {
    let now = shared.now();
    let ready = shared.is_ready();
    let mut fleet = shared.fleet.borrow_mut();
    let retries = fleet.repeats_left(now).into_iter();
    let retries_left = retries
        .map(|(service, remaining)| Retries { service, remaining })
        .collect();
    let mut upstreams: Vec<Upstream> = fleet
        .cells()
        .iter()
        .map(|cell| upstream(&fleet, cell, now))
        .collect();
    upstreams.sort_by(|left, right| left.id.cmp(&right.id));
    Status {
        host: shared.settings.host.clone(),
        zone: shared.settings.fleet.zone.clone(),
        ready,
        leaving: shared.lifecycle.is_leaving(),
        open_requests: shared.lifecycle.in_flight(),
        configuration: configuration(shared, now),
        store: Store {
            reads: shared.readers.borrow().is_reading(),
            lost_ms: shared
                .store_unreachable_since()
                .map(|since| millis(now, since)),
            upstreams_revision: fleet.roster().revision().0,
        },
        routers: fleet.routers(),
        retries_left,
        upstreams,
    }
}

fn configuration<P: Platform>(shared: &Shared<P>, now: Time) -> Option<Configuration> {
    let table = shared.table()?;
    Some(Configuration {
        version: table.version(),
        revision: table.revision().0,
        routes: table.len(),
        age_ms: millis(now, shared.configured_at()),
    })
}

fn upstream(fleet: &Fleet, cell: &Cell, now: Time) -> Upstream {
    let id = &cell.entry.id;
    let state = if !fleet.is_ready(now, id) {
        State::Leaving
    } else if cell.health.is_unreachable() {
        State::Unreachable
    } else if cell.health.is_aside() {
        State::Ejected
    } else if cell.is_silent(now) {
        State::Silent
    } else {
        State::Ready
    };
    Upstream {
        id: id.clone(),
        service: cell.entry.service.clone(),
        zone: cell.entry.zone.clone(),
        state,
        own: cell.load.own(),
        load: cell.load.estimate(now),
        failures: cell.health.failures(),
    }
}

fn millis(now: Time, since: Time) -> u64 {
    u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX)
}
