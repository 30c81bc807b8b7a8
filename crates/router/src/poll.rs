//! Reads the status of engines that are known from the settings.

use std::time::Duration;

use actix::Actor;
use actix::Addr;
use actix::AsyncContext as _;
use actix::Context;
use awc::Client;
use serde::Deserialize;
use slog::Logger;
use slog::debug;
use snipeusher::load;
use snipeusher::machine::Event;
use snipeusher::name;
use snipeusher::request::Variant;
use snipeusher::upstream::Kind;
use snipeusher::upstream::Phase;
use snipeusher::upstream::State;

use crate::dispatch::Dispatcher;
use crate::dispatch::Notify;
use crate::settings::Upstream;

/// How long an engine may take to tell its status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest status that is read.
const STATUS_BYTES: usize = 256 << 10;

/// Tells the machine about each upstream and, at intervals, what engines say of themselves.
pub(crate) struct Poller {
    services: Vec<Upstream>,
    engines: Vec<Upstream>,
    next: usize,
    interval: Duration,
    client: Client,
    dispatcher: Addr<Dispatcher>,
    log: Logger,
}

#[derive(Debug, Deserialize)]
struct Status {
    incarnation: name::Incarnation,
    phase: Phase,
    variants: Vec<Variant>,
    report: load::Report,
}

impl Poller {
    pub(crate) fn new(
        upstreams: Vec<Upstream>,
        interval: Duration,
        client: Client,
        dispatcher: Addr<Dispatcher>,
        log: Logger,
    ) -> Self {
        let is_service = |upstream: &Upstream| upstream.service.is_some();
        let (services, engines) = upstreams.into_iter().partition(is_service);
        Self {
            services,
            engines,
            next: 0,
            interval,
            client,
            dispatcher,
            log,
        }
    }

    /// Asks the next engine. Engines take turns, so that the bytes spent do not grow with them.
    fn poll_next(&mut self) {
        if let Some(engine) = self.engines.get(self.next) {
            self.poll(engine.clone());
        }
        self.next = (self.next + 1) % self.engines.len().max(1);
    }

    fn poll(&self, upstream: Upstream) {
        let url = format!("http://{}/engine/v1/status", upstream.address);
        let call = self.client.get(url).send();
        let dispatcher = self.dispatcher.clone();
        let log = self.log.clone();
        actix_rt::spawn(async move {
            let read = async {
                let mut response = call.await.ok()?;
                let body = response.body().limit(STATUS_BYTES).await.ok()?;
                serde_json::from_slice::<Status>(&body).ok()
            };
            let Ok(Some(status)) = tokio::time::timeout(STATUS_TIMEOUT, read).await else {
                debug!(log, "probe: no status"; "upstream" => upstream.name.as_str());
                return;
            };
            let kind = Kind::Engine(status.variants.into_iter().collect());
            dispatcher.do_send(Notify(Event::Upstream(state(
                &upstream,
                status.incarnation,
                status.phase,
                kind,
            ))));
            dispatcher.do_send(Notify(Event::Report {
                upstream: upstream.name,
                report: status.report,
            }));
        });
    }
}

impl Actor for Poller {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        for upstream in &self.services {
            // A plain service has no status; its answers tell whether it works.
            if let Some(service) = &upstream.service {
                let kind = Kind::Plain(service.clone());
                let state = state(upstream, name::Incarnation(0), Phase::Live, kind);
                self.dispatcher.do_send(Notify(Event::Upstream(state)));
            }
        }
        for engine in &self.engines {
            self.poll(engine.clone());
        }
        ctx.run_interval(self.interval, |poller, _ctx| poller.poll_next());
    }
}

fn state(upstream: &Upstream, incarnation: name::Incarnation, phase: Phase, kind: Kind) -> State {
    State {
        name: upstream.name.clone(),
        address: upstream.address.to_string(),
        zone: upstream.zone.clone(),
        incarnation,
        phase,
        kind,
    }
}
