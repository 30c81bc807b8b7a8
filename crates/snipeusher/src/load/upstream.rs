//! What is known of the load of one upstream.

use std::time::Duration;

use crate::name;
use crate::time::Time;

use super::History;
use super::Report;
use super::View;
use super::Work;

/// Highest work that a report or a peer may claim for one upstream.
///
/// An engine that runs 256 sequences of 32 k tokens has half of it outstanding.
pub const WORK_MAX: u64 = 1 << 24;
/// A report of this age still counts in full.
const FRESH: Duration = Duration::from_millis(1_500);
/// Beyond [`FRESH`], the weight of a report halves in this time.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// An engine that queues at less is given this much all the same, so that it is tried again.
const CAPACITY_MIN: u64 = 4 << 10;
/// Work beyond the point where an engine queues, as a fraction, so that a lagging report does
/// not leave it idle.
const CAPACITY_SLACK: f64 = 1.25;
/// A new engine reaches its full share in this time.
pub const SLOW_START: Duration = Duration::from_secs(10);
/// Share that a new engine gets at once.
const SLOW_START_MIN: f64 = 0.1;

/// A report as it was taken in.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// Its sequence number.
    pub sequence: u64,
    /// When the upstream read its load.
    pub read: Time,
    /// Work outstanding.
    pub work: u64,
    /// Own work at that time.
    pub own: u64,
    /// Peers' work at that time, as told.
    pub peers: u64,
}

/// What is known of the load of one upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The upstream.
    pub name: name::Upstream,
    /// Hash of the name for the rendezvous ranking.
    pub node: u64,
    /// Whether it is in the router's own zone.
    pub local: bool,
    /// Which run of the upstream is known.
    pub incarnation: name::Incarnation,
    /// Changes whenever all that was known of its cache becomes void.
    pub epoch: u32,
    /// Own work in flight.
    pub own: History,
    /// Peers' work in flight, as they told it.
    pub peers: History,
    /// Work for which this router granted slots to peers.
    pub granted: u64,
    /// The last report.
    pub report: Option<Reading>,
    /// Work beyond which the engine would only queue.
    pub capacity: u64,
    /// When it opened, while it still starts slowly.
    pub opened: Option<Time>,
    /// Whether it takes new work.
    pub open: bool,
    /// Whether it is ejected as an outlier.
    pub ejected: bool,
    /// When it last produced output.
    pub alive: Time,
    /// Indices of the pools that it serves.
    pub pools: Vec<u32>,
}

impl Upstream {
    /// Starts with nothing known of an upstream's load.
    pub fn new(name: name::Upstream, node: u64, capacity: u64) -> Self {
        Self {
            name,
            node,
            local: true,
            incarnation: name::Incarnation::default(),
            epoch: 0,
            own: History::default(),
            peers: History::default(),
            granted: 0,
            report: None,
            capacity: capacity.clamp(CAPACITY_MIN, WORK_MAX),
            opened: None,
            open: false,
            ejected: false,
            alive: Time::default(),
            pools: Vec::new(),
        }
    }

    /// Takes a report; false if it is from an earlier run or older than the last one.
    pub fn take(&mut self, now: Time, report: &Report) -> bool {
        let stale = self
            .report
            .is_some_and(|last| report.sequence <= last.sequence);
        if report.incarnation != self.incarnation || stale {
            return false;
        }
        let age = u64::from(report.age_ms).saturating_mul(1_000);
        let read = Time(now.0.saturating_sub(age));
        self.learn_capacity(report);
        self.report = Some(Reading {
            sequence: report.sequence,
            read,
            work: report.work.0,
            own: self.own.at(read),
            peers: self.peers_at(read),
        });
        true
    }

    /// Lowers the capacity after the upstream declined a request.
    pub fn declined(&mut self) {
        self.capacity = (self.capacity / 4 * 3).max(CAPACITY_MIN);
    }

    /// Forgets what only held for an earlier run.
    pub fn restart(&mut self, incarnation: name::Incarnation, capacity: u64) {
        self.incarnation = incarnation;
        self.epoch = self.epoch.wrapping_add(1);
        self.report = None;
        self.capacity = capacity.clamp(CAPACITY_MIN, WORK_MAX);
    }

    /// The weight of the last report at `now`, from one when fresh towards zero.
    pub fn freshness(&self, now: Time) -> f64 {
        let Some(seen) = self.report else {
            return 0.0;
        };
        let late = now.since(seen.read).saturating_sub(FRESH);
        (-late.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }

    /// The share of a full engine that it may get at `now`.
    pub fn factor(&self, now: Time) -> f64 {
        self.opened.map_or(1.0, |opened| {
            let share = now.since(opened).as_secs_f64() / SLOW_START.as_secs_f64();
            share.clamp(SLOW_START_MIN, 1.0)
        })
    }

    /// What is known at `now`; as the report ages, `typical` of the pool takes its place.
    ///
    /// A discount towards zero would make an engine whose reports stop look idle and draw work.
    pub fn view(&self, now: Time, typical: &View, routers: u32) -> View {
        let weight = self.freshness(now);
        let blend = |seen: u64, typical: Work| {
            Work((seen as f64 * weight + typical.0 as f64 * (1.0 - weight)) as u64)
        };
        let seen = self.report;
        View {
            reported: blend(seen.map_or(0, |seen| seen.work), typical.reported),
            own_reported: blend(seen.map_or(0, |seen| seen.own), typical.own_reported),
            peers_reported: blend(seen.map_or(0, |seen| seen.peers), typical.peers_reported),
            own: Work(self.own.get()),
            peers: Work(self.peers.get().max(self.granted)),
            routers,
        }
    }

    fn peers_at(&self, then: Time) -> u64 {
        self.peers.at(then)
    }

    fn learn_capacity(&mut self, report: &Report) {
        let work = report.work.0 as f64;
        let requests = f64::from(report.running) + f64::from(report.queued);
        let known = self.capacity as f64;
        let next = if report.queued > 0 {
            let knee = work * f64::from(report.running) / requests * CAPACITY_SLACK;
            known + (knee - known) / 4.0
        } else {
            // It queued nothing at this load, so it can take more.
            known.max(work * CAPACITY_SLACK)
        };
        self.capacity = (next as u64).clamp(CAPACITY_MIN, WORK_MAX);
    }
}
