//! The load state of one upstream.

use std::time::Duration;

use crate::name;
use crate::time::Time;

use super::History;
use super::Report;
use super::View;
use super::Work;

/// Highest work that a report or a peer may state for one upstream.
///
/// An engine that runs 256 sequences of 32 k tokens has half of this outstanding.
pub const WORK_MAX: u64 = 1 << 24;
/// Age up to which a report counts in full.
const FRESH: Duration = Duration::from_millis(1_500);
/// Beyond [`FRESH`], the weight of a report halves in this time.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Lowest capacity, even of an engine that queues at less, so that it still gets work and its
/// capacity can grow again.
const CAPACITY_MIN: u64 = 4 << 10;
/// Capacity as a multiple of the work at which an engine begins to queue, so that the lag of
/// reports does not leave it idle.
const CAPACITY_SLACK: f64 = 1.25;
/// Time in which a new engine reaches its full share.
pub const SLOW_START: Duration = Duration::from_secs(10);
/// Share of a new engine at the beginning of its slow start.
const SLOW_START_MIN: f64 = 0.1;

/// A load report, with the work that was known of when the upstream read its load.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// Sequence number of the report.
    pub sequence: u64,
    /// When the upstream read its load.
    pub read_at: Time,
    /// Work outstanding at the upstream.
    pub work: u64,
    /// The router's own work at that time.
    pub own: u64,
    /// The peers' announced work at that time.
    pub peers: u64,
}

/// The load state of one upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: name::Upstream,
    /// Hash of the name for rendezvous hashing.
    pub node: u64,
    /// Whether it is in the router's own zone.
    pub local: bool,
    /// Last known incarnation.
    pub incarnation: name::Incarnation,
    /// Changes whenever everything known about the upstream's cache becomes invalid.
    pub epoch: u32,
    /// The router's own work in flight.
    pub own: History,
    /// The peers' work in flight, as they announced it.
    pub peers: History,
    /// Work for which this router granted slots to peers.
    pub granted: u64,
    /// The last report.
    pub report: Option<Reading>,
    /// Work beyond which further requests would only queue at the upstream.
    pub capacity: u64,
    /// Start of its slow start; `None` if it had none.
    pub opened: Option<Time>,
    /// Whether it accepts new work.
    pub open: bool,
    /// Whether it is ejected as an outlier.
    pub ejected: bool,
    /// When it last produced output.
    pub last_output: Time,
    /// Indices of the pools that it belongs to.
    pub pools: Vec<u32>,
}

impl Upstream {
    /// Creates the state of an upstream without reports or work.
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
            last_output: Time::default(),
            pools: Vec::new(),
        }
    }

    /// Records a report; returns false if it is from another incarnation or not newer than the
    /// last one.
    pub fn record(&mut self, now: Time, report: &Report) -> bool {
        let stale = self
            .report
            .is_some_and(|last| report.sequence <= last.sequence);
        if report.incarnation != self.incarnation || stale {
            return false;
        }
        let age = u64::from(report.age_ms).saturating_mul(1_000);
        let read_at = Time(now.0.saturating_sub(age));
        self.update_capacity(report);
        self.report = Some(Reading {
            sequence: report.sequence,
            read_at,
            work: report.work.0,
            own: self.own.at(read_at),
            peers: self.peers_at(read_at),
        });
        true
    }

    /// Lowers the capacity after the upstream declined a request.
    pub fn lower_capacity(&mut self) {
        self.capacity = (self.capacity / 4 * 3).max(CAPACITY_MIN);
    }

    /// Resets what was known of an earlier incarnation.
    pub fn restart(&mut self, incarnation: name::Incarnation, capacity: u64) {
        self.incarnation = incarnation;
        self.epoch = self.epoch.wrapping_add(1);
        self.report = None;
        self.capacity = capacity.clamp(CAPACITY_MIN, WORK_MAX);
    }

    /// The weight of the last report at `now`: one while it is fresh, then falling towards zero.
    pub fn freshness(&self, now: Time) -> f64 {
        let Some(reading) = self.report else {
            return 0.0;
        };
        let stale_for = now.since(reading.read_at).saturating_sub(FRESH);
        (-stale_for.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }

    /// The fraction of a full share that the upstream may get at `now`; below one during slow
    /// start.
    pub fn factor(&self, now: Time) -> f64 {
        self.opened.map_or(1.0, |opened| {
            let share = now.since(opened).as_secs_f64() / SLOW_START.as_secs_f64();
            share.clamp(SLOW_START_MIN, 1.0)
        })
    }

    /// The load as known at `now`; as the report ages, the pool's `typical` load replaces it.
    ///
    /// If the report were discounted towards zero, an engine whose reports stop would look idle
    /// and attract work.
    pub fn view(&self, now: Time, typical: &View, routers: u32) -> View {
        let weight = self.freshness(now);
        let blend = |reported: u64, typical: Work| {
            Work((reported as f64 * weight + typical.0 as f64 * (1.0 - weight)) as u64)
        };
        let report = self.report;
        View {
            reported: blend(report.map_or(0, |report| report.work), typical.reported),
            own_reported: blend(report.map_or(0, |report| report.own), typical.own_reported),
            peers_reported: blend(
                report.map_or(0, |report| report.peers),
                typical.peers_reported,
            ),
            own: Work(self.own.get()),
            peers: Work(self.peers.get().max(self.granted)),
            routers,
        }
    }

    fn peers_at(&self, then: Time) -> u64 {
        self.peers.at(then)
    }

    fn update_capacity(&mut self, report: &Report) {
        let work = report.work.0 as f64;
        let requests = f64::from(report.running) + f64::from(report.queued);
        let known = self.capacity as f64;
        let next = if report.queued > 0 {
            let knee = work * f64::from(report.running) / requests * CAPACITY_SLACK;
            known + (knee - known) / 4.0
        } else {
            // Nothing was queued at this load, so the capacity is at least as high.
            known.max(work * CAPACITY_SLACK)
        };
        self.capacity = (next as u64).clamp(CAPACITY_MIN, WORK_MAX);
    }
}
