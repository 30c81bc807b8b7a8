//! Upstreams that can serve the same target.

use crate::request::Target;

use super::Slot;
use super::View;

/// The upstreams that can serve one target, with what placement needs of them at hand.
#[derive(Clone, Debug)]
pub struct Pool {
    /// What they serve.
    pub target: Target,
    /// Those that take new work, in no particular order.
    pub slots: Vec<Slot>,
    /// Their hashes, in the same order, apart so that a ranking reads one dense array.
    pub nodes: Vec<u64>,
    /// Their estimated work.
    pub total: u64,
    /// Sum of their slow-start factors.
    pub factors: f64,
    /// Upstreams that are live, whether or not they take new work.
    pub live: u32,
    /// Those of them that are ejected.
    pub ejected: u32,
    /// Mean of what fresh reports say.
    pub typical: View,
}

impl Pool {
    /// Starts without upstreams.
    pub fn new(target: Target) -> Self {
        Self {
            target,
            slots: Vec::new(),
            nodes: Vec::new(),
            total: 0,
            factors: 0.0,
            live: 0,
            ejected: 0,
            typical: View::default(),
        }
    }

    /// The highest load at which an upstream may be chosen for `work`.
    ///
    /// The bound is `limit` times the mean after the choice, and less during slow start. While
    /// many start slowly it is at least the mean, so that one upstream is always within it; it
    /// is never above `limit` times the mean.
    pub fn bound(&self, work: u64, limit: f64, factor: f64) -> u64 {
        let count = self.slots.len().max(1) as f64;
        let mean = self.total.saturating_add(work) as f64 / count;
        let own = limit * factor;
        let multiple = if self.factors * limit < count {
            own.max(1.0)
        } else {
            own
        };
        (mean * multiple) as u64
    }

    pub(super) fn insert(&mut self, slot: Slot, node: u64) {
        self.slots.push(slot);
        self.nodes.push(node);
    }

    pub(super) fn remove(&mut self, slot: Slot) {
        if let Some(index) = self.slots.iter().position(|other| *other == slot) {
            self.slots.swap_remove(index);
            self.nodes.swap_remove(index);
        }
    }
}
