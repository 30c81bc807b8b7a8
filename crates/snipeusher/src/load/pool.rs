//! Upstreams that can serve the same target.

use crate::request::Target;

use super::Slot;
use super::View;

/// The upstreams that can serve one target, with totals that placement needs.
#[derive(Clone, Debug)]
pub struct Pool {
    /// The target that the upstreams serve.
    pub target: Target,
    /// Upstreams that accept new work, in no particular order.
    pub slots: Vec<Slot>,
    /// Hashes of `slots`, in the same order; kept apart so that ranking reads one dense array.
    pub nodes: Vec<u64>,
    /// Sum of the estimated work of `slots`.
    pub total: u64,
    /// Sum of the slow-start factors of `slots`.
    pub factors: f64,
    /// Number of live upstreams, whether or not they accept new work.
    pub live: u32,
    /// Number of live upstreams that are ejected.
    pub ejected: u32,
    /// Mean of the fresh reports.
    pub typical: View,
}

impl Pool {
    /// Creates a pool without upstreams.
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
    /// The bound is `limit` times the mean load with `work` added, scaled by `factor` during slow
    /// start. While so many upstreams are in slow start that none might be within its bound, the
    /// bound is at least the mean. It never exceeds `limit` times the mean.
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
