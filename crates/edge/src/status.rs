//! Status page for operators: one JSON object, served on the address of the metrics.
//!
//! See `docs/OPERATIONS.md#status`.

use serde::Deserialize;
use serde::Serialize;
use snipeusher::fleet;
use snipeusher::fleet::Fleet;
use snipeusher::name;
use snipeusher::time::Time;

use crate::dialect::Platform;
use crate::shared::Shared;

/// Path of the status page.
pub const PATH: &str = "/status";

/// State of a router as it sees itself and the upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the host.
    pub host: name::Host,
    /// Availability zone of the host.
    pub zone: name::Zone,
    /// Region of the host, if its settings state it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<name::Region>,
    /// Whether the readiness check succeeds.
    pub ready: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Number of in-flight requests.
    pub open_requests: usize,
    /// The configuration in force.
    pub configuration: Option<Configuration>,
    /// Access to the store.
    pub store: Store,
    /// Routers that share the retry budget, including this one.
    pub routers: usize,
    /// Retries that the budget allows now, by service.
    #[serde(rename = "repeats_left")]
    pub retries_left: Vec<Retries>,
    /// Evacuated availability zones, sorted by name.
    #[serde(default)]
    pub evacuated: Vec<Evacuation>,
    /// The upstreams, sorted by identifier.
    pub upstreams: Vec<Upstream>,
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version given by the operators.
    pub version: u64,
    /// Revision of the store that set it.
    pub revision: u64,
    /// Number of routes.
    pub routes: usize,
    /// Time since it came into force, in milliseconds.
    pub age_ms: u64,
}

/// Access of a router to the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Store {
    /// Whether it reads the store for its availability zone.
    pub reads: bool,
    /// Time since the store became unreachable, in milliseconds.
    pub lost_ms: Option<u64>,
    /// Revision up to which the upstreams are known.
    pub upstreams_revision: u64,
    /// Number of times that the store was restored from a copy, as far as this router knows.
    #[serde(default)]
    pub era: u64,
}

/// Retry budget of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Retries {
    /// The service.
    pub service: name::Service,
    /// Whole retries that remain in this router's share.
    #[serde(rename = "left")]
    pub remaining: u32,
}

/// An evacuated availability zone as seen by the router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The zone.
    pub zone: name::Zone,
    /// Revision of the store that evacuated it.
    pub revision: u64,
    /// Time since the router learned of it, in milliseconds.
    pub age_ms: u64,
    /// In-flight requests of this router at upstreams of the zone.
    pub open_requests: u32,
}

/// State of an upstream as seen by the router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Identifier of the upstream.
    pub id: name::Upstream,
    /// Service that it belongs to.
    pub service: name::Service,
    /// Availability zone of the upstream.
    pub zone: name::Zone,
    /// Region of that zone, if the settings of the router name it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<name::Region>,
    /// Version of the software of the upstream.
    #[serde(default)]
    pub build: Option<name::Build>,
    /// Whether it receives requests, and if not, why.
    pub state: State,
    /// Requests a second that it takes from all routers together, if it states a limit.
    #[serde(default)]
    pub rate_limit: Option<f64>,
    /// Milliseconds for which it is still warming up, if it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_ms: Option<u64>,
    /// In-flight requests of this router.
    pub own: u32,
    /// Estimated in-flight requests of all routers.
    pub load: u32,
    /// Fraction of this router's recent requests that failed.
    pub failures: f64,
}

/// Whether an upstream receives requests, and if not, why. The first that applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It is draining, or no longer listed in the store.
    Leaving,
    /// It said itself that it shuts down.
    Announced,
    /// Its availability zone is evacuated.
    Evacuated,
    /// It asked this router for a pause.
    Paused,
    /// No connection could be opened.
    Unreachable,
    /// Ejected after too many failures.
    #[serde(rename = "set_aside")]
    Ejected,
    /// It has in-flight requests but sends no response.
    Silent,
    /// It receives requests.
    Ready,
}

impl State {
    /// All states in which an upstream receives no requests, or only if no other is left.
    pub(crate) const UNUSED: [Self; 7] = [
        Self::Leaving,
        Self::Announced,
        Self::Evacuated,
        Self::Paused,
        Self::Unreachable,
        Self::Ejected,
        Self::Silent,
    ];

    /// The label of metrics.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Announced => "announced",
            Self::Evacuated => "evacuated",
            Self::Paused => "paused",
            Self::Unreachable => "unreachable",
            Self::Ejected => "set_aside",
            Self::Silent => "silent",
            Self::Ready => "ready",
        }
    }
}

/// Reads the current status.
pub fn read<P: Platform>(shared: &Shared<P>) -> Status {
    let now = shared.now();
    let ready = shared.is_ready();
    let mut fleet = shared.fleet.borrow_mut();
    let retries = fleet.retries_remaining(now).into_iter();
    let retries_left = retries
        .map(|(service, remaining)| Retries { service, remaining })
        .collect();
    let mut upstreams: Vec<Upstream> = fleet
        .upstreams()
        .iter()
        .map(|known| upstream(&fleet, known, now))
        .collect();
    upstreams.sort_by(|left, right| left.id.cmp(&right.id));
    Status {
        host: shared.settings.host.clone(),
        zone: shared.settings.fleet.zone.clone(),
        region: shared.settings.fleet.regions.own().cloned(),
        ready,
        leaving: shared.lifecycle.is_leaving(),
        open_requests: shared.lifecycle.in_flight(),
        configuration: configuration(shared, now),
        store: Store {
            reads: shared.readers.borrow().is_reading(),
            lost_ms: shared
                .store_unreachable_since()
                .map(|since| millis(now, since)),
            upstreams_revision: fleet.roster().revision().number,
            era: fleet.roster().revision().era.0,
        },
        routers: fleet.routers(),
        retries_left,
        evacuated: evacuated(&fleet, now),
        upstreams,
    }
}

fn configuration<P: Platform>(shared: &Shared<P>, now: Time) -> Option<Configuration> {
    let table = shared.table()?;
    Some(Configuration {
        version: table.version(),
        revision: table.revision().number,
        routes: table.len(),
        age_ms: millis(now, shared.configured_at()),
    })
}

fn evacuated(fleet: &Fleet, now: Time) -> Vec<Evacuation> {
    let drains = fleet.drains();
    let evacuated = drains.map(|(zone, drain, in_flight)| Evacuation {
        zone: zone.clone(),
        revision: drain.revision.number,
        age_ms: millis(now, drain.since),
        open_requests: in_flight,
    });
    evacuated.collect()
}

fn upstream(fleet: &Fleet, known: &fleet::Upstream, now: Time) -> Upstream {
    let id = &known.entry.id;
    let state = if fleet.has_announced_leaving(known) {
        State::Announced
    } else if !fleet.is_ready(now, id) {
        State::Leaving
    } else if fleet.roster().is_evacuated(now, &known.entry.zone) {
        State::Evacuated
    } else if known.is_paused(now) {
        State::Paused
    } else if known.health.is_unreachable() {
        State::Unreachable
    } else if known.health.is_ejected() {
        State::Ejected
    } else if known.is_silent(now) {
        State::Silent
    } else {
        State::Ready
    };
    let remaining = known.warmup.remaining(now);
    Upstream {
        id: id.clone(),
        service: known.entry.service.clone(),
        zone: known.entry.zone.clone(),
        region: known.region.clone(),
        build: Some(known.entry.build.clone()),
        state,
        rate_limit: known.rate.limit(now),
        cold_ms: remaining.map(|remaining| remaining.as_millis() as u64),
        own: known.load.in_flight(),
        load: known.load.estimate(now),
        failures: known.health.failure_rate(),
    }
}

fn millis(now: Time, since: Time) -> u64 {
    u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX)
}
