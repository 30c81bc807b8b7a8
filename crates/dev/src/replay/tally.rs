//! Counts and samples of a replay, and the figures derived from them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hdrhistogram::Histogram;
use serde::Serialize;
use snipeusher::machine::Reason;
use snipeusher::name;
use snipeusher::request::Chat;
use snipeusher::request::Ran;
use snipeusher::time::Time;

use super::engine::Progress;
use crate::trace::Request;

/// Interval between two samples of the engines' loads.
pub const SAMPLE_EVERY_MS: u64 = 100;
/// Samples with a mean load below this many requests per engine are excluded from the skew. With
/// one or two requests per engine the ratio shows how few there are, not how they are distributed.
pub const MIN_SKEW_REQUESTS: f64 = 2.0;

/// Highest time that the histograms can record.
const HOUR_US: u64 = 3_600_000_000;

/// The final response that a caller receives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Response {
    /// The response completed at this time.
    Complete(Time),
    /// The request was refused.
    Refused(Reason, Ran),
}

/// The record of one request.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Attempts that an upstream accepted.
    pub submissions: u32,
    /// Time of the first token.
    pub first_token_at: Option<Time>,
    /// Final response to the caller.
    pub response: Option<Response>,
}

/// A sample of the fleet.
#[derive(Clone, Debug, Serialize)]
pub struct Sample {
    /// Time of the sample.
    pub at_ms: u64,
    /// Outstanding work by engine; `None` while an engine is not live.
    pub loads: Vec<Option<u64>>,
    /// Tokens of earlier turns that requests since the last sample could have found cached.
    pub reusable: u64,
    /// Tokens that they did find cached.
    pub reused: u64,
}

/// Figures of a replay.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Number of requests.
    pub requests: u64,
    /// Requests with a complete response.
    pub complete: u64,
    /// Requests completed after their deadline.
    pub late: u64,
    /// Refused requests by reason.
    pub refused: BTreeMap<String, u64>,
    /// Requests completed after their deadline, by workspace.
    pub late_by: BTreeMap<name::Workspace, u64>,
    /// Refused requests by workspace.
    pub refused_by: BTreeMap<name::Workspace, u64>,
    /// Refused requests that may have run.
    pub unknown: u64,
    /// Violated invariants with the number of cases.
    pub violations: BTreeMap<String, u64>,
    /// Tokens found cached, as a fraction of the tokens of earlier turns.
    pub cache_reuse: f64,
    /// Mean over the included samples of the ratio of the highest to the mean load.
    pub skew_mean: f64,
    /// p99 over the included samples of the ratio of the highest to the mean load.
    pub skew_p99: f64,
    /// Fraction of samples included in the skew.
    pub skew_samples: f64,
    /// Fraction of placements on an engine above the load bound.
    pub beyond: f64,
    /// Largest excess over the load bound at a placement, in multiples of the mean load.
    pub beyond_worst: f64,
    /// Fraction of samples with an engine above the load bound plus its largest request.
    pub excess: f64,
    /// p99 of the time from arrival until an engine starts the request, by workspace.
    pub queue_p99_ms: BTreeMap<name::Workspace, f64>,
    /// p99 of the same time over all workspaces without a surge.
    pub others_queue_p99_ms: f64,
    /// p99 over the same workspaces of the time from arrival until the router sent the request.
    pub others_router_p99_ms: f64,
    /// Maximum time until a router applied an accepted configuration.
    pub config_ms: u64,
    /// Number of edits that were not applied.
    pub edits_failed: u64,
    /// Requests with an idempotency key that got the stored response of an earlier one.
    pub repeated: u64,
    /// Maximum number of successive lease holders in a zone.
    pub holders: u64,
    /// p95 of the time to the first token.
    pub first_token_p95_ms: f64,
    /// Bytes of control traffic and probes per router and second.
    pub control_bytes: f64,
    /// The same bytes by purpose.
    pub control_by: BTreeMap<&'static str, f64>,
    /// Maximum time from the start of an upstream's departure to a dispatch to it.
    pub leave_ms: u64,
}

/// Counters of a replay.
#[derive(Debug)]
pub struct Tally {
    /// Records of the requests, in the order of the trace.
    pub records: Vec<Record>,
    /// Samples in order of time.
    pub samples: Vec<Sample>,
    /// Violated invariants with the number of cases.
    pub violations: BTreeMap<String, u64>,
    /// Bytes of control traffic of all routers by purpose.
    pub control: BTreeMap<&'static str, u64>,
    /// Maximum time from the start of an upstream's departure to a dispatch to it.
    pub leave_ms: u64,
    /// Maximum time until a router applied an accepted configuration.
    pub config_ms: u64,
    /// Number of edits that were not applied.
    pub edits_failed: u64,
    /// Requests with an idempotency key that got the stored response of an earlier one.
    pub repeated: u64,
    /// Maximum number of successive lease holders in a zone.
    pub holders: u64,
    surging: BTreeSet<name::Workspace>,
    others_queue: Histogram<u64>,
    others_router: Histogram<u64>,
    submissions_by_key: BTreeMap<(name::Workspace, String), u32>,
    late_by: BTreeMap<name::Workspace, u64>,
    refused_by: BTreeMap<name::Workspace, u64>,
    contexts: BTreeMap<Chat, u64>,
    reusable: u64,
    reused: u64,
    totals: (u64, u64),
    waits: BTreeMap<name::Workspace, Histogram<u64>>,
    first_tokens: Histogram<u64>,
    skews: Vec<f64>,
    placements: u64,
    placed_work: u64,
    beyond: u64,
    beyond_worst: f64,
    excess: u64,
}

impl Tally {
    /// Creates empty counters. `surging` are the workspaces that send a surge.
    pub fn new(requests: usize, surging: BTreeSet<name::Workspace>) -> Self {
        Self {
            records: vec![Record::default(); requests],
            samples: Vec::new(),
            violations: BTreeMap::new(),
            control: BTreeMap::new(),
            leave_ms: 0,
            config_ms: 0,
            edits_failed: 0,
            repeated: 0,
            holders: 0,
            surging,
            others_queue: histogram(),
            others_router: histogram(),
            submissions_by_key: BTreeMap::new(),
            late_by: BTreeMap::new(),
            refused_by: BTreeMap::new(),
            contexts: BTreeMap::new(),
            reusable: 0,
            reused: 0,
            totals: (0, 0),
            waits: BTreeMap::new(),
            first_tokens: histogram(),
            skews: Vec::new(),
            placements: 0,
            placed_work: 0,
            beyond: 0,
            beyond_worst: 0.0,
            excess: 0,
        }
    }

    /// Counts bytes of control traffic.
    pub fn add_control_bytes(&mut self, purpose: &'static str, bytes: u64) {
        *self.control.entry(purpose).or_default() += bytes;
    }

    /// Records a violated invariant.
    pub fn record_violation(&mut self, invariant: &str) {
        *self.violations.entry(invariant.to_owned()).or_default() += 1;
    }

    /// Records a placement on an engine. `load` is the engine's load before the placement, `loads`
    /// are those of its pool. `uncached_work` is the request's work without any cached prefix,
    /// which the bound includes in the mean.
    pub fn record_placement(
        &mut self,
        load: f64,
        loads: &[f64],
        (work, uncached_work): (u64, u64),
        limit: f64,
    ) {
        self.placements += 1;
        self.placed_work += work;
        let count = loads.len().max(1) as f64;
        let mean = (loads.iter().sum::<f64>() + uncached_work as f64) / count;
        // The tolerance covers rounding errors of the virtual clock.
        if load > limit * mean * (1.0 + 1e-9) {
            self.beyond += 1;
            if mean >= self.min_skew_load() {
                let beyond = load / mean - limit;
                self.beyond_worst = self.beyond_worst.max(beyond);
            }
        }
    }

    /// Records a first token or an end at an engine.
    pub fn record_progress(
        &mut self,
        progress: &Progress,
        arrived: Time,
        workspace: &name::Workspace,
    ) {
        let job = &progress.job;
        if let Some(chat) = job.chat {
            let context = self.contexts.entry(chat).or_default();
            if progress.ended {
                *context = (*context).max(job.prompt + job.output);
            } else {
                self.reusable += (*context).min(job.prompt);
                self.reused += progress.cached.min(*context);
                *context = (*context).max(job.prompt);
            }
        }
        let record = &mut self.records[job.request];
        if progress.ended || record.first_token_at.is_some() {
            return;
        }
        record.first_token_at = Some(progress.at);
        let first_token = progress.at.since(arrived);
        let wait = progress.started.since(arrived).as_secs_f64();
        let waits = self
            .waits
            .entry(workspace.clone())
            .or_insert_with(histogram);
        waits.saturating_record((wait * 1e6) as u64);
        if !self.surging.contains(workspace) {
            self.others_queue.saturating_record((wait * 1e6) as u64);
            let router = job.sent.since(arrived).as_micros() as u64;
            self.others_router.saturating_record(router);
        }
        self.first_tokens
            .saturating_record(first_token.as_micros() as u64);
    }

    /// Records that an upstream accepted an attempt.
    pub fn record_submission(&mut self, number: usize, request: &Request) {
        self.records[number].submissions += 1;
        let Some(key) = &request.key else {
            return;
        };
        let id = (request.workspace.clone(), key.clone());
        let submissions = self.submissions_by_key.entry(id).or_default();
        *submissions += 1;
        if *submissions > 1 {
            self.record_violation("a key runs at most once");
        }
    }

    /// Records the final response to a caller; a second one violates an invariant.
    pub fn record_response(
        &mut self,
        number: usize,
        response: Response,
        deadline: Time,
        request: &Request,
    ) {
        if self.records[number].response.is_some() {
            self.record_violation("one final answer");
            return;
        }
        let record = &mut self.records[number];
        record.response = Some(response);
        let submissions = record.submissions;
        let workspace = request.workspace.clone();
        match response {
            Response::Complete(at) if at > deadline => {
                *self.late_by.entry(workspace).or_default() += 1;
            }
            Response::Complete(_) => {}
            Response::Refused(_, ran) => {
                *self.refused_by.entry(workspace).or_default() += 1;
                if ran == Ran::NotRun && submissions > 0 {
                    self.record_violation("not_run is true");
                }
            }
        }
        if submissions > 1 && !request.idempotent {
            self.record_violation("non-idempotent runs at most once");
        }
    }

    /// Records a sample. `largest` holds the work of the largest request at each live engine.
    pub fn record_sample(
        &mut self,
        at_ms: u64,
        loads: Vec<Option<u64>>,
        largest: &[u64],
        limit: f64,
    ) {
        let live: Vec<f64> = loads.iter().flatten().map(|load| *load as f64).collect();
        let mean = live.iter().sum::<f64>() / live.len().max(1) as f64;
        let highest = live.iter().copied().fold(0.0, f64::max);
        if mean > 0.0 && mean >= self.min_skew_load() {
            self.skews.push(highest / mean);
        }
        let is_excessive = |(load, largest): (&f64, &u64)| load - *largest as f64 > limit * mean;
        self.excess += u64::from(live.iter().zip(largest).any(is_excessive));
        self.samples.push(Sample {
            at_ms,
            loads,
            reusable: self.reusable,
            reused: self.reused,
        });
        self.totals.0 += std::mem::take(&mut self.reusable);
        self.totals.1 += std::mem::take(&mut self.reused);
    }

    /// Computes the figures; `seconds` is the length of the trace.
    pub fn figures(&self, routers: usize, seconds: f64) -> Figures {
        let router_seconds = routers.max(1) as f64 * seconds;
        let mut figures = Figures {
            requests: self.records.len() as u64,
            late: self.late_by.values().sum(),
            late_by: self.late_by.clone(),
            refused_by: self.refused_by.clone(),
            violations: self.violations.clone(),
            cache_reuse: ratio(self.totals.1 + self.reused, self.totals.0 + self.reusable),
            beyond: ratio(self.beyond, self.placements),
            beyond_worst: self.beyond_worst,
            excess: ratio(self.excess, self.samples.len() as u64),
            skew_samples: ratio(self.skews.len() as u64, self.samples.len() as u64),
            first_token_p95_ms: self.first_tokens.value_at_quantile(0.95) as f64 / 1e3,
            control_bytes: self.control.values().sum::<u64>() as f64 / router_seconds,
            control_by: self
                .control
                .iter()
                .map(|(purpose, bytes)| (*purpose, *bytes as f64 / router_seconds))
                .collect(),
            leave_ms: self.leave_ms,
            others_queue_p99_ms: self.others_queue.value_at_quantile(0.99) as f64 / 1e3,
            others_router_p99_ms: self.others_router.value_at_quantile(0.99) as f64 / 1e3,
            config_ms: self.config_ms,
            edits_failed: self.edits_failed,
            repeated: self.repeated,
            holders: self.holders,
            ..Figures::default()
        };
        for record in &self.records {
            match record.response {
                Some(Response::Complete(_)) => figures.complete += 1,
                Some(Response::Refused(reason, ran)) => {
                    let reason = format!("{reason:?}");
                    *figures.refused.entry(reason).or_default() += 1;
                    figures.unknown += u64::from(ran == Ran::Unknown);
                }
                None => {
                    let invariant = "one final answer".to_owned();
                    *figures.violations.entry(invariant).or_default() += 1;
                }
            }
        }
        let mut skews = self.skews.clone();
        skews.sort_by(f64::total_cmp);
        if let Some(last) = skews.len().checked_sub(1) {
            figures.skew_mean = skews.iter().sum::<f64>() / skews.len() as f64;
            figures.skew_p99 = skews[(last as f64 * 0.99) as usize];
        }
        for (workspace, waits) in &self.waits {
            let p99 = waits.value_at_quantile(0.99) as f64 / 1e3;
            figures.queue_p99_ms.insert(workspace.clone(), p99);
        }
        figures
    }

    fn min_skew_load(&self) -> f64 {
        MIN_SKEW_REQUESTS * ratio(self.placed_work, self.placements)
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, HOUR_US, 3).expect("the bounds are within the histogram's range")
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        part as f64 / whole as f64
    }
}
