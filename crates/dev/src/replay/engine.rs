//! A simulated upstream: continuous batching, modelled as a service rate shared by weight.
//!
//! Work in the prefill phase has a higher weight than work in the decode phase. A virtual clock
//! advances by the work done per unit of weight, so the first token and the end of each request are
//! fixed points on it and need no update when other requests start or end.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use snipeusher::load::OUTPUT_TOKEN_WORK;
use snipeusher::name;
use snipeusher::prefix;
use snipeusher::request::Attempt;
use snipeusher::request::Chat;
use snipeusher::time::Time;
use snipeusher::upstream::Phase;

use super::cache::Cache;

/// Weight of a request in its prefill phase, relative to one that decodes.
pub const PREFILL_WEIGHT: f64 = 16.0;
/// Maximum work per second of one decoding request: 50 tokens a second.
pub const DECODE_WORK_PER_S: f64 = 200.0;
/// Maximum queue length; further requests are declined.
const QUEUE_LIMIT: usize = 256;

/// An attempt sent to an upstream.
#[derive(Clone, Debug)]
pub struct Job {
    /// Attempt ID, unique in the fleet.
    pub attempt: Attempt,
    /// Index of the router that sent it.
    pub router: usize,
    /// Index of the request in the trace.
    pub request: usize,
    /// The chat, if any.
    pub chat: Option<Chat>,
    /// Length of the prompt in tokens.
    pub prompt: u64,
    /// Length of the output in tokens.
    pub output: u64,
    /// Priority; higher values run first.
    pub priority: u8,
    /// Time at which the router sent it.
    pub sent: Time,
    /// Work counted towards the engine's load while the attempt is in transit.
    pub work: u64,
}

/// The first token or the end of an attempt.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Time of the first token or the end.
    pub at: Time,
    /// Time at which the engine started the attempt.
    pub started: Time,
    /// The attempt.
    pub job: Job,
    /// Prompt tokens found in the cache.
    pub cached: u64,
    /// Whether this is the end rather than the first token.
    pub ended: bool,
}

#[derive(Clone, Debug)]
struct Running {
    job: Job,
    cached: u64,
    first_token: f64,
    end: f64,
    decoding: bool,
    started: Time,
}

/// A simulated upstream.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Name.
    pub name: name::Upstream,
    /// Index of the zone.
    pub zone: usize,
    /// Whether it is an instance of the plain service.
    pub plain: bool,
    /// Life-cycle phase.
    pub phase: Phase,
    /// Incarnation; increments with each restart.
    pub incarnation: u64,
    /// Work of attempts in transit to it.
    pub transit: u64,
    /// Prefix cache.
    pub cache: Cache,
    /// Published cache changes of this incarnation.
    pub cache_log: Vec<prefix::Change>,
    rate: f64,
    slots: usize,
    clock: f64,
    updated: Time,
    weight: f64,
    // Outstanding work is `constant - clock * weight + queued`.
    constant: f64,
    queued: u64,
    deadlines: BTreeSet<(u64, Attempt)>,
    running: BTreeMap<Attempt, Running>,
    queue: BTreeMap<(u8, u64), Job>,
    sequence: u64,
}

impl Engine {
    /// Creates an idle upstream. `capacity` holds its work per second, slots and cache tokens.
    pub fn new(
        name: name::Upstream,
        zone: usize,
        plain: bool,
        capacity: (f64, usize, u64),
    ) -> Self {
        let (rate, slots, cache) = capacity;
        Self {
            name,
            zone,
            plain,
            phase: Phase::Live,
            incarnation: 1,
            transit: 0,
            cache: Cache::new(cache),
            cache_log: Vec::new(),
            rate,
            slots,
            clock: 0.0,
            updated: Time(0),
            weight: 0.0,
            constant: 0.0,
            queued: 0,
            deadlines: BTreeSet::new(),
            running: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Returns the queued and running work outstanding at `now`.
    pub fn outstanding(&self, now: Time) -> f64 {
        let clock = self.clock + self.speed() * now.since(self.updated).as_secs_f64();
        (self.constant - clock * self.weight).max(0.0) + self.queued as f64
    }

    /// Returns the outstanding work plus work in transit.
    pub fn load(&self, now: Time) -> f64 {
        self.outstanding(now) + self.transit as f64
    }

    /// Returns the number of running and of queued requests.
    pub fn counts(&self) -> (u32, u32) {
        (self.running.len() as u32, self.queue.len() as u32)
    }

    /// Returns the router, attempt and output tokens so far of each decoding request.
    pub fn decoded_tokens(&self, now: Time) -> impl Iterator<Item = (usize, Attempt, u64)> + '_ {
        let clock = self.clock + self.speed() * now.since(self.updated).as_secs_f64();
        let decoding = self.running.values().filter(|run| run.decoding);
        decoding.map(move |run| {
            let tokens = (clock - run.first_token).max(0.0) as u64 / OUTPUT_TOKEN_WORK;
            (run.job.router, run.job.attempt, tokens)
        })
    }

    /// Whether no request is running or queued.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    /// Returns the work of the largest running or queued request.
    pub fn largest(&self) -> u64 {
        let queued = self.queue.values().map(|job| work(job, 0));
        let running = self.running.values().map(|run| work(&run.job, run.cached));
        queued.chain(running).max().unwrap_or_default()
    }

    /// Returns when [`Self::advance`] has new progress to report.
    pub fn next_wake(&self) -> Option<Time> {
        let (bits, _) = self.deadlines.first()?;
        let seconds = (f64::from_bits(*bits) - self.clock).max(0.0) / self.speed();
        Some(Time(self.updated.0 + (seconds * 1e6).ceil() as u64))
    }

    /// Queues a request, or returns it if the queue is full.
    pub fn submit(&mut self, now: Time, job: Job) -> Result<(), Job> {
        if self.queue.len() >= QUEUE_LIMIT {
            return Err(job);
        }
        self.queued += work(&job, 0);
        self.sequence += 1;
        self.queue
            .insert((u8::MAX - job.priority, self.sequence), job);
        self.start(now);
        Ok(())
    }

    /// Simulates work up to `now` and returns first tokens and ends in order.
    pub fn advance(&mut self, now: Time) -> Vec<Progress> {
        let mut progress = Vec::new();
        while let Some(at) = self.next_wake().filter(|at| *at <= now) {
            let Some((bits, attempt)) = self.deadlines.pop_first() else {
                break;
            };
            self.clock = f64::from_bits(bits);
            self.updated = at;
            progress.extend(self.complete_phase(at, attempt));
            self.start(at);
        }
        self.clock += self.speed() * now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        progress
    }

    /// Cancels an attempt; returns whether it was running or queued.
    pub fn cancel(&mut self, now: Time, attempt: Attempt) -> bool {
        if let Some(run) = self.running.get(&attempt).cloned() {
            self.drop_running(&run);
            self.start(now);
            return true;
        }
        let key = self
            .queue
            .iter()
            .find(|(_, job)| job.attempt == attempt)
            .map(|(key, _)| *key);
        let Some(job) = key.and_then(|key| self.queue.remove(&key)) else {
            return false;
        };
        self.queued -= work(&job, 0);
        true
    }

    /// Clears all state as in a restart and returns the attempts that were lost.
    pub fn reset(&mut self, now: Time, phase: Phase) -> Vec<Job> {
        let running = std::mem::take(&mut self.running);
        let queue = std::mem::take(&mut self.queue);
        self.cache = self.cache.cleared();
        self.cache_log.clear();
        self.deadlines.clear();
        self.clock = 0.0;
        self.weight = 0.0;
        self.constant = 0.0;
        self.queued = 0;
        self.updated = now;
        self.phase = phase;
        let running = running.into_values().map(|run| run.job);
        running.chain(queue.into_values()).collect()
    }

    /// Stores a prefix after a prefill or a transfer and publishes the cache changes.
    pub fn store(&mut self, chat: Chat, tokens: u64) {
        self.cache.store(chat, tokens);
        for change in self.cache.take_changes() {
            let (chat, tokens) = (change.chat, change.tokens);
            self.cache_log.push(match tokens {
                0 => prefix::Change::Evicted(chat),
                _ => prefix::Change::Stored { chat, tokens },
            });
        }
    }

    fn speed(&self) -> f64 {
        (self.rate / self.weight.max(1.0)).min(DECODE_WORK_PER_S)
    }

    fn start(&mut self, now: Time) {
        self.updated = self.updated.max(now);
        while let Some(entry) = self.queue.first_entry() {
            // Engines preempt work of a lower priority; this model continues to run it instead.
            let is_lower = |run: &Running| run.job.priority < entry.get().priority;
            if self.running.len() >= self.slots && !self.running.values().any(is_lower) {
                break;
            }
            let job = entry.remove();
            self.queued -= work(&job, 0);
            let available = job.chat.map_or(0, |chat| self.cache.peek(chat));
            let cached = available.min(job.prompt);
            let prefill = (job.prompt - cached) as f64 / PREFILL_WEIGHT;
            let output = (job.output * OUTPUT_TOKEN_WORK) as f64;
            let first_token = self.clock + prefill;
            let run = Running {
                cached,
                first_token,
                end: first_token + output,
                decoding: false,
                started: now,
                job,
            };
            self.weight += PREFILL_WEIGHT;
            self.constant += first_token * PREFILL_WEIGHT + output;
            self.deadlines
                .insert((first_token.to_bits(), run.job.attempt));
            self.running.insert(run.job.attempt, run);
        }
    }

    fn complete_phase(&mut self, at: Time, attempt: Attempt) -> Option<Progress> {
        let mut run = self.running.get(&attempt)?.clone();
        if let Some(chat) = run.job.chat {
            let output = if run.decoding { run.job.output } else { 0 };
            self.store(chat, run.job.prompt + output);
        }
        let progress = Progress {
            at,
            started: run.started,
            job: run.job.clone(),
            cached: run.cached,
            ended: run.decoding,
        };
        self.drop_running(&run);
        if !run.decoding {
            run.decoding = true;
            self.weight += 1.0;
            self.constant += run.end;
            self.deadlines.insert((run.end.to_bits(), attempt));
            self.running.insert(attempt, run);
        }
        Some(progress)
    }

    fn drop_running(&mut self, run: &Running) {
        self.running.remove(&run.job.attempt);
        if run.decoding {
            self.deadlines.remove(&(run.end.to_bits(), run.job.attempt));
            self.weight -= 1.0;
            self.constant -= run.end;
        } else {
            self.deadlines
                .remove(&(run.first_token.to_bits(), run.job.attempt));
            self.weight -= PREFILL_WEIGHT;
            self.constant -= run.first_token * PREFILL_WEIGHT + (run.end - run.first_token);
        }
        if self.running.is_empty() {
            // Rounding errors must not add up over a long trace.
            self.weight = 0.0;
            self.constant = 0.0;
        }
    }
}

fn work(job: &Job, cached: u64) -> u64 {
    let prefill = job.prompt.saturating_sub(cached);
    prefill + job.output * OUTPUT_TOKEN_WORK
}
