//! Recorded traces in JSON lines, with the outcome that must hold.
//!
//! The format is described in `traces/README.md`. Each line is one object with a single member
//! that names what the line holds.

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

/// Why a trace can't be read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file can't be read.
    #[snafu(display("trace {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system reports.
        source: io::Error,
    },
    /// A line is not of the format.
    #[snafu(display("trace {}, line {line}: {source}", path.display()))]
    Line {
        /// The file.
        path: PathBuf,
        /// The line, counted from one.
        line: usize,
        /// What the JSON library reports.
        source: serde_json::Error,
    },
    /// No line holds the header.
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
    /// The fleet that the trace runs on.
    Header(Header),
    /// A workspace with its classes and bounds.
    Workspace(Workspace),
    /// Requests to draw with the trace's seed.
    Arrivals(Arrivals),
    /// One request.
    Request(Request),
    /// Something that happens to the fleet.
    Event(Event),
    /// An outcome that must hold.
    Expect(Expect),
}

/// The fleet that a trace runs on, and how its parts behave.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Header {
    /// What the trace shows.
    pub about: String,
    /// Seed of everything random.
    pub seed: u64,
    /// How long requests arrive; the replay then runs on until all have ended.
    pub duration_ms: u64,
    /// Availability zones, over which routers and upstreams are spread in turn.
    pub zones: Vec<name::Zone>,
    /// Number of routers.
    pub routers: usize,
    /// Number of engines, named `engine-000` and so on.
    pub engines: usize,
    /// Number of instances of the plain service, named `plain-000` and so on.
    pub plain: usize,
    /// Highest load of an engine as a multiple of the mean, for workspaces that set none.
    pub load_limit: f64,
    /// Work that an engine does in a second at most.
    pub engine_work_per_s: f64,
    /// Work that routers let an engine hold before its reports show where it begins to queue; the
    /// default of `machine::Settings` if absent.
    pub capacity: Option<u64>,
    /// Requests that an engine runs at once; more wait in its queue.
    pub engine_slots: usize,
    /// Tokens that an engine's prefix cache holds.
    pub cache_tokens: u64,
    /// Interval between two load reports of an upstream to a router.
    pub report_every_ms: u64,
    /// Age of a load report when it arrives.
    pub report_lag_ms: u64,
    /// Interval at which a router's share is handed to gossip.
    pub gossip_every_ms: u64,
    /// Bytes of gossip that a router may send in a second.
    pub budget_bytes: u32,
    /// Whether routers read the changes of caches with each load report.
    pub cache_events: bool,
    /// Latest time at which a router learns of a change of the list of upstreams.
    pub list_lag_ms: u64,
    /// One-way latency between hosts of one zone.
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
    /// Its name.
    pub name: name::Workspace,
    /// Its classes; requests of other classes get the defaults.
    #[serde(default)]
    pub classes: std::collections::BTreeMap<name::Class, policy::Class>,
    /// Its load limit, if it differs from the header's.
    #[serde(default)]
    pub load_limit: Option<f64>,
}

/// Requests to draw: chats that return until they have had their turns and then start afresh.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arrivals {
    /// First arrival, not before this time.
    pub from_ms: u64,
    /// Last arrival, before this time.
    pub to_ms: u64,
    /// The workspace that sends them.
    pub workspace: name::Workspace,
    /// Their class.
    #[serde(default = "chat_class")]
    pub class: name::Class,
    /// Whether they go to the plain service.
    #[serde(default)]
    pub plain: bool,
    /// Mean rate.
    pub per_s: f64,
    /// Chats that are active at once; zero for requests without a chat.
    pub chats: u64,
    /// Range of the first prompt in tokens.
    pub prompt: [u64; 2],
    /// Range of what each later turn adds to the prompt.
    #[serde(default)]
    pub turn: [u64; 2],
    /// Turns of a chat.
    #[serde(default = "one_turn")]
    pub turns: u64,
    /// Range of the answer in tokens.
    pub output: [u64; 2],
    /// Whether they may run more than once.
    #[serde(default = "yes")]
    pub idempotent: bool,
    /// Left out when the replay is compared with the same trace without its surge.
    #[serde(default)]
    pub surge: bool,
}

/// One request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// When it arrives.
    pub at_ms: u64,
    /// The router that it arrives at; drawn if absent.
    #[serde(default)]
    pub router: Option<usize>,
    /// The workspace that sends it.
    pub workspace: name::Workspace,
    /// Its class.
    #[serde(default = "chat_class")]
    pub class: name::Class,
    /// Whether it goes to the plain service.
    #[serde(default)]
    pub plain: bool,
    /// The chat that it continues.
    #[serde(default)]
    pub chat: Option<String>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Length of the answer in tokens.
    pub output_tokens: u64,
    /// Whether it may run more than once.
    #[serde(default = "yes")]
    pub idempotent: bool,
    /// Its `Idempotency-Key`, which is claimed in the key-value service.
    #[serde(default)]
    pub key: Option<String>,
}

/// Something that happens to the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// When it begins.
    pub at_ms: u64,
    /// When it ends, where it lasts.
    #[serde(default)]
    pub until_ms: Option<u64>,
    /// What happens.
    pub what: Change,
}

/// What happens to the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Change {
    /// Upstreams begin to leave and are gone once their work is done.
    Leave(Vec<name::Upstream>),
    /// Upstreams die at once; the work in them is lost.
    Fail(Vec<name::Upstream>),
    /// Upstreams start, with an empty cache and a new incarnation.
    Join(Vec<name::Upstream>),
    /// Load reports of upstreams are lost.
    LoseReports(Vec<name::Upstream>),
    /// Load reports of all upstreams arrive later by this many milliseconds.
    LagReports(u64),
    /// Some routers' lists lack some upstreams.
    Hide {
        /// The routers, by number.
        routers: Vec<usize>,
        /// What their lists lack.
        upstreams: Vec<name::Upstream>,
    },
    /// A zone is cut off from all others.
    CutZone(name::Zone),
    /// A workspace's policy changes.
    Configure(Workspace),
    /// An operator writes a document.
    Edit {
        /// The document, such as `template/letters`.
        document: String,
        /// Its TOML.
        text: String,
    },
    /// The key-value service does not answer.
    StoreOutage,
    /// Replies of the key-value service to transactions are lost after these took effect.
    LoseStoreReplies,
    /// Routers stand still; what reaches them waits.
    Pause(Vec<usize>),
    /// The router that holds the lease on a zone's orders stands still.
    PauseHolder(name::Zone),
    /// The next reply to the workspace is lost after its upstream did the work.
    LoseReply(name::Workspace),
}

fn chat_class() -> name::Class {
    name::Class::from("chat")
}

const fn one_turn() -> u64 {
    1
}

const fn yes() -> bool {
    true
}

/// A trace with all its lines by kind.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// Its name, that of the file.
    pub name: String,
    /// The fleet.
    pub header: Header,
    /// Workspaces.
    pub workspaces: Vec<Workspace>,
    /// Requests to draw.
    pub arrivals: Vec<Arrivals>,
    /// Requests as recorded.
    pub requests: Vec<Request>,
    /// What happens, in the order of the file.
    pub events: Vec<Event>,
    /// What must hold.
    pub expects: Vec<Expect>,
}

impl Trace {
    /// Reads a trace; blank lines are passed over.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        Self::parse(path, &text)
    }

    /// Reads a trace from text; errors name `path`.
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

    /// Whether the key-value service takes part.
    pub fn uses_store(&self) -> bool {
        let uses = |event: &Event| {
            matches!(
                event.what,
                Change::Edit { .. }
                    | Change::StoreOutage
                    | Change::LoseStoreReplies
                    | Change::Pause(_)
                    | Change::PauseHolder(_)
            )
        };
        let keyed = self.requests.iter().any(|request| request.key.is_some());
        keyed || self.events.iter().any(uses)
    }

    /// The same trace without the requests of a surge.
    #[must_use]
    pub fn without_surge(&self) -> Self {
        let mut without_surge = self.clone();
        // The lines stay, as their position is part of what the others draw from.
        for arrivals in without_surge
            .arrivals
            .iter_mut()
            .filter(|arrivals| arrivals.surge)
        {
            arrivals.per_s = 0.0;
        }
        without_surge
    }
}

/// Lists the traces of a folder by name.
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
