//! Fragmentation and reassembly of configuration exchanges.
//!
//! A message is identified by the hash of its bytes. Lost fragments are not requested again: the
//! exchange is repeated as long as the configurations differ, and the receiver keeps the fragments
//! that it has, regardless of which peer sent them.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::hash;
use crate::name;
use crate::wire::Builder;
use crate::wire::Part;

/// Largest message. It holds several documents of usual size, or one of the largest size that the
/// key-value service accepts.
const MESSAGE_BYTES_MAX: usize = 2 << 20;
/// Maximum number of messages queued for one peer; the exchange is repeated if a message is
/// dropped.
const WAITING_MAX: usize = 8;
/// Maximum size of all incomplete messages together; beyond it, the oldest ones are dropped.
const INCOMPLETE_BYTES_MAX: usize = 8 << 20;
/// Largest overhead of a fragment.
const PART_HEAD_BYTES: usize = 24;
/// Length of a fragment, which fits into the smallest frame.
const PART_BYTES: usize = 256;

#[derive(Debug)]
struct Outgoing {
    hash: u64,
    bytes: Vec<u8>,
    /// Indices of the fragments still to send.
    parts: VecDeque<u32>,
}

#[derive(Debug, Default)]
struct Incoming {
    length: u32,
    parts: BTreeMap<u32, Vec<u8>>,
}

/// Outgoing messages by peer and incomplete incoming messages by hash.
#[derive(Debug, Default)]
pub(super) struct Messages {
    outgoing: BTreeMap<name::Host, VecDeque<Outgoing>>,
    incoming: BTreeMap<u64, Incoming>,
    /// Incomplete messages, oldest first.
    incoming_order: VecDeque<u64>,
    incoming_bytes: usize,
}

impl Messages {
    /// Queues a message for a peer unless it is queued already or the queue is full.
    pub(super) fn queue(&mut self, own: &name::Host, to: &name::Host, bytes: Vec<u8>) {
        if bytes.len() > MESSAGE_BYTES_MAX {
            return;
        }
        let hash = hash::bytes(&bytes);
        let queue = self.outgoing.entry(to.clone()).or_default();
        let queued = queue.iter().any(|outgoing| outgoing.hash == hash);
        if queued || queue.len() >= WAITING_MAX {
            return;
        }
        let count = bytes.len().div_ceil(PART_BYTES).max(1) as u32;
        // Senders start at different fragments, so that several of them complete a message sooner.
        let first = (hash::bytes(own.as_str().as_bytes()) % u64::from(count)) as u32;
        queue.push_back(Outgoing {
            hash,
            bytes,
            parts: (first..count).chain(0..first).collect(),
        });
    }

    /// Whether any message is queued.
    pub(super) fn waiting(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Returns the next peer with queued messages after `last`, in rotation.
    pub(super) fn next(&self, last: Option<&name::Host>) -> Option<name::Host> {
        let mut hosts = self.outgoing.keys();
        let after = last.and_then(|last| hosts.find(|host| *host > last));
        after.or_else(|| self.outgoing.keys().next()).cloned()
    }

    /// Bytes queued for a peer, including the overhead of fragments.
    pub(super) fn size(&self, host: &name::Host) -> usize {
        let queue = self.outgoing.get(host).into_iter().flatten();
        let parts: usize = queue.map(|outgoing| outgoing.parts.len()).sum();
        parts * (PART_BYTES + PART_HEAD_BYTES)
    }

    /// Drops all messages queued for a peer.
    pub(super) fn discard(&mut self, host: &name::Host) {
        self.outgoing.remove(host);
    }

    /// Moves queued fragments for a peer into a frame as long as they fit.
    pub(super) fn fill_frame(&mut self, host: &name::Host, builder: &mut Builder) {
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

    /// Stores a received fragment; returns the message once it is complete.
    pub(super) fn receive(&mut self, part: Part) -> Option<Vec<u8>> {
        if !part.is_valid() {
            return None;
        }
        if !self.incoming.contains_key(&part.message) {
            self.incoming_order.push_back(part.message);
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
        self.incoming_bytes += added - known.map_or(0, |known| known.len());
        let count = (part.length as usize).div_ceil(PART_BYTES).max(1);
        if incoming.parts.len() == count {
            let bytes = self.remove(part.message);
            self.incoming_order.retain(|other| *other != part.message);
            return bytes.filter(|bytes| hash::bytes(bytes) == part.message);
        }
        while self.incoming_bytes > INCOMPLETE_BYTES_MAX {
            let oldest = self.incoming_order.pop_front()?;
            self.remove(oldest);
        }
        None
    }

    fn remove(&mut self, message: u64) -> Option<Vec<u8>> {
        let incoming = self.incoming.remove(&message)?;
        let bytes: Vec<u8> = incoming.parts.into_values().flatten().collect();
        self.incoming_bytes -= bytes.len();
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
    /// Whether the fragment starts at a multiple of [`PART_BYTES`] and lies within a message of
    /// acceptable length, so that the fragments of a message never overlap.
    fn is_valid(&self) -> bool {
        let length = self.length as usize;
        let start = self.offset as usize;
        let end = start.saturating_add(self.bytes.len());
        length <= MESSAGE_BYTES_MAX
            && start.is_multiple_of(PART_BYTES)
            && (start < length || length == 0)
            && end == length.min(start.saturating_add(PART_BYTES))
    }
}
