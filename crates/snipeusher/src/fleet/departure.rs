//! Upstreams that shut down or are gone, whatever their entries in the store say.
//!
//! An upstream says in its responses that it shuts down before its entry does, and a store that was
//! restored from an older copy lists upstreams that have left since. An incarnation that has left
//! never comes back, so its departure is remembered until a new start. See
//! `docs/platform.md#engines-that-leave`.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use super::Entry;
use crate::kv::Revision;
use crate::name;

/// Departures that are remembered. The oldest are dropped first.
const DEPARTURES_MAX: usize = 1_024;

/// An upstream that said itself that it shuts down.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leaving {
    /// Id of the upstream.
    pub upstream: name::Upstream,
    /// Incarnation that shuts down.
    pub incarnation: name::Incarnation,
}

/// How it is known that an upstream leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Evidence {
    /// It said so itself, to this router or to a peer.
    Announced,
    /// Its entry said so at this revision.
    Draining(Revision),
    /// Its entry, last written at this revision, was removed.
    Removed(Revision),
}

/// What a known departure means for an entry of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It is as the entry says.
    Valid,
    /// The upstream shuts down although the entry does not say so.
    Leaving,
    /// The upstream is gone; the entry is an old one of a restored store.
    Gone,
}

#[derive(Clone, Debug)]
struct Departure {
    incarnation: name::Incarnation,
    evidence: Evidence,
}

impl Departure {
    fn is_announced(&self, incarnation: name::Incarnation) -> bool {
        self.incarnation == incarnation && self.evidence == Evidence::Announced
    }
}

/// Known departures.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures {
    known: BTreeMap<name::Upstream, Departure>,
    /// The known upstreams, oldest departure first.
    order: VecDeque<name::Upstream>,
}

impl Departures {
    /// Records a departure. That of an upstream which announced it stays, since it holds in every
    /// era.
    pub(super) fn record(
        &mut self,
        id: &name::Upstream,
        incarnation: name::Incarnation,
        evidence: Evidence,
    ) {
        let departure = Departure {
            incarnation,
            evidence,
        };
        let known = self.known.get(id);
        if known.is_some_and(|known| known.is_announced(incarnation)) {
            return;
        }
        if self.known.insert(id.clone(), departure).is_some() {
            return;
        }
        self.order.push_back(id.clone());
        if self.order.len() > DEPARTURES_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    /// Whether an incarnation of an upstream said that it shuts down.
    pub(super) fn is_announced(&self, leaving: &Leaving) -> bool {
        let known = self.known.get(&leaving.upstream);
        known.is_some_and(|known| known.is_announced(leaving.incarnation))
    }

    /// Judges an entry of the store.
    ///
    /// Within an era the store's later word on its own entries counts. In a later era an entry may
    /// be an older write that was restored: one that is no newer than the first list of the era,
    /// which was read at `era_start`, and than the last write known before.
    pub(super) fn judge(&self, entry: &Entry, era_start: Revision) -> Verdict {
        let Some(departure) = self.known.get(&entry.id) else {
            return Verdict::Valid;
        };
        if departure.incarnation != entry.incarnation {
            return Verdict::Valid;
        }
        match departure.evidence {
            Evidence::Announced => Verdict::Leaving,
            Evidence::Draining(at) if entry.revision.era > at.era => Verdict::Leaving,
            Evidence::Removed(at)
                if entry.revision.era > at.era
                    && entry.revision.number <= at.number
                    && entry.revision <= era_start =>
            {
                Verdict::Gone
            }
            Evidence::Draining(_) | Evidence::Removed(_) => Verdict::Valid,
        }
    }
}
