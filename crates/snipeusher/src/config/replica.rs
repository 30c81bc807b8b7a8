//! State machine that keeps a router's documents in sync with the store and with peers.

use std::collections::VecDeque;
use std::time::Duration;

use super::Action;
use super::Digest;
use super::Document;
use super::Event;
use super::Exchange;
use super::PREFIX;
use super::Span;
use super::set::Set;
use crate::kv::Backoff;
use crate::kv::Call;
use crate::kv::CallId;
use crate::kv::Entry;
use crate::kv::Fault;
use crate::kv::Range;
use crate::kv::Reply;
use crate::kv::Revision;
use crate::name;
use crate::policy::Policy;
use crate::time::Time;

/// Longest random wait before the read after a lost watch. It spreads the reads of a fleet that
/// loses all its watches at once.
const READ_JITTER: Duration = Duration::from_secs(1);
/// Wait after the first failed read.
const RETRY_FIRST: Duration = Duration::from_millis(500);
/// Longest wait between retries. A change must be in force within 3 s after the store is reachable
/// again.
const RETRY_LONGEST: Duration = Duration::from_secs(2);
/// How long a peer may be ahead before a router with a watch requests the documents from it. The
/// watch usually delivers a change within milliseconds.
const WATCH_GRACE: Duration = Duration::from_secs(1);
/// How long a router waits after its last change before it pushes documents to a peer that lacks
/// them. The peer's own watch usually delivers them within this time.
const PUSH_GRACE: Duration = Duration::from_millis(250);
/// Shortest time between two exchanges that a router starts.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of documents that are sent without splitting their span.
const EXCHANGE_DOCUMENTS: usize = 16;
/// Maximum size in bytes of documents that are sent without splitting their span. A router may use
/// only a few kilobytes per second for all gossip, and lost messages are sent again.
const EXCHANGE_BYTES: usize = 32 << 10;
/// Maximum number of parts into which a span is split, and of parts requested at once.
const EXCHANGE_PARTS: usize = 16;

#[derive(Clone, Copy, Debug)]
enum State {
    /// No call is in flight; the next read is due at this time.
    Waiting(Time),
    Reading(CallId),
    Watching,
}

/// A router's copy of the configuration.
#[derive(Debug)]
pub struct Replica {
    set: Set,
    state: State,
    /// The store's revision at the last complete read. The next read starts here rather than at the
    /// last watched change, since the watch may deliver changes out of order.
    synced_revision: Revision,
    /// Since when peers have been ahead of this router while it has a watch, with its highest
    /// revision at that time.
    behind: Option<(Time, Revision)>,
    /// When the highest revision last increased.
    advanced_at: Time,
    next_exchange: Time,
    ready: bool,
    calls: CallId,
    backoff: Backoff,
    actions: VecDeque<Action>,
}

impl Replica {
    /// Creates an empty replica, whose first read is due at `now`.
    pub fn new(now: Time, seed: u64) -> Self {
        Self {
            set: Set::default(),
            state: State::Waiting(now),
            synced_revision: Revision::new(0),
            behind: None,
            advanced_at: now,
            next_exchange: now,
            ready: false,
            calls: CallId::default(),
            backoff: Backoff::new(seed, RETRY_FIRST, RETRY_LONGEST),
            actions: VecDeque::new(),
        }
    }

    /// The digest to send to peers.
    pub const fn digest(&self) -> Digest {
        self.set.digest(self.ready)
    }

    /// Whether the documents were ever complete, as confirmed by the store or a ready peer.
    pub const fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether a watch of the store is active.
    pub const fn is_watching(&self) -> bool {
        matches!(self.state, State::Watching)
    }

    /// The policies in force and their revisions.
    pub fn policies(&self) -> impl Iterator<Item = (&Policy, Revision)> {
        self.set.policies()
    }

    /// All documents, ordered by path.
    pub fn documents(&self) -> impl Iterator<Item = &Document> {
        self.set.documents()
    }

    /// Removes and returns the pending actions in order.
    pub fn drain(&mut self) -> impl Iterator<Item = Action> + '_ {
        self.actions.drain(..)
    }

    /// The latest time of the next [`Event::Tick`].
    pub const fn next_wake(&self) -> Time {
        match self.state {
            State::Waiting(at) => at,
            State::Reading(_) | State::Watching => Time::NEVER,
        }
    }

    /// Processes an event; [`Self::drain`] returns the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event) {
        let highest = self.digest().highest;
        match event {
            Event::Reply { id, result } => self.handle_reply(now, id, result),
            Event::Changed {
                revision,
                entries,
                deleted,
            } => self.apply_change(revision, &entries, &deleted),
            Event::WatchLost => {
                if self.is_watching() {
                    self.state = State::Waiting(now + self.backoff.below(READ_JITTER));
                }
            }
            Event::Digest(peer, digest) => self.compare_digests(now, peer, digest),
            Event::Exchange(peer, exchange) => self.handle_exchange(peer, exchange),
            Event::Tick => {}
        }
        if self.digest().highest > highest {
            self.advanced_at = now;
        }
        if let State::Waiting(at) = self.state
            && now >= at
        {
            self.read();
        }
    }

    fn read(&mut self) {
        let range = Range::Prefix(PREFIX.to_owned());
        let call = if self.synced_revision == Revision::new(0) {
            Call::Range(range)
        } else {
            let after = self.synced_revision;
            Call::Changed { range, after }
        };
        let id = self.calls.advance();
        self.actions.push_back(Action::Call { id, call });
        self.state = State::Reading(id);
    }

    fn handle_reply(&mut self, now: Time, id: CallId, result: Result<Reply, Fault>) {
        if !matches!(self.state, State::Reading(call) if call == id) {
            return;
        }
        let Ok(Reply::Range { revision, entries }) = result else {
            self.state = State::Waiting(now + self.backoff.fail());
            return;
        };
        self.backoff.reset();
        self.state = State::Watching;
        self.behind = None;
        self.synced_revision = self.synced_revision.max(revision);
        self.apply_change(revision, &entries, &[]);
        let from = Revision {
            number: self.synced_revision.number + 1,
            ..self.synced_revision
        };
        self.actions.push_back(Action::Watch { from });
        self.set_ready();
    }

    fn apply_change(&mut self, revision: Revision, entries: &[Entry], deleted: &[String]) {
        let written = entries.iter().filter_map(Document::from_entry);
        let tombstones = deleted
            .iter()
            .filter_map(|key| Document::deleted(key, revision));
        let documents = written.chain(tombstones).collect();
        self.set.merge(documents, &mut self.actions);
    }

    fn set_ready(&mut self) {
        if !self.ready {
            self.ready = true;
            self.actions.push_back(Action::Ready);
        }
    }

    fn compare_digests(&mut self, now: Time, peer: name::Host, theirs: Digest) {
        let own = self.digest();
        if theirs.highest == own.highest && theirs.hash == own.hash {
            if theirs.ready {
                self.set_ready();
            }
            return;
        }
        if theirs.highest < own.highest {
            // If the watch is lost here, the peer most likely has none either.
            if !self.is_watching() || now.since(self.advanced_at) >= PUSH_GRACE {
                self.push(peer, theirs.highest);
            }
            return;
        }
        if self.is_watching() && theirs.highest > own.highest {
            // An increase of the highest revision since then shows that the watch works.
            let behind = self.behind.filter(|(_, highest)| *highest == own.highest);
            let (since, _) = *self.behind.insert(behind.unwrap_or((now, own.highest)));
            if now.since(since) < WATCH_GRACE {
                return;
            }
            // The watch did not deliver what peers have, so read from the store.
            self.state = State::Waiting(now + self.backoff.below(READ_JITTER));
        }
        if now < self.next_exchange {
            return;
        }
        self.next_exchange = now + EXCHANGE_INTERVAL;
        let above = if theirs.highest > own.highest {
            own.highest
        } else {
            Revision::new(0)
        };
        let span = self.set.span(above, theirs.highest);
        self.send(peer, Exchange::Request(span));
    }

    /// Sends the documents that a peer lacks if they are small. Otherwise the peer requests them
    /// when it receives this router's digest.
    fn push(&mut self, peer: name::Host, above: Revision) {
        let documents = self.set.within(above, self.digest().highest);
        if is_small(&documents) {
            self.send(peer, Exchange::Documents(documents));
        }
    }

    fn handle_exchange(&mut self, peer: name::Host, exchange: Exchange) {
        match exchange {
            Exchange::Request(span) => self.answer(peer, span),
            Exchange::Parts(parts) => {
                let own = parts
                    .iter()
                    .map(|part| self.set.span(part.above, part.upto));
                let differing: Vec<_> = own
                    .zip(&parts)
                    .filter(|(own, part)| own.hash != part.hash)
                    .map(|(own, _)| own)
                    .take(EXCHANGE_PARTS)
                    .collect();
                for span in differing {
                    self.send(peer.clone(), Exchange::Request(span));
                }
            }
            Exchange::Documents(documents) => self.set.merge(documents, &mut self.actions),
        }
    }

    fn answer(&mut self, peer: name::Host, requested: Span) {
        if self.set.span(requested.above, requested.upto).hash == requested.hash {
            return;
        }
        let documents = self.set.within(requested.above, requested.upto);
        if is_small(&documents) || documents.len() == 1 {
            if !documents.is_empty() {
                self.send(peer, Exchange::Documents(documents));
            }
            return;
        }
        let mut parts = Vec::with_capacity(EXCHANGE_PARTS);
        let mut above = requested.above;
        for chunk in documents.chunks(documents.len().div_ceil(EXCHANGE_PARTS)) {
            let upto = chunk.last().map_or(above, |document| document.revision);
            // Documents written by one transaction share a revision and must stay in one part.
            if upto > above {
                parts.push(self.set.span(above, upto));
                above = upto;
            }
        }
        if parts.len() > 1 {
            self.send(peer, Exchange::Parts(parts));
        } else {
            self.send(peer, Exchange::Documents(documents));
        }
    }

    fn send(&mut self, peer: name::Host, exchange: Exchange) {
        self.actions.push_back(Action::Exchange(peer, exchange));
    }
}

fn is_small(documents: &[Document]) -> bool {
    let bytes: usize = documents.iter().map(|document| document.value.len()).sum();
    documents.len() <= EXCHANGE_DOCUMENTS && bytes <= EXCHANGE_BYTES
}
