//! Interface to a platform: its header names and the encoding of its documents.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use snafu::Snafu;
use snipeusher::fleet;
use snipeusher::fleet::Report;
use snipeusher::kv;
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher::route::Table;

/// Data from the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// Identifier chosen by the caller.
    pub id: Option<String>,
    /// How long the caller waits for the response.
    pub deadline: Option<Duration>,
    /// API key of the caller.
    pub key: Option<String>,
    /// Parts of the prompt, in order. A part can be reused from a cache only with all parts before
    /// it.
    pub parts: Vec<Part>,
    /// Identifier of the last event that the caller received in an earlier response.
    pub last_event: Option<String>,
    /// Identifier of the request whose response began the stream that this request resumes.
    pub resumes: Option<String>,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identifier, the same in all prompts that share the part.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Data that the router adds to the headers of a request to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The intended upstream; any other must not execute the request.
    pub upstream: &'a name::Upstream,
    /// How long the router waits for the response.
    pub deadline: Duration,
    /// Workspace of the caller.
    pub workspace: Option<&'a name::Workspace>,
    /// Priority at an engine; zero is the highest.
    pub priority: u8,
    /// Another upstream that may have more of the prompt in its cache, to copy it from.
    pub source: Option<SocketAddr>,
    /// Last event that the caller received, for an upstream that resumes a stream.
    pub last_event: Option<&'a str>,
}

/// Data from the headers of an upstream's response.
#[derive(Clone, Debug, Default, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each states an independent fact of one header or status"
)]
pub struct Response {
    /// Identifier of the request to which it belongs.
    pub id: Option<String>,
    /// Whether the upstream states that it did not execute the request.
    pub declined: bool,
    /// Whether another upstream than the intended one answered, which did not execute the request.
    pub misdirected: bool,
    /// Whether the response carries the signature of the upstream.
    pub signed: bool,
    /// Load of the upstream.
    pub load: Option<Report>,
    /// Whether the upstream announces that it shuts down.
    pub leaving: bool,
    /// Time for which the upstream asks this router to send it nothing.
    pub pause: Option<Duration>,
    /// Requests a second that the upstream takes from all routers together.
    pub rate_limit: Option<f64>,
    /// Requests a second that the upstream can decline for want of room; it crashes beyond that.
    pub decline_limit: Option<f64>,
    /// Headers that are ignored since they are repeated or cannot be parsed.
    pub malformed: u32,
}

/// Reads and writes the headers of one platform.
pub trait Dialect: 'static {
    /// Reads the headers of a caller.
    fn request(&self, headers: &HeaderMap) -> Request;

    /// Whether a header of a caller is dropped, since only the router may set it or read it.
    fn is_reserved(&self, name: &HeaderName) -> bool;

    /// Sets how long the sender of a request waits for the response.
    fn set_deadline(&self, remaining: Duration, headers: &mut HeaderMap);

    /// Adds the headers for an upstream.
    fn set_context(&self, context: &Context<'_>, headers: &mut HeaderMap);

    /// Reads the headers of an upstream.
    fn response(&self, status: u16, headers: &HeaderMap) -> Response;
}

/// A value of the store that cannot be decoded.
#[derive(Debug, Snafu)]
#[snafu(display("{key}: {reason}"))]
pub struct Error {
    /// Key of the value.
    pub key: String,
    /// Why it cannot be decoded.
    pub reason: String,
}

/// Decodes the documents that one platform keeps in its store.
pub trait Documents: 'static {
    /// Key of the operators' configuration.
    const CONFIGURATION: &'static str;
    /// Key prefix of the entries of upstreams.
    const UPSTREAMS: &'static str;
    /// Key prefix of what the operators write, the configuration included.
    const OPERATORS: &'static str = Self::CONFIGURATION;

    /// Decodes a configuration.
    fn table(&self, revision: Revision, value: &[u8]) -> Result<Table, Error>;

    /// Decodes the entry of an upstream.
    fn entry(&self, entry: &kv::Entry) -> Result<fleet::Entry, Error>;

    /// Values of an entry that [`Self::entry`] replaces by fallbacks, for logs.
    fn warnings(&self, _entry: &kv::Entry) -> Vec<String> {
        Vec::new()
    }

    /// Identifier of the upstream whose entry has this key.
    fn upstream(&self, key: &str) -> Option<name::Upstream> {
        key.strip_prefix(Self::UPSTREAMS).map(name::Upstream::from)
    }

    /// The availability zone that is evacuated while this key exists; `None` if the key is of
    /// another kind, an error if it names no zone.
    fn evacuated(&self, _key: &str) -> Option<Result<name::Zone, Error>> {
        None
    }
}

/// Everything that differs between platforms.
pub trait Platform: Dialect + Documents {}

impl<T: Dialect + Documents> Platform for T {}
