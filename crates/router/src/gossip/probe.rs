//! Probes of engines, shared among the routers of a zone.
//!
//! Rendezvous hashing assigns each engine to two routers of its zone. One of them may be slow or
//! have just left, and each router sends only its share of the zone's probes.

use std::time::Duration;

use actix::ActorFutureExt as _;
use actix::AsyncContext as _;
use actix::Context;
use actix::WrapFuture as _;
use serde::Deserialize;
use snipeusher::hash;
use snipeusher::load;
use snipeusher::machine;
use snipeusher::member::Event;
use snipeusher::name;
use snipeusher::request::Variant;
use snipeusher::upstream::Kind;
use snipeusher::upstream::Phase;
use snipeusher::upstream::State;

use crate::dispatch::Notify;
use crate::gossip::Gossip;

/// Number of routers of the zone that probe each engine.
const PROBERS_PER_ENGINE: usize = 2;
/// Largest status response that is read.
const STATUS_BYTES_MAX: usize = 256 << 10;

#[derive(Debug, Deserialize)]
struct Status {
    incarnation: name::Incarnation,
    phase: Phase,
    variants: Vec<Variant>,
    report: load::Report,
}

/// Probes the engines that are assigned to this router.
pub(crate) fn run_round(gossip: &Gossip, ctx: &mut Context<Gossip>) {
    let engines = gossip.member.upstreams().filter(|state| {
        matches!(state.kind, Kind::Engine(_))
            && state.phase < Phase::Gone
            && state.zone == gossip.place.zone
    });
    let engines: Vec<_> = engines
        .filter(|state| is_prober(gossip, &state.name))
        .collect();
    for state in engines {
        probe(gossip, state, ctx);
    }
}

fn is_prober(gossip: &Gossip, upstream: &name::Upstream) -> bool {
    let key = hash::bytes(upstream.as_str().as_bytes());
    let score = |host: &name::Host| hash::score(key, hash::bytes(host.as_str().as_bytes()));
    let own = score(&gossip.host);
    let peers = gossip.member.peers().iter();
    let local = peers.filter(|(_, peer)| {
        let has_joined = peer.incarnation > name::Incarnation::default();
        has_joined && !peer.suspect && peer.place == gossip.place
    });
    local.filter(|(host, _)| score(host) > own).count() < PROBERS_PER_ENGINE
}

fn probe(gossip: &Gossip, known: State, ctx: &mut Context<Gossip>) {
    let probe_timeout: Duration = gossip.links.probe_interval;
    let url = format!("http://{}/engine/v1/status", known.address);
    let request = gossip.client.get(url).timeout(probe_timeout).send();
    let read = async move {
        let mut response = request.await.ok()?;
        let body = response.body().limit(STATUS_BYTES_MAX).await.ok()?;
        serde_json::from_slice::<Status>(&body).ok()
    };
    let read = async move {
        tokio::time::timeout(probe_timeout, read)
            .await
            .ok()
            .flatten()
    };
    ctx.spawn(read.into_actor(gossip).map(move |status, this, ctx| {
        let Some(status) = status else {
            this.feed(Event::ProbeFailed(known.name), ctx);
            return;
        };
        let upstream = known.name.clone();
        let sequence = status.report.sequence;
        let state = State {
            incarnation: status.incarnation,
            phase: status.phase,
            kind: Kind::Engine(status.variants.into_iter().collect()),
            ..known
        };
        this.feed(Event::Status { state, sequence }, ctx);
        let report = machine::Event::Report {
            upstream,
            report: status.report,
        };
        this.links.dispatcher.do_send(Notify(report));
    }));
}
