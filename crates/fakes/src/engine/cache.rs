//! Bounded prefix cache of an engine, and the cache events that it publishes.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Serialize;

use crate::engine::text::BLOCK_TOKENS;

/// Number of events kept; a reader that is further behind misses the older ones.
const EVENTS_MAX: usize = 1_024;

/// Change of a chat's cached prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The prefix is cached.
    Stored,
    /// A part of the prefix was evicted.
    Evicted,
}

/// Change of the cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Event {
    /// Sequence number among the engine's events.
    pub sequence: u64,
    /// Kind of change.
    pub change: Change,
    /// Chat id from the header `X-Chat-Id`.
    pub chat: String,
    /// Number of prefix tokens that are cached.
    pub tokens: u64,
}

#[derive(Clone, Debug)]
struct Block {
    used_at: u64,
    chat: String,
}

/// Prefix cache that evicts the least recently used blocks first.
#[derive(Debug)]
pub struct Cache {
    limit: usize,
    clock: u64,
    blocks: BTreeMap<u64, Block>,
    by_use: BTreeMap<u64, u64>,
    events: VecDeque<Event>,
    sequence: u64,
}

impl Cache {
    /// Creates an empty cache of at most `limit` blocks.
    pub const fn new(limit: usize) -> Self {
        Self {
            limit,
            clock: 0,
            blocks: BTreeMap::new(),
            by_use: BTreeMap::new(),
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Returns the number of cached tokens at the start of the prompt.
    pub fn lookup(&self, blocks: &[u64]) -> u64 {
        let count = blocks
            .iter()
            .take_while(|block| self.blocks.contains_key(block))
            .count();
        (count * BLOCK_TOKENS) as u64
    }

    /// Stores the blocks of a chat, and evicts others if the cache exceeds its limit.
    pub fn store(&mut self, chat: &str, blocks: &[u64]) {
        // The last block counts as the least recently used, so that eviction shortens a prefix from
        // its end.
        for hash in blocks.iter().rev() {
            self.clock += 1;
            let block = Block {
                used_at: self.clock,
                chat: chat.to_owned(),
            };
            if let Some(old) = self.blocks.insert(*hash, block) {
                self.by_use.remove(&old.used_at);
            }
            self.by_use.insert(self.clock, *hash);
        }
        self.publish(Change::Stored, chat, blocks.len());
        while self.blocks.len() > self.limit {
            let Some((_, hash)) = self.by_use.pop_first() else {
                break;
            };
            if let Some(evicted) = self.blocks.remove(&hash)
                && !evicted.chat.is_empty()
            {
                self.publish(Change::Evicted, &evicted.chat, 0);
            }
        }
    }

    /// Returns the events with a higher sequence number, oldest first.
    pub fn events(&self, after: u64) -> Vec<Event> {
        self.events
            .iter()
            .filter(|event| event.sequence > after)
            .cloned()
            .collect()
    }

    fn publish(&mut self, change: Change, chat: &str, blocks: usize) {
        if chat.is_empty() {
            return;
        }
        self.sequence += 1;
        self.events.push_back(Event {
            sequence: self.sequence,
            change,
            chat: chat.to_owned(),
            tokens: (blocks * BLOCK_TOKENS) as u64,
        });
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
        }
    }
}
