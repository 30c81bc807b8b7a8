//! Delivers the routers' actions to simulated upstreams and peers, and responses back.

use std::time::Duration;

use snipeusher::load::OUTPUT_TOKEN_WORK;
use snipeusher::machine::Action;
use snipeusher::machine::Event;
use snipeusher::machine::Outcome;
use snipeusher::name;
use snipeusher::request::Attempt;
use snipeusher::request::Chat;
use snipeusher::time::Time;
use snipeusher::upstream::Phase;

use super::engine::Engine;
use super::engine::Job;
use super::engine::Progress;
use super::fleet;
use super::node::chat_of;
use super::router::Router;
use super::simulation::CONNECT_TIMEOUT;
use super::simulation::Simulation;
use super::simulation::Step;
use super::store::host;
use super::store::number_of;
use super::tally::Response;

/// Bytes of a slot message including its headers.
const SLOT_BYTES: u64 = 350;
/// Throughput of a cache transfer between two engines.
const TRANSFER_TOKENS_PER_S: u64 = 50_000;
/// Setup time of a cache transfer.
const TRANSFER_SETUP: Duration = Duration::from_millis(5);

impl<R: Router> Simulation<'_, R> {
    pub(super) fn perform(&mut self, node: usize, action: Action) {
        match action {
            Action::Dispatch {
                request,
                attempt,
                upstream,
                priority,
            } => self.dispatch(node, request.0 as usize, attempt, &upstream, priority),
            Action::Refuse {
                request,
                reason,
                ran,
                ..
            } => self.finish(request.0 as usize, Response::Refused(reason, ran)),
            Action::Close(_) => {}
            Action::Transfer {
                chat,
                from,
                to,
                tokens,
            } => self.transfer(node, chat, (&from, &to), tokens),
            Action::RequestSlot {
                to,
                ticket,
                upstream,
                work,
                load_limit,
            } => {
                let event = Event::SlotRequested {
                    from: host(node),
                    ticket,
                    upstream,
                    work,
                    load_limit,
                };
                if !self.send_to_peer(node, &to, event) {
                    self.deliver(CONNECT_TIMEOUT, node, Event::SlotUnreachable(ticket));
                }
            }
            Action::AnswerSlot {
                to,
                ticket,
                granted,
            } => {
                let _sent = self.send_to_peer(node, &to, Event::SlotAnswered { ticket, granted });
            }
            Action::ReleaseSlot { to, ticket } => {
                let from = host(node);
                let _sent = self.send_to_peer(node, &to, Event::SlotReleased { from, ticket });
            }
            Action::Cancel { attempt, upstream } => {
                let Some(engine) = self.engine_index(&upstream) else {
                    return;
                };
                let zones = (self.nodes[node].zone, self.engines[engine].zone);
                if self.is_reachable(zones.0, zones.1) {
                    let at = self.now + self.latency(zones.0, zones.1);
                    self.schedule(at, Step::Cancel(engine, attempt));
                }
            }
        }
    }

    /// Sends a slot message to a peer; returns whether the peer is reachable.
    fn send_to_peer(&mut self, node: usize, to: &name::Host, event: Event) -> bool {
        let Some(peer) = number_of(to).filter(|peer| *peer < self.nodes.len()) else {
            return false;
        };
        let zones = (self.nodes[node].zone, self.nodes[peer].zone);
        self.tally.add_control_bytes("slots", SLOT_BYTES);
        let reached = self.is_reachable(zones.0, zones.1);
        if reached {
            self.deliver(self.latency(zones.0, zones.1), peer, event);
        }
        reached
    }

    fn transfer(
        &mut self,
        node: usize,
        chat: Chat,
        (from, to): (&name::Upstream, &name::Upstream),
        tokens: u64,
    ) {
        let (Some(from), Some(to)) = (self.engine_index(from), self.engine_index(to)) else {
            return;
        };
        let zones = (self.engines[from].zone, self.engines[to].zone);
        let reached = self.is_reachable(zones.0, zones.1);
        let cached = self.engines[from].cache.peek(chat).min(tokens);
        let tokens = if reached { cached } else { 0 };
        let duration = Duration::from_micros(tokens * 1_000_000 / TRANSFER_TOKENS_PER_S);
        let at = self.now + TRANSFER_SETUP + duration;
        self.schedule(at, Step::Transfer(node, chat, tokens, to));
    }

    fn dispatch(
        &mut self,
        node: usize,
        request: usize,
        attempt: Attempt,
        upstream: &name::Upstream,
        priority: u8,
    ) {
        let Some(engine) = self.engine_index(upstream) else {
            self.tally.record_violation("dispatch to a known upstream");
            return;
        };
        let recorded = &self.requests[request];
        let mut job = Job {
            attempt,
            router: node,
            request,
            chat: recorded.chat.as_deref().map(chat_of(&recorded.workspace)),
            prompt: recorded.prompt_tokens,
            output: recorded.output_tokens,
            priority,
            sent: self.now,
            work: 0,
        };
        job.work = fleet::work(&self.engines[engine], &job);
        self.attempts.insert(attempt, request);
        if let Some(departed_at) = self.departures.get(&engine) {
            let elapsed_ms = self.now.since(*departed_at).as_millis() as u64;
            self.tally.leave_ms = self.tally.leave_ms.max(elapsed_ms);
        }
        let zones = (self.nodes[node].zone, self.engines[engine].zone);
        if !self.is_reachable(zones.0, zones.1) {
            let outcome = Outcome::Unreachable;
            self.deliver(CONNECT_TIMEOUT, node, Event::End { attempt, outcome });
            return;
        }
        self.record_placement(engine, &job);
        self.engines[engine].transit += job.work;
        let at = self.now + self.latency(zones.0, zones.1);
        self.schedule(at, Step::Submit(engine, job));
    }

    /// Checks a placement against the load bound, using the actual state of the fleet.
    fn record_placement(&mut self, engine: usize, job: &Job) {
        let now = self.now;
        let chosen = &self.engines[engine];
        let same_pool = |other: &&Engine| other.plain == chosen.plain && other.phase == Phase::Live;
        let pool = self.engines.iter().filter(same_pool);
        let loads: Vec<f64> = pool.map(|other| other.load(now)).collect();
        let workspace = &self.requests[job.request].workspace;
        let default_limit = self.trace.header.load_limit;
        let limit = self.limits.get(workspace).copied().unwrap_or(default_limit);
        let uncached_work = job.prompt + job.output * OUTPUT_TOKEN_WORK;
        if !chosen.plain && chosen.phase == Phase::Live {
            self.tally
                .record_placement(chosen.load(now), &loads, (job.work, uncached_work), limit);
        }
    }

    pub(super) fn submit(&mut self, engine: usize, job: Job) {
        self.advance(engine);
        let upstream = &mut self.engines[engine];
        upstream.transit = upstream.transit.saturating_sub(job.work);
        let (node, attempt, request) = (job.router, job.attempt, job.request);
        let latency = self.latency(self.nodes[node].zone, self.engines[engine].zone);
        let outcome = match self.engines[engine].phase {
            Phase::Gone | Phase::Joining => Some(Outcome::Unreachable),
            Phase::Leaving => Some(Outcome::Declined { retry_after: None }),
            Phase::Live => match self.engines[engine].submit(self.now, job) {
                Ok(()) => None,
                Err(_) => Some(Outcome::Declined { retry_after: None }),
            },
        };
        if let Some(outcome) = outcome {
            self.deliver(latency, node, Event::End { attempt, outcome });
            return;
        }
        self.tally
            .record_submission(request, &self.requests[request]);
        self.deliver(latency, node, Event::Sent(attempt));
        self.wake_upstream(engine);
    }

    pub(super) fn forward(&mut self, engine: usize, progress: &Progress) {
        let job = &progress.job;
        let (node, attempt) = (job.router, job.attempt);
        let request = &self.requests[job.request];
        let arrived = Time::from_millis(request.at_ms);
        self.tally
            .record_progress(progress, arrived, &request.workspace);
        let zones = (self.nodes[node].zone, self.engines[engine].zone);
        let lost = progress.ended && self.pending_response_losses.remove(&request.workspace);
        if lost || !self.is_reachable(zones.0, zones.1) {
            if progress.ended {
                let outcome = Outcome::Broken;
                self.deliver(CONNECT_TIMEOUT, node, Event::End { attempt, outcome });
            }
            return;
        }
        let latency = self.latency(zones.0, zones.1);
        let event = Event::Output {
            attempt,
            tokens: if progress.ended { job.output } else { 1 },
            cached: Some(progress.cached),
        };
        self.deliver(latency, node, event);
        if progress.ended {
            let outcome = Outcome::Complete;
            self.deliver(latency, node, Event::End { attempt, outcome });
        }
    }
}
