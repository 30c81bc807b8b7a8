//! Recorded traces in JSON lines, with their expected outcomes.
//!
//! The format is described in `traces/README.md`. Each line is an object with a single member
//! whose name is the type of the line.

mod expand;
pub mod expect;

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

pub use expand::expand;
use expect::Expect;
use serde::Deserialize;
use serde::Serialize;
use snafu::OptionExt as _;
use snafu::ResultExt as _;
use snafu::Snafu;
use snipeusher::name;
use snipeusher::policy;

/// An error of reading a trace.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file cannot be read.
    #[snafu(display("trace {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A line is malformed.
    #[snafu(display("trace {}, line {line}: {source}", path.display()))]
    Line {
        /// The file.
        path: PathBuf,
        /// The line number, starting at one.
        line: usize,
        /// The cause.
        source: serde_json::Error,
    },
    /// The trace has no header line.
    #[snafu(display("trace {} has no header", path.display()))]
    NoHeader {
        /// The file.
        path: PathBuf,
    },
}

/// One line of a trace.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Line {
    /// The fleet of the trace.
    Header(Header),
    /// A workspace with its classes and bounds.
    Workspace(Workspace),
    /// Requests to generate from the trace's seed.
    Arrivals(Arrivals),
    /// One request.
    Request(Request),
    /// A change of the fleet at a given time.
    Event(Event),
    /// An expected outcome.
    Expect(Expect),
}

/// The fleet of a trace and its parameters.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Header {
    /// Description of the trace.
    pub about: String,
    /// Seed of all random number generators.
    pub seed: u64,
    /// Duration of the arrivals; the replay then continues until all requests have ended.
    pub duration_ms: u64,
    /// Availability zones; routers and upstreams are assigned to them in turn.
    pub zones: Vec<name::Zone>,
    /// Number of routers.
    pub routers: usize,
    /// Number of engines, named `engine-000` and so on.
    pub engines: usize,
    /// Number of instances of the plain service, named `plain-000` and so on.
    pub plain: usize,
    /// Load bound of an engine as a multiple of the mean, for workspaces without their own.
    pub load_limit: f64,
    /// Maximum work of an engine per second.
    pub engine_work_per_s: f64,
    /// Work that routers assign to an engine until its reports show at which load it starts to
    /// queue; the default of `machine::Settings` if absent.
    pub capacity: Option<u64>,
    /// Requests that an engine runs concurrently; further ones are queued.
    pub engine_slots: usize,
    /// Capacity of an engine's prefix cache in tokens.
    pub cache_tokens: u64,
    /// Interval at which a router polls the load of an upstream.
    pub report_every_ms: u64,
    /// Age of a load report when it arrives.
    pub report_lag_ms: u64,
    /// Interval at which a router passes its share to gossip.
    pub gossip_every_ms: u64,
    /// Bytes of gossip that a router may send per second.
    pub budget_bytes: u32,
    /// Whether routers read cache changes with each load report.
    pub cache_events: bool,
    /// Maximum delay until a router receives a change of the list of upstreams.
    pub list_lag_ms: u64,
    /// One-way latency within a zone.
    pub zone_latency_us: u64,
    /// One-way latency between zones.
    pub cross_latency_us: u64,
}

impl Default for Header {
    fn default() -> Self {
        Self {
            about: String::new(),
            seed: 1,
            duration_ms: 60_000,
            zones: ["a", "b", "c"].map(name::Zone::from).into(),
            routers: 8,
            engines: 12,
            plain: 3,
            load_limit: 1.25,
            engine_work_per_s: 5_000.0,
            capacity: None,
            engine_slots: 48,
            cache_tokens: 250_000,
            report_every_ms: 2_000,
            report_lag_ms: 200,
            gossip_every_ms: 500,
            budget_bytes: 4_000,
            cache_events: true,
            list_lag_ms: 1_000,
            zone_latency_us: 300,
            cross_latency_us: 1_500,
        }
    }
}

/// A workspace with its classes and bounds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name.
    pub name: name::Workspace,
    /// Classes; requests of other classes get the defaults.
    #[serde(default)]
    pub classes: std::collections::BTreeMap<name::Class, policy::Class>,
    /// Load limit, if it differs from the header's.
    #[serde(default)]
    pub load_limit: Option<f64>,
}

/// Requests to generate. Each chat continues up to its number of turns; a new one then replaces it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arrivals {
    /// Start of the arrivals.
    pub from_ms: u64,
    /// End of the arrivals (exclusive).
    pub to_ms: u64,
    /// The workspace that sends them.
    pub workspace: name::Workspace,
    /// Request class.
    #[serde(default = "chat_class")]
    pub class: name::Class,
    /// Whether they go to the plain service.
    #[serde(default)]
    pub plain: bool,
    /// Mean rate per second.
    pub per_s: f64,
    /// Number of concurrent chats; zero for requests without a chat.
    pub chats: u64,
    /// Range of the length of the first prompt in tokens.
    pub prompt: [u64; 2],
    /// Range of the tokens that each later turn adds to the prompt.
    #[serde(default)]
    pub turn: [u64; 2],
    /// Number of turns per chat.
    #[serde(default = "one_turn")]
    pub turns: u64,
    /// Range of the length of the output in tokens.
    pub output: [u64; 2],
    /// Whether the requests may run more than once.
    #[serde(default = "default_true")]
    pub idempotent: bool,
    /// Whether these arrivals are a surge, which [`Trace::without_surge`] removes.
    #[serde(default)]
    pub surge: bool,
}

/// One request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Time of arrival.
    pub at_ms: u64,
    /// Index of the router that receives it; random if absent.
    #[serde(default)]
    pub router: Option<usize>,
    /// The workspace that sends it.
    pub workspace: name::Workspace,
    /// Request class.
    #[serde(default = "chat_class")]
    pub class: name::Class,
    /// Whether it goes to the plain service.
    #[serde(default)]
    pub plain: bool,
    /// The chat that it belongs to.
    #[serde(default)]
    pub chat: Option<String>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Length of the output in tokens.
    pub output_tokens: u64,
    /// Whether it may run more than once.
    #[serde(default = "default_true")]
    pub idempotent: bool,
    /// `Idempotency-Key`, which the router claims in the key-value service.
    #[serde(default)]
    pub key: Option<String>,
}

/// A change of the fleet at a given time.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Start time.
    pub at_ms: u64,
    /// End time, if the change has a duration.
    #[serde(default)]
    pub until_ms: Option<u64>,
    /// The change.
    #[serde(rename = "what")]
    pub change: Change,
}

/// A change of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Change {
    /// Upstreams start to drain and leave the fleet when their work is done.
    Leave(Vec<name::Upstream>),
    /// Upstreams fail; their work is lost.
    Fail(Vec<name::Upstream>),
    /// Upstreams start, with an empty cache and a new incarnation.
    Join(Vec<name::Upstream>),
    /// Load reports of upstreams are lost.
    LoseReports(Vec<name::Upstream>),
    /// Load reports of all upstreams arrive later by this many milliseconds.
    LagReports(u64),
    /// Some upstreams are missing from the lists of some routers.
    Hide {
        /// The routers, by number.
        routers: Vec<usize>,
        /// The missing upstreams.
        upstreams: Vec<name::Upstream>,
    },
    /// A zone is cut off from all others.
    CutZone(name::Zone),
    /// A workspace's policy changes.
    Configure(Workspace),
    /// An operator writes a document.
    Edit {
        /// Name of the document, such as `template/letters`.
        document: String,
        /// Content of the document in TOML.
        text: String,
    },
    /// All calls to the key-value service fail.
    StoreOutage,
    /// Transactions of the key-value service take effect, but their replies are lost.
    LoseStoreReplies,
    /// Routers are paused; their inputs are deferred.
    Pause(Vec<usize>),
    /// The router that holds the lease on a zone's orders is paused.
    PauseHolder(name::Zone),
    /// The next response to the workspace is lost after its upstream has completed the work.
    LoseReply(name::Workspace),
}

fn chat_class() -> name::Class {
    name::Class::from("chat")
}

const fn one_turn() -> u64 {
    1
}

const fn default_true() -> bool {
    true
}

/// A parsed trace.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// Name of the file without its extension.
    pub name: String,
    /// Header line.
    pub header: Header,
    /// Workspaces.
    pub workspaces: Vec<Workspace>,
    /// Requests to generate.
    pub arrivals: Vec<Arrivals>,
    /// Recorded requests.
    pub requests: Vec<Request>,
    /// Changes of the fleet, in the order of the file.
    pub events: Vec<Event>,
    /// Expected outcomes.
    pub expects: Vec<Expect>,
}

impl Trace {
    /// Reads a trace from a file; blank lines are skipped.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        Self::parse(path, &text)
    }

    /// Parses a trace. `path` gives the trace's name and appears in errors.
    pub fn parse(path: &Path, text: &str) -> Result<Self, Error> {
        let mut header = None;
        let mut trace = Self {
            name: path
                .file_stem()
                .map(|stem| stem.to_string_lossy().into_owned())
                .unwrap_or_default(),
            ..Self::default()
        };
        for (index, line) in text.lines().enumerate() {
            if line.trim().is_empty() {
                continue;
            }
            let line = serde_json::from_str(line).context(LineSnafu {
                path,
                line: index + 1,
            })?;
            match line {
                Line::Header(found) => header = Some(found),
                Line::Workspace(workspace) => trace.workspaces.push(workspace),
                Line::Arrivals(arrivals) => trace.arrivals.push(arrivals),
                Line::Request(request) => trace.requests.push(request),
                Line::Event(event) => trace.events.push(event),
                Line::Expect(expect) => trace.expects.push(expect),
            }
        }
        trace.header = header.context(NoHeaderSnafu { path })?;
        Ok(trace)
    }

    /// Whether the trace uses the key-value service.
    pub fn uses_store(&self) -> bool {
        let uses_store = |event: &Event| {
            matches!(
                event.change,
                Change::Edit { .. }
                    | Change::StoreOutage
                    | Change::LoseStoreReplies
                    | Change::Pause(_)
                    | Change::PauseHolder(_)
            )
        };
        let keyed = self.requests.iter().any(|request| request.key.is_some());
        keyed || self.events.iter().any(uses_store)
    }

    /// Returns the trace without the requests of a surge.
    #[must_use]
    pub fn without_surge(&self) -> Self {
        let mut trace = self.clone();
        // Keeps the lines, as the index of a line is part of the seed of its requests.
        for arrivals in trace.arrivals.iter_mut().filter(|arrivals| arrivals.surge) {
            arrivals.per_s = 0.0;
        }
        trace
    }
}

/// Lists the traces of a folder, sorted by name.
pub fn list(folder: &Path) -> Result<Vec<PathBuf>, Error> {
    let entries = fs::read_dir(folder).context(ReadSnafu { path: folder })?;
    let mut paths = Vec::new();
    for entry in entries {
        let path = entry.context(ReadSnafu { path: folder })?.path();
        if path.extension().is_some_and(|found| found == "jsonl") {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}
