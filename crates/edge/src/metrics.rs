//! Counters, gauges and histograms, served as text for a collector.
//!
//! Label values come from bounded sets: outcomes, kinds of routes and the workspaces of the
//! configuration. Text from a caller never becomes a label. See `docs/OPERATIONS.md#metrics`.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderValue;
use bytes::Bytes;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use slog::warn;
use snafu::ResultExt as _;
use snafu::Snafu;
use snipeusher::fleet::Outcome;
use snipeusher::name;
use snipeusher::route::Kind;
use snipeusher::route::Limits;

use crate::dialect::Platform;
use crate::lifecycle::Lifecycle;
use crate::memory::Owner;
use crate::memory::Reservation;
use crate::responder::Responder;
use crate::server::Handler;
use crate::server::Request;
use crate::shared::Shared;
use crate::status;
use crate::status::State;

/// Upper bounds of the histogram buckets, chosen around the latency objectives of 0.1 to 0.8 s.
const BUCKETS_S: [f64; 10] = [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0];
/// Label value of requests without a workspace.
const NO_WORKSPACE: &str = "";

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    kind: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabels {
    cause: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WorkspaceLabels {
    workspace: String,
}

/// Metrics of a router.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    rejections: Family<OutcomeLabels, Counter>,
    attempts: Family<OutcomeLabels, Counter>,
    streams_taken_up: Family<OutcomeLabels, Counter>,
    streams_begun: Family<OutcomeLabels, Counter>,
    malformed_headers: Counter,
    crashes: Counter,
    relays: Family<OutcomeLabels, Counter>,
    archive_calls: Family<OutcomeLabels, Counter>,
    first_byte: Family<WorkspaceLabels, Histogram>,
    duration: Family<KindLabels, Histogram>,
    in_flight: Gauge,
    configuration: Gauge,
    upstreams: Gauge,
    ejected: Gauge,
    unused: Family<CauseLabels, Gauge>,
    cold: Gauge,
    store_unreachable: Gauge,
    evacuated: Gauge,
    evacuated_in_flight: Gauge,
    store_era: Gauge,
}

fn histogram() -> Histogram {
    Histogram::new(BUCKETS_S)
}

fn counter(registry: &mut Registry, name: &str, help: &str) -> Counter {
    let counter = Counter::default();
    registry.register(name, help, counter.clone());
    counter
}

fn gauge(registry: &mut Registry, name: &str, help: &str) -> Gauge {
    let gauge = Gauge::default();
    registry.register(name, help, gauge.clone());
    gauge
}

fn cold_gauge(registry: &mut Registry) -> Gauge {
    gauge(
        registry,
        "upstreams_warming_up",
        "Upstreams whose requests are limited, since they are cold",
    )
}

/// Evacuated zones, and requests in flight there.
fn evacuation_gauges(registry: &mut Registry) -> (Gauge, Gauge) {
    let zones = gauge(
        registry,
        "evacuated_zones",
        "Availability zones that are evacuated",
    );
    let in_flight = gauge(
        registry,
        "evacuated_open_requests",
        "Requests in progress at upstreams of evacuated zones",
    );
    (zones, in_flight)
}

fn outcomes(registry: &mut Registry, name: &str, help: &str) -> Family<OutcomeLabels, Counter> {
    let outcomes = Family::default();
    registry.register(name, help, outcomes.clone());
    outcomes
}

/// Counters by outcome: rejections, streams taken up, streams begun, attempts, relays, calls of the
/// archive.
fn counters_by_outcome(registry: &mut Registry) -> [Family<OutcomeLabels, Counter>; 6] {
    let counters = [
        ("rejections", "Requests that were not admitted, by reason"),
        (
            "streams_taken_up",
            "Streams that callers took up, by how their software version was determined",
        ),
        (
            "streams_begun",
            "Streams that could not be announced to their holders, by what became of them",
        ),
        ("attempts", "Sends to upstreams, by how they ended"),
        (
            "relays",
            "Requests relayed to peers, by what became of them",
        ),
        (
            "archive_calls",
            "Calls of the store for records of streams and software versions",
        ),
    ];
    counters.map(|(name, help)| outcomes(registry, name, help))
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("snipeusher");
        let requests = Family::default();
        registry.register(
            "requests",
            "Requests that were admitted, by how they ended",
            requests.clone(),
        );
        let [
            rejections,
            streams_taken_up,
            streams_begun,
            attempts,
            relays,
            archive_calls,
        ] = counters_by_outcome(&mut registry);
        let malformed_headers = counter(
            &mut registry,
            "malformed_headers",
            "Headers of upstreams that were ignored, since they were repeated or malformed",
        );
        let crashes = counter(
            &mut registry,
            "upstream_crashes",
            "Upstreams that ended while requests of this router waited for their answers",
        );
        let first_byte = Family::new_with_constructor(histogram as fn() -> Histogram);
        registry.register(
            "time_to_first_byte_seconds",
            "From arrival to the first byte of the answer",
            first_byte.clone(),
        );
        let duration = Family::new_with_constructor(histogram as fn() -> Histogram);
        registry.register(
            "time_whole_seconds",
            "From arrival to the end of the answer",
            duration.clone(),
        );
        let gauges = [
            ("open_requests", "Requests in progress"),
            (
                "configuration_revision",
                "Revision of the configuration in force",
            ),
            ("upstreams", "Upstreams that are known"),
            ("upstreams_aside", "Upstreams that are set aside"),
            (
                "store_lost",
                "1 while the store does not answer this router",
            ),
        ];
        let gauges = gauges.map(|(name, help)| gauge(&mut registry, name, help));
        let [
            in_flight,
            configuration,
            upstreams,
            ejected,
            store_unreachable,
        ] = gauges;
        let unused = Family::default();
        registry.register(
            "upstreams_unused",
            "Upstreams that get no requests while others do, by cause",
            unused.clone(),
        );
        let cold = cold_gauge(&mut registry);
        let store_era = gauge(
            &mut registry,
            "store_era",
            "Number of times that the store was restored from a copy",
        );
        let (evacuated, evacuated_in_flight) = evacuation_gauges(&mut registry);
        Self {
            registry,
            requests,
            rejections,
            attempts,
            streams_taken_up,
            streams_begun,
            malformed_headers,
            crashes,
            relays,
            archive_calls,
            first_byte,
            duration,
            in_flight,
            configuration,
            upstreams,
            ejected,
            unused,
            cold,
            store_unreachable,
            evacuated,
            evacuated_in_flight,
            store_era,
        }
    }
}

impl Metrics {
    /// Records an admitted request at its end.
    pub(crate) fn request(
        &self,
        kind: Kind,
        workspace: Option<&name::Workspace>,
        outcome: &'static str,
        first_byte: Option<Duration>,
        duration: Duration,
    ) {
        let kind = kind_label(kind);
        let labels = RequestLabels { kind, outcome };
        self.requests.get_or_create(&labels).inc();
        let labels = KindLabels { kind };
        self.duration
            .get_or_create(&labels)
            .observe(duration.as_secs_f64());
        let Some(first_byte) = first_byte else { return };
        let workspace = workspace.map_or(NO_WORKSPACE, name::Workspace::as_str);
        let labels = WorkspaceLabels {
            workspace: workspace.to_owned(),
        };
        self.first_byte
            .get_or_create(&labels)
            .observe(first_byte.as_secs_f64());
    }

    /// Counts a request that was not admitted.
    pub(crate) fn rejection(&self, outcome: &'static str) {
        self.rejections
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts a request that takes a stream up, by how the stream's origin was determined or why it
    /// was refused.
    pub(crate) fn stream_taken_up(&self, outcome: &'static str) {
        self.streams_taken_up
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts a stream that could not be announced to its holders, by what became of it.
    pub(crate) fn stream_begun(&self, outcome: &'static str) {
        self.streams_begun
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts headers of upstreams that are ignored since they are repeated or cannot be parsed.
    pub(crate) fn malformed_headers(&self, count: u32) {
        self.malformed_headers.inc_by(u64::from(count));
    }

    /// Counts the crash of an upstream.
    pub(crate) fn crash(&self) {
        self.crashes.inc();
    }

    /// Counts a call that reads or writes the records of routers.
    pub(crate) fn archive_call(&self, outcome: &'static str) {
        self.archive_calls
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts a request that was relayed to a peer.
    pub(crate) fn relay(&self, outcome: &'static str) {
        self.relays.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Counts the end of an attempt.
    pub(crate) fn attempt(&self, outcome: Outcome) {
        let outcome = match outcome {
            Outcome::Served => "served",
            Outcome::Failed => "failed",
            Outcome::Declined => "declined",
            Outcome::Paused => "paused",
            Outcome::Unreachable => "unreachable",
            Outcome::Lost => "lost",
            Outcome::Abandoned => "abandoned",
        };
        self.attempts
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }
}

fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

const fn kind_label(kind: Kind) -> &'static str {
    match kind {
        Kind::Idempotent => "idempotent",
        Kind::NonIdempotent => "non_idempotent",
        Kind::Stream { resumable: true } => "resumable_stream",
        Kind::Stream { resumable: false } => "stream",
    }
}

/// Content type and body.
type Page = (&'static str, Bytes);

/// Why a page cannot be encoded.
#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("the status: {source}"))]
    Status { source: serde_json::Error },
    #[snafu(display("the metrics: {source}"))]
    Metrics { source: std::fmt::Error },
}

/// Serves the metrics and the status page.
pub(crate) struct Exposition<P> {
    shared: Rc<Shared<P>>,
    lifecycle: Lifecycle,
}

impl<P: Platform> Exposition<P> {
    pub(crate) fn new(shared: Rc<Shared<P>>) -> Self {
        Self {
            shared,
            lifecycle: Lifecycle::default(),
        }
    }

    fn status(&self) -> Result<Page, Error> {
        let status = status::read(&self.shared);
        let body = serde_json::to_vec(&status).context(StatusSnafu)?;
        Ok(("application/json", Bytes::from(body)))
    }

    fn metrics(&self) -> Result<Page, Error> {
        let text = self.text().context(MetricsSnafu)?;
        let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        Ok((kind, Bytes::from(text)))
    }

    fn text(&self) -> Result<String, std::fmt::Error> {
        let metrics = &self.shared.metrics;
        let status = status::read(&self.shared);
        for state in State::UNUSED {
            let known = status.upstreams.iter();
            let count = known.filter(|upstream| upstream.state == state).count();
            let cause = state.label();
            let unused = metrics.unused.get_or_create(&CauseLabels { cause });
            unused.set(gauge_value(count));
        }
        let known = status.upstreams.iter();
        let cold = known.filter(|upstream| upstream.cold_ms.is_some()).count();
        metrics.cold.set(gauge_value(cold));
        metrics.evacuated.set(gauge_value(status.evacuated.len()));
        let in_flight = status.evacuated.iter().map(|zone| zone.open_requests);
        let in_flight: u32 = in_flight.sum();
        metrics.evacuated_in_flight.set(i64::from(in_flight));
        metrics.store_era.set(status.store.era.cast_signed());
        let fleet = self.shared.fleet.borrow();
        let upstreams = fleet.upstreams();
        let ejected = upstreams
            .iter()
            .filter(|upstream| upstream.health.is_ejected())
            .count();
        metrics.upstreams.set(gauge_value(upstreams.len()));
        metrics.ejected.set(gauge_value(ejected));
        metrics
            .in_flight
            .set(gauge_value(self.shared.lifecycle.in_flight()));
        metrics
            .store_unreachable
            .set(i64::from(self.shared.is_store_unreachable()));
        let revision = self
            .shared
            .table()
            .map_or(0, |table| table.revision().number);
        metrics.configuration.set(revision.cast_signed());
        let mut text = String::new();
        text::encode(&mut text, &metrics.registry)?;
        Ok(text)
    }
}

impl<P: Platform> Handler for Exposition<P> {
    fn limits(&self) -> Limits {
        Limits::default()
    }

    fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    fn reserve(&self) -> Reservation {
        self.shared.memory.open(Owner::Callers)
    }

    async fn handle(&self, request: Request, responder: &mut Responder<'_>) -> io::Result<()> {
        let page = if request.head.path() == status::PATH {
            self.status()
        } else {
            self.metrics()
        };
        let mut headers = HeaderMap::new();
        match page {
            Ok((kind, body)) => {
                headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
                responder.send(StatusCode::OK, headers, &body).await
            }
            Err(error) => {
                warn!(self.shared.log, "metrics: cannot be encoded"; "error" => %error);
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                responder.send(status, headers, &Bytes::new()).await
            }
        }
    }
}
