//! Control traffic between routers and upstreams, and sampling of the fleet.

use std::time::Duration;

use rand::Rng as _;
use snipeusher::load::Report;
use snipeusher::load::Work;
use snipeusher::machine::Event;
use snipeusher::name;
use snipeusher::prefix;
use snipeusher::time::Time;
use snipeusher::upstream::Phase;

use super::engine::Engine;
use super::router::Router;
use super::simulation::Simulation;
use super::simulation::Step;
use super::tally::SAMPLE_EVERY_MS;

/// Bytes of the HTTP headers of a probe and its response.
const PROBE_OVERHEAD_BYTES: u64 = 250;
/// Fraction of cache event batches that are lost.
const CACHE_EVENT_LOSS: f64 = 0.1;
/// Interval at which streams report their output to routers. A real router sees every token.
const STREAM_EVERY_MS: u64 = 250;

impl<R: Router> Simulation<'_, R> {
    pub(super) fn probe(&mut self, node: usize, engine: usize) {
        if self.is_over() {
            return;
        }
        let interval = Duration::from_millis(self.trace.header.report_every_ms);
        self.schedule(self.now + interval, Step::Probe(node, engine));
        let upstream = &self.engines[engine];
        let reached = self.is_reachable(self.nodes[node].zone, upstream.zone);
        if !reached || matches!(upstream.phase, Phase::Gone | Phase::Joining) {
            return;
        }
        self.nodes[node].reports += 1;
        let lag = Duration::from_millis(self.trace.header.report_lag_ms) + self.extra_lag;
        let (running, queued) = upstream.counts();
        let report = Report {
            incarnation: name::Incarnation(upstream.incarnation),
            sequence: self.nodes[node].reports,
            work: Work(upstream.outstanding(self.now) as u64),
            running,
            queued,
            age_ms: self.trace.header.report_lag_ms as u32,
        };
        let body = serde_json::to_vec(&report).map_or(0, |body| body.len() as u64);
        self.tally
            .add_control_bytes("probes", PROBE_OVERHEAD_BYTES + body);
        let upstream = upstream.name.clone();
        if self.muted_upstreams.contains(&upstream) {
            return;
        }
        self.deliver(lag, node, Event::Report { upstream, report });
        if self.trace.header.cache_events && self.nodes[node].member.is_some() {
            self.publish(node, engine, lag);
        }
    }

    /// Delivers the cache changes since the last probe. A fraction of the batches is lost.
    fn publish(&mut self, node: usize, engine: usize, lag: Duration) {
        let log = &self.engines[engine].cache_log;
        let position = self.nodes[node].cache_read.entry(engine).or_default();
        let first = (*position).min(log.len());
        let changes = log[first..].to_vec();
        *position = log.len();
        if changes.is_empty() {
            return;
        }
        let batch = prefix::Batch {
            incarnation: name::Incarnation(self.engines[engine].incarnation),
            first: first as u64 + 1,
            changes,
        };
        let body = serde_json::to_vec(&batch).map_or(0, |body| body.len() as u64);
        self.tally
            .add_control_bytes("cache events", PROBE_OVERHEAD_BYTES + body);
        if self.rng.random_bool(CACHE_EVENT_LOSS) {
            return;
        }
        let upstream = self.engines[engine].name.clone();
        self.deliver(lag, node, Event::Cache { upstream, batch });
    }

    /// Reports the tokens that streams have produced so far to their routers.
    pub(super) fn report_streams(&mut self) {
        if self.is_over() {
            return;
        }
        let interval = Duration::from_millis(STREAM_EVERY_MS);
        self.schedule(self.now + interval, Step::Stream);
        let now = self.now;
        let mut outputs = Vec::new();
        for engine in &self.engines {
            for (node, attempt, tokens) in engine.decoded_tokens(now) {
                if self.is_reachable(self.nodes[node].zone, engine.zone) {
                    outputs.push((node, attempt, tokens));
                }
            }
        }
        for (node, attempt, tokens) in outputs {
            let event = Event::Output {
                attempt,
                tokens,
                cached: None,
            };
            self.deliver(Duration::ZERO, node, event);
        }
    }

    pub(super) fn sample(&mut self) {
        if self.now >= Time::from_millis(self.trace.header.duration_ms) {
            return;
        }
        if self.trace.uses_store() {
            self.publish_writes();
            self.check_holders();
        }
        let now = self.now;
        self.schedule(now + Duration::from_millis(SAMPLE_EVERY_MS), Step::Sample);
        let engines = self.engines.iter().filter(|engine| !engine.plain);
        let live = |engine: &Engine| (engine.phase == Phase::Live).then(|| engine.load(now) as u64);
        let loads: Vec<_> = engines.clone().map(live).collect();
        let is_live = |engine: &&Engine| engine.phase == Phase::Live;
        let largest: Vec<_> = engines.filter(is_live).map(Engine::largest).collect();
        let limit = self.trace.header.load_limit;
        self.tally
            .record_sample(now.0 / 1_000, loads, &largest, limit);
    }
}
