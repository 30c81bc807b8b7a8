//! Settings of a router process, read from TOML.
//!
//! All mistakes are reported at once, each with its key, its value and the expected value. An
//! unknown key is a mistake, so that a misspelt key does not silently leave a default in effect.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use snafu::ResultExt as _;
use snafu::Snafu;
use snipeusher::name;
use snipeusher_settings::Mistake;
use snipeusher_settings::Mistakes;
use snipeusher_settings::Reader;

/// Error of reading the settings.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file cannot be read.
    #[snafu(display("cannot read settings {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The text is not valid TOML.
    #[snafu(display("settings are not valid TOML: {source}"))]
    Syntax {
        /// The cause.
        source: toml::de::Error,
    },
    /// Keys or values are wrong.
    #[snafu(display("{mistakes}"))]
    Invalid {
        /// All mistakes.
        mistakes: Mistakes,
    },
}

/// Format of log records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Log {
    /// Human-readable lines.
    #[default]
    Human,
    /// One JSON object per line.
    Json,
}

/// An upstream that the settings list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Name, unique in the fleet.
    pub name: name::Upstream,
    /// Address of its listener.
    pub address: SocketAddr,
    /// Availability zone; by default that of the router.
    pub zone: name::Zone,
    /// The plain service that the upstream is an instance of; `None` for an engine.
    pub service: Option<name::Service>,
}

/// TLS files of the listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tls {
    /// Certificate chain in PEM.
    pub certificate: PathBuf,
    /// Private key in PEM.
    pub key: PathBuf,
}

/// Settings of one router process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the router's host.
    pub host: name::Host,
    /// Availability zone of the host.
    pub zone: name::Zone,
    /// Region of the host; by default the name of the zone.
    pub region: name::Region,
    /// Address of the listener.
    pub listen: SocketAddr,
    /// Number of threads that serve callers.
    pub workers: usize,
    /// Folder with templates and workspaces, read at start.
    pub documents: Option<PathBuf>,
    /// Format of log records.
    pub log: Log,
    /// Statsd server that receives the metrics.
    pub statsd: Option<SocketAddr>,
    /// Timeout of connecting to an upstream.
    pub connect_timeout: Duration,
    /// Longest pause of an upstream within a response.
    pub stall_timeout: Duration,
    /// How long an idle connection of a caller is kept open.
    pub keep_alive: Duration,
    /// How long the health check fails at shutdown before new requests are refused.
    pub balancer_delay: Duration,
    /// Time that requests in flight have to end at shutdown.
    pub drain_timeout: Duration,
    /// Maximum total size of a request's headers in bytes.
    pub header_bytes: usize,
    /// Interval between two probes. Of the engines that the settings list, one is polled in each
    /// interval; each engine of the host list is probed once in each interval.
    pub probe_interval: Duration,
    /// TLS files of the listener; `None` serves without TLS.
    pub tls: Option<Tls>,
    /// File with the authorities of the upstreams' certificates in PEM; `None` connects without
    /// TLS.
    pub upstream_authority: Option<PathBuf>,
    /// Base URLs of the key-value service, such as `http://10.0.0.1:2379`; empty if the router runs
    /// without it.
    pub key_value_endpoints: Vec<String>,
    /// Timeout of one call to the key-value service.
    pub key_value_timeout: Duration,
    /// Gossip with other routers; `None` disables it.
    pub gossip: Option<Gossip>,
    /// Upstreams that are known without the host list.
    pub upstreams: Vec<Upstream>,
}

/// Settings of gossip with the other routers of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gossip {
    /// File with the key that all routers of the fleet share.
    pub key: PathBuf,
    /// Address that peers connect to; by default that of the listener.
    pub address: Option<SocketAddr>,
    /// Maximum bytes of gossip sent in any second.
    pub budget_bytes: usize,
    /// Addresses of routers to contact while no peer with that address is known to be alive.
    pub seeds: Vec<String>,
    /// URL of the platform's host list.
    pub host_list: Option<String>,
    /// Interval between two reads of the host list.
    pub list_interval: Duration,
}

impl Gossip {
    fn read(mut reader: Reader<'_>) -> Option<Self> {
        let key = reader.required_path("key");
        let address = reader.optional_address("address");
        let budget_bytes = reader.count("budget_bytes", 2_000..=1_000_000, 4_000);
        let seeds = reader.texts("seeds");
        let host_list = reader.optional_name("host_list");
        let list_interval = reader.millis("list_interval_ms", 10..=600_000, 5_000);
        reader.finish();
        Some(Self {
            key: key?,
            address,
            budget_bytes,
            seeds,
            host_list,
            list_interval,
        })
    }
}

impl Settings {
    /// Reads a file.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        Self::parse(&text)
    }

    /// Parses a text. An absent key has the default that is given here.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let table: toml::Table = toml::from_str(text).context(SyntaxSnafu)?;
        let mut mistakes = Vec::new();
        let settings = Self::read(table, &mut mistakes);
        match settings {
            Some(settings) if mistakes.is_empty() => Ok(settings),
            _ => InvalidSnafu {
                mistakes: Mistakes(mistakes),
            }
            .fail(),
        }
    }

    fn read(table: toml::Table, mistakes: &mut Vec<Mistake>) -> Option<Self> {
        let mut reader = Reader::new("", table, mistakes);
        let host = reader.name("host");
        let zone = reader.name("zone");
        let region = reader.optional_name("region");
        let listen = reader.address("listen", "127.0.0.1:8080");
        let workers = reader.count("workers", 1..=256, 4);
        let documents = reader.path("documents");
        let log = reader.choice(
            "log",
            &[("human", Log::Human), ("json", Log::Json)],
            Log::Human,
        );
        let statsd = reader.optional_address("statsd");
        let connect_timeout = reader.millis("connect_timeout_ms", 1..=60_000, 1_000);
        let stall_timeout = reader.millis("stall_timeout_ms", 1..=600_000, 15_000);
        let keep_alive = reader.millis("keep_alive_ms", 1..=600_000, 5_000);
        let balancer_delay = reader.millis("balancer_delay_ms", 0..=60_000, 3_000);
        let drain_timeout = reader.millis("drain_timeout_ms", 1..=3_600_000, 60_000);
        let header_bytes = reader.count("header_bytes", 256..=65_536, 16_384);
        let probe_interval = reader.millis("probe_interval_ms", 10..=60_000, 250);
        let key_value_endpoints = reader.texts("key_value_endpoints");
        let key_value_timeout = reader.millis("key_value_timeout_ms", 10..=60_000, 1_000);
        let zone: Option<name::Zone> = zone.map(|text| text.as_str().into());
        let tls = reader.table("tls");
        let upstream_authority = reader.path("upstream_authority");
        let gossip = reader.table("gossip");
        let tables = reader.tables("upstreams");
        reader.finish();
        let gossip = gossip.map(|table| Gossip::read(Reader::new("gossip.", table, mistakes)));
        let tls = tls.map(|table| Tls::read(Reader::new("tls.", table, mistakes)));
        let mut upstreams = Vec::new();
        for (index, table) in tables.into_iter().enumerate() {
            let prefix = format!("upstreams[{index}].");
            let reader = Reader::new(&prefix, table, mistakes);
            upstreams.push(Upstream::read(reader, zone.as_ref()));
        }
        let zone = zone?;
        Some(Self {
            host: host?.as_str().into(),
            region: region.unwrap_or_else(|| zone.to_string()).into(),
            zone,
            listen,
            workers,
            documents,
            log,
            statsd,
            connect_timeout,
            stall_timeout,
            keep_alive,
            balancer_delay,
            drain_timeout,
            header_bytes,
            probe_interval,
            tls: match tls {
                Some(tls) => Some(tls?),
                None => None,
            },
            upstream_authority,
            key_value_endpoints,
            key_value_timeout,
            gossip: match gossip {
                Some(gossip) => Some(gossip?),
                None => None,
            },
            upstreams: upstreams.into_iter().collect::<Option<_>>()?,
        })
    }
}

impl Tls {
    fn read(mut reader: Reader<'_>) -> Option<Self> {
        let certificate = reader.required_path("certificate");
        let key = reader.required_path("key");
        reader.finish();
        Some(Self {
            certificate: certificate?,
            key: key?,
        })
    }
}

impl Upstream {
    fn read(mut reader: Reader<'_>, own_zone: Option<&name::Zone>) -> Option<Self> {
        let name = reader.name("name");
        let address = reader.required_address("address");
        let zone = reader.optional_name("zone");
        let service = reader.optional_name("service");
        reader.finish();
        Some(Self {
            name: name?.into(),
            address: address?,
            zone: zone.map(name::Zone::from).or_else(|| own_zone.cloned())?,
            service: service.map(name::Service::from),
        })
    }
}
