//! Polls the status of the engines that the settings list.

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

/// Timeout of one status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest status response that is read.
const STATUS_BYTES_MAX: usize = 256 << 10;

/// Notifies the dispatcher of each upstream of the settings and, at intervals, of the status of
/// its engines.
pub(crate) struct Poller {
    services: Vec<Upstream>,
    engines: Vec<Upstream>,
    next_engine: usize,
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
            next_engine: 0,
            interval,
            client,
            dispatcher,
            log,
        }
    }

    /// Polls the next engine. One engine is polled in each interval, so that the traffic does not
    /// grow with the number of engines.
    fn poll_next(&mut self) {
        if let Some(engine) = self.engines.get(self.next_engine) {
            self.poll(engine.clone());
        }
        self.next_engine = (self.next_engine + 1) % self.engines.len().max(1);
    }

    fn poll(&self, upstream: Upstream) {
        let url = format!("http://{}/engine/v1/status", upstream.address);
        let request = self.client.get(url).send();
        let dispatcher = self.dispatcher.clone();
        let log = self.log.clone();
        actix_rt::spawn(async move {
            let read = async {
                let mut response = request.await.ok()?;
                let body = response.body().limit(STATUS_BYTES_MAX).await.ok()?;
                serde_json::from_slice::<Status>(&body).ok()
            };
            let Ok(Some(status)) = tokio::time::timeout(STATUS_TIMEOUT, read).await else {
                debug!(log, "poll: cannot read the status of an engine";
                    "upstream" => upstream.name.as_str());
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
            // A plain service has no status; its health follows from its responses.
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
