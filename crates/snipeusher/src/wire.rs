//! Messages between routers.
//!
//! A [`Frame`] is one authenticated message in `MessagePack`. Values that occur several times in a
//! frame (places, kinds) are written once and referenced by index, because the byte budget of a
//! router is small. See `docs/design.md#messages`.

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

/// Largest accepted frame in bytes, checked before parsing.
///
/// Members send far smaller frames; the margin allows for larger budgets.
pub const FRAME_BYTES_MAX: usize = 16 * 1024;

/// Bytes that HTTP adds to a frame: request line, headers with the proof, and the response.
pub const OVERHEAD_BYTES: usize = 320;

/// Error when decoding a frame.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The bytes are not a frame.
    #[snafu(display("frame is malformed: {source}"))]
    Malformed {
        /// Error of the decoder.
        source: rmp_serde::decode::Error,
    },
    /// The frame has another layout version.
    #[snafu(display("frame has version {version}, expected {VERSION}"))]
    Version {
        /// Version of the frame.
        version: u8,
    },
    /// An index is outside its table.
    #[snafu(display("frame refers to a {table} that it does not contain"))]
    Index {
        /// Name of the table.
        table: &'static str,
    },
}

/// An availability zone with its region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// The zone.
    pub zone: name::Zone,
    /// The region of the zone.
    pub region: name::Region,
}

/// Full record of a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Host name of the router.
    pub host: name::Host,
    /// Socket address, `IP:port`.
    pub address: String,
    /// Index into [`Frame::places`].
    pub place: u8,
    /// Incarnation of the router.
    pub incarnation: name::Incarnation,
    /// Number of frames sent by this incarnation; it grows while the router is alive.
    pub heartbeat: u64,
}

/// Heartbeat of a router, a sixth as long as its [`Peer`] record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Identifies the host and its incarnation, see [`incarnation_id`].
    #[serde(rename = "run")]
    pub incarnation_id: u32,
    /// Highest heartbeat known to the sender.
    pub heartbeat: u64,
}

/// Short hash of a router's host name and incarnation. For the target fleet, the chance of a
/// collision is about 1 in 60,000; two routers with the same hash keep each other from being
/// suspected, but cause no other fault.
pub fn incarnation_id(host: &name::Host, incarnation: name::Incarnation) -> u32 {
    (hash::mix(hash::bytes(host.as_str().as_bytes()), incarnation.0) >> 32) as u32
}

/// Full record of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: name::Upstream,
    /// Socket address, `IP:port`.
    pub address: String,
    /// Index into [`Frame::places`].
    pub place: u8,
    /// Incarnation of the upstream.
    pub incarnation: name::Incarnation,
    /// Sequence number of the upstream's own report; a higher one replaces a lower one.
    pub sequence: u64,
    /// Phase, see [`phase_code`].
    pub phase: u8,
    /// Index into [`Frame::kinds`].
    pub kind: u8,
}

/// A phase change of an upstream, short enough to be sent immediately to many peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transition {
    /// The upstream.
    pub name: name::Upstream,
    /// Incarnation that the phase belongs to.
    pub incarnation: name::Incarnation,
    /// Phase, see [`phase_code`].
    pub phase: u8,
}

/// In-flight work of the sender at an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The upstream.
    pub upstream: name::Upstream,
    /// Total in-flight work.
    pub work: Work,
}

/// Work of a workspace at the sender; fair shares across the fleet are computed from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The workspace.
    pub workspace: name::Workspace,
    /// In-flight work at all upstreams.
    pub running: Work,
    /// Queued work.
    pub waiting: Work,
}

/// A fragment of a configuration message, which may be longer than a frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Hash of the whole message.
    pub message: u64,
    /// Length of the whole message in bytes.
    pub length: u32,
    /// Offset of this fragment in the message.
    pub offset: u32,
    /// Content of the fragment.
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
    /// Number of cached tokens.
    pub tokens: u32,
}

/// One message between two routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Layout version, [`VERSION`].
    pub version: u8,
    /// The sender; its heartbeat is the sequence number of the frame.
    pub from: Peer,
    /// Host name of the receiver, or its address if the name is not known.
    pub to: String,
    /// Send time by the sender's clock, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// Incarnation and heartbeat of the receiver, if known to the sender.
    pub known: Option<(name::Incarnation, u64)>,
    /// Digest of the sender's configuration.
    pub digest: config::Digest,
    /// Places of the sender, peers and upstreams.
    pub places: Vec<Place>,
    /// Kinds of upstreams.
    pub kinds: Vec<upstream::Kind>,
    /// Phase changes of upstreams, the most urgent content.
    #[serde(rename = "marks")]
    pub transitions: Vec<Transition>,
    /// Full records of upstreams.
    pub upstreams: Vec<Upstream>,
    /// In-flight work of the sender, largest first; `None` if the frame does not report it.
    pub loads: Option<Vec<Load>>,
    /// Work of workspaces at the sender, largest first; valid only if [`Self::loads`] is present.
    pub usages: Vec<Usage>,
    /// Heartbeats of other routers.
    #[serde(rename = "beats")]
    pub heartbeats: Vec<Heartbeat>,
    /// Full records of other routers.
    pub peers: Vec<Peer>,
    /// Fragments of configuration exchanges.
    pub parts: Vec<Part>,
    /// Cached prefixes.
    pub prefixes: Vec<Prefix>,
}

impl Frame {
    /// Decodes a frame and checks its indices; never panics, whatever the bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let frame: Self = rmp_serde::from_slice(bytes).context(MalformedSnafu)?;
        if frame.version != VERSION {
            return VersionSnafu {
                version: frame.version,
            }
            .fail();
        }
        let is_valid = |index: u8, length: usize| usize::from(index) < length;
        let place_count = frame.places.len();
        let peers = frame.peers.iter().chain([&frame.from]);
        let router_places = peers.map(|peer| peer.place);
        let upstream_places = frame.upstreams.iter().map(|upstream| upstream.place);
        if !router_places
            .chain(upstream_places)
            .all(|place| is_valid(place, place_count))
        {
            return IndexSnafu { table: "place" }.fail();
        }
        let kind_count = frame.kinds.len();
        let mut upstream_kinds = frame.upstreams.iter().map(|upstream| upstream.kind);
        if !upstream_kinds.all(|kind| is_valid(kind, kind_count)) {
            return IndexSnafu { table: "kind" }.fail();
        }
        Ok(frame)
    }

    /// Encodes the frame.
    ///
    /// # Panics
    ///
    /// Never: all fields can be written as `MessagePack`, and writing to memory does not fail.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }
}

/// Returns the code of a phase in frames.
pub const fn phase_code(phase: upstream::Phase) -> u8 {
    match phase {
        upstream::Phase::Joining => 0,
        upstream::Phase::Live => 1,
        upstream::Phase::Leaving => 2,
        upstream::Phase::Gone => 3,
    }
}

/// Returns the phase of a code. Unknown codes count as leaving, so that no new work is sent.
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
