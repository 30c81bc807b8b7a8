//! Regions of availability zones.

use std::collections::BTreeMap;

use crate::name;
use crate::route::Homes;

/// The region of each availability zone, as the settings of this router state it.
///
/// See `docs/design/homes.md`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Regions {
    zone: Option<name::Zone>,
    own: Option<name::Region>,
    is_contradictory: bool,
    zones: BTreeMap<name::Zone, name::Region>,
}

impl Regions {
    /// Creates the table for a router in `zone`, whose region the settings may state as `own`.
    /// Where it differs from that of the zone, the router's region counts as unknown.
    pub fn new(
        zone: &name::Zone,
        own: Option<name::Region>,
        zones: BTreeMap<name::Zone, name::Region>,
    ) -> Self {
        let by_zone = zones.get(zone).cloned();
        let is_contradictory = own.is_some() && by_zone.is_some() && own != by_zone;
        Self {
            zone: Some(zone.clone()),
            own: own.or(by_zone).filter(|_| !is_contradictory),
            is_contradictory,
            zones,
        }
    }

    /// Whether no zone has a region.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Whether the router's region differs from that of its zone.
    pub const fn is_contradictory(&self) -> bool {
        self.is_contradictory
    }

    /// The region of this router, if it is known.
    pub const fn own(&self) -> Option<&name::Region> {
        self.own.as_ref()
    }

    /// The region of a zone, if the settings name it.
    pub fn of(&self, zone: &name::Zone) -> Option<&name::Region> {
        self.zones.get(zone)
    }

    /// Whether a router in `zone` may handle a request of this router's caller: it is in a home
    /// region or in the region of this router. A zone lies in one region, so routers of the same
    /// zone are always in the same region.
    pub fn may_handle(&self, zone: &name::Zone, homes: &Homes) -> bool {
        let region = self.of(zone);
        let is_in_own_zone = self.zone.as_ref() == Some(zone);
        let is_in_own_region = region.is_some() && region == self.own();
        is_in_own_zone || is_in_own_region || homes.admits(region)
    }
}
