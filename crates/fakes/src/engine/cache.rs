//! The limited prefix cache of an engine and the events that it publishes.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Serialize;

use crate::engine::text::BLOCK_TOKENS;

/// Events kept; a reader that falls further behind sees a gap.
const EVENTS: usize = 1_024;

/// What happened to a chat's prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The prefix is cached.
    Stored,
    /// A part of the prefix is gone.
    Evicted,
}

/// A cache event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Event {
    /// Position in the engine's events.
    pub sequence: u64,
    /// What happened.
    pub change: Change,
    /// The chat as the router names it in `X-Chat-Id`.
    pub chat: String,
    /// Tokens of the prefix that are cached.
    pub tokens: u64,
}

#[derive(Clone, Debug)]
struct Block {
    used: u64,
    chat: String,
}

/// Least recently used blocks go first.
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
    /// An empty cache of at most `limit` blocks.
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

    /// Tokens of the prompt that are cached.
    pub fn lookup(&self, blocks: &[u64]) -> u64 {
        let found = blocks
            .iter()
            .take_while(|block| self.blocks.contains_key(block))
            .count();
        (found * BLOCK_TOKENS) as u64
    }

    /// Keeps the blocks of a chat, evicting others where the limit is reached.
    pub fn store(&mut self, chat: &str, blocks: &[u64]) {
        // The last block of a chain is used first, so that a chain loses its end before its start.
        for block in blocks.iter().rev() {
            self.clock += 1;
            let kept = Block {
                used: self.clock,
                chat: chat.to_owned(),
            };
            if let Some(old) = self.blocks.insert(*block, kept) {
                self.by_use.remove(&old.used);
            }
            self.by_use.insert(self.clock, *block);
        }
        self.publish(Change::Stored, chat, blocks.len());
        while self.blocks.len() > self.limit {
            let Some((_, block)) = self.by_use.pop_first() else {
                break;
            };
            if let Some(gone) = self.blocks.remove(&block)
                && !gone.chat.is_empty()
            {
                self.publish(Change::Evicted, &gone.chat, 0);
            }
        }
    }

    /// Events after a position, oldest first.
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
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }
}
