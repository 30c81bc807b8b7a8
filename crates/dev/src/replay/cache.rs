//! A prefix cache with a limit in tokens, which evicts the least recently used chat.

use std::collections::BTreeMap;

use snipeusher::request::Chat;

/// A change of the cache, as an engine would publish it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The chat.
    pub chat: Chat,
    /// Tokens held now; zero once evicted.
    pub tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    tokens: u64,
    used: u64,
}

/// Cached prefixes of one engine.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    limit: u64,
    held: u64,
    turn: u64,
    slots: BTreeMap<Chat, Slot>,
    order: BTreeMap<u64, Chat>,
    changes: Vec<Change>,
}

impl Cache {
    /// An empty cache.
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Tokens held of a chat, without counting it as used.
    pub fn peek(&self, chat: Chat) -> u64 {
        self.slots.get(&chat).map_or(0, |slot| slot.tokens)
    }

    /// Stores the prefix of a chat as the most recently used, and evicts others to fit it.
    pub fn store(&mut self, chat: Chat, tokens: u64) {
        let old = self.slots.get(&chat).copied();
        if let Some(slot) = old {
            self.order.remove(&slot.used);
            self.held -= slot.tokens;
        }
        let tokens = tokens
            .max(old.map_or(0, |slot| slot.tokens))
            .min(self.limit);
        self.turn += 1;
        let used = self.turn;
        self.held += tokens;
        self.order.insert(used, chat);
        self.slots.insert(chat, Slot { tokens, used });
        self.changes.push(Change { chat, tokens });
        while self.held > self.limit {
            let Some((_, oldest)) = self.order.pop_first() else {
                break;
            };
            if let Some(slot) = self.slots.remove(&oldest) {
                self.held -= slot.tokens;
            }
            self.changes.push(Change {
                chat: oldest,
                tokens: 0,
            });
        }
    }

    /// A cache of the same limit that holds nothing.
    #[must_use]
    pub fn cleared(&self) -> Self {
        Self::new(self.limit)
    }

    /// Takes the changes since the last call, in order.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }
}
