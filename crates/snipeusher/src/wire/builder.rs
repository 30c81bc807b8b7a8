//! Builder of frames with a byte limit.

use serde::Serialize;

use super::Frame;
use super::Heartbeat;
use super::Load;
use super::Part;
use super::Peer;
use super::Place;
use super::Prefix;
use super::Transition;
use super::Upstream;
use super::Usage;
use super::VERSION;
use super::encode;
use crate::config;
use crate::name;
use crate::upstream;

/// Allowance for the length prefixes of lists, which may grow from one byte to three.
const LIST_GROWTH_BYTES: usize = 2 * 11;

/// Maximum number of entries of an index table; an index is one byte.
const TABLE_ENTRIES_MAX: usize = 256;

/// Contents of every frame.
#[derive(Clone, Debug)]
pub struct Header {
    /// The sender.
    pub from: Peer,
    /// The sender's place.
    pub place: Place,
    /// Host name or address of the receiver.
    pub to: String,
    /// Send time in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// Incarnation and heartbeat of the receiver, if known to the sender.
    pub known: Option<(name::Incarnation, u64)>,
    /// Digest of the sender's configuration.
    pub digest: config::Digest,
}

/// Builds a frame from entries, which callers add in order of importance.
///
/// Each method that adds an entry returns whether it fits; an entry that does not is left out.
#[derive(Debug)]
pub struct Builder {
    frame: Frame,
    size: usize,
    limit: usize,
}

impl Builder {
    /// Starts a frame of at most `limit` bytes.
    ///
    /// The header is always kept, so a limit below its size leaves no room for entries.
    pub fn new(header: Header, limit: usize) -> Self {
        let mut from = header.from;
        from.place = 0;
        let frame = Frame {
            version: VERSION,
            from,
            to: header.to,
            sent_ms: header.sent_ms,
            known: header.known,
            digest: header.digest,
            places: vec![header.place],
            kinds: Vec::new(),
            transitions: Vec::new(),
            upstreams: Vec::new(),
            loads: None,
            usages: Vec::new(),
            heartbeats: Vec::new(),
            peers: Vec::new(),
            parts: Vec::new(),
            prefixes: Vec::new(),
        };
        let size = encode(&frame).len() + LIST_GROWTH_BYTES;
        Self { frame, size, limit }
    }

    /// Number of bytes left.
    pub const fn room(&self) -> usize {
        self.limit.saturating_sub(self.size)
    }

    /// Returns the frame.
    pub fn finish(self) -> Frame {
        self.frame
    }

    /// Adds a phase change.
    pub fn transition(&mut self, transition: Transition) -> bool {
        let fits = self.reserve(encoded_bytes(&transition));
        if fits {
            self.frame.transitions.push(transition);
        }
        fits
    }

    /// Adds an upstream and sets its indices.
    pub fn upstream(&mut self, mut entry: Upstream, place: &Place, kind: &upstream::Kind) -> bool {
        let known_place = self.frame.places.iter().position(|other| other == place);
        let known_kind = self.frame.kinds.iter().position(|other| other == kind);
        let table_bytes = known_place.map_or_else(|| encoded_bytes(place), |_| 0)
            + known_kind.map_or_else(|| encoded_bytes(kind), |_| 0);
        let full = self.frame.places.len() >= TABLE_ENTRIES_MAX
            || self.frame.kinds.len() >= TABLE_ENTRIES_MAX;
        // Indices of 128 and above take two bytes.
        if full || !self.reserve(encoded_bytes(&entry) + table_bytes + 2) {
            return false;
        }
        entry.place = self.place_index(place);
        entry.kind = known_kind.unwrap_or_else(|| {
            self.frame.kinds.push(kind.clone());
            self.frame.kinds.len() - 1
        }) as u8;
        self.frame.upstreams.push(entry);
        true
    }

    /// Adds an empty list of loads unless there is one. To the receiver, an empty list means that
    /// no work is in flight.
    pub fn start_loads(&mut self) {
        self.frame.loads.get_or_insert_default();
    }

    /// Adds the work of a workspace.
    pub fn usage(&mut self, usage: Usage) -> bool {
        let fits = self.reserve(encoded_bytes(&usage));
        if fits {
            self.frame.usages.push(usage);
        }
        fits
    }

    /// Adds in-flight work at an upstream.
    pub fn load(&mut self, load: Load) -> bool {
        let fits = self.reserve(encoded_bytes(&load));
        if fits {
            self.frame.loads.get_or_insert_default().push(load);
        }
        fits
    }

    /// Adds a heartbeat.
    pub fn heartbeat(&mut self, heartbeat: Heartbeat) -> bool {
        let fits = self.reserve(encoded_bytes(&heartbeat));
        if fits {
            self.frame.heartbeats.push(heartbeat);
        }
        fits
    }

    /// Adds a router and sets its index.
    pub fn peer(&mut self, mut peer: Peer, place: &Place) -> bool {
        let known_place = self.frame.places.contains(place);
        let table_bytes = if known_place { 0 } else { encoded_bytes(place) };
        let full = self.frame.places.len() >= TABLE_ENTRIES_MAX;
        if full || !self.reserve(encoded_bytes(&peer) + table_bytes + 1) {
            return false;
        }
        peer.place = self.place_index(place);
        self.frame.peers.push(peer);
        true
    }

    /// Adds a fragment of a message.
    pub fn part(&mut self, part: Part) -> bool {
        let fits = self.reserve(encoded_bytes(&part));
        if fits {
            self.frame.parts.push(part);
        }
        fits
    }

    /// Adds a cached prefix.
    pub fn prefix(&mut self, prefix: Prefix) -> bool {
        let fits = self.reserve(encoded_bytes(&prefix));
        if fits {
            self.frame.prefixes.push(prefix);
        }
        fits
    }

    fn place_index(&mut self, place: &Place) -> u8 {
        let known_place = self.frame.places.iter().position(|other| other == place);
        known_place.unwrap_or_else(|| {
            self.frame.places.push(place.clone());
            self.frame.places.len() - 1
        }) as u8
    }

    fn reserve(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.room();
        if fits {
            self.size += bytes;
        }
        fits
    }
}

fn encoded_bytes<T: Serialize>(value: &T) -> usize {
    encode(value).len()
}
