//! Messages between routers.
//!
//! A [`Frame`] is one authenticated message in `MessagePack`. Names that repeat within a frame
//! (places, kinds) are written once and referred to by index, since the byte budget of a daemon
//! is small; see `docs/design.md#messages`.

mod builder;
mod bytes;
mod proof;

use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt as _;
use snafu::Snafu;

pub use self::builder::Builder;
pub use self::builder::Header;
pub use self::proof::Authenticator;
pub use self::proof::Envelope;
pub use self::proof::Key;
pub use self::proof::Refusal;
pub use self::proof::Refusals;
use crate::config;
use crate::hash;
use crate::load::Work;
use crate::name;
use crate::request::Chat;
use crate::upstream;

/// Version of the frame layout; a frame of another version is malformed.
pub const VERSION: u8 = 1;

/// Largest accepted frame in bytes, checked before anything is parsed.
///
/// The largest frame that a member sends is far smaller; the margin allows for larger budgets.
pub const FRAME_BYTES_MAX: usize = 16 * 1024;

/// Bytes that HTTP adds to a frame: request line and headers with the proof, and the response.
pub const OVERHEAD_BYTES: usize = 320;

/// Why a frame cannot be read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The bytes are not a frame.
    #[snafu(display("frame is malformed: {source}"))]
    Malformed {
        /// What the codec reports.
        source: rmp_serde::decode::Error,
    },
    /// The frame has another layout.
    #[snafu(display("frame has version {version}, expected {VERSION}"))]
    Version {
        /// The version that it states.
        version: u8,
    },
    /// An index points outside its table.
    #[snafu(display("frame refers to a {table} that it does not contain"))]
    Index {
        /// The table.
        table: &'static str,
    },
}

/// An availability zone with its region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// The zone.
    pub zone: name::Zone,
    /// The region that holds it.
    pub region: name::Region,
}

/// A router as its peers know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub host: name::Host,
    /// Socket address, `IP:port`.
    pub address: String,
    /// Index into [`Frame::places`].
    pub place: u8,
    /// Which run of the router this is.
    pub incarnation: name::Incarnation,
    /// Counts the frames that this run has sent; it grows while the router is alive.
    pub heartbeat: u64,
}

/// A sign of life of a router, a sixth as long as its [`Peer`] record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Stands for the host and its incarnation, see [`incarnation_id`].
    #[serde(rename = "run")]
    pub incarnation_id: u32,
    /// Highest heartbeat of the run that the sender knows.
    pub heartbeat: u64,
}

/// A short name for one run of a router. Two runs that share one, about one chance in 60,000 for
/// the target fleet, would keep each other from being suspected, which does no other harm.
pub fn incarnation_id(host: &name::Host, incarnation: name::Incarnation) -> u32 {
    (hash::mix(hash::bytes(host.as_str().as_bytes()), incarnation.0) >> 32) as u32
}

/// An upstream with what it serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its name.
    pub name: name::Upstream,
    /// Socket address, `IP:port`.
    pub address: String,
    /// Index into [`Frame::places`].
    pub place: u8,
    /// Which run of the upstream this is.
    pub incarnation: name::Incarnation,
    /// Counts the upstream's own reports; a higher one replaces what a lower one said.
    pub sequence: u64,
    /// Where it stands, see [`phase_code`].
    pub phase: u8,
    /// Index into [`Frame::kinds`].
    pub kind: u8,
}

/// A phase of an upstream without the rest, small enough to send at once to many peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transition {
    /// The upstream.
    pub name: name::Upstream,
    /// The run that the phase belongs to.
    pub incarnation: name::Incarnation,
    /// Where it stands, see [`phase_code`].
    pub phase: u8,
}

/// Work that the sender has in flight at an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The upstream.
    pub upstream: name::Upstream,
    /// The work.
    pub work: Work,
}

/// What a workspace uses of the sender's requests, which makes shares hold across the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The workspace.
    pub workspace: name::Workspace,
    /// Work in flight at all upstreams.
    pub running: Work,
    /// Work that waits in its queues.
    pub waiting: Work,
}

/// A piece of a message that is longer than a frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Hash of the whole message.
    pub message: u64,
    /// Length of the whole message in bytes.
    pub length: u32,
    /// Where this piece starts.
    pub offset: u32,
    /// The piece.
    #[serde(with = "bytes")]
    pub bytes: Vec<u8>,
}

/// An upstream that holds the prompt prefix of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefix {
    /// The chat.
    pub chat: Chat,
    /// The upstream.
    pub upstream: name::Upstream,
    /// Tokens that are cached.
    pub tokens: u32,
}

/// One message between two routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Layout of the rest, [`VERSION`].
    pub version: u8,
    /// The sender; its heartbeat numbers the frame.
    pub from: Peer,
    /// Host name of the receiver, or its address where the name is not known.
    pub to: String,
    /// Send time by the sender's clock, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// Incarnation and heartbeat of the receiver, as the sender knows them.
    pub known: Option<(name::Incarnation, u64)>,
    /// The sender's configuration.
    pub digest: config::Digest,
    /// Places that peers and upstreams refer to.
    pub places: Vec<Place>,
    /// Kinds that upstreams refer to.
    pub kinds: Vec<upstream::Kind>,
    /// Phases of upstreams, the most urgent content.
    #[serde(rename = "marks")]
    pub transitions: Vec<Transition>,
    /// Upstreams with what they serve.
    pub upstreams: Vec<Upstream>,
    /// Work that the sender has in flight, largest first; `None` where it is left out.
    pub loads: Option<Vec<Load>>,
    /// What workspaces use at the sender, largest first; counts with [`Self::loads`].
    pub usages: Vec<Usage>,
    /// Signs of life of other routers.
    #[serde(rename = "beats")]
    pub heartbeats: Vec<Heartbeat>,
    /// Other routers.
    pub peers: Vec<Peer>,
    /// Pieces of configuration exchanges.
    pub parts: Vec<Part>,
    /// Cached prefixes.
    pub prefixes: Vec<Prefix>,
}

impl Frame {
    /// Reads a frame and checks its indices; it never panics on hostile bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let frame: Self = rmp_serde::from_slice(bytes).context(MalformedSnafu)?;
        if frame.version != VERSION {
            return VersionSnafu {
                version: frame.version,
            }
            .fail();
        }
        let inside = |index: u8, length: usize| usize::from(index) < length;
        let places = frame.places.len();
        let peers = frame.peers.iter().chain([&frame.from]);
        let routers = peers.map(|peer| peer.place);
        let upstreams = frame.upstreams.iter().map(|upstream| upstream.place);
        if !routers.chain(upstreams).all(|place| inside(place, places)) {
            return IndexSnafu { table: "place" }.fail();
        }
        let kinds = frame.kinds.len();
        let mut served = frame.upstreams.iter().map(|upstream| upstream.kind);
        if !served.all(|kind| inside(kind, kinds)) {
            return IndexSnafu { table: "kind" }.fail();
        }
        Ok(frame)
    }

    /// Writes the frame.
    ///
    /// # Panics
    ///
    /// Never: all parts have a `MessagePack` form and the target is memory.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }
}

/// The number that stands for a phase in a frame.
pub const fn phase_code(phase: upstream::Phase) -> u8 {
    match phase {
        upstream::Phase::Joining => 0,
        upstream::Phase::Live => 1,
        upstream::Phase::Leaving => 2,
        upstream::Phase::Gone => 3,
    }
}

/// The phase that a number stands for; unknown numbers count as leaving, which stops new work.
pub const fn phase_from_code(code: u8) -> upstream::Phase {
    match code {
        0 => upstream::Phase::Joining,
        1 => upstream::Phase::Live,
        3 => upstream::Phase::Gone,
        _ => upstream::Phase::Leaving,
    }
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("all parts of a frame have a MessagePack form")
}
