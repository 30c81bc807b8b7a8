//! A running router.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::OnceLock;
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
use snipeusher::claim::Claims;
use snipeusher::hash;
use snipeusher::machine;
use snipeusher::machine::Machine;
use snipeusher::member;
use snipeusher::member::Member;
use snipeusher::name;
use snipeusher::policy::Policy;
use snipeusher::wire;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::attempt;
use crate::attempt::Transport;
use crate::claims::Claimer;
use crate::claims::IsRecording;
use crate::configuration::Configuration;
use crate::count::Counts;
use crate::directory::Policies;
use crate::dispatch::Dispatcher;
use crate::dispatch::ReadyEngines;
use crate::documents;
use crate::gossip::Gossip;
use crate::gossip::Links;
use crate::metric::FLUSH_INTERVAL;
use crate::metric::Metrics;
use crate::poll::Poller;
use crate::serve;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::tls;

/// Interval between two checks for open requests at shutdown.
const DRAIN_POLL_MS: u64 = 10;

/// Timeout for recording the outcomes of idempotency keys at shutdown. A key without a record is
/// answered as unknown.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a router does not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The listener cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The key-value service cannot be used.
    #[snafu(display("{source}"))]
    Service {
        /// The cause.
        source: snipeusher_store::Error,
    },
    /// Metrics cannot be sent.
    #[snafu(display("cannot open a socket for metrics: {source}"))]
    Metrics {
        /// The cause.
        source: io::Error,
    },
    /// TLS cannot be set up.
    #[snafu(display("{source}"))]
    Tls {
        /// The cause.
        source: tls::Error,
    },
    /// The fleet key cannot be read.
    #[snafu(display("cannot read the fleet key {}: {source}", path.display()))]
    FleetKey {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The settings of gossip cannot be used.
    #[snafu(display("{source}"))]
    Gossip {
        /// The cause.
        source: member::Error,
    },
    /// The documents cannot be used.
    #[snafu(display("{source}"))]
    Documents {
        /// The cause.
        source: documents::Error,
    },
}

/// Checks the files that the settings name without starting a router.
pub fn check(settings: &Settings) -> Result<(), Error> {
    read_documents(settings)?;
    read_tls(settings).map(|_tls| ())
}

/// A running router, which must be started within an actix system.
#[derive(Debug)]
pub struct Router {
    address: SocketAddr,
    shared: Data<Shared>,
    /// `None` if the configuration loop owns the policies.
    policies: Option<Policies>,
    configuration: Option<Addr<Configuration>>,
    server: ServerHandle,
    control: Arbiter,
    log: Logger,
}

impl Router {
    /// Starts a router.
    pub fn bind(settings: Settings, log: Logger) -> Result<Self, Error> {
        let policies = read_documents(&settings)?;
        let (server_tls, client_tls) = read_tls(&settings)?;
        let transport = Transport {
            timeout: settings.connect_timeout,
            tls: client_tls.map(Arc::new),
        };
        let metrics = Metrics::open(settings.statsd).context(MetricsSnafu)?;
        let origin = Instant::now();
        let first_attempt = first_attempt(&settings);
        let control = Arbiter::new();
        let dispatcher =
            start_dispatcher(&control, &settings, &transport, first_attempt, origin, &log);
        let (mut publisher, directory) = Policies::new(dispatcher.clone());
        publisher.put(policies);
        let incarnation = incarnation();
        let claimer = start_claimer(&control, &settings, incarnation, origin)?;
        let mut publisher = Some(publisher);
        let mut configuration = None;
        let mut status = None;
        if !settings.key_value_endpoints.is_empty()
            && let Some(policies) = publisher.take()
        {
            let connector = gateway_connector(&settings)?;
            let (sender, receiver) = watch::channel(Arc::default());
            let seed = first_attempt;
            let log = log.clone();
            let address = Configuration::start_in_arbiter(&control.handle(), move |_ctx| {
                Configuration::new(connector.open(), origin, seed, policies, sender, log)
            });
            configuration = Some(address);
            status = Some(receiver);
        }
        start_poller(&control, &settings, &transport, dispatcher.clone(), &log);
        start_flush(&control, &metrics);
        let listen = settings.listen;
        let shared = Data::new(Shared {
            settings,
            dispatcher,
            claimer,
            gossip: OnceLock::new(),
            configuration: status,
            directory,
            counts: Counts::default(),
            metrics,
            origin,
            transport,
            log: log.clone(),
            first_attempt,
            next_id: AtomicU64::new(0),
            open_requests: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            closed: AtomicBool::new(false),
        });
        let (address, server) =
            serve::bind(&shared, server_tls).context(ListenSnafu { address: listen })?;
        let handle = server.handle();
        actix_rt::spawn(server);
        if let Some(gossip) = start_gossip(
            &control,
            &shared,
            address,
            configuration.clone(),
            incarnation,
        )? {
            shared.gossip.get_or_init(|| gossip);
        }
        info!(log, "router: listening"; "address" => %address);
        Ok(Self {
            address,
            shared,
            policies: publisher,
            configuration,
            server: handle,
            control,
            log,
        })
    }

    /// Address of the listener.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The active policies, unless the configuration loop owns them.
    pub const fn policies(&mut self) -> Option<&mut Policies> {
        self.policies.as_mut()
    }

    /// The configuration loop, if the settings name a key-value service.
    pub const fn configuration(&self) -> Option<&Addr<Configuration>> {
        self.configuration.as_ref()
    }

    /// The actor that owns the claims; the gossip loop notifies it of peers.
    pub fn claimer(&self) -> &Addr<Claimer> {
        &self.shared.claimer
    }

    /// The actor that owns the decisions; the control loops notify it of changes.
    pub fn dispatcher(&self) -> &Addr<Dispatcher> {
        &self.shared.dispatcher
    }

    /// The gossip loop, if the settings enable it.
    pub fn gossip(&self) -> Option<&Addr<Gossip>> {
        self.shared.gossip.get()
    }

    /// Number of engines that accept work now.
    pub async fn ready_engines(&self) -> usize {
        let count = self.shared.dispatcher.send(ReadyEngines).await;
        count.unwrap_or_default()
    }

    /// Shuts down: first the health check fails, then new requests are refused, then the requests
    /// in flight have the drain timeout to end. Returns whether all of them ended.
    pub async fn stop(self) -> bool {
        let settings = &self.shared.settings;
        self.shared.leaving.store(true, Ordering::SeqCst);
        info!(self.log, "router: shutting down"; "open" => self.open_requests());
        sleep(settings.balancer_delay).await;
        self.shared.closed.store(true, Ordering::SeqCst);
        let drained = timeout(settings.drain_timeout, self.wait_for_requests())
            .await
            .is_ok();
        if !drained {
            warn!(self.log, "router: requests did not end in time"; "open" => self.open_requests());
        }
        self.server.stop(drained).await;
        if timeout(RECORD_TIMEOUT, self.wait_for_records())
            .await
            .is_err()
        {
            warn!(
                self.log,
                "router: outcomes of idempotency keys were not recorded in time"
            );
        }
        self.shared.metrics.flush();
        self.control.stop();
        info!(self.log, "router: stopped");
        drained
    }

    fn open_requests(&self) -> usize {
        self.shared.open_requests.load(Ordering::SeqCst)
    }

    async fn wait_for_records(&self) {
        while self.shared.claimer.send(IsRecording).await == Ok(true) {
            sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
        }
    }

    async fn wait_for_requests(&self) {
        while self.open_requests() > 0 {
            sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
        }
    }
}

fn read_documents(settings: &Settings) -> Result<Vec<Policy>, Error> {
    let folder = settings.documents.as_ref();
    let policies = folder.map_or(Ok(Vec::new()), |folder| documents::read(folder));
    policies.context(DocumentsSnafu)
}

/// TLS configurations of the listener and of connections to upstreams.
type Tls = (Option<rustls::ServerConfig>, Option<rustls::ClientConfig>);

fn read_tls(settings: &Settings) -> Result<Tls, Error> {
    let server = settings.tls.as_ref().map(tls::server).transpose();
    let authority = settings.upstream_authority.as_deref();
    let client = authority.map(tls::client).transpose();
    Ok((server.context(TlsSnafu)?, client.context(TlsSnafu)?))
}

/// Starts the task that sends datagrams that are not full.
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

/// Hashes the host and the start time into the first attempt id, so that ids of different hosts
/// and processes are far apart.
///
/// The top bit is zero, so that ids do not wrap around during the life of a process.
fn first_attempt(settings: &Settings) -> u64 {
    let host = hash::bytes(settings.host.as_str().as_bytes());
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let started = since_epoch.unwrap_or_default().as_nanos() as u64;
    hash::mix(host, started) >> 1
}

/// The start time of this process in milliseconds since the Unix epoch.
fn incarnation() -> name::Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    name::Incarnation(since_epoch.unwrap_or_default().as_millis() as u64)
}

fn start_claimer(
    control: &Arbiter,
    settings: &Settings,
    incarnation: name::Incarnation,
    origin: Instant,
) -> Result<Addr<Claimer>, Error> {
    let connector = if settings.key_value_endpoints.is_empty() {
        None
    } else {
        Some(gateway_connector(settings)?)
    };
    let seed = hash::mix(
        hash::bytes(settings.host.as_str().as_bytes()),
        incarnation.0,
    );
    let claims = Claims::new(settings.host.clone(), incarnation, seed);
    Ok(Claimer::start_in_arbiter(&control.handle(), move |_ctx| {
        Claimer::new(
            claims,
            connector.map(snipeusher_store::Connector::open),
            origin,
        )
    }))
}

fn gateway_connector(settings: &Settings) -> Result<snipeusher_store::Connector, Error> {
    let settings = snipeusher_store::Settings {
        endpoints: settings.key_value_endpoints.clone(),
        timeout: settings.key_value_timeout,
    };
    settings.connector().context(ServiceSnafu)
}

fn start_gossip(
    control: &Arbiter,
    shared: &Shared,
    listener: SocketAddr,
    configuration: Option<Addr<Configuration>>,
    incarnation: name::Incarnation,
) -> Result<Option<Addr<Gossip>>, Error> {
    let Some(settings) = &shared.settings.gossip else {
        return Ok(None);
    };
    let secret = std::fs::read(&settings.key).context(FleetKeySnafu {
        path: &settings.key,
    })?;
    let host = shared.settings.host.clone();
    let place = wire::Place {
        zone: shared.settings.zone.clone(),
        region: shared.settings.region.clone(),
    };
    let member = member::Settings {
        host: host.clone(),
        address: settings.address.unwrap_or(listener).to_string(),
        place: place.clone(),
        budget_bytes: settings.budget_bytes as u32,
        seeds: settings.seeds.clone(),
    };
    let now = shared.time(Instant::now());
    let key = wire::Key::new(&secret);
    let member = Member::new(member, key, now, incarnation.0, shared.first_attempt);
    let member = member.context(GossipSnafu)?;
    let links = Links {
        dispatcher: shared.dispatcher.clone(),
        claimer: shared.claimer.clone(),
        configuration,
        host_list: settings.host_list.clone(),
        list_interval: settings.list_interval,
        probe_interval: shared.settings.probe_interval,
    };
    let (transport, origin, log) = (shared.transport.clone(), shared.origin, shared.log.clone());
    let start = move |_ctx: &mut _| {
        let client = attempt::client(&transport);
        Gossip::new(member, host, place, client, links, origin, log)
    };
    Ok(Some(Gossip::start_in_arbiter(&control.handle(), start)))
}

fn start_dispatcher(
    control: &Arbiter,
    settings: &Settings,
    transport: &Transport,
    first_attempt: u64,
    origin: Instant,
    log: &Logger,
) -> Addr<Dispatcher> {
    let transport = transport.clone();
    let decisions = machine::Settings {
        host: settings.host.clone(),
        zone: Some(settings.zone.clone()),
        first_attempt,
        seed: first_attempt,
        ..machine::Settings::default()
    };
    let log = log.clone();
    Dispatcher::start_in_arbiter(&control.handle(), move |_ctx| {
        let client = attempt::client(&transport);
        let machine = Machine::with(decisions);
        Dispatcher::new(machine, origin, client, log)
    })
}

fn start_poller(
    control: &Arbiter,
    settings: &Settings,
    transport: &Transport,
    dispatcher: Addr<Dispatcher>,
    log: &Logger,
) {
    let settings = settings.clone();
    let transport = transport.clone();
    let log = log.clone();
    Poller::start_in_arbiter(&control.handle(), move |_ctx| {
        let client = attempt::client(&transport);
        let interval = settings.probe_interval;
        Poller::new(settings.upstreams, interval, client, dispatcher, log)
    });
}
