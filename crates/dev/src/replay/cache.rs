//! An LRU prefix cache whose capacity is counted in tokens.

use std::collections::BTreeMap;

use snipeusher::request::Chat;

/// A cache change that an engine publishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The chat.
    pub chat: Chat,
    /// Tokens cached after the change; zero if evicted.
    pub tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    tokens: u64,
    last_used: u64,
}

/// The prefix cache of one engine.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    limit: u64,
    total: u64,
    clock: u64,
    slots: BTreeMap<Chat, Slot>,
    order: BTreeMap<u64, Chat>,
    changes: Vec<Change>,
}

impl Cache {
    /// Creates an empty cache that holds up to `limit` tokens.
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Returns the cached tokens of a chat without marking it as used.
    pub fn peek(&self, chat: Chat) -> u64 {
        self.slots.get(&chat).map_or(0, |slot| slot.tokens)
    }

    /// Stores the prefix of a chat as most recently used and evicts older ones if needed.
    pub fn store(&mut self, chat: Chat, tokens: u64) {
        let old = self.slots.get(&chat).copied();
        if let Some(slot) = old {
            self.order.remove(&slot.last_used);
            self.total -= slot.tokens;
        }
        let tokens = tokens
            .max(old.map_or(0, |slot| slot.tokens))
            .min(self.limit);
        self.clock += 1;
        let last_used = self.clock;
        self.total += tokens;
        self.order.insert(last_used, chat);
        self.slots.insert(chat, Slot { tokens, last_used });
        self.changes.push(Change { chat, tokens });
        while self.total > self.limit {
            let Some((_, oldest)) = self.order.pop_first() else {
                break;
            };
            if let Some(slot) = self.slots.remove(&oldest) {
                self.total -= slot.tokens;
            }
            self.changes.push(Change {
                chat: oldest,
                tokens: 0,
            });
        }
    }

    /// Returns an empty cache with the same limit.
    #[must_use]
    pub fn cleared(&self) -> Self {
        Self::new(self.limit)
    }

    /// Drains the changes since the last call, in order.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }
}
