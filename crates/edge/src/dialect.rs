//! What a platform calls the facts that requests and answers carry in their headers.

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

/// What a caller says of its request in its headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// The identity that the caller gave it.
    pub id: Option<String>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The key that the caller shows.
    pub key: Option<String>,
    /// The parts of its prompt, in order; each can be cached if all before it are.
    pub parts: Vec<Part>,
    /// The last event that the caller has of an earlier answer.
    pub last_event: Option<String>,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Its identity, the same in all prompts that share it.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What this system says to an upstream beside the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The upstream that is meant; any other must not run the request.
    pub upstream: &'a name::Upstream,
    /// How long the answer is waited for.
    pub deadline: Duration,
    /// Whose request it is.
    pub workspace: Option<&'a name::Workspace>,
    /// Its rank for engines, zero first.
    pub priority: u8,
    /// An upstream that may hold more of the prompt, to copy it from.
    pub source: Option<SocketAddr>,
    /// The last event that the caller has, where the upstream goes on with a stream.
    pub last_event: Option<&'a str>,
}

/// What an upstream says in the headers of its answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// The identity of the request that it answers.
    pub id: Option<String>,
    /// Whether it states that it did not run the request.
    pub declined: bool,
    /// Whether it vouches for the answer.
    pub signed: bool,
    /// Its load.
    pub load: Option<Report>,
}

/// Reads and writes the headers of one platform.
pub trait Dialect: 'static {
    /// Reads what a caller says.
    fn request(&self, headers: &HeaderMap) -> Request;

    /// Whether callers must not set a header, since this system sets it or keeps it to itself.
    fn is_reserved(&self, name: &HeaderName) -> bool;

    /// Writes what this system says to an upstream.
    fn set_context(&self, context: &Context<'_>, headers: &mut HeaderMap);

    /// Reads what an upstream says.
    fn response(&self, status: u16, headers: &HeaderMap) -> Response;
}

/// A value of the store cannot be used.
#[derive(Debug, Snafu)]
#[snafu(display("{key}: {reason}"))]
pub struct Unreadable {
    /// The key of the value.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

/// Reads the documents that one platform keeps in its store.
pub trait Documents: 'static {
    /// The key of the operators' configuration.
    const CONFIGURATION: &'static str;
    /// The prefix of the entries of upstreams.
    const UPSTREAMS: &'static str;

    /// Reads a configuration.
    fn table(&self, revision: Revision, value: &[u8]) -> Result<Table, Unreadable>;

    /// Reads the entry of an upstream.
    fn entry(&self, entry: &kv::Entry) -> Result<fleet::Entry, Unreadable>;

    /// The identity of the upstream whose entry has this key.
    fn upstream(&self, key: &str) -> Option<name::Upstream> {
        key.strip_prefix(Self::UPSTREAMS).map(name::Upstream::from)
    }
}

/// All that differs between platforms.
pub trait Platform: Dialect + Documents {}

impl<T: Dialect + Documents> Platform for T {}
