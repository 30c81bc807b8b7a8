//! Inputs and outputs of a [`Member`](super::Member).

use snafu::Snafu;

use crate::config;
use crate::load;
use crate::name;
use crate::upstream;
use crate::wire;

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host, unique among routers.
    pub host: name::Host,
    /// Socket address for frames from peers, `IP:port`.
    pub address: String,
    /// Zone and region of the router.
    pub place: wire::Place,
    /// Maximum number of bytes sent in any second, including HTTP headers.
    pub budget_bytes: u32,
    /// Addresses of routers to contact while no peer with that address is known to be alive.
    pub seeds: Vec<String>,
}

/// Error in [`Settings`].
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The byte budget leaves no room for useful frames.
    #[snafu(display("gossip budget of {budget_bytes} bytes a second is below {min_bytes}"))]
    Budget {
        /// The configured budget.
        budget_bytes: u32,
        /// The smallest allowed budget.
        min_bytes: u32,
    },
    /// Host name, address, zone and region are too long for the header of a frame.
    #[snafu(display("host name, address, zone and region together exceed {max_bytes} bytes"))]
    Names {
        /// Largest allowed total length.
        max_bytes: usize,
    },
}

/// Role of a host in the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// A router.
    Router,
    /// A model engine; its status reports which models it serves.
    Engine,
    /// An instance of a plain service.
    Plain(name::Service),
}

/// One host of the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Host name.
    pub name: String,
    /// Socket address, `IP:port`.
    pub address: String,
    /// Zone and region of the host.
    pub place: wire::Place,
    /// Role of the host.
    pub role: Role,
    /// Whether the platform is removing the host.
    pub leaving: bool,
    /// When the host entered this state, in milliseconds since the Unix epoch.
    ///
    /// A leaving state older than an incarnation belongs to an earlier incarnation. For a plain
    /// service, the time of a live state is its incarnation.
    pub since_ms: u64,
}

/// An input of a member.
#[derive(Clone, Debug)]
pub enum Event {
    /// The time of [`Member::next_wake`](super::Member::next_wake) has come.
    Tick,
    /// Current wall clock, in milliseconds since the Unix epoch.
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
    /// An upstream answered a status probe.
    Status {
        /// The reported state.
        state: upstream::State,
        /// Sequence number of the report within its incarnation.
        sequence: u64,
    },
    /// An upstream refused work because it is leaving.
    Refused {
        /// The upstream.
        upstream: name::Upstream,
        /// The incarnation that refused, if known.
        incarnation: Option<name::Incarnation>,
    },
    /// A status probe of an upstream got no answer.
    ProbeFailed(name::Upstream),
    /// This router's in-flight and waiting work.
    Share(load::Share),
    /// This router's configuration changed.
    Digest(config::Digest),
    /// A configuration exchange to send to a peer.
    Exchange(name::Host, config::Exchange),
    /// Cached prefixes that this router observed at upstreams.
    Prefixes(Vec<wire::Prefix>),
}

/// An action for the embedding process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a frame to a router with an HTTP POST.
    Send {
        /// Socket address of the receiver.
        to: String,
        /// The signed frame.
        envelope: wire::Envelope,
    },
    /// An upstream is new or has changed.
    Upstream(upstream::State),
    /// A peer reported its work, or its last report expired (an empty share).
    Share {
        /// The peer.
        host: name::Host,
        /// In-flight and waiting work of the peer.
        share: load::Share,
    },
    /// A peer's configuration differs from this router's.
    Digest(name::Host, config::Digest),
    /// A peer sent a configuration exchange.
    Exchange(name::Host, config::Exchange),
    /// A peer reported cached prefixes.
    Prefixes(Vec<wire::Prefix>),
    /// The heartbeat of a peer has not grown for too long.
    Suspected(name::Host),
    /// The heartbeat of a suspected peer has grown again.
    Recovered(name::Host),
    /// Another process has used this router's name, so the incarnation was raised.
    Incarnation(name::Incarnation),
}
