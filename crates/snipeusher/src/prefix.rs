//! Map from chats to the engines that have their prompt prefix cached.
//!
//! Its entries come from answers that this router received and from engines' cache events, which
//! arrive late and with gaps. Placement therefore never depends on the map being right. See
//! `docs/design.md#placement`.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::load::Slot;
use crate::name;
use crate::request::Chat;

/// One change of an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The prefix of the chat is cached up to this many tokens.
    Stored {
        /// The chat.
        chat: Chat,
        /// Tokens of its prefix.
        tokens: u64,
    },
    /// The prefix of the chat was evicted.
    Evicted(Chat),
    /// The whole cache was cleared.
    Cleared,
}

/// Consecutive changes of one engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// The incarnation of the engine that published the changes.
    pub incarnation: name::Incarnation,
    /// Sequence number of the first change; each incarnation counts from one.
    pub first: u64,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// Number of chats in each of the two generations.
const GENERATION: usize = 32 << 10;
/// Number of holders stored for each chat.
const HOLDERS: usize = 4;

/// An engine that holds the prefix of a chat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The engine.
    pub slot: Slot,
    /// The engine's cache epoch when the entry was recorded; the entry is invalid in any other.
    pub epoch: u32,
    /// Tokens of the prefix.
    pub tokens: u32,
}

/// Bounded map from chats to the engines that hold their prefix.
///
/// It has two generations. When the young generation is full it replaces the old one, whose
/// entries are dropped. A chat whose holders change moves to the young generation.
#[derive(Clone, Debug, Default)]
pub struct Map {
    young: BTreeMap<Chat, [Option<Holder>; HOLDERS]>,
    old: BTreeMap<Chat, [Option<Holder>; HOLDERS]>,
    next_sequence: BTreeMap<Slot, u64>,
}

impl Map {
    /// Number of known chats.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether no chat is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The engines that hold a chat, most recently recorded first.
    pub fn holders(&self, chat: Chat) -> impl Iterator<Item = Holder> + '_ {
        let found = self.young.get(&chat).or_else(|| self.old.get(&chat));
        found.into_iter().flatten().filter_map(|holder| *holder)
    }

    /// Chats held by an engine, with the tokens of their prefix; the young generation comes first.
    pub fn held(&self, slot: Slot, epoch: u32) -> impl Iterator<Item = (Chat, u32)> + '_ {
        let matches = move |holder: &Holder| holder.slot == slot && holder.epoch == epoch;
        self.young
            .iter()
            .chain(&self.old)
            .filter_map(move |(chat, holders)| {
                let holder = holders.iter().flatten().find(|holder| matches(holder))?;
                Some((*chat, holder.tokens))
            })
    }

    /// Records that an engine holds a chat.
    pub fn record(&mut self, chat: Chat, holder: Holder) {
        let mut holders = self.take(chat);
        let same = |other: &Option<Holder>| other.is_some_and(|other| other.slot == holder.slot);
        let end = holders.iter().position(same).unwrap_or(HOLDERS - 1);
        holders[..=end].rotate_right(1);
        holders[0] = Some(holder);
        self.put(chat, holders);
    }

    /// Records that an engine no longer holds a chat.
    pub fn remove(&mut self, chat: Chat, slot: Slot) {
        if self.holders(chat).all(|holder| holder.slot != slot) {
            return;
        }
        let mut holders = self.take(chat);
        for holder in &mut holders {
            *holder = holder.filter(|holder| holder.slot != slot);
        }
        if holders.iter().any(Option::is_some) {
            self.put(chat, holders);
        }
    }

    /// Returns the changes of a batch that were not seen before. Changes missing between batches
    /// are ignored.
    pub(crate) fn unseen<'a>(&mut self, slot: Slot, batch: &'a Batch) -> &'a [Change] {
        let next = self.next_sequence.entry(slot).or_insert(0);
        let seen = next.saturating_sub(batch.first);
        let skip = usize::try_from(seen).unwrap_or(usize::MAX);
        let end = batch.first.saturating_add(batch.changes.len() as u64);
        *next = (*next).max(end);
        batch.changes.get(skip..).unwrap_or_default()
    }

    /// Resets the sequence number of an engine for a new incarnation.
    pub(crate) fn reset_sequence(&mut self, slot: Slot) {
        self.next_sequence.remove(&slot);
    }

    fn take(&mut self, chat: Chat) -> [Option<Holder>; HOLDERS] {
        let young = self.young.remove(&chat);
        young.or_else(|| self.old.remove(&chat)).unwrap_or_default()
    }

    fn put(&mut self, chat: Chat, holders: [Option<Holder>; HOLDERS]) {
        if self.young.len() >= GENERATION {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(chat, holders);
    }
}
