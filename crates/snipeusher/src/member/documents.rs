//! Configuration documents on their way to and from peers, in pieces.
//!
//! A lost piece is not asked for: the peers still differ afterwards, the document is offered
//! again, and the receiver has kept the other pieces.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::Document;
use crate::hash;
use crate::kv::Revision;
use crate::name;
use crate::time::Time;
use crate::wire::Draft;
use crate::wire::Part;

/// Largest document: the limit of a value in the key-value service.
const DOCUMENT_BYTES_MAX: u32 = 1 << 20;
/// Most bytes that wait for one peer; more are offered again later.
const WAITING_BYTES_MAX: usize = 4 << 20;
/// Most documents of one peer that are incomplete here.
const INCOMPLETE_MAX: usize = 16;
/// Length of a piece. Small enough for the smallest frame, and a piece that arrives from one
/// peer completes a document that another began.
const PART_BYTES: usize = 256;
/// How long a peer has to take documents in and say so, before it is offered more.
const SETTLE: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Outgoing {
    document: Document,
    /// Pieces left to send, by their number.
    parts: VecDeque<u32>,
}

#[derive(Debug)]
struct Incoming {
    length: u32,
    parts: BTreeMap<u32, Vec<u8>>,
}

/// Documents in transit.
#[derive(Debug, Default)]
pub(super) struct Documents {
    outgoing: BTreeMap<name::Host, VecDeque<Outgoing>>,
    incoming: BTreeMap<(String, Revision), Incoming>,
    arrived: VecDeque<(String, Revision)>,
    /// Peers that were sent all that was offered, with the time.
    served: BTreeMap<name::Host, Time>,
}

impl Documents {
    /// Queues documents for a peer, unless earlier ones still wait for it.
    pub(super) fn offer(&mut self, own: &name::Host, to: name::Host, documents: Vec<Document>) {
        if self.outgoing.contains_key(&to) {
            return;
        }
        let mut bytes = 0;
        let mut queue = VecDeque::new();
        for document in documents {
            let length = document.bytes.len();
            bytes += length;
            if length > DOCUMENT_BYTES_MAX as usize || bytes > WAITING_BYTES_MAX {
                continue;
            }
            let count = length.div_ceil(PART_BYTES).max(1) as u32;
            // Each sender starts elsewhere, so that several of them complete a document sooner.
            let first = (hash::bytes(own.as_str().as_bytes()) % u64::from(count)) as u32;
            let parts = (first..count).chain(0..first).collect();
            queue.push_back(Outgoing { document, parts });
        }
        if !queue.is_empty() {
            self.outgoing.insert(to, queue);
        }
    }

    /// Whether documents wait to be sent.
    pub(super) fn waiting(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// A peer that documents wait for, in turn after `last`.
    pub(super) fn next(&self, last: Option<&name::Host>) -> Option<name::Host> {
        let hosts = self.outgoing.keys();
        let after = last.and_then(|last| hosts.clone().find(|host| *host > last));
        after.or_else(|| self.outgoing.keys().next()).cloned()
    }

    /// Forgets what waits for a peer.
    pub(super) fn forget(&mut self, host: &name::Host) {
        self.outgoing.remove(host);
    }

    /// Fills a frame with pieces for a peer.
    pub(super) fn fill(&mut self, now: Time, host: &name::Host, draft: &mut Draft) {
        let Some(queue) = self.outgoing.get_mut(host) else {
            return;
        };
        while let Some(outgoing) = queue.front_mut() {
            let Some(number) = outgoing.parts.front().copied() else {
                queue.pop_front();
                continue;
            };
            if !draft.part(outgoing.part(number)) {
                return;
            }
            outgoing.parts.pop_front();
        }
        self.outgoing.remove(host);
        self.served.retain(|_, served| now.since(*served) < SETTLE);
        self.served.insert(host.clone(), now);
    }

    /// Whether a peer was sent documents so recently that its word may be from before.
    pub(super) fn served(&self, now: Time, host: &name::Host) -> bool {
        let served = self.served.get(host);
        served.is_some_and(|served| now.since(*served) < SETTLE)
    }

    /// Takes a piece; gives the document once it is complete.
    pub(super) fn take(&mut self, part: Part) -> Option<Document> {
        let end = part
            .offset
            .checked_add(u32::try_from(part.bytes.len()).ok()?)?;
        let aligned = part.offset.is_multiple_of(PART_BYTES as u32);
        let whole = part.bytes.len() == PART_BYTES || end == part.length;
        if part.length > DOCUMENT_BYTES_MAX || end > part.length || !aligned || !whole {
            return None;
        }
        let key = (part.name, part.revision);
        if !self.incoming.contains_key(&key) {
            while self.arrived.len() >= INCOMPLETE_MAX {
                let oldest = self.arrived.pop_front()?;
                self.incoming.remove(&oldest);
            }
            self.arrived.push_back(key.clone());
        }
        let incoming = self.incoming.entry(key.clone()).or_insert(Incoming {
            length: part.length,
            parts: BTreeMap::new(),
        });
        if incoming.length != part.length {
            return None;
        }
        incoming.parts.insert(part.offset, part.bytes);
        let count = (part.length as usize).div_ceil(PART_BYTES).max(1);
        if incoming.parts.len() < count {
            return None;
        }
        self.arrived.retain(|other| *other != key);
        let incoming = self.incoming.remove(&key)?;
        let (name, revision) = key;
        Some(Document {
            name,
            revision,
            bytes: incoming.parts.into_values().flatten().collect(),
        })
    }
}

impl Outgoing {
    fn part(&self, number: u32) -> Part {
        let bytes = &self.document.bytes;
        let start = (number as usize * PART_BYTES).min(bytes.len());
        let end = (start + PART_BYTES).min(bytes.len());
        Part {
            name: self.document.name.clone(),
            revision: self.document.revision,
            length: bytes.len() as u32,
            offset: start as u32,
            bytes: bytes[start..end].to_vec(),
        }
    }
}
