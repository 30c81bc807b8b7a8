//! How many copies of a variant the demand asks for, steadied against flapping.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::load::Work;
use crate::request::Variant;
use crate::time::Time;

/// Load of the remaining copies, in percent, below which one copy fewer would do. Well below 100,
/// so that the demand that asked for a copy does not already give it back.
const LOW_PERCENT: u64 = 60;

#[derive(Debug)]
struct Wanted {
    copies: usize,
    /// Since when fewer would have done.
    low_since: Option<Time>,
}

/// Wanted copies by variant.
#[derive(Debug)]
pub(super) struct Copies {
    copy_work: u64,
    hold: Duration,
    wanted: BTreeMap<Variant, Wanted>,
}

impl Copies {
    pub(super) fn new(copy_work: Work, hold: Duration) -> Self {
        Self {
            copy_work: copy_work.0.max(1),
            hold,
            wanted: BTreeMap::new(),
        }
    }

    /// Copies that a variant should have, at least one.
    pub(super) fn of(&self, variant: &Variant) -> usize {
        self.wanted.get(variant).map_or(1, |wanted| wanted.copies)
    }

    /// Raises at once, lowers by one after demand was low for the whole hold time.
    pub(super) fn update(&mut self, now: Time, demand: &BTreeMap<Variant, Work>) {
        for variant in demand.keys() {
            self.wanted.entry(variant.clone()).or_insert(Wanted {
                copies: 1,
                low_since: None,
            });
        }
        for (variant, wanted) in &mut self.wanted {
            let work = demand.get(variant).map_or(0, |work| work.0);
            let needed = usize::try_from(work.div_ceil(self.copy_work)).unwrap_or(usize::MAX);
            if needed > wanted.copies {
                wanted.copies = needed;
                wanted.low_since = None;
                continue;
            }
            let fewer = wanted.copies.saturating_sub(1) as u64;
            let low = self.copy_work.saturating_mul(fewer) / 100 * LOW_PERCENT;
            if fewer == 0 || work > low {
                wanted.low_since = None;
                continue;
            }
            let since = *wanted.low_since.get_or_insert(now);
            if now.since(since) >= self.hold {
                wanted.copies -= 1;
                wanted.low_since = Some(now);
            }
        }
    }
}
