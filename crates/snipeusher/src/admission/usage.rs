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

/// Work in flight of each workspace, the router's own and what peers told.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    own: BTreeMap<name::Workspace, u64>,
    peers: BTreeMap<name::Host, BTreeMap<name::Workspace, u64>>,
    fleet: BTreeMap<name::Workspace, u64>,
    sum: u64,
    active: BTreeMap<name::Workspace, Time>,
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

    /// Whether a workspace has more than an equal share of the work in flight.
    pub fn over(&self, workspace: &name::Workspace) -> bool {
        let active = self.active.len() as u64;
        active > 1 && self.of(workspace) > self.sum / active
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
