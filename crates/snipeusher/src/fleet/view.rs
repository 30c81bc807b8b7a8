//! What one router believes of all upstreams.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::Ask;
use super::Bounds;
use super::Budget;
use super::Decision;
use super::Delta;
use super::Entry;
use super::Observation;
use super::Outcome;
use super::Report;
use super::Roster;
use super::cell::Cell;
use super::choice;
use super::zone::Zone;
use crate::kv::Revision;
use crate::name;
use crate::time::Time;

/// Requests at one upstream that each router may have, however many routers share its
/// connections: most have none at a moment.
const SHARE_MIN: u32 = 2;
/// Observations that a digest holds.
const OBSERVATIONS_MAX: usize = 40;

/// What a router's beliefs depend on besides events.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The router's availability zone.
    pub zone: name::Zone,
    /// Repeats that the fleet may send to a service.
    pub repeats: Bounds,
}

/// What one router believes of all upstreams.
#[derive(Debug)]
pub struct Fleet {
    settings: Settings,
    roster: Roster,
    cells: Vec<Cell>,
    slots: BTreeMap<name::Upstream, usize>,
    ready: BTreeMap<name::Service, Vec<usize>>,
    /// When a lapsed entry expires next.
    refresh_at: Option<Time>,
    budgets: BTreeMap<name::Service, Budget>,
    zones: BTreeMap<name::Zone, Zone>,
    routers: usize,
}

impl Fleet {
    /// Starts with nothing known.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            roster: Roster::default(),
            cells: Vec::new(),
            slots: BTreeMap::new(),
            ready: BTreeMap::new(),
            refresh_at: None,
            budgets: BTreeMap::new(),
            zones: BTreeMap::new(),
            routers: 1,
        }
    }

    /// The upstreams as the store lists them.
    pub const fn roster(&self) -> &Roster {
        &self.roster
    }

    /// What is believed of an upstream.
    pub fn cell(&self, id: &name::Upstream) -> Option<&Cell> {
        self.slots.get(id).map(|slot| &self.cells[*slot])
    }

    /// All upstreams that something is believed of.
    pub fn cells(&self) -> &[Cell] {
        &self.cells
    }

    /// Sets how many routers share the slack of the repeats.
    pub const fn set_routers(&mut self, routers: usize) {
        self.routers = routers;
    }

    /// The store cannot be reached.
    pub fn store_lost(&mut self) {
        self.roster.store_lost();
    }

    /// The store answers again; `was_down` unless it answered others all the while.
    pub fn store_found(&mut self, now: Time, was_down: bool) {
        self.roster.store_found(now, was_down);
    }

    /// Takes an entry of the store.
    pub fn put(&mut self, now: Time, entry: Entry) {
        self.roster.put(entry);
        self.refresh(now);
    }

    /// Takes the removal of an entry of the store.
    pub fn remove(&mut self, now: Time, id: &name::Upstream, revision: Revision) {
        self.roster.remove(now, id, revision);
        self.refresh(now);
    }

    /// Notes that all changes of the store up to a revision are known.
    pub fn reached(&mut self, revision: Revision) {
        self.roster.reached(revision);
    }

    /// Takes the complete list of the store's entries.
    pub fn list(&mut self, now: Time, revision: Revision, entries: Vec<Entry>) {
        self.roster.list(now, revision, entries);
        self.refresh(now);
    }

    /// Takes the store's entries as a peer knows them.
    pub fn merge(&mut self, now: Time, delta: Delta) {
        self.roster.merge(now, delta);
        self.refresh(now);
    }

    /// Takes what a peer observed.
    pub fn observe(&mut self, now: Time, observations: &[Observation]) {
        for observation in observations {
            if let Some(cell) = self.cell_mut(&observation.upstream) {
                let age = u64::from(observation.age_ms) * 1_000;
                let at = Time(now.0.saturating_sub(age));
                cell.load.observe(at, observation.load);
            }
        }
    }

    /// The newest observations, for peers.
    pub fn observations(&self, now: Time) -> Vec<Observation> {
        let seen = self.cells.iter().filter_map(|cell| {
            let (age, load) = cell.load.observed(now)?;
            Some(Observation {
                upstream: cell.entry.id.clone(),
                load,
                age_ms: age.as_millis() as u32,
            })
        });
        let mut observations: Vec<Observation> = seen.collect();
        observations.sort_unstable_by_key(|observation| observation.age_ms);
        observations.truncate(OBSERVATIONS_MAX);
        observations
    }

    /// Counts a caller's request to a service.
    pub fn request(&mut self, now: Time, service: &name::Service) {
        self.budget(service).request(now);
    }

    /// Chooses an upstream for a request.
    pub fn choose(&mut self, now: Time, ask: &Ask<'_>) -> Decision {
        if self.refresh_at.is_some_and(|at| at <= now) {
            self.refresh(now);
        }
        self.count_silent(now);
        let ready = self.ready.get(ask.service).map_or(&[][..], Vec::as_slice);
        let is_dark = |zone: &name::Zone| self.zones.get(zone).is_some_and(Zone::is_dark);
        let share = self.share(ask.connections).max(SHARE_MIN);
        choice::choose(now, &self.cells, ready, is_dark, share, ask)
    }

    /// This router's share of the connections that one upstream accepts from all routers; zero
    /// where there are more routers than connections.
    ///
    /// Upstreams reset what is beyond, and a request that was sent on it may have run.
    pub fn share(&self, connections: u32) -> u32 {
        if connections == 0 {
            return u32::MAX;
        }
        let routers = u32::try_from(self.routers).unwrap_or(u32::MAX);
        connections / routers.max(1)
    }

    /// Upstreams to which a connection is to be tried now, since requests avoid them.
    pub fn due(&mut self, now: Time) -> Vec<(name::Upstream, SocketAddr)> {
        let mut due = Vec::new();
        for cell in &mut self.cells {
            let zone = self.zones.get_mut(&cell.entry.zone);
            let is_dark = zone.is_some_and(|zone| zone.take_due(now));
            if is_dark || cell.health.is_due(now) {
                due.push((cell.entry.id.clone(), cell.entry.address));
            }
        }
        due
    }

    /// Takes whether a connection to an upstream could be opened; true if that is news.
    pub fn tried(&mut self, now: Time, id: &name::Upstream, is_reached: bool) -> bool {
        let Some(cell) = self.cell_mut(id) else {
            return false;
        };
        if is_reached {
            let was_aside = cell.health.is_due(now);
            cell.health.reached();
            let zone = cell.entry.zone.clone();
            let zone = self.zones.entry(zone).or_default();
            let was_dark = zone.is_dark();
            zone.heard();
            return was_aside || was_dark;
        }
        if cell.health.is_due(now) {
            cell.health.unreached(now);
        }
        false
    }

    /// An upstream said something.
    pub fn heard(&mut self, now: Time, id: &name::Upstream) {
        let Some(cell) = self.cell_mut(id) else {
            return;
        };
        cell.heard(now);
        let zone = cell.entry.zone.clone();
        if let Some(zone) = self.zones.get_mut(&zone) {
            zone.heard();
        }
    }

    /// Counts upstreams that fell silent against their availability zones, each once.
    fn count_silent(&mut self, now: Time) {
        for cell in &mut self.cells {
            if !cell.is_counted && cell.is_silent(now) {
                cell.is_counted = true;
                self.zones
                    .entry(cell.entry.zone.clone())
                    .or_default()
                    .lost();
            }
        }
    }

    /// Whether an upstream may get new work.
    pub fn is_ready(&self, now: Time, id: &name::Upstream) -> bool {
        self.roster.is_ready(now, id)
    }

    /// Takes one repeat from the budget of a service; false if it is used up.
    pub fn repeat(&mut self, now: Time, service: &name::Service) -> bool {
        let bounds = self.settings.repeats;
        let routers = self.routers;
        self.budget(service).repeat(now, &bounds, routers)
    }

    /// How many routers share the slack of the repeats.
    pub const fn routers(&self) -> usize {
        self.routers
    }

    /// Whole repeats that this router may still send at `now`, by service.
    pub fn repeats_left(&mut self, now: Time) -> Vec<(name::Service, u32)> {
        let (bounds, routers) = (self.settings.repeats, self.routers);
        let budgets = self.budgets.iter_mut();
        let left = budgets.map(|(service, budget)| {
            let left = budget.left(now, &bounds, routers);
            (service.clone(), left as u32)
        });
        left.collect()
    }

    /// Whether another upstream would take a request that waits at one, within the budget.
    pub fn has_alternative(&mut self, now: Time, ask: &Ask<'_>) -> bool {
        let ready = self.ready.get(ask.service).map_or(&[][..], Vec::as_slice);
        let cells = ready.iter().map(|slot| &self.cells[*slot]);
        let mut others = cells.filter(|cell| !ask.tried.contains(&cell.entry.id));
        let bounds = self.settings.repeats;
        let routers = self.routers;
        others.any(|cell| cell.health.is_open(now))
            && self.budget(ask.service).allows(now, &bounds, routers)
    }

    /// Counts a request that is sent to an upstream.
    pub fn start(&mut self, now: Time, id: &name::Upstream) {
        if let Some(cell) = self.cell_mut(id) {
            cell.load.start();
            cell.health.start();
            cell.silent.get_or_insert(now);
        }
    }

    /// Takes the load that an upstream states.
    pub fn report(&mut self, now: Time, id: &name::Upstream, report: Report) {
        if let Some(cell) = self.cell_mut(id) {
            let load = report.running.saturating_add(report.waiting);
            cell.load.observe(now, load);
        }
    }

    /// Counts the end of a request at an upstream; true if the upstream is set aside for it.
    pub fn end(&mut self, now: Time, id: &name::Upstream, outcome: Outcome) -> bool {
        let usual = self.usual_failures(id);
        let Some(cell) = self.cell_mut(id) else {
            return false;
        };
        cell.load.end();
        if cell.load.own() == 0 {
            cell.silent = None;
        }
        let set_aside = cell.health.end(now, outcome, usual);
        if outcome == Outcome::Unreachable {
            let zone = cell.entry.zone.clone();
            self.zones.entry(zone).or_default().lost();
        }
        set_aside
    }

    /// The share of failures over the other upstreams of the same service.
    fn usual_failures(&self, id: &name::Upstream) -> f64 {
        let Some(service) = self.cell(id).map(|cell| &cell.entry.service) else {
            return 0.0;
        };
        let slots = self.ready.get(service).map_or(&[][..], Vec::as_slice);
        let others = slots.iter().map(|slot| &self.cells[*slot]);
        let others = others.filter(|cell| cell.entry.id != *id && !cell.health.is_aside());
        let (sum, count) = others.fold((0.0, 0_u32), |(sum, count), cell| {
            (sum + cell.health.failures(), count + 1)
        });
        sum / f64::from(count.max(1))
    }

    fn budget(&mut self, service: &name::Service) -> &mut Budget {
        if !self.budgets.contains_key(service) {
            self.budgets.insert(service.clone(), Budget::default());
        }
        self.budgets.entry(service.clone()).or_default()
    }

    fn cell_mut(&mut self, id: &name::Upstream) -> Option<&mut Cell> {
        let slot = *self.slots.get(id)?;
        Some(&mut self.cells[slot])
    }

    /// Brings the cells in line with the roster.
    fn refresh(&mut self, now: Time) {
        self.roster.expire(now);
        self.refresh_at = self.roster.next_expiry();
        let roster = &self.roster;
        // A cell with requests in flight stays until they have ended.
        self.cells
            .retain(|cell| roster.get(&cell.entry.id).is_some() || cell.load.own() > 0);
        self.slots = (0..)
            .zip(&self.cells)
            .map(|(slot, cell)| (cell.entry.id.clone(), slot))
            .collect();
        for entry in roster.entries() {
            if let Some(slot) = self.slots.get(&entry.id) {
                self.cells[*slot].update(entry.clone(), &self.settings.zone);
            } else {
                self.slots.insert(entry.id.clone(), self.cells.len());
                self.cells
                    .push(Cell::new(entry.clone(), &self.settings.zone));
            }
        }
        self.ready.clear();
        for entry in roster.ready(now) {
            let slots = self.ready.entry(entry.service.clone()).or_default();
            slots.extend(self.slots.get(&entry.id));
        }
    }
}
