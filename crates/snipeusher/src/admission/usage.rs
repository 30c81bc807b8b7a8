//! Work in flight of each workspace over the fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::load::Share;
use crate::load::WORK_MAX;
use crate::load::Work;
use crate::name;
use crate::time::Time;

/// A workspace takes part in the shares for this long after its last request.
const ACTIVE: Duration = Duration::from_secs(10);

/// A workspace is over its share if its mean use is this multiple of an equal share. The mean
/// is taken over some seconds, since in calm times half of the workspaces are above an equal
/// share at any moment.
const OVER_MEAN: f64 = 1.25;
/// The same for its use at the moment, which catches a sudden surge.
const OVER_NOW: f64 = 2.0;
/// Weight of one refresh in the mean use: a time constant of 5 s at 250 ms.
const MEAN_WEIGHT: f64 = 0.05;
/// What is left of a peak after one refresh: a time constant of 60 s at 250 ms.
const PEAK_DECAY: f64 = 0.996;
/// Room kept beyond the peak; without it the others wait each time that they reach it.
const PEAK_MARGIN: f64 = 1.25;

/// How the use of one workspace and of the others developed.
#[derive(Clone, Copy, Debug, Default)]
struct Trend {
    mean: f64,
    others_peak: f64,
}

/// Work in flight of each workspace, the router's own and what peers told.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    own: BTreeMap<name::Workspace, u64>,
    peers: BTreeMap<name::Host, BTreeMap<name::Workspace, u64>>,
    fleet: BTreeMap<name::Workspace, u64>,
    sum: u64,
    active: BTreeMap<name::Workspace, Time>,
    trends: BTreeMap<name::Workspace, Trend>,
    means: f64,
}

impl Usage {
    /// Work of a workspace over the fleet.
    pub fn of(&self, workspace: &name::Workspace) -> u64 {
        self.fleet.get(workspace).copied().unwrap_or(0)
    }

    /// The router's own work by workspace.
    pub fn own(&self) -> BTreeMap<name::Workspace, Work> {
        let own = self.own.iter();
        own.map(|(workspace, work)| (workspace.clone(), Work(*work)))
            .collect()
    }

    /// Whether a workspace has well more than an equal share of the work in flight.
    pub fn over(&self, workspace: &name::Workspace) -> bool {
        let active = self.active.len() as u64;
        if active < 2 {
            return false;
        }
        let share = self.sum as f64 / active as f64;
        // Means are compared with means: a dip of the sum alone must not put everyone over.
        let mean = self.trends.get(workspace).map_or(0.0, |trend| trend.mean);
        mean > self.means / active as f64 * OVER_MEAN
            || self.of(workspace) as f64 > share * OVER_NOW
    }

    /// Work that a workspace over its share leaves free, so that the others find the room that
    /// they used at their recent peak, and some more; zero for a workspace within its share.
    pub fn reserve(&self, workspace: &name::Workspace) -> u64 {
        let Some(trend) = self.trends.get(workspace).filter(|_| self.over(workspace)) else {
            return 0;
        };
        let others = self.sum.saturating_sub(self.of(workspace));
        ((trend.others_peak * PEAK_MARGIN) as u64).saturating_sub(others)
    }

    /// Notes that a workspace is active.
    pub(crate) fn touch(&mut self, now: Time, workspace: &name::Workspace) {
        self.active.insert(workspace.clone(), now);
    }

    /// Changes the own work of a workspace.
    pub(crate) fn change(&mut self, workspace: &name::Workspace, add: Work, remove: Work) {
        let own = self.own.entry(workspace.clone()).or_default();
        *own = own.saturating_add(add.0).saturating_sub(remove.0);
        if *own == 0 {
            self.own.remove(workspace);
        }
        self.shift(workspace, add.0, remove.0);
    }

    /// Takes a peer's work in place of what it told last.
    pub(crate) fn peer(&mut self, now: Time, host: &name::Host, share: &Share) {
        self.drop_peer(host);
        let mut told = BTreeMap::new();
        for (workspace, work) in &share.running {
            // A router has at most a few hundred requests in flight for one workspace.
            let work = work.0.min(WORK_MAX << 8);
            self.shift(workspace, work, 0);
            self.touch(now, workspace);
            told.insert(workspace.clone(), work);
        }
        self.peers.insert(host.clone(), told);
    }

    /// Drops a peer's work.
    pub(crate) fn drop_peer(&mut self, host: &name::Host) {
        for (workspace, work) in self.peers.remove(host).unwrap_or_default() {
            self.shift(&workspace, 0, work);
        }
    }

    /// Drops workspaces that are no longer active.
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
        self.means = self.trends.values().map(|trend| trend.mean).sum();
    }

    fn shift(&mut self, workspace: &name::Workspace, add: u64, remove: u64) {
        let fleet = self.fleet.entry(workspace.clone()).or_default();
        *fleet = fleet.saturating_add(add).saturating_sub(remove);
        if *fleet == 0 {
            self.fleet.remove(workspace);
        }
        self.sum = self.sum.saturating_add(add).saturating_sub(remove);
    }
}
