//! Progress of the evacuations of availability zones at one router: since when, and with how many
//! requests still in flight.

use std::collections::BTreeMap;

use super::Fleet;
use crate::kv::Revision;
use crate::name;
use crate::time::Time;

/// From where a router learned of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// From the store, which this router reads.
    Store,
    /// From a peer.
    Peer,
    /// From neither: the time was over for which it was retained.
    Expiry,
}

impl Source {
    /// Name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
            Self::Expiry => "expiry",
        }
    }
}

/// Stage of an evacuation at one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No new requests are sent to the zone.
    Evacuated,
    /// The last request in flight there has ended.
    Drained,
    /// New requests are sent there again.
    Ended,
}

/// An evacuation that reached a stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Milestone {
    /// The zone.
    pub zone: name::Zone,
    /// The stage.
    pub stage: Stage,
    /// Revision of the store that evacuated the zone.
    pub revision: Revision,
    /// From where this router learned of the evacuation or its end.
    pub source: Source,
    /// Upstreams of the zone.
    pub upstreams: usize,
    /// Requests of this router in flight there.
    pub in_flight: u32,
}

/// An evacuated zone as one router sees it.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// Revision of the store that evacuated the zone.
    pub revision: Revision,
    /// When this router learned of it.
    pub since: Time,
    /// From where this router learned of it.
    pub source: Source,
    /// Whether the end of the last request in flight there is still to be recorded.
    pub is_pending: bool,
}

/// The evacuated zones, and what is to be logged about them.
#[derive(Debug, Default)]
pub(super) struct Drains {
    zones: BTreeMap<name::Zone, Drain>,
    milestones: Vec<Milestone>,
}

impl Fleet {
    /// The evacuated zones, as this router sees them, with its requests in flight there.
    pub fn drains(&self) -> impl Iterator<Item = (&name::Zone, &Drain, u32)> {
        let zones = self.drains.zones.iter();
        zones.map(|(zone, drain)| (zone, drain, self.usage(zone).1))
    }

    /// What happened to evacuations since the last call, to be logged.
    pub fn take_milestones(&mut self) -> Vec<Milestone> {
        std::mem::take(&mut self.drains.milestones)
    }

    /// Compares the evacuations in force with those known before.
    pub(super) fn record_evacuations(&mut self, now: Time, source: Source) {
        let in_force = self.roster().evacuated(now);
        let in_force: BTreeMap<name::Zone, Revision> = in_force
            .map(|(zone, revision)| (zone.clone(), revision))
            .collect();
        let known = self.drains.zones.keys();
        let ended = known.filter(|zone| !in_force.contains_key(*zone));
        let ended: Vec<name::Zone> = ended.cloned().collect();
        for zone in ended {
            self.end_evacuation(now, &zone, source);
        }
        for (zone, revision) in in_force {
            if !self.drains.zones.contains_key(&zone) {
                self.start_evacuation(now, zone, revision, source);
            }
        }
    }

    fn start_evacuation(
        &mut self,
        now: Time,
        zone: name::Zone,
        revision: Revision,
        source: Source,
    ) {
        let (_, in_flight) = self.usage(&zone);
        let drain = Drain {
            revision,
            since: now,
            source,
            is_pending: in_flight > 0,
        };
        self.record_milestone(&zone, drain, Stage::Evacuated);
        self.drains.zones.insert(zone, drain);
    }

    /// Called when the evacuation of a zone ends. Its upstreams get requests from now on and may be
    /// cold.
    fn end_evacuation(&mut self, now: Time, zone: &name::Zone, source: Source) {
        if let Some(drain) = self.drains.zones.remove(zone) {
            let drain = Drain { source, ..drain };
            self.record_milestone(zone, drain, Stage::Ended);
            self.start_warmup(now, zone);
        }
    }

    /// Records when the last request at an evacuated zone has ended, that of an upstream.
    pub(super) fn record_drained(&mut self, id: &name::Upstream) {
        if self.drains.zones.is_empty() {
            return;
        }
        let zone = self.upstream(id).map(|upstream| &upstream.entry.zone);
        let Some(zone) = zone.cloned() else { return };
        let drain = self.drains.zones.get(&zone);
        let Some(drain) = drain.filter(|drain| drain.is_pending) else {
            return;
        };
        if self.usage(&zone).1 > 0 {
            return;
        }
        let drain = Drain {
            is_pending: false,
            ..*drain
        };
        self.drains.zones.insert(zone.clone(), drain);
        self.record_milestone(&zone, drain, Stage::Drained);
    }

    fn record_milestone(&mut self, zone: &name::Zone, drain: Drain, stage: Stage) {
        let (upstreams, in_flight) = self.usage(zone);
        self.drains.milestones.push(Milestone {
            zone: zone.clone(),
            stage,
            revision: drain.revision,
            source: drain.source,
            upstreams,
            in_flight,
        });
    }

    /// Upstreams of a zone and this router's requests in flight there.
    fn usage(&self, zone: &name::Zone) -> (usize, u32) {
        let upstreams = self.upstreams().iter();
        let upstreams = upstreams.filter(|upstream| upstream.entry.zone == *zone);
        upstreams.fold((0, 0), |(count, in_flight), upstream| {
            (count + 1, in_flight + upstream.load.in_flight())
        })
    }
}
