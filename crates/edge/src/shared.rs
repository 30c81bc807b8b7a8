//! State shared by all tasks of the process.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::ServiceConfig;
use bytes::Bytes;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use slog::Logger;
use slog::info;
use slog::warn;
use snipeusher::fleet;
use snipeusher::fleet::Fleet;
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher::poison;
use snipeusher::reader::Readers;
use snipeusher::route::Limits;
use snipeusher::route::Position;
use snipeusher::route::Table;
use snipeusher::stream::Origins;
use snipeusher::time::Time;
use tokio::sync::Notify;

use crate::archive::Archive;
use crate::clock::Clock;
use crate::crash;
use crate::dialect::Platform;
use crate::discovery::Discovery;
use crate::evacuation;
use crate::lifecycle::Lifecycle;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::peer::Announcement;
use crate::pool::Pool;

/// Time before the end of the grace period at which the process exits by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(300);
/// Time before that exit from which no request is accepted. Most are answered within a fraction of
/// it, and callers still reach this host if the balancer has no other.
const LAST_ACCEPTED: Duration = Duration::from_secs(1);

/// Time before that exit at which requests in flight get their final response.
const LAST_RESPONSE: Duration = Duration::from_millis(100);

/// Settings of the process and its host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host.
    pub host: name::Host,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address for peers.
    pub control: SocketAddr,
    /// Address of the metrics and the status page; `None` disables them.
    pub metrics: Option<SocketAddr>,
    /// Control addresses of some peers; they may be outdated.
    pub seeds: Vec<SocketAddr>,
    /// Limit on the time to connect to an upstream.
    pub connect_timeout: Duration,
    /// Whether the whole fleet starts for the first time, so that nothing was sent before.
    pub is_first_start: bool,
    /// Longest time from SIGTERM to the exit, even with requests in flight.
    pub grace: Duration,
    /// Settings of the view of the fleet.
    pub fleet: fleet::Settings,
    /// What upstreams may get in any second while they are warming up.
    pub warmup: fleet::Bound,
    /// Memory that the process may take, in bytes.
    pub memory_bytes: usize,
}

/// The configuration as stored, to serve to peers that cannot reach the store.
#[derive(Clone, Debug)]
pub struct Document {
    /// Its position in the sequence that the operators wrote.
    pub position: Position,
    /// The stored bytes.
    pub value: Bytes,
}

/// State shared by all tasks of the process.
#[derive(Debug)]
pub struct Shared<P> {
    /// Headers and documents of the platform.
    pub platform: P,
    /// The settings.
    pub settings: Settings,
    /// The monotonic clock.
    pub clock: Clock,
    /// View of the upstreams: entries, load and health.
    pub fleet: RefCell<Fleet>,
    /// Idle connections to upstreams.
    pub pool: RefCell<Pool>,
    /// Shutdown state and in-flight requests.
    pub lifecycle: Lifecycle,
    /// Memory for the bodies of requests and responses.
    pub memory: Rc<Memory>,
    /// The metrics.
    pub metrics: Metrics,
    /// The log.
    pub log: Logger,
    /// Routers that read the store.
    pub readers: RefCell<Readers>,
    /// Notified when a reader of the store cannot be reached.
    pub reader_lost: Notify,
    /// Notified when there is a change that peers may not have.
    pub changed: Notify,
    /// Notified when there may be an outage to report to peers.
    pub outage: Notify,
    /// Which software versions began the streams of this router and of peers.
    pub origins: RefCell<Origins>,
    /// Notified when there are origins that peers do not have.
    pub new_origins: Notify,
    /// Records of this router and others in the store.
    pub archive: Archive,
    /// Routers that were found by their records.
    pub discovery: Discovery,
    /// What peers have spent of the retry budgets.
    pub accounts: RefCell<fleet::Accounts>,
    /// Prompt parts that crash upstreams.
    pub poison: RefCell<poison::Tracker>,
    /// Requests whose upstreams are about to be checked for a crash.
    pub(crate) lost: crash::Unverified,
    /// Configurations that peers announced.
    pub configurations: Announcement<Position>,
    /// Lists of upstreams that peers announced.
    pub rosters: Announcement<Revision>,
    /// Shared state of the HTTP codecs, such as the date.
    pub http: ServiceConfig,
    table: RefCell<Option<Rc<Table>>>,
    document: RefCell<Option<Document>>,
    /// When the configuration came into force.
    configured_at: Cell<Time>,
    /// Whether it was logged that home regions have no effect without regions of zones.
    homes_warned: Cell<bool>,
    /// Whether it was logged that the configuration and the upstreams are known.
    ready_logged: Cell<bool>,
    /// Time of the first failed call if the store is unreachable.
    store_unreachable: Cell<Option<Time>>,
    rng: RefCell<SmallRng>,
}

impl<P: Platform> Shared<P> {
    /// Creates the state, without a configuration or upstreams.
    pub fn open(platform: P, settings: Settings, log: Logger) -> Rc<Self> {
        let mut rng = SmallRng::from_os_rng();
        let poison = poison::Tracker::new(rng.random());
        let archive = Archive::new(rng.random());
        let mut fleet = Fleet::new(settings.fleet.clone());
        fleet.set_warmup_bound(Time::default(), settings.warmup);
        if settings.is_first_start {
            fleet.record_first_start();
        }
        let others = settings.seeds.iter();
        let others = others.filter(|seed| **seed != settings.control).count();
        if others > 0 {
            fleet.set_routers(others + 1);
            fleet.await_peers(Time::default());
            if !settings.is_first_start {
                fleet.await_past_retries(Time::default());
            }
        }
        let shared = Rc::new(Self {
            platform,
            clock: Clock::start(),
            fleet: RefCell::new(fleet),
            pool: RefCell::default(),
            lifecycle: Lifecycle::default(),
            memory: Memory::new(settings.memory_bytes),
            metrics: Metrics::default(),
            readers: RefCell::new(Readers::new(
                settings.host.clone(),
                settings.fleet.zone.clone(),
            )),
            reader_lost: Notify::new(),
            changed: Notify::new(),
            outage: Notify::new(),
            origins: RefCell::default(),
            new_origins: Notify::new(),
            archive,
            discovery: Discovery::default(),
            accounts: RefCell::default(),
            poison: RefCell::new(poison),
            lost: crash::Unverified::default(),
            configurations: Announcement::default(),
            rosters: Announcement::default(),
            http: ServiceConfig::default(),
            table: RefCell::default(),
            document: RefCell::default(),
            configured_at: Cell::default(),
            homes_warned: Cell::default(),
            ready_logged: Cell::default(),
            store_unreachable: Cell::new(None),
            rng: RefCell::new(rng),
            settings,
            log,
        });
        shared.check_regions();
        shared
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// A random number.
    pub fn random(&self) -> u64 {
        self.rng.borrow_mut().random()
    }

    /// Routes of the configuration in force.
    pub fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// The configuration in force as stored.
    pub fn document(&self) -> Option<Document> {
        self.document.borrow().clone()
    }

    /// Position of the known configuration and revision of the known upstreams.
    pub fn revisions(&self) -> (Option<Position>, Revision) {
        let document = self.document.borrow();
        let configuration = document.as_ref().map(|document| document.position);
        (configuration, self.fleet.borrow().roster().revision())
    }

    /// Limits on requests of callers.
    pub fn limits(&self) -> Limits {
        let table = self.table.borrow();
        table
            .as_ref()
            .map_or_else(Limits::default, |table| *table.limits())
    }

    /// Whether the configuration and the upstreams are known.
    pub fn is_loaded(&self) -> bool {
        self.table.borrow().is_some() && !self.fleet.borrow().roster().is_unsynced()
    }

    /// Longest time from the start of the shutdown to the exit, even with requests in flight.
    pub const fn shutdown_limit(&self) -> Duration {
        self.settings.grace.saturating_sub(GRACE_MARGIN)
    }

    /// Waits until requests in flight have to end, since the process exits whether they did or not.
    pub(crate) async fn exit_imminent(&self) {
        let limit = self.shutdown_limit().saturating_sub(LAST_RESPONSE);
        self.lifecycle.shutdown_elapsed(limit).await;
    }

    /// Time until requests in flight have to end; `None` unless the process shuts down.
    pub fn time_to_exit(&self) -> Option<Duration> {
        let limit = self.shutdown_limit().saturating_sub(LAST_RESPONSE);
        let leaving_for = self.lifecycle.leaving_for()?;
        Some(limit.saturating_sub(leaving_for))
    }

    /// Whether the process may exit before a request that arrives now is answered.
    pub fn is_about_to_exit(&self) -> bool {
        let left = self.time_to_exit();
        left.is_some_and(|left| left + LAST_RESPONSE <= LAST_ACCEPTED)
    }

    /// Records that the configuration or the upstreams changed, so that peers are informed.
    pub fn record_change(&self) {
        self.changed.notify_one();
        evacuation::log(self);
        self.log_warmups();
        if self.is_loaded() && !self.ready_logged.replace(true) {
            let fleet = self.fleet.borrow();
            info!(self.log, "node: ready";
                "upstreams" => fleet.upstreams().len(), "routers" => fleet.routers(),
                "ms" => self.now().0 / 1_000);
        }
    }

    /// Logs which upstreams have become cold.
    pub(crate) fn log_warmups(&self) {
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        for (id, remaining) in fleet.take_warmups(now) {
            let upstream = fleet.upstream(&id);
            let limit = upstream.and_then(|upstream| upstream.warmup.limit(now));
            info!(self.log, "upstream: warming up";
                "upstream" => id.as_str(), "ms" => remaining.as_millis() as u64,
                "per_s" => limit);
        }
    }

    /// Whether the readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        self.is_loaded() && !self.lifecycle.is_leaving()
    }

    /// Applies a configuration unless the one in force has the same or a later position. Returns
    /// its position, or `None` if it cannot be decoded.
    ///
    /// Positions come from the operators and the store, so the check holds for a configuration from
    /// any source.
    pub fn configure(
        &self,
        revision: Revision,
        value: &[u8],
        source: &'static str,
    ) -> Option<Position> {
        let known = self.document.borrow().as_ref().map(|known| known.position);
        if let Some(known) = known.filter(|known| known.revision == revision) {
            return Some(known);
        }
        match self.platform.table(revision, value) {
            Ok(table) if known.is_some_and(|known| known >= table.position()) => {
                info!(self.log, "configuration: older one ignored";
                    "version" => table.version(), "revision" => revision.number,
                    "era" => revision.era.0, "source" => source);
                Some(table.position())
            }
            Ok(table) => {
                let position = table.position();
                let delay = self.configurations.take_delay(self.now());
                info!(self.log, "configuration: in force";
                    "version" => table.version(), "revision" => revision.number,
                    "era" => revision.era.0, "routes" => table.len(), "source" => source,
                    "bytes" => value.len(),
                    "announced_ms" => delay.map(|delay| delay.as_millis() as u64));
                for warning in table.warnings() {
                    warn!(self.log, "configuration: invalid value";
                        "version" => table.version(), "value" => warning);
                }
                self.set_warmups(&table);
                self.extend_stream_retention(table.stream_timeout());
                self.check_homes(&table);
                *self.table.borrow_mut() = Some(Rc::new(table));
                self.configured_at.set(self.now());
                *self.document.borrow_mut() = Some(Document {
                    position,
                    value: Bytes::copy_from_slice(value),
                });
                self.record_change();
                Some(position)
            }
            Err(error) => {
                warn!(self.log, "configuration: unreadable, the last one stays in force";
                    "revision" => revision.number, "source" => source, "error" => %error);
                None
            }
        }
    }

    /// Applies the limits of upstreams that are warming up.
    fn set_warmups(&self, table: &Table) {
        let services = table.services().iter();
        let limits = services.filter_map(|(name, service)| Some((name.clone(), service.warmup?)));
        self.fleet.borrow_mut().set_warmups(self.now(), limits);
    }

    /// Logs that the router's region differs from that of its zone.
    fn check_regions(&self) {
        let settings = &self.settings.fleet;
        if settings.regions.is_contradictory() {
            let region = settings.regions.of(&settings.zone);
            warn!(self.log, "settings: region differs from that of the zone and is ignored";
                "zone" => settings.zone.as_str(),
                "region_of_zone" => region.map(name::Region::as_str));
        }
    }

    /// Logs once that no upstream is in a home region, since the settings name no regions.
    fn check_homes(&self, table: &Table) {
        let lacks_regions = table.has_homes() && self.settings.fleet.regions.is_empty();
        if lacks_regions && !self.homes_warned.replace(true) {
            warn!(
                self.log,
                "settings: no regions of zones, but the configuration has home regions; \
                requests with home regions are refused"
            );
        }
    }

    /// When the configuration came into force.
    pub const fn configured_at(&self) -> Time {
        self.configured_at.get()
    }

    /// Whether this router's last call of the store failed.
    pub const fn is_store_unreachable(&self) -> bool {
        self.store_unreachable_since().is_some()
    }

    /// Time since which the store is unreachable for this router.
    pub const fn store_unreachable_since(&self) -> Option<Time> {
        self.store_unreachable.get()
    }

    /// Records whether a call of the store succeeded.
    pub fn set_store_reachable(&self, is_reachable: bool, cause: &str) {
        let now = self.now();
        match (is_reachable, self.store_unreachable.get()) {
            (true, Some(since)) => {
                self.store_unreachable.set(None);
                let was_down = !self.readers.borrow().is_store_up_elsewhere(now, since);
                info!(self.log, "store: regained"; "was_down" => was_down);
                self.fleet.borrow_mut().store_reconnected(now, was_down);
            }
            (false, None) => {
                self.store_unreachable.set(Some(now));
                warn!(self.log, "store: lost"; "cause" => cause);
                self.readers.borrow_mut().record_loss();
                self.fleet.borrow_mut().store_disconnected();
            }
            _ => {}
        }
    }
}
