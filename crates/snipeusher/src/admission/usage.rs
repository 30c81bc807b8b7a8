//! Work in flight of each workspace over the fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::load::Share;
use crate::load::WORK_MAX;
use crate::load::Work;
use crate::name;
use crate::time::Time;

/// Time for which a workspace counts as active after its last request.
const ACTIVE: Duration = Duration::from_secs(10);

/// A workspace is over its share if its mean use exceeds an equal share by this factor. The mean
/// covers some seconds, since without a surge half of the workspaces are above an equal share at
/// any moment.
const OVER_MEAN: f64 = 1.25;
/// A workspace is also over its share if its current use exceeds an equal share by this factor,
/// which detects a sudden surge.
const OVER_NOW: f64 = 2.0;
/// Weight of one refresh in the mean use: a time constant of 5 s at one refresh per 250 ms.
const MEAN_WEIGHT: f64 = 0.05;
/// Factor of a peak after each refresh: a time constant of 60 s at one refresh per 250 ms.
const PEAK_DECAY: f64 = 0.996;
/// Multiple of the peak that is reserved; without the margin the other workspaces would wait
/// each time that they reach their peak.
const PEAK_MARGIN: f64 = 1.25;

/// Moving mean of the use of one workspace, and recent peak of the use of all others.
#[derive(Clone, Copy, Debug, Default)]
struct Trend {
    mean: f64,
    others_peak: f64,
}

/// Work in flight of each workspace: the router's own and that announced by peers.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    own: BTreeMap<name::Workspace, u64>,
    peers: BTreeMap<name::Host, BTreeMap<name::Workspace, u64>>,
    fleet: BTreeMap<name::Workspace, u64>,
    sum: u64,
    active: BTreeMap<name::Workspace, Time>,
    trends: BTreeMap<name::Workspace, Trend>,
    /// Sum of the means of all trends.
    mean_sum: f64,
}

impl Usage {
    /// Work of a workspace over the fleet.
    pub fn total(&self, workspace: &name::Workspace) -> u64 {
        self.fleet.get(workspace).copied().unwrap_or(0)
    }

    /// The router's own work by workspace.
    pub fn own(&self) -> BTreeMap<name::Workspace, Work> {
        let own = self.own.iter();
        own.map(|(workspace, work)| (workspace.clone(), Work(*work)))
            .collect()
    }

    /// Returns whether a workspace has clearly more than an equal share of the work in flight.
    pub fn is_over_share(&self, workspace: &name::Workspace) -> bool {
        let active = self.active.len() as u64;
        if active < 2 {
            return false;
        }
        let share = self.sum as f64 / active as f64;
        // The mean is compared with the mean of all, since a dip of the current sum would put all
        // workspaces over their share.
        let mean = self.trends.get(workspace).map_or(0.0, |trend| trend.mean);
        mean > self.mean_sum / active as f64 * OVER_MEAN
            || self.total(workspace) as f64 > share * OVER_NOW
    }

    /// Work that a workspace over its share must leave free, so that the others have room for
    /// their recent peak and a margin; zero for a workspace within its share.
    pub fn reserve(&self, workspace: &name::Workspace) -> u64 {
        let trend = self.trends.get(workspace);
        let Some(trend) = trend.filter(|_| self.is_over_share(workspace)) else {
            return 0;
        };
        let others = self.sum.saturating_sub(self.total(workspace));
        ((trend.others_peak * PEAK_MARGIN) as u64).saturating_sub(others)
    }

    /// Marks a workspace as active.
    pub(crate) fn mark_active(&mut self, now: Time, workspace: &name::Workspace) {
        self.active.insert(workspace.clone(), now);
    }

    /// Changes the router's own work of a workspace.
    pub(crate) fn change_own(&mut self, workspace: &name::Workspace, add: Work, remove: Work) {
        let own = self.own.entry(workspace.clone()).or_default();
        *own = own.saturating_add(add.0).saturating_sub(remove.0);
        if *own == 0 {
            self.own.remove(workspace);
        }
        self.change_fleet(workspace, add.0, remove.0);
    }

    /// Replaces a peer's announced work.
    pub(crate) fn set_peer(&mut self, now: Time, host: &name::Host, share: &Share) {
        self.remove_peer(host);
        let mut announced = BTreeMap::new();
        for (workspace, work) in &share.running {
            // A router has at most a few hundred requests in flight for one workspace.
            let work = work.0.min(WORK_MAX << 8);
            self.change_fleet(workspace, work, 0);
            self.mark_active(now, workspace);
            announced.insert(workspace.clone(), work);
        }
        self.peers.insert(host.clone(), announced);
    }

    /// Removes a peer's announced work.
    pub(crate) fn remove_peer(&mut self, host: &name::Host) {
        for (workspace, work) in self.peers.remove(host).unwrap_or_default() {
            self.change_fleet(&workspace, 0, work);
        }
    }

    /// Removes workspaces that are no longer active, and updates the trends of the others.
    pub(crate) fn refresh(&mut self, now: Time) {
        self.active.retain(|_, last| now.since(*last) < ACTIVE);
        self.trends
            .retain(|workspace, _| self.active.contains_key(workspace));
        for workspace in self.active.keys() {
            let used = self.fleet.get(workspace).copied().unwrap_or(0);
            let others = self.sum.saturating_sub(used) as f64;
            let trend = self.trends.entry(workspace.clone()).or_default();
            trend.mean += (used as f64 - trend.mean) * MEAN_WEIGHT;
            trend.others_peak = others.max(trend.others_peak * PEAK_DECAY);
        }
        self.mean_sum = self.trends.values().map(|trend| trend.mean).sum();
    }

    fn change_fleet(&mut self, workspace: &name::Workspace, add: u64, remove: u64) {
        let fleet = self.fleet.entry(workspace.clone()).or_default();
        *fleet = fleet.saturating_add(add).saturating_sub(remove);
        if *fleet == 0 {
            self.fleet.remove(workspace);
        }
        self.sum = self.sum.saturating_add(add).saturating_sub(remove);
    }
}
