//! Control traffic between routers and upstreams, and the samples of the fleet.

use std::time::Duration;

use snipeusher::claim;
use snipeusher::config;
use snipeusher::load::Report;
use snipeusher::load::Work;
use snipeusher::machine::Event;
use snipeusher::name;
use snipeusher::time::Time;
use snipeusher::upstream::Phase;

use super::engine::Engine;
use super::platform::PartEvent;
use super::platform::host;
use super::router::Router;
use super::tally::SAMPLE_EVERY_MS;
use super::world::Happening;
use super::world::World;

/// Bytes of HTTP headers of a probe and its reply together.
const PROBE_OVERHEAD_BYTES: u64 = 250;
/// Bytes of HTTP headers of a control message, its proof and its reply together.
const FRAME_OVERHEAD_BYTES: u64 = 250;

impl<R: Router> World<'_, R> {
    pub(super) fn probe(&mut self, seat: usize, engine: usize) {
        if self.is_over() {
            return;
        }
        let every = Duration::from_millis(self.trace.header.report_every_ms);
        self.plan(self.now + every, Happening::Probe(seat, engine));
        let upstream = &self.engines[engine];
        let reached = self.reach(self.seats[seat].zone, upstream.zone);
        if !reached || matches!(upstream.phase, Phase::Gone | Phase::Joining) {
            return;
        }
        self.seats[seat].reports += 1;
        let lag = Duration::from_millis(self.trace.header.report_lag_ms) + self.extra_lag;
        let (running, queued) = upstream.counts();
        let report = Report {
            incarnation: name::Incarnation(upstream.incarnation),
            sequence: self.seats[seat].reports,
            work: Work(upstream.outstanding(self.now) as u64),
            running,
            queued,
            age_ms: self.trace.header.report_lag_ms as u32,
        };
        let body = serde_json::to_vec(&report).map_or(0, |body| body.len() as u64);
        self.tally.control += PROBE_OVERHEAD_BYTES + body;
        let upstream = upstream.name.clone();
        if !self.lose_reports.contains(&upstream) {
            self.deliver(lag, seat, Event::Report { upstream, report });
        }
    }

    /// Tells a few peers in turn, so that each hears of each after some rounds.
    pub(super) fn gossip(&mut self, seat: usize) {
        if self.is_over() {
            return;
        }
        let header = &self.trace.header;
        let every = Duration::from_millis(header.gossip_every_ms);
        self.plan(self.now + every, Happening::Gossip(seat));
        let share = self.seats[seat].router.share();
        let body = rmp_serde::to_vec(&share).map_or(0, |body| body.len() as u64);
        let count = self.seats.len();
        let round = self.now.0 / (header.gossip_every_ms * 1_000).max(1);
        let start = round as usize * header.gossip_peers;
        for step in 0..header.gossip_peers.min(count - 1) {
            let peer = (seat + 1 + (start + step) % (count - 1)) % count;
            self.tally.control += FRAME_OVERHEAD_BYTES + body;
            self.gossip_parts(seat, peer);
            let zones = (self.seats[seat].zone, self.seats[peer].zone);
            if self.reach(zones.0, zones.1) {
                let event = Event::Peer {
                    host: host(seat),
                    share: share.clone(),
                };
                self.deliver(self.latency(zones.0, zones.1), peer, event);
            }
        }
    }

    fn gossip_parts(&mut self, seat: usize, peer: usize) {
        let Some(parts) = &self.seats[seat].parts else {
            return;
        };
        let digest = parts.replica.digest();
        let body = rmp_serde::to_vec(&digest).map_or(0, |body| body.len() as u64);
        self.tally.control += body;
        let event = config::Event::Digest(host(seat), digest);
        self.send_part(seat, peer, PartEvent::Config(event));
        let event = claim::Event::Peer(host(seat), name::Incarnation(1));
        self.send_part(seat, peer, PartEvent::Claim(event));
    }

    pub(super) fn sample(&mut self) {
        if self.now >= Time::from_millis(self.trace.header.duration_ms) {
            return;
        }
        if self.trace.uses_platform() {
            self.push();
            self.check_holders();
        }
        let now = self.now;
        self.plan(
            now + Duration::from_millis(SAMPLE_EVERY_MS),
            Happening::Sample,
        );
        let engines = self.engines.iter().filter(|engine| !engine.plain);
        let live = |engine: &Engine| (engine.phase == Phase::Live).then(|| engine.load(now) as u64);
        let loads: Vec<_> = engines.clone().map(live).collect();
        let is_live = |engine: &&Engine| engine.phase == Phase::Live;
        let largest: Vec<_> = engines.filter(is_live).map(Engine::largest).collect();
        let limit = self.trace.header.load_limit;
        self.tally.sample(now.0 / 1_000, loads, &largest, limit);
    }
}
