//! A router's set of documents, kept in step with the service and with peers.

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

/// Longest random wait before the read that follows a lost watch, so that a fleet which loses
/// all watches at once spreads its reads.
const READ_JITTER: Duration = Duration::from_secs(1);
/// First wait after a read that failed.
const RETRY_FIRST: Duration = Duration::from_millis(500);
/// Longest wait after reads that failed; a change must be in force within 3 s of the service
/// being reachable again.
const RETRY_LONGEST: Duration = Duration::from_secs(2);
/// How long a peer may be ahead before a router with a watch asks it; the watch usually delivers
/// the change within milliseconds.
const WATCH_GRACE: Duration = Duration::from_secs(1);
/// How long a document has been known before a peer that lacks it is sent it unasked; within this
/// time the peer's own watch usually delivers it.
const PUSH_GRACE: Duration = Duration::from_millis(250);
/// Shortest time between two exchanges that a router begins.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// Documents that are sent without splitting their span further.
const EXCHANGE_DOCUMENTS: usize = 16;
/// Bytes of documents that are sent without splitting their span further; a router has a few
/// kilobytes a second for all gossip, and what is lost is sent again.
const EXCHANGE_BYTES: usize = 32 << 10;
/// Parts of a span that are compared, or asked for, at once.
const EXCHANGE_PARTS: usize = 16;

#[derive(Clone, Copy, Debug)]
enum Link {
    /// No call is under way; the next read is due at a time.
    Waiting(Time),
    Reading(CallId),
    Watching,
}

/// A router's copy of the configuration.
#[derive(Debug)]
pub struct Replica {
    set: Set,
    link: Link,
    /// The store's revision at the last complete read. The next read starts here, not at the last
    /// watched change, since watched changes may have come out of order.
    read_at: Revision,
    /// Since when peers have been ahead of a router with a watch, and its highest revision then.
    behind: Option<(Time, Revision)>,
    /// When the highest revision last rose.
    rose_at: Time,
    next_exchange: Time,
    ready: bool,
    calls: CallId,
    backoff: Backoff,
    actions: VecDeque<Action>,
}

impl Replica {
    /// Starts empty; the first read is due at `now`.
    pub fn new(now: Time, seed: u64) -> Self {
        Self {
            set: Set::default(),
            link: Link::Waiting(now),
            read_at: Revision(0),
            behind: None,
            rose_at: now,
            next_exchange: now,
            ready: false,
            calls: CallId::default(),
            backoff: Backoff::new(seed, RETRY_FIRST, RETRY_LONGEST),
            actions: VecDeque::new(),
        }
    }

    /// The digest for peers.
    pub const fn digest(&self) -> Digest {
        self.set.digest(self.ready)
    }

    /// Whether the set was complete once, as far as the service or a ready peer knows.
    pub const fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether the service is watched.
    pub const fn is_watching(&self) -> bool {
        matches!(self.link, Link::Watching)
    }

    /// The policies in force, each with its revision.
    pub fn policies(&self) -> impl Iterator<Item = (&Policy, Revision)> {
        self.set.policies()
    }

    /// All documents, in order of their paths.
    pub fn documents(&self) -> impl Iterator<Item = &Document> {
        self.set.documents()
    }

    /// Takes the actions that are due, in order.
    pub fn drain(&mut self) -> impl Iterator<Item = Action> + '_ {
        self.actions.drain(..)
    }

    /// When [`Event::Tick`] must come at the latest.
    pub const fn next_wake(&self) -> Time {
        match self.link {
            Link::Waiting(at) => at,
            Link::Reading(_) | Link::Watching => Time::NEVER,
        }
    }

    /// Takes one event at `now`; actions wait in [`Self::drain`].
    pub fn handle(&mut self, now: Time, event: Event) {
        let highest = self.digest().highest;
        match event {
            Event::Reply { id, result } => self.reply(now, id, result),
            Event::Changed {
                revision,
                entries,
                deleted,
            } => self.changed(revision, &entries, &deleted),
            Event::WatchLost => {
                if self.is_watching() {
                    self.link = Link::Waiting(now + self.backoff.below(READ_JITTER));
                }
            }
            Event::Digest(peer, digest) => self.compare(now, peer, digest),
            Event::Exchange(peer, exchange) => self.exchange(peer, exchange),
            Event::Tick => {}
        }
        if self.digest().highest > highest {
            self.rose_at = now;
        }
        if let Link::Waiting(at) = self.link
            && now >= at
        {
            self.read();
        }
    }

    fn read(&mut self) {
        let range = Range::Prefix(PREFIX.to_owned());
        let call = if self.read_at == Revision(0) {
            Call::Range(range)
        } else {
            let after = self.read_at;
            Call::Changed { range, after }
        };
        let id = self.calls.advance();
        self.actions.push_back(Action::Call { id, call });
        self.link = Link::Reading(id);
    }

    fn reply(&mut self, now: Time, id: CallId, result: Result<Reply, Fault>) {
        if !matches!(self.link, Link::Reading(own) if own == id) {
            return;
        }
        let Ok(Reply::Range { revision, entries }) = result else {
            self.link = Link::Waiting(now + self.backoff.fail());
            return;
        };
        self.backoff.reset();
        self.link = Link::Watching;
        self.behind = None;
        self.read_at = self.read_at.max(revision);
        self.changed(revision, &entries, &[]);
        let from = Revision(self.read_at.0 + 1);
        self.actions.push_back(Action::Watch { from });
        self.become_ready();
    }

    fn changed(&mut self, revision: Revision, entries: &[Entry], deleted: &[String]) {
        let written = entries.iter().filter_map(Document::from_entry);
        let gone = deleted
            .iter()
            .filter_map(|key| Document::deleted(key, revision));
        let documents = written.chain(gone).collect();
        self.set.merge(documents, &mut self.actions);
    }

    fn become_ready(&mut self) {
        if !self.ready {
            self.ready = true;
            self.actions.push_back(Action::Ready);
        }
    }

    fn compare(&mut self, now: Time, peer: name::Host, theirs: Digest) {
        let own = self.digest();
        if theirs.highest == own.highest && theirs.hash == own.hash {
            if theirs.ready {
                self.become_ready();
            }
            return;
        }
        if theirs.highest < own.highest {
            // Without a watch here, the peer most likely has none either.
            if !self.is_watching() || now.since(self.rose_at) >= PUSH_GRACE {
                self.push(peer, theirs.highest);
            }
            return;
        }
        if self.is_watching() && theirs.highest > own.highest {
            // Progress since then means that the watch works.
            let behind = self.behind.filter(|(_, highest)| *highest == own.highest);
            let (since, _) = *self.behind.insert(behind.unwrap_or((now, own.highest)));
            if now.since(since) < WATCH_GRACE {
                return;
            }
            // The watch did not deliver what others have.
            self.link = Link::Waiting(now + self.backoff.below(READ_JITTER));
        }
        if now < self.next_exchange {
            return;
        }
        self.next_exchange = now + EXCHANGE_INTERVAL;
        let above = if theirs.highest > own.highest {
            own.highest
        } else {
            Revision(0)
        };
        let span = self.set.span(above, theirs.highest);
        self.send(peer, Exchange::Request(span));
    }

    /// Sends what a peer lacks, if it is little; for more the peer asks once it sees this router's
    /// digest.
    fn push(&mut self, peer: name::Host, above: Revision) {
        let documents = self.set.within(above, self.digest().highest);
        if is_small(&documents) {
            self.send(peer, Exchange::Documents(documents));
        }
    }

    fn exchange(&mut self, peer: name::Host, exchange: Exchange) {
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

    fn answer(&mut self, peer: name::Host, asked: Span) {
        if self.set.span(asked.above, asked.upto).hash == asked.hash {
            return;
        }
        let documents = self.set.within(asked.above, asked.upto);
        if is_small(&documents) || documents.len() == 1 {
            if !documents.is_empty() {
                self.send(peer, Exchange::Documents(documents));
            }
            return;
        }
        let mut parts = Vec::with_capacity(EXCHANGE_PARTS);
        let mut above = asked.above;
        for chunk in documents.chunks(documents.len().div_ceil(EXCHANGE_PARTS)) {
            let upto = chunk.last().map_or(above, |document| document.revision);
            // Documents that one transaction wrote share a revision and stay in one part.
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
