//! Queues of workspaces and classes before the upstreams.
//!
//! Work starts in the order of weighted fair queueing. Between workspaces the one with the least
//! work in flight over the whole fleet for its weight goes first, so that a surge at any router
//! waits for itself; within a workspace the classes share by weight. See
//! `docs/design.md#admission`.

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

/// One in this many starts goes to the request that waits longest, whatever its share, so that
/// no queue starves.
const OLDEST_EVERY: u32 = 16;
/// Scale of the virtual time, so that small work over a large weight still counts.
const TAG_SCALE: u64 = 1 << 8;
/// Shortest time after which a refused caller is asked to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
/// Longest such time; the backlog may be gone by then for other reasons.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);
/// Such a time while the rate is not known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Requests that wait for the same upstreams under the same policy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Lane {
    /// The workspace.
    pub workspace: name::Workspace,
    /// The class.
    pub class: name::Class,
    /// What they wait for.
    pub target: Target,
}

#[derive(Clone, Debug, Default)]
struct Queue {
    tasks: VecDeque<Task>,
    tag: u64,
    weight: u32,
    work: u64,
}

/// What a workspace and class hold at this router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Requests.
    pub entries: u32,
    /// Bytes.
    pub bytes: u64,
}

/// Why a request cannot wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Full {
    /// The queue is at its bound.
    Queue(Duration),
    /// It would start after its deadline.
    Late(Duration),
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
    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }

    /// What each workspace and class hold.
    pub const fn counts(&self) -> &BTreeMap<(name::Workspace, name::Class), Count> {
        &self.counts
    }

    /// Work in flight by workspace, over the fleet.
    pub const fn usage(&self) -> &Usage {
        &self.usage
    }

    /// Lets the machine account for work that starts and ends.
    pub(crate) const fn usage_mut(&mut self) -> &mut Usage {
        &mut self.usage
    }

    /// Whether something waits for the target.
    pub fn waits(&self, target: &Target) -> bool {
        self.rates.get(target).is_some_and(|rate| rate.waiting > 0)
    }

    /// Work that waits, by workspace.
    pub fn waiting(&self) -> BTreeMap<name::Workspace, Work> {
        let mut waiting: BTreeMap<name::Workspace, Work> = BTreeMap::new();
        for (lane, queue) in &self.lanes {
            let work = waiting.entry(lane.workspace.clone()).or_default();
            work.0 = work.0.saturating_add(queue.work);
        }
        waiting
    }

    /// Why a request cannot wait, if so.
    pub(crate) fn refusal(&self, now: Time, task: &Task) -> Option<Full> {
        let lane = task.lane();
        if self.is_full(task) {
            return Some(Full::Queue(self.half_drained(now, &lane)));
        }
        let ahead = self.lanes.get(&lane).map_or(0, |queue| queue.work);
        let after = self.excess(now, &lane, ahead, task)?;
        (!task.terms.never_dropped).then_some(Full::Late(after))
    }

    /// Whether a request would exceed a bound of its queue.
    pub(crate) fn is_full(&self, task: &Task) -> bool {
        let count = self.count(&task.lane());
        let bytes = count.bytes.saturating_add(task.request.bytes);
        count.entries >= task.terms.entries || bytes > task.terms.bytes
    }

    /// Appends a request.
    pub(crate) fn push(&mut self, now: Time, task: Task) {
        self.insert(now, task.lane(), task, false);
    }

    /// Puts a request that had its turn back at the head.
    pub(crate) fn push_front(&mut self, now: Time, task: Task) {
        self.insert(now, task.lane(), task, true);
    }

    /// Forgets rates of targets that are no longer served, and takes out the requests that
    /// wait for them.
    pub(crate) fn stranded(&mut self, served: impl Fn(&Target) -> bool) -> Vec<Task> {
        self.rates
            .retain(|target, rate| rate.waiting > 0 || served(target));
        let mut found = Vec::new();
        for (lane, queue) in self.lanes.iter().filter(|(lane, _)| !served(&lane.target)) {
            let droppable = queue.tasks.iter().filter(|task| !task.terms.never_dropped);
            found.extend(droppable.map(|task| (lane.clone(), task.request.id)));
        }
        let taken = found.into_iter();
        taken
            .filter_map(|(lane, id)| self.remove(&lane, id))
            .collect()
    }

    /// The lane whose head starts next, apart from those that `skip` names.
    pub(crate) fn next(&self, skip: impl Fn(&Lane, &Task) -> bool) -> Option<Lane> {
        let heads: Vec<(&Lane, &Queue, &Task)> = self
            .lanes
            .iter()
            .filter_map(|(lane, queue)| Some((lane, queue, queue.tasks.front()?)))
            .filter(|(lane, _, head)| !skip(lane, head))
            .collect();
        if self.starts % OLDEST_EVERY == OLDEST_EVERY - 1 {
            let oldest = heads.iter().min_by_key(|(_, _, head)| head.since);
            return oldest.map(|(lane, _, _)| (*lane).clone());
        }
        let workspaces = heads.chunk_by(|left, right| left.0.workspace == right.0.workspace);
        let neediest = workspaces.min_by_key(|lanes| self.used(lanes))?;
        let first = neediest.iter().min_by_key(|(_, queue, _)| queue.tag);
        first.map(|(lane, _, _)| (*lane).clone())
    }

    /// The head of a lane.
    pub(crate) fn head(&self, lane: &Lane) -> Option<&Task> {
        self.lanes.get(lane)?.tasks.front()
    }

    /// Takes the head of a lane as it starts.
    pub(crate) fn start(&mut self, now: Time, lane: &Lane) -> Option<Task> {
        let queue = self.lanes.get_mut(lane)?;
        let work = Work::of(&queue.tasks.front()?.request, 0).0;
        self.clock = self.clock.max(queue.tag);
        let cost = work.saturating_mul(TAG_SCALE) / u64::from(queue.weight.max(1));
        queue.tag = queue.tag.saturating_add(cost);
        self.starts = self.starts.wrapping_add(1);
        if let Some(rate) = self.rates.get_mut(&lane.target) {
            rate.count(now, work);
        }
        self.take(lane, 0)
    }

    /// Takes a request out of its lane.
    pub(crate) fn remove(&mut self, lane: &Lane, id: Id) -> Option<Task> {
        let tasks = &self.lanes.get(lane)?.tasks;
        let index = tasks.iter().position(|task| task.request.id == id)?;
        self.take(lane, index)
    }

    /// Takes out the requests that can no longer start before their deadline, with the time
    /// after which their callers may come back.
    pub(crate) fn hopeless(&mut self, now: Time) -> Vec<(Task, Duration)> {
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
        let taken = found.into_iter().filter_map(|(lane, id, after)| {
            let task = self.remove(&lane, id)?;
            Some((task, after))
        });
        taken.collect()
    }

    /// Work in flight of the workspace of some lanes, for its weight.
    fn used(&self, lanes: &[(&Lane, &Queue, &Task)]) -> u64 {
        let weight = lanes.iter().map(|(_, queue, _)| queue.weight).max();
        let used = lanes
            .first()
            .map_or(0, |lane| self.usage.of(&lane.0.workspace));
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

    fn take(&mut self, lane: &Lane, index: usize) -> Option<Task> {
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

    /// Seconds until work at a position of a lane starts, if the rate is known.
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

    /// How long after now a request at a position would fit, if it cannot start in time.
    fn excess(&self, now: Time, lane: &Lane, ahead: u64, task: &Task) -> Option<Duration> {
        let slack = task.request.deadline.since(now).as_secs_f64();
        if slack <= 0.0 {
            return Some(RETRY_AFTER);
        }
        let wait = self.wait(now, lane, ahead)?;
        (wait > slack).then(|| bounded(wait - slack))
    }

    fn half_drained(&self, now: Time, lane: &Lane) -> Duration {
        let work = self.lanes.get(lane).map_or(0, |queue| queue.work);
        let wait = self.wait(now, lane, work / 2);
        wait.map_or(RETRY_AFTER, bounded)
    }
}

fn bounded(seconds: f64) -> Duration {
    let longest = RETRY_AFTER_MAX.as_secs_f64();
    Duration::from_secs_f64(seconds.clamp(RETRY_AFTER_MIN.as_secs_f64(), longest))
}
