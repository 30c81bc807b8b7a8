//! Configuration exchanges on their way to and from peers, in pieces.
//!
//! A message is known by the hash of its bytes. A lost piece is not asked for: the exchange is
//! repeated as long as the configurations differ, and the receiver has kept the other pieces,
//! from whichever peer they came.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::hash;
use crate::name;
use crate::wire::Builder;
use crate::wire::Part;

/// Largest message, which holds several documents of usual size or one of the largest that the
/// key-value service takes.
const MESSAGE_BYTES_MAX: usize = 2 << 20;
/// Most messages that wait for one peer; the exchange is repeated if one is dropped.
const WAITING_MAX: usize = 8;
/// Most bytes of incomplete messages; the oldest are dropped.
const INCOMPLETE_BYTES_MAX: usize = 8 << 20;
/// Most bytes that a piece adds to its content.
const PART_HEAD_BYTES: usize = 24;
/// Length of a piece. Small enough for the smallest frame.
const PART_BYTES: usize = 256;

#[derive(Debug)]
struct Outgoing {
    hash: u64,
    bytes: Vec<u8>,
    /// Pieces left to send, by their number.
    parts: VecDeque<u32>,
}

#[derive(Debug, Default)]
struct Incoming {
    length: u32,
    parts: BTreeMap<u32, Vec<u8>>,
}

/// Messages in transit.
#[derive(Debug, Default)]
pub(super) struct Messages {
    outgoing: BTreeMap<name::Host, VecDeque<Outgoing>>,
    incoming: BTreeMap<u64, Incoming>,
    /// Incomplete messages, oldest first.
    order: VecDeque<u64>,
    held: usize,
}

impl Messages {
    /// Queues a message for a peer, unless the same already waits or too many do.
    pub(super) fn queue(&mut self, own: &name::Host, to: &name::Host, bytes: Vec<u8>) {
        if bytes.len() > MESSAGE_BYTES_MAX {
            return;
        }
        let hash = hash::bytes(&bytes);
        let queue = self.outgoing.entry(to.clone()).or_default();
        let waits = queue.iter().any(|outgoing| outgoing.hash == hash);
        if waits || queue.len() >= WAITING_MAX {
            return;
        }
        let count = bytes.len().div_ceil(PART_BYTES).max(1) as u32;
        // Each sender starts elsewhere, so that several of them complete a message sooner.
        let first = (hash::bytes(own.as_str().as_bytes()) % u64::from(count)) as u32;
        queue.push_back(Outgoing {
            hash,
            bytes,
            parts: (first..count).chain(0..first).collect(),
        });
    }

    /// Whether messages wait to be sent.
    pub(super) fn waiting(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// A peer that messages wait for, in turn after `last`.
    pub(super) fn next(&self, last: Option<&name::Host>) -> Option<name::Host> {
        let mut hosts = self.outgoing.keys();
        let after = last.and_then(|last| hosts.find(|host| *host > last));
        after.or_else(|| self.outgoing.keys().next()).cloned()
    }

    /// Bytes that wait for a peer, with what each piece adds.
    pub(super) fn size(&self, host: &name::Host) -> usize {
        let queue = self.outgoing.get(host).into_iter().flatten();
        let parts: usize = queue.map(|outgoing| outgoing.parts.len()).sum();
        parts * (PART_BYTES + PART_HEAD_BYTES)
    }

    /// Forgets what waits for a peer.
    pub(super) fn forget(&mut self, host: &name::Host) {
        self.outgoing.remove(host);
    }

    /// Fills a frame with pieces for a peer.
    pub(super) fn fill(&mut self, host: &name::Host, builder: &mut Builder) {
        let Some(queue) = self.outgoing.get_mut(host) else {
            return;
        };
        while let Some(outgoing) = queue.front_mut() {
            let Some(number) = outgoing.parts.front().copied() else {
                queue.pop_front();
                continue;
            };
            if !builder.part(outgoing.part(number)) {
                return;
            }
            outgoing.parts.pop_front();
        }
        self.outgoing.remove(host);
    }

    /// Takes a piece; gives the message once it is complete.
    pub(super) fn take(&mut self, part: Part) -> Option<Vec<u8>> {
        if !part.is_sound() {
            return None;
        }
        if !self.incoming.contains_key(&part.message) {
            self.order.push_back(part.message);
        }
        let incoming = self.incoming.entry(part.message).or_default();
        if incoming.parts.is_empty() {
            incoming.length = part.length;
        }
        if incoming.length != part.length {
            return None;
        }
        let added = part.bytes.len();
        let known = incoming.parts.insert(part.offset, part.bytes);
        self.held += added - known.map_or(0, |known| known.len());
        let count = (part.length as usize).div_ceil(PART_BYTES).max(1);
        if incoming.parts.len() == count {
            let bytes = self.remove(part.message);
            self.order.retain(|other| *other != part.message);
            return bytes.filter(|bytes| hash::bytes(bytes) == part.message);
        }
        while self.held > INCOMPLETE_BYTES_MAX {
            let oldest = self.order.pop_front()?;
            self.remove(oldest);
        }
        None
    }

    fn remove(&mut self, message: u64) -> Option<Vec<u8>> {
        let incoming = self.incoming.remove(&message)?;
        let bytes: Vec<u8> = incoming.parts.into_values().flatten().collect();
        self.held -= bytes.len();
        Some(bytes)
    }
}

impl Outgoing {
    fn part(&self, number: u32) -> Part {
        let start = (number as usize * PART_BYTES).min(self.bytes.len());
        let end = (start + PART_BYTES).min(self.bytes.len());
        Part {
            message: self.hash,
            length: self.bytes.len() as u32,
            offset: start as u32,
            bytes: self.bytes[start..end].to_vec(),
        }
    }
}

impl Part {
    /// Whether the piece lies on the grid and within a message of acceptable length, so that the
    /// pieces of a message cover it without overlap.
    fn is_sound(&self) -> bool {
        let length = self.length as usize;
        let start = self.offset as usize;
        let end = start.saturating_add(self.bytes.len());
        length <= MESSAGE_BYTES_MAX
            && start.is_multiple_of(PART_BYTES)
            && (start < length || length == 0)
            && end == length.min(start.saturating_add(PART_BYTES))
    }
}
