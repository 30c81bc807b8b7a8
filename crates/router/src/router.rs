//! A running router.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use actix::Actor as _;
use actix::Addr;
use actix_rt::Arbiter;
use actix_web::dev::ServerHandle;
use actix_web::web::Data;
use slog::Logger;
use slog::info;
use slog::warn;
use snafu::ResultExt as _;
use snafu::Snafu;
use snipeusher::hash;
use snipeusher::machine::Machine;
use snipeusher::policy::Policy;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::attempt;
use crate::count::Counts;
use crate::directory::Policies;
use crate::dispatch::Dispatcher;
use crate::dispatch::ReadyEngines;
use crate::documents;
use crate::metric::FLUSH_INTERVAL;
use crate::metric::Metrics;
use crate::probe::Probe;
use crate::serve;
use crate::settings::Settings;
use crate::shared::Shared;

/// How often shutdown looks whether requests are still open.
const DRAIN_POLL_MS: u64 = 10;

/// Why a router does not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The listener cannot be opened.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// Metrics cannot be sent.
    #[snafu(display("cannot open a socket for metrics: {source}"))]
    Metrics {
        /// The cause.
        source: io::Error,
    },
    /// The documents cannot be used.
    #[snafu(display("{source}"))]
    Documents {
        /// The cause.
        source: documents::Error,
    },
}

/// Checks the files that the settings name, without starting anything.
pub fn check(settings: &Settings) -> Result<(), Error> {
    read_documents(settings).map(|_policies| ())
}

/// A running router; it must be bound within an actix system.
#[derive(Debug)]
pub struct Router {
    address: SocketAddr,
    shared: Data<Shared>,
    policies: Policies,
    server: ServerHandle,
    control: Arbiter,
    log: Logger,
}

impl Router {
    /// Starts a router.
    pub fn bind(settings: Settings, log: Logger) -> Result<Self, Error> {
        let policies = read_documents(&settings)?;
        let metrics = Metrics::open(settings.statsd).context(MetricsSnafu)?;
        let origin = Instant::now();
        let first_attempt = first_attempt(&settings);
        let scheme = "http";
        let control = Arbiter::new();
        let dispatcher = start_dispatcher(&control, &settings, first_attempt, origin, scheme, &log);
        let (mut publisher, directory) = Policies::new(dispatcher.clone());
        publisher.put(policies);
        start_probe(&control, &settings, dispatcher.clone(), scheme, &log);
        start_flush(&control, &metrics);
        let listen = settings.listen;
        let shared = Data::new(Shared {
            settings,
            dispatcher,
            directory,
            counts: Counts::default(),
            metrics,
            origin,
            scheme,
            log: log.clone(),
            first_attempt,
            next_id: AtomicU64::new(0),
            open: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            closed: AtomicBool::new(false),
        });
        let (address, server) = serve::bind(&shared).context(ListenSnafu { address: listen })?;
        let handle = server.handle();
        actix_rt::spawn(server);
        info!(log, "router: listening"; "address" => %address);
        Ok(Self {
            address,
            shared,
            policies: publisher,
            server: handle,
            control,
            log,
        })
    }

    /// Where callers connect.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The policies in force; the configuration loop changes them.
    pub const fn policies(&mut self) -> &mut Policies {
        &mut self.policies
    }

    /// The actor that owns the decisions; the control loops tell it what they learn.
    pub fn dispatcher(&self) -> &Addr<Dispatcher> {
        &self.shared.dispatcher
    }

    /// Engines that take work now.
    pub async fn ready_engines(&self) -> usize {
        let count = self.shared.dispatcher.send(ReadyEngines).await;
        count.unwrap_or_default()
    }

    /// Shuts down: the health check fails first, then new work is refused, then all requests in
    /// flight end within the drain time. Returns whether all ended.
    pub async fn stop(self) -> bool {
        let settings = &self.shared.settings;
        self.shared.leaving.store(true, Ordering::SeqCst);
        info!(self.log, "router: leaving"; "open" => self.open());
        sleep(settings.balancer_delay).await;
        self.shared.closed.store(true, Ordering::SeqCst);
        let drained = timeout(settings.drain_timeout, self.drained())
            .await
            .is_ok();
        if !drained {
            warn!(self.log, "router: requests did not end in time"; "open" => self.open());
        }
        self.server.stop(drained).await;
        self.shared.metrics.flush();
        self.control.stop();
        info!(self.log, "router: stopped");
        drained
    }

    fn open(&self) -> usize {
        self.shared.open.load(Ordering::SeqCst)
    }

    async fn drained(&self) {
        while self.open() > 0 {
            sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
        }
    }
}

fn read_documents(settings: &Settings) -> Result<Vec<Policy>, Error> {
    let folder = settings.documents.as_ref();
    let read = folder.map_or(Ok(Vec::new()), |folder| documents::read(folder));
    read.context(DocumentsSnafu)
}

/// Sends what waits in datagrams that are not full.
fn start_flush(control: &Arbiter, metrics: &Metrics) {
    if !metrics.is_on() {
        return;
    }
    let metrics = metrics.clone();
    control.spawn(async move {
        loop {
            sleep(FLUSH_INTERVAL).await;
            metrics.flush();
        }
    });
}

/// The first attempt id of this run; hosts and runs start far apart.
///
/// The top bit stays free, so that ids do not wrap around within the life of a process.
fn first_attempt(settings: &Settings) -> u64 {
    let host = hash::bytes(settings.host.as_str().as_bytes());
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let started = since_epoch.unwrap_or_default().as_nanos() as u64;
    hash::mix(host, started) >> 1
}

fn start_dispatcher(
    control: &Arbiter,
    settings: &Settings,
    first_attempt: u64,
    origin: Instant,
    scheme: &'static str,
    log: &Logger,
) -> Addr<Dispatcher> {
    let settings = settings.clone();
    let log = log.clone();
    Dispatcher::start_in_arbiter(&control.handle(), move |_ctx| {
        let client = attempt::client(&settings, Duration::from_millis(attempt::IDLE_MS));
        let machine = Machine::new(first_attempt);
        Dispatcher::new(machine, origin, client, scheme, log)
    })
}

fn start_probe(
    control: &Arbiter,
    settings: &Settings,
    dispatcher: Addr<Dispatcher>,
    scheme: &'static str,
    log: &Logger,
) {
    let settings = settings.clone();
    let log = log.clone();
    Probe::start_in_arbiter(&control.handle(), move |_ctx| {
        let client = attempt::client(&settings, Duration::from_millis(attempt::IDLE_MS));
        let interval = settings.probe_interval;
        Probe::new(
            settings.upstreams,
            interval,
            client,
            scheme,
            dispatcher,
            log,
        )
    });
}
