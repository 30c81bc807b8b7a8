//! A frame in the making that never grows past its byte limit.

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

/// Length headers of the lists may grow from one byte to three.
const LIST_GROWTH_BYTES: usize = 2 * 11;

/// Most entries of an index table, since an index is one byte.
const TABLE_ENTRIES_MAX: usize = 256;

/// What every frame states.
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
    /// What the sender knows of the receiver.
    pub known: Option<(name::Incarnation, u64)>,
    /// The sender's configuration.
    pub digest: config::Digest,
}

/// Collects entries in order of importance while they fit.
///
/// Each `add` method returns whether the entry fitted; an entry that does not is left out.
#[derive(Debug)]
pub struct Builder {
    frame: Frame,
    size: usize,
    limit: usize,
}

impl Builder {
    /// Starts a frame of at most `limit` bytes.
    ///
    /// The head is always kept, so a limit below its size has no room for entries.
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

    /// Bytes that are left.
    pub const fn room(&self) -> usize {
        self.limit.saturating_sub(self.size)
    }

    /// The frame with all that fitted.
    pub fn finish(self) -> Frame {
        self.frame
    }

    /// Adds a phase.
    pub fn transition(&mut self, transition: Transition) -> bool {
        let fits = self.take(cost(&transition));
        if fits {
            self.frame.transitions.push(transition);
        }
        fits
    }

    /// Adds an upstream; its indices are filled in here.
    pub fn upstream(&mut self, mut entry: Upstream, place: &Place, kind: &upstream::Kind) -> bool {
        let known = self.frame.places.iter().position(|other| other == place);
        let alike = self.frame.kinds.iter().position(|other| other == kind);
        let tables =
            known.map_or_else(|| cost(place), |_| 0) + alike.map_or_else(|| cost(kind), |_| 0);
        let full = self.frame.places.len() >= TABLE_ENTRIES_MAX
            || self.frame.kinds.len() >= TABLE_ENTRIES_MAX;
        // Indices of 128 and above take two bytes.
        if full || !self.take(cost(&entry) + tables + 2) {
            return false;
        }
        entry.place = self.place(place);
        entry.kind = alike.unwrap_or_else(|| {
            self.frame.kinds.push(kind.clone());
            self.frame.kinds.len() - 1
        }) as u8;
        self.frame.upstreams.push(entry);
        true
    }

    /// Starts the list of loads, so that an empty one tells the receiver that nothing is in
    /// flight.
    pub fn start_loads(&mut self) {
        self.frame.loads.get_or_insert_default();
    }

    /// Adds what a workspace uses.
    pub fn usage(&mut self, usage: Usage) -> bool {
        let fits = self.take(cost(&usage));
        if fits {
            self.frame.usages.push(usage);
        }
        fits
    }

    /// Adds work in flight.
    pub fn load(&mut self, load: Load) -> bool {
        let fits = self.take(cost(&load));
        if fits {
            self.frame.loads.get_or_insert_default().push(load);
        }
        fits
    }

    /// Adds a sign of life.
    pub fn heartbeat(&mut self, heartbeat: Heartbeat) -> bool {
        let fits = self.take(cost(&heartbeat));
        if fits {
            self.frame.heartbeats.push(heartbeat);
        }
        fits
    }

    /// Adds a router; its index is filled in here.
    pub fn peer(&mut self, mut peer: Peer, place: &Place) -> bool {
        let known = self.frame.places.contains(place);
        let table = if known { 0 } else { cost(place) };
        let full = self.frame.places.len() >= TABLE_ENTRIES_MAX;
        if full || !self.take(cost(&peer) + table + 1) {
            return false;
        }
        peer.place = self.place(place);
        self.frame.peers.push(peer);
        true
    }

    /// Adds a piece of a message.
    pub fn part(&mut self, part: Part) -> bool {
        let fits = self.take(cost(&part));
        if fits {
            self.frame.parts.push(part);
        }
        fits
    }

    /// Adds a cached prefix.
    pub fn prefix(&mut self, prefix: Prefix) -> bool {
        let fits = self.take(cost(&prefix));
        if fits {
            self.frame.prefixes.push(prefix);
        }
        fits
    }

    fn place(&mut self, place: &Place) -> u8 {
        let known = self.frame.places.iter().position(|other| other == place);
        known.unwrap_or_else(|| {
            self.frame.places.push(place.clone());
            self.frame.places.len() - 1
        }) as u8
    }

    fn take(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.room();
        if fits {
            self.size += bytes;
        }
        fits
    }
}

fn cost<T: Serialize>(value: &T) -> usize {
    encode(value).len()
}
