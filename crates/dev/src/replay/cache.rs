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
    used: u64,
}

/// The prefix cache of one engine.
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

    /// Returns the cached tokens of a chat without marking it as used.
    pub fn peek(&self, chat: Chat) -> u64 {
        self.slots.get(&chat).map_or(0, |slot| slot.tokens)
    }

    /// Stores the prefix of a chat as most recently used and evicts older ones if needed.
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
