//! What all tasks of the process share.

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
use snipeusher::reader::Readers;
use snipeusher::route::Limits;
use snipeusher::route::Table;
use snipeusher::time::Time;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::dialect::Platform;
use crate::lifecycle::Lifecycle;
use crate::metrics::Metrics;
use crate::peer::Announcement;
use crate::pool::Pool;

/// What the process needs to know of itself and of its host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The host's name.
    pub host: name::Host,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where the balancer asks whether new connections are welcome.
    pub ready: SocketAddr,
    /// Where peers connect.
    pub control: SocketAddr,
    /// Where counters and histograms are fetched; `None` serves none.
    pub metrics: Option<SocketAddr>,
    /// Control addresses of some peers, which may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Longest time to open a connection to an upstream.
    pub connect_timeout: Duration,
    /// Time between SIGTERM and the end, whatever is still open.
    pub grace: Duration,
    /// What the fleet's beliefs depend on.
    pub fleet: fleet::Settings,
}

/// The configuration as the store holds it, for peers that cannot reach the store.
#[derive(Clone, Debug)]
pub struct Document {
    /// Its revision.
    pub revision: Revision,
    /// Its bytes.
    pub value: Bytes,
}

/// What all tasks of the process share.
#[derive(Debug)]
pub struct Shared<P> {
    /// The words of the platform.
    pub platform: P,
    /// The settings.
    pub settings: Settings,
    /// The steady clock.
    pub clock: Clock,
    /// What is believed of the upstreams.
    pub fleet: RefCell<Fleet>,
    /// Idle connections to upstreams.
    pub pool: RefCell<Pool>,
    /// Whether the process is leaving.
    pub lifecycle: Lifecycle,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The log.
    pub log: Logger,
    /// Who reads the store.
    pub readers: RefCell<Readers>,
    /// Set when something was learnt that peers may not know.
    pub changed: Notify,
    /// A configuration that a peer has and this router has not.
    pub announcement: Announcement,
    /// Shared state of the codecs, such as the date.
    pub http: ServiceConfig,
    table: RefCell<Option<Rc<Table>>>,
    document: RefCell<Option<Document>>,
    /// When the configuration came into force.
    configured_at: Cell<Time>,
    /// Since when the store does not answer this router.
    store_lost: Cell<Option<Time>>,
    rng: RefCell<SmallRng>,
}

impl<P: Platform> Shared<P> {
    /// Starts with nothing known.
    pub fn open(platform: P, settings: Settings, log: Logger) -> Rc<Self> {
        Rc::new(Self {
            platform,
            clock: Clock::start(),
            fleet: RefCell::new(Fleet::new(settings.fleet.clone())),
            pool: RefCell::default(),
            lifecycle: Lifecycle::default(),
            metrics: Metrics::default(),
            readers: RefCell::new(Readers::new(
                settings.host.clone(),
                settings.fleet.zone.clone(),
            )),
            changed: Notify::new(),
            announcement: Announcement::default(),
            http: ServiceConfig::default(),
            table: RefCell::default(),
            document: RefCell::default(),
            configured_at: Cell::default(),
            store_lost: Cell::new(None),
            rng: RefCell::new(SmallRng::from_os_rng()),
            settings,
            log,
        })
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// A random number.
    pub fn random(&self) -> u64 {
        self.rng.borrow_mut().random()
    }

    /// The configuration in force.
    pub fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// The configuration as the store holds it.
    pub fn document(&self) -> Option<Document> {
        self.document.borrow().clone()
    }

    /// Revisions of the configuration and of the upstreams that are known.
    pub fn revisions(&self) -> (Option<Revision>, Revision) {
        let document = self.document.borrow();
        let configuration = document.as_ref().map(|document| document.revision);
        (configuration, self.fleet.borrow().roster().revision())
    }

    /// Bounds of what callers may send.
    pub fn limits(&self) -> Limits {
        let table = self.table.borrow();
        table
            .as_ref()
            .map_or_else(Limits::default, |table| *table.limits())
    }

    /// Whether new connections are welcome.
    pub fn is_ready(&self) -> bool {
        let knows = self.table.borrow().is_some() && !self.fleet.borrow().roster().is_blank();
        knows && !self.lifecycle.is_leaving()
    }

    /// Puts a configuration in force unless a newer one is.
    ///
    /// The store numbers its changes, so whoever brings a configuration, it never goes back.
    pub fn configure(&self, revision: Revision, value: &[u8], source: &'static str) {
        let known = self.document.borrow().as_ref().map(|known| known.revision);
        if known.is_some_and(|known| known >= revision) {
            return;
        }
        match self.platform.table(revision, value) {
            Ok(table) => {
                info!(self.log, "configuration: in force";
                    "version" => table.version(), "revision" => revision.0,
                    "routes" => table.len(), "source" => source);
                *self.table.borrow_mut() = Some(Rc::new(table));
                self.configured_at.set(self.now());
                *self.document.borrow_mut() = Some(Document {
                    revision,
                    value: Bytes::copy_from_slice(value),
                });
                self.changed.notify_one();
            }
            Err(error) => {
                warn!(self.log, "configuration: unreadable, the last one stays in force";
                    "revision" => revision.0, "source" => source, "error" => %error);
            }
        }
    }

    /// When the configuration came into force.
    pub const fn configured_at(&self) -> Time {
        self.configured_at.get()
    }

    /// Whether the store did not answer this router's last call.
    pub const fn is_store_unreachable(&self) -> bool {
        self.store_unreachable_since().is_some()
    }

    /// Since when the store does not answer this router.
    pub const fn store_unreachable_since(&self) -> Option<Time> {
        self.store_lost.get()
    }

    /// Notes whether the store answers.
    pub fn set_store_reachable(&self, answers: bool, cause: &str) {
        let now = self.now();
        match (answers, self.store_lost.get()) {
            (true, Some(since)) => {
                self.store_lost.set(None);
                let was_down = !self.readers.borrow().is_steady_elsewhere(now, since);
                info!(self.log, "store: regained"; "was_down" => was_down);
                self.fleet.borrow_mut().store_found(now, was_down);
            }
            (false, None) => {
                self.store_lost.set(Some(now));
                warn!(self.log, "store: lost"; "cause" => cause);
                self.readers.borrow_mut().lost();
                self.fleet.borrow_mut().store_lost();
            }
            _ => {}
        }
    }
}
