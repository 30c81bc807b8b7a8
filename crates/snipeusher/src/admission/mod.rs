//! Request queues by workspace and class.
//!
//! Requests start in the order of weighted fair queueing. The workspace with the least work in
//! flight over the whole fleet, relative to its weight, goes first, so that a surge of one
//! workspace at any router delays only that workspace. Within a workspace the classes share by
//! weight. See `docs/design.md#admission`.

mod rate;
mod usage;

pub use rate::Rate;
pub use usage::Usage;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::load::Work;
use crate::name;
use crate::request::Id;
use crate::request::Target;
use crate::request::Task;
use crate::time::Time;

/// Interval, counted in started requests, at which the request that has waited longest starts
/// regardless of shares, so that no queue starves.
const OLDEST_EVERY: u32 = 16;
/// Scale of the virtual time, so that a small request of a large weight still advances it.
const TAG_SCALE: u64 = 1 << 8;
/// Shortest retry delay given to a refused caller.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
/// Longest retry delay given to a refused caller; the backlog may clear earlier for other
/// reasons.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);
/// Retry delay while the rate is not known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Identifies the queue of requests that wait for the same target under the same class.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Lane {
    /// The workspace.
    pub workspace: name::Workspace,
    /// The class.
    pub class: name::Class,
    /// The target that must serve them.
    pub target: Target,
}

#[derive(Clone, Debug, Default)]
struct Queue {
    tasks: VecDeque<Task>,
    /// Virtual start time of the next request.
    tag: u64,
    weight: u32,
    work: u64,
}

/// Size of the queues of a workspace and class at this router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Number of requests.
    pub entries: u32,
    /// Size of the requests in bytes.
    pub bytes: u64,
}

/// Why a request cannot be queued, with the delay after which the caller may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The queue has reached its limit.
    QueueFull(Duration),
    /// The request would start after its deadline.
    TooLate(Duration),
}

/// All queues of a router.
#[derive(Clone, Debug, Default)]
pub struct Queues {
    lanes: BTreeMap<Lane, Queue>,
    counts: BTreeMap<(name::Workspace, name::Class), Count>,
    rates: BTreeMap<Target, Rate>,
    usage: Usage,
    clock: u64,
    starts: u32,
}

impl Queues {
    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }

    /// Queue sizes by workspace and class.
    pub const fn counts(&self) -> &BTreeMap<(name::Workspace, name::Class), Count> {
        &self.counts
    }

    /// Work in flight of each workspace over the fleet.
    pub const fn usage(&self) -> &Usage {
        &self.usage
    }

    /// Mutable access, for the machine to account for work that starts and ends.
    pub(crate) const fn usage_mut(&mut self) -> &mut Usage {
        &mut self.usage
    }

    /// Returns whether a request waits for the target.
    pub fn has_waiting(&self, target: &Target) -> bool {
        self.rates.get(target).is_some_and(|rate| rate.waiting > 0)
    }

    /// Queued work by workspace.
    pub fn waiting(&self) -> BTreeMap<name::Workspace, Work> {
        let mut waiting: BTreeMap<name::Workspace, Work> = BTreeMap::new();
        for (lane, queue) in &self.lanes {
            let work = waiting.entry(lane.workspace.clone()).or_default();
            work.0 = work.0.saturating_add(queue.work);
        }
        waiting
    }

    /// Why a request cannot be queued; `None` if it can.
    pub(crate) fn refusal(&self, now: Time, task: &Task) -> Option<Refusal> {
        let lane = task.lane();
        if self.is_full(task) {
            return Some(Refusal::QueueFull(self.half_drained(now, &lane)));
        }
        let ahead = self.lanes.get(&lane).map_or(0, |queue| queue.work);
        let after = self.excess(now, &lane, ahead, task)?;
        (!task.terms.never_dropped).then_some(Refusal::TooLate(after))
    }

    /// Returns whether a request would exceed a limit of its queue.
    pub(crate) fn is_full(&self, task: &Task) -> bool {
        let count = self.count(&task.lane());
        let bytes = count.bytes.saturating_add(task.request.bytes);
        count.entries >= task.terms.entries || bytes > task.terms.bytes
    }

    /// Appends a request to its queue.
    pub(crate) fn push(&mut self, now: Time, task: Task) {
        self.insert(now, task.lane(), task, false);
    }

    /// Puts a request that had already started back at the head of its queue.
    pub(crate) fn push_front(&mut self, now: Time, task: Task) {
        self.insert(now, task.lane(), task, true);
    }

    /// Removes the rates of targets that are no longer served, and removes and returns the
    /// requests that wait for them.
    pub(crate) fn remove_unserved(&mut self, served: impl Fn(&Target) -> bool) -> Vec<Task> {
        self.rates
            .retain(|target, rate| rate.waiting > 0 || served(target));
        let mut found = Vec::new();
        for (lane, queue) in self.lanes.iter().filter(|(lane, _)| !served(&lane.target)) {
            let droppable = queue.tasks.iter().filter(|task| !task.terms.never_dropped);
            found.extend(droppable.map(|task| (lane.clone(), task.request.id)));
        }
        let removed = found.into_iter();
        removed
            .filter_map(|(lane, id)| self.remove(&lane, id))
            .collect()
    }

    /// The lane whose head starts next, leaving out those for which `skip` returns true.
    pub(crate) fn next(&self, skip: impl Fn(&Lane, &Task) -> bool) -> Option<Lane> {
        let heads: Vec<(&Lane, &Queue, &Task)> = self
            .lanes
            .iter()
            .filter_map(|(lane, queue)| Some((lane, queue, queue.tasks.front()?)))
            .filter(|(lane, _, head)| !skip(lane, head))
            .collect();
        if self.starts % OLDEST_EVERY == OLDEST_EVERY - 1 {
            let oldest = heads.iter().min_by_key(|(_, _, head)| head.arrived_at);
            return oldest.map(|(lane, _, _)| (*lane).clone());
        }
        let workspaces = heads.chunk_by(|left, right| left.0.workspace == right.0.workspace);
        let least_served = workspaces.min_by_key(|lanes| self.used(lanes))?;
        let first = least_served.iter().min_by_key(|(_, queue, _)| queue.tag);
        first.map(|(lane, _, _)| (*lane).clone())
    }

    /// The first request of a lane.
    pub(crate) fn head(&self, lane: &Lane) -> Option<&Task> {
        self.lanes.get(lane)?.tasks.front()
    }

    /// Removes and returns the head of a lane, and counts it as started.
    pub(crate) fn start_head(&mut self, now: Time, lane: &Lane) -> Option<Task> {
        let queue = self.lanes.get_mut(lane)?;
        let work = Work::of(&queue.tasks.front()?.request, 0).0;
        self.clock = self.clock.max(queue.tag);
        let cost = work.saturating_mul(TAG_SCALE) / u64::from(queue.weight.max(1));
        queue.tag = queue.tag.saturating_add(cost);
        self.starts = self.starts.wrapping_add(1);
        if let Some(rate) = self.rates.get_mut(&lane.target) {
            rate.count(now, work);
        }
        self.remove_at(lane, 0)
    }

    /// Removes a request from its lane.
    pub(crate) fn remove(&mut self, lane: &Lane, id: Id) -> Option<Task> {
        let tasks = &self.lanes.get(lane)?.tasks;
        let index = tasks.iter().position(|task| task.request.id == id)?;
        self.remove_at(lane, index)
    }

    /// Removes the requests that can no longer start before their deadline, and returns each
    /// with the delay after which its caller may retry.
    pub(crate) fn remove_late(&mut self, now: Time) -> Vec<(Task, Duration)> {
        for rate in self.rates.values_mut().filter(|rate| rate.waiting > 0) {
            rate.count(now, 0);
        }
        let mut found = Vec::new();
        for (lane, queue) in &self.lanes {
            let mut ahead = 0;
            for task in &queue.tasks {
                let after = self.excess(now, lane, ahead, task);
                match after.filter(|_| !task.terms.never_dropped) {
                    Some(after) => found.push((lane.clone(), task.request.id, after)),
                    None => ahead += Work::of(&task.request, 0).0,
                }
            }
        }
        let removed = found.into_iter().filter_map(|(lane, id, after)| {
            let task = self.remove(&lane, id)?;
            Some((task, after))
        });
        removed.collect()
    }

    /// Work in flight of the workspace of `lanes`, divided by its weight.
    fn used(&self, lanes: &[(&Lane, &Queue, &Task)]) -> u64 {
        let weight = lanes.iter().map(|(_, queue, _)| queue.weight).max();
        let used = lanes
            .first()
            .map_or(0, |lane| self.usage.total(&lane.0.workspace));
        used.saturating_mul(TAG_SCALE) / u64::from(weight.unwrap_or(1).max(1))
    }

    fn count(&self, lane: &Lane) -> Count {
        let key = (lane.workspace.clone(), lane.class.clone());
        self.counts.get(&key).copied().unwrap_or_default()
    }

    fn insert(&mut self, now: Time, lane: Lane, task: Task, front: bool) {
        let count = self
            .counts
            .entry((lane.workspace.clone(), lane.class.clone()))
            .or_default();
        count.entries += 1;
        count.bytes = count.bytes.saturating_add(task.request.bytes);
        let rate = self.rates.entry(lane.target.clone()).or_default();
        if rate.waiting == 0 {
            rate.begin(now);
        }
        rate.waiting += 1;
        let clock = self.clock;
        let queue = self.lanes.entry(lane).or_insert_with(|| Queue {
            tag: clock,
            ..Queue::default()
        });
        queue.weight = task.terms.weight;
        queue.work = queue.work.saturating_add(Work::of(&task.request, 0).0);
        if front {
            queue.tasks.push_front(task);
        } else {
            queue.tasks.push_back(task);
        }
    }

    fn remove_at(&mut self, lane: &Lane, index: usize) -> Option<Task> {
        let queue = self.lanes.get_mut(lane)?;
        let task = queue.tasks.remove(index)?;
        queue.work = queue.work.saturating_sub(Work::of(&task.request, 0).0);
        if queue.tasks.is_empty() {
            self.lanes.remove(lane);
        }
        if let Some(rate) = self.rates.get_mut(&lane.target) {
            rate.waiting = rate.waiting.saturating_sub(1);
        }
        let key = (lane.workspace.clone(), lane.class.clone());
        if let Some(count) = self.counts.get_mut(&key) {
            count.entries = count.entries.saturating_sub(1);
            count.bytes = count.bytes.saturating_sub(task.request.bytes);
            if count.entries == 0 {
                self.counts.remove(&key);
            }
        }
        Some(task)
    }

    /// Seconds until a request with `ahead` work before it in a lane starts; `None` while the
    /// rate is not known.
    fn wait(&self, now: Time, lane: &Lane, ahead: u64) -> Option<f64> {
        let rate = self.rates.get(&lane.target)?.per_s(now)?;
        let weight = |queue: &Queue| f64::from(queue.weight.max(1));
        let others: f64 = self
            .lanes
            .iter()
            .filter(|(other, _)| other.target == lane.target && *other != lane)
            .map(|(_, queue)| weight(queue))
            .sum();
        let own = self.lanes.get(lane).map_or(1.0, weight);
        Some(ahead as f64 / (rate * own / (own + others)).max(1.0))
    }

    /// The delay after which a request with `ahead` work before it could start in time; `None`
    /// if it can now.
    fn excess(&self, now: Time, lane: &Lane, ahead: u64, task: &Task) -> Option<Duration> {
        let slack = task.request.deadline.since(now).as_secs_f64();
        if slack <= 0.0 {
            return Some(RETRY_AFTER);
        }
        let wait = self.wait(now, lane, ahead)?;
        (wait > slack).then(|| retry_after(wait - slack))
    }

    /// The time until half of the work in a lane has started.
    fn half_drained(&self, now: Time, lane: &Lane) -> Duration {
        let work = self.lanes.get(lane).map_or(0, |queue| queue.work);
        let wait = self.wait(now, lane, work / 2);
        wait.map_or(RETRY_AFTER, retry_after)
    }
}

/// A retry delay within its limits.
fn retry_after(seconds: f64) -> Duration {
    let longest = RETRY_AFTER_MAX.as_secs_f64();
    Duration::from_secs_f64(seconds.clamp(RETRY_AFTER_MIN.as_secs_f64(), longest))
}
