//! What a member takes in and gives out.

use snafu::Snafu;

use crate::config;
use crate::load;
use crate::name;
use crate::upstream;
use crate::wire;

/// What a member knows of itself.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host, unique among routers.
    pub host: name::Host,
    /// Socket address at which peers reach it, `IP:port`.
    pub address: String,
    /// Where it runs.
    pub place: wire::Place,
    /// Most bytes that it sends in any second, HTTP headers included.
    pub budget_bytes: u32,
    /// Addresses to try while few peers are known.
    pub seeds: Vec<String>,
}

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The byte budget leaves no room for useful frames.
    #[snafu(display("gossip budget of {budget_bytes} bytes a second is below {least}"))]
    Budget {
        /// The budget given.
        budget_bytes: u32,
        /// The least that works.
        least: u32,
    },
    /// The host name, the address or the zone is too long to fit into frames.
    #[snafu(display("host name, address, zone and region together exceed {most} bytes"))]
    Names {
        /// Most bytes together.
        most: usize,
    },
}

/// What the host list says a host does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// It runs a router.
    Router,
    /// It is a model engine; its status tells what it serves.
    Engine,
    /// It is an instance of a plain service.
    Plain(name::Service),
}

/// One host of the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Its name.
    pub name: String,
    /// Socket address, `IP:port`.
    pub address: String,
    /// Where it runs.
    pub place: wire::Place,
    /// What it does.
    pub role: Role,
    /// Whether the platform is taking it away.
    pub leaving: bool,
    /// When the platform put it into this state, in milliseconds since the Unix epoch.
    ///
    /// A leaving state older than an incarnation belongs to an earlier run. For a plain service
    /// the time of a live state is its incarnation.
    pub since_ms: u64,
}

/// What a member reacts to.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The wall clock reads this many milliseconds since the Unix epoch.
    Clock(u64),
    /// The host list was read.
    HostList(Vec<Listing>),
    /// A frame arrived.
    Frame {
        /// Body of the request.
        body: Vec<u8>,
        /// Value of the header `X-Fleet-Proof`.
        proof: String,
    },
    /// A frame to this address could not be delivered.
    Undelivered(String),
    /// An upstream stated its own condition.
    Status {
        /// What it says.
        state: upstream::State,
        /// Counts the reports of one run.
        sequence: u64,
    },
    /// An upstream refused work because it is leaving.
    Refused {
        /// The upstream.
        upstream: name::Upstream,
        /// The run that refused, where known.
        incarnation: Option<name::Incarnation>,
    },
    /// A status probe of an upstream got no answer.
    ProbeFailed(name::Upstream),
    /// This router's own work in flight.
    Share(load::Share),
    /// This router's configuration changed.
    Digest(config::Digest),
    /// Part of an exchange of configuration for a peer.
    Exchange(name::Host, config::Exchange),
    /// This router learned that upstreams hold prefixes.
    Prefixes(Vec<wire::Prefix>),
}

/// What the embedding process must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Post a frame to a router.
    Send {
        /// Socket address.
        to: String,
        /// Body and proof.
        envelope: wire::Envelope,
    },
    /// An upstream is known, or changed.
    Upstream(upstream::State),
    /// A peer told its work in flight, or its word expired (an empty share).
    Share {
        /// The peer.
        host: name::Host,
        /// Its work.
        share: load::Share,
    },
    /// A peer's configuration differs from this router's.
    Digest(name::Host, config::Digest),
    /// A peer sent part of an exchange of configuration.
    Exchange(name::Host, config::Exchange),
    /// Peers know of cached prefixes.
    Prefixes(Vec<wire::Prefix>),
    /// Nobody has heard from a peer for a while.
    Suspected(name::Host),
    /// A suspected peer is heard from again.
    Recovered(name::Host),
    /// Another run used this router's name; the incarnation moved up.
    Incarnation(name::Incarnation),
}
