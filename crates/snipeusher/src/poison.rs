//! Requests and prompt parts that crash upstreams.
//!
//! A request that crashes its upstream takes the requests beside it along, and its repeat, or the
//! next one with the same prompt part, does so again at another upstream. No router sees enough of
//! them to tell the cause, so routers exchange the requests that were lost in crashes before their
//! answers had begun. A request or part is suspect if it was in several crashes one after the other
//! and in no successful answer since. Other parts may have come with a part each time, so what is
//! blocked is the combination of parts that these crashes have in common: a prompt with only some
//! of them is still sent. See `docs/platform.md#requests-that-crash-upstreams`.

mod cause;
mod report;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::name;
use crate::time::Time;

pub use self::report::Aged;
pub use self::report::Blocked;
pub use self::report::Cause;
pub use self::report::Crash;
pub use self::report::Loss;
pub use self::report::Part;
pub use self::report::Pattern;
pub use self::report::Report;

/// Time between updates of the blocks while nothing new is heard.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a lost request counts.
const RETENTION: Duration = Duration::from_mins(1);
/// Length of the first block of a combination of parts; each further one is twice as long.
const BLOCK_TIME: Duration = Duration::from_mins(1);
/// The same for one request. It is longer since nobody but its caller is refused meanwhile.
const REQUEST_BLOCK_TIME: Duration = Duration::from_mins(4);
const BLOCK_TIME_MAX: Duration = Duration::from_mins(16);
/// Time after its end for which a block is remembered: one crash is then enough for the next one.
const MEMORY: Duration = Duration::from_mins(30);
/// Maximum number of lost requests that are kept; the oldest are dropped first.
const LOSSES_MAX: usize = 512;
/// Maximum number of blocked combinations; further ones are not blocked.
const BLOCKS_MAX: usize = 64;
/// Time for which lost requests and successful answers are told to peers. Each router passes on
/// what it hears, so all have heard of it by then.
const REPORTED_FOR: Duration = Duration::from_secs(10);
/// Lost requests, served parts and blocks of one report to a peer.
const REPORTED_MAX: usize = 24;

#[derive(Clone, Copy, Debug)]
struct Seen {
    at: Time,
    /// Successful answers of the service that this router had seen before.
    answers_before: u64,
}

#[derive(Clone, Copy, Debug)]
struct Block {
    since: Time,
    until: Time,
    count: u32,
}

/// Crashes that routers know of, and the requests and combinations of prompt parts that are blocked
/// for them.
#[derive(Clone, Debug)]
pub struct Tracker {
    /// Fraction by which this router's blocks last longer, so that not all routers end theirs, and
    /// send requests to try, at the same time.
    jitter: f64,
    losses: BTreeMap<Loss, Seen>,
    /// When parts of lost requests were last in a successful answer.
    served: BTreeMap<Part, Time>,
    blocked: BTreeMap<Cause, Block>,
    /// Successful answers by service.
    answers: BTreeMap<name::Service, u64>,
    updates: u64,
    /// When the blocks were last brought up to date, and with which news.
    updated_at: Time,
    updates_checked: u64,
}

impl Tracker {
    /// Knows of no crash. `random` decides how long blocks last.
    pub fn new(random: u64) -> Self {
        Self {
            jitter: random as f64 / u64::MAX as f64,
            losses: BTreeMap::new(),
            served: BTreeMap::new(),
            blocked: BTreeMap::new(),
            answers: BTreeMap::new(),
            updates: 0,
            updated_at: Time::default(),
            updates_checked: 0,
        }
    }

    /// A number that grows with whatever peers should hear of at once.
    pub const fn updates(&self) -> u64 {
        self.updates
    }

    /// Records requests that were lost in a crash; returns what is newly blocked.
    pub fn record_losses(
        &mut self,
        now: Time,
        losses: impl IntoIterator<Item = Loss>,
    ) -> Vec<Cause> {
        for loss in losses {
            self.insert(now, loss);
        }
        self.update(now)
    }

    /// Records a successful answer to a request with these shared parts and fingerprint.
    pub fn record_served(
        &mut self,
        now: Time,
        service: &name::Service,
        ids: impl IntoIterator<Item = u64>,
    ) {
        match self.answers.get_mut(service) {
            Some(count) => *count += 1,
            None => {
                self.answers.insert(service.clone(), 1);
            }
        }
        if self.losses.is_empty() && self.blocked.is_empty() {
            return;
        }
        for id in ids {
            let part = Part {
                service: service.clone(),
                id,
            };
            if self.is_suspect(&part) {
                self.insert_served(now, part);
            }
        }
    }

    /// For how much longer requests with these shared parts and fingerprint are blocked; `None` if
    /// they are not.
    pub fn blocked_for(
        &self,
        now: Time,
        service: &name::Service,
        ids: impl IntoIterator<Item = u64>,
    ) -> Option<Duration> {
        if self.blocked.is_empty() {
            return None;
        }
        let ids: Vec<u64> = ids.into_iter().collect();
        let blocked = self.blocked.iter();
        let found = blocked.filter(|(cause, _)| cause.is_in(service, &ids));
        let until = found.map(|(_, block)| block.until).max()?;
        (now < until).then(|| until.since(now))
    }

    /// Whether requests are known to have been lost in a crash.
    pub fn is_known(&self, crash: Crash) -> bool {
        self.losses.keys().any(|loss| loss.crash == crash)
    }

    /// The blocked requests and combinations of parts.
    pub fn blocked(&self, now: Time) -> impl Iterator<Item = &Cause> {
        let blocked = self.blocked.iter();
        let active = blocked.filter(move |(_, block)| now < block.until);
        active.map(|(cause, _)| cause)
    }

    /// What peers have to know, the newest first.
    pub fn report(&self, now: Time) -> Report {
        let explained = self.explained_crashes();
        let losses = self.losses.iter();
        let losses = losses.filter(|(loss, _)| !explained.contains(&loss.crash));
        let losses = losses.map(|(loss, seen)| (seen.at, loss));
        let losses = losses.filter(|(at, _)| now.since(*at) < REPORTED_FOR);
        let served = self.served.iter().map(|(part, at)| (*at, part));
        let served = served.filter(|(at, _)| now.since(*at) < REPORTED_FOR);
        let blocked = self.blocked.iter();
        let blocked = blocked.filter(|(_, block)| now < block.until);
        let blocked = blocked.map(|(cause, block)| (block.since, (cause, block.count)));
        Report {
            losses: newest(now, losses, Loss::clone),
            served: newest(now, served, Part::clone),
            blocked: newest(now, blocked, |(cause, count)| Blocked {
                cause: cause.clone(),
                count,
            }),
        }
    }

    /// Applies what a peer knows; returns what is newly blocked.
    pub fn merge(&mut self, now: Time, report: &Report) -> Vec<Cause> {
        if report.is_empty() {
            return Vec::new();
        }
        for loss in &report.losses {
            self.insert(loss.at(now), loss.event.clone());
        }
        for served in &report.served {
            let (part, at) = (&served.event, served.at(now));
            if self.is_suspect(part) && self.served.get(part).is_none_or(|known| *known < at) {
                self.insert_served(at, part.clone());
            }
        }
        let mut adopted = Vec::new();
        for blocked in &report.blocked {
            if self.adopt(blocked.at(now), &blocked.event) {
                adopted.push(blocked.event.cause.clone());
            }
        }
        adopted.extend(self.update(now));
        adopted
    }

    fn insert(&mut self, at: Time, loss: Loss) {
        if self.losses.contains_key(&loss) {
            return;
        }
        let answers_before = self.answer_count(&loss.service);
        self.losses.insert(loss, Seen { at, answers_before });
        self.updates += 1;
        if self.losses.len() > LOSSES_MAX {
            let oldest = self.losses.iter().min_by_key(|(_, seen)| seen.at);
            let oldest = oldest.map(|(loss, _)| loss.clone());
            oldest.and_then(|oldest| self.losses.remove(&oldest));
        }
    }

    /// Records that a part was in a successful answer. A block ends when all its parts were since.
    fn insert_served(&mut self, at: Time, part: Part) {
        self.updates += u64::from(!self.served.contains_key(&part));
        self.served.insert(part, at);
        let served = &self.served;
        self.blocked
            .retain(|cause, block| !is_served(served, cause, block.since));
    }

    /// Adopts a peer's block, unless it is known or all its parts have been served since.
    fn adopt(&mut self, since: Time, blocked: &Blocked) -> bool {
        let known = self.blocked.get(&blocked.cause);
        let is_known = known.is_some_and(|known| known.count >= blocked.count);
        !is_known
            && !is_served(&self.served, &blocked.cause, since)
            && self.block(since, blocked.cause.clone(), blocked.count)
    }

    /// Blocks what explains the known losses. Without an update, only time can make a difference.
    fn update(&mut self, now: Time) -> Vec<Cause> {
        let is_due = now.since(self.updated_at) >= UPDATE_INTERVAL;
        if self.updates_checked == self.updates && !is_due {
            return Vec::new();
        }
        self.expire(now);
        let mut blocked = Vec::new();
        while let Some(cause) = self.find_cause(now) {
            let count = self.blocked.get(&cause).map_or(0, |block| block.count);
            let count = count.saturating_add(1);
            if !self.block(now, cause.clone(), count) {
                break;
            }
            blocked.push(cause);
        }
        self.updated_at = now;
        self.updates_checked = self.updates;
        blocked
    }

    fn block(&mut self, since: Time, cause: Cause, count: u32) -> bool {
        if self.blocked.len() >= BLOCKS_MAX && !self.blocked.contains_key(&cause) {
            return false;
        }
        let length = if cause.is_request() {
            REQUEST_BLOCK_TIME
        } else {
            BLOCK_TIME
        };
        let length = length * (1 << (count.max(1) - 1).min(8));
        let length = length.min(BLOCK_TIME_MAX).mul_f64(1.0 + self.jitter);
        let block = Block {
            since,
            until: since + length,
            count,
        };
        self.blocked.insert(cause, block);
        self.updates += 1;
        true
    }

    /// Whether a block that has not ended by then accounts for a loss.
    fn is_explained(&self, loss: &Loss, seen: &Seen) -> bool {
        let mut blocked = self.blocked.iter();
        blocked.any(|(cause, block)| seen.at < block.until && cause.explains(loss))
    }

    /// The same for blocks of prompt parts.
    fn is_explained_by_parts(&self, loss: &Loss, seen: &Seen) -> bool {
        let mut blocked = self.blocked.iter();
        blocked.any(|(cause, block)| {
            seen.at < block.until && cause.explains(loss) && !cause.is_request()
        })
    }

    fn was_served_after(&self, part: &Part, at: Time) -> bool {
        self.served.get(part).is_some_and(|served| *served >= at)
    }

    /// Whether news of a part or request matters: it was in a crash or is blocked.
    fn is_suspect(&self, part: &Part) -> bool {
        let is_in = |service: &name::Service| *service == part.service;
        let mut losses = self.losses.keys();
        let mut causes = self.blocked.keys();
        losses.any(|loss| is_in(&loss.service) && loss.ids().any(|id| id == part.id))
            || causes.any(|cause| is_in(&cause.service) && cause.ids().contains(&part.id))
    }

    fn answer_count(&self, service: &name::Service) -> u64 {
        self.answers.get(service).copied().unwrap_or_default()
    }

    fn expire(&mut self, now: Time) {
        self.losses.retain(|_, seen| now.since(seen.at) < RETENTION);
        self.served.retain(|_, at| now.since(*at) < RETENTION);
        self.blocked
            .retain(|_, block| now.since(block.until) < MEMORY);
    }
}

/// Whether all parts of a combination were in successful answers after a time.
fn is_served(served: &BTreeMap<Part, Time>, cause: &Cause, since: Time) -> bool {
    let mut parts = cause.parts();
    parts.all(|part| served.get(&part).is_some_and(|at| *at > since))
}

/// The newest events, for a report.
fn newest<T, U>(
    now: Time,
    events: impl Iterator<Item = (Time, T)>,
    to_event: impl Fn(T) -> U,
) -> Vec<Aged<U>> {
    let mut events: Vec<(Time, T)> = events.collect();
    events.sort_by_key(|(at, _)| Reverse(*at));
    events.truncate(REPORTED_MAX);
    let events = events.into_iter();
    events
        .map(|(at, event)| Aged {
            event: to_event(event),
            age_ms: now.since(at).as_millis() as u64,
        })
        .collect()
}
