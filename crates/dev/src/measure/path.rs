//! Measures the overhead of the router by comparing routed requests with direct ones.
//!
//! Both sides use the same fakes, the same number of connections and the same client in one run.
//! Single requests alternate between the sides, so that other load on the machine affects both.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use awc::Client;
use awc::ClientRequest;
use awc::Connector;
use bytes::Bytes;
use futures_util::StreamExt as _;
use hdrhistogram::Histogram;
use serde_json::json;
use snafu::ResultExt as _;
use snafu::Snafu;
use snipeusher_fakes::engine;
use snipeusher_fakes::engine::Engine;
use snipeusher_fakes::plain::Plain;
use snipeusher_router::Router;
use snipeusher_router::log;
use snipeusher_router::settings;
use snipeusher_router::settings::Settings;

const KEY: &str = "reading-circle-key";
/// Highest latency that the histograms can record, in nanoseconds.
const MAX_LATENCY_NS: u64 = 60_000_000_000;
/// Output tokens of a streamed response.
const STREAM_TOKENS: u64 = 32;

/// Compare requests through the router with requests straight to the same fakes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "path")]
pub struct Path {
    /// seconds of each throughput run (default 5)
    #[argh(option, default = "5")]
    seconds: u64,
    /// connections of a throughput run (default 128)
    #[argh(option, default = "128")]
    connections: usize,
    /// requests of a latency run, on each side (default 20000)
    #[argh(option, default = "20_000")]
    requests: usize,
    /// serving threads of the router; the decisions take one more (default 3)
    #[argh(option, default = "3")]
    workers: usize,
    /// fakes of each sort (default 3)
    #[argh(option, default = "3")]
    fakes: usize,
    /// threads of the client (default 4)
    #[argh(option, default = "4")]
    clients: usize,
    /// folder with templates and workspaces (default examples)
    #[argh(option, default = "PathBuf::from(\"examples\")")]
    documents: PathBuf,
}

/// An error of the measurement.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A fake upstream cannot start.
    #[snafu(display("cannot start a fake: {source}"))]
    Fake {
        /// The cause.
        source: io::Error,
    },
    /// The generated settings are invalid.
    #[snafu(transparent)]
    Settings {
        /// The cause.
        source: settings::Error,
    },
    /// The router cannot start.
    #[snafu(transparent)]
    Router {
        /// The cause.
        source: snipeusher_router::Error,
    },
    /// Requests failed, which makes the measured times invalid.
    #[snafu(display("{failed} requests of {kind} failed"))]
    Failed {
        /// The kind of request.
        kind: &'static str,
        /// Number of failed requests.
        failed: u64,
    },
}

/// A kind of request.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Plain,
    Complete,
    /// A streamed chat, timed until its first event.
    FirstEvent,
    Streamed,
}

impl Kind {
    const LATENCY: [Self; 4] = [
        Self::Plain,
        Self::Complete,
        Self::FirstEvent,
        Self::Streamed,
    ];
    const THROUGHPUT: [Self; 3] = [Self::Plain, Self::Complete, Self::Streamed];

    const fn name(self) -> &'static str {
        match self {
            Self::Plain => "plain GET",
            Self::Complete => "chat, not streamed",
            Self::FirstEvent => "chat, streamed, first event",
            Self::Streamed => "chat, streamed, 32 tokens",
        }
    }

    /// Sends a request and reads the response; returns the elapsed time if it succeeded.
    async fn send(self, client: &Client, address: SocketAddr, number: usize) -> Option<Duration> {
        let start = Instant::now();
        let request = match self {
            Self::Plain => client.get(format!("http://{address}/match/{number}")),
            _ => client.post(format!("http://{address}/v1/chat/completions")),
        };
        let request = headers(request);
        let sent = match self {
            Self::Plain => request.send().await,
            Self::Complete => request.send_json(&body(number, false, 1)).await,
            Self::FirstEvent | Self::Streamed => {
                request.send_json(&body(number, true, STREAM_TOKENS)).await
            }
        };
        let mut response = sent
            .ok()
            .filter(|response| response.status().is_success())?;
        let mut first_event = None;
        let mut last_chunk = Bytes::new();
        while let Some(chunk) = response.next().await {
            first_event.get_or_insert_with(|| start.elapsed());
            last_chunk = chunk.ok()?;
        }
        match self {
            Self::Plain | Self::Complete => Some(start.elapsed()),
            _ if !last_chunk.ends_with(b"[DONE]\n\n") => None,
            Self::FirstEvent => first_event,
            Self::Streamed => Some(start.elapsed()),
        }
    }
}

fn headers(request: ClientRequest) -> ClientRequest {
    request
        .insert_header(("authorization", format!("Bearer {KEY}")))
        .insert_header(("x-attempt-id", "0000000000000001"))
}

fn body(number: usize, stream: bool, tokens: u64) -> serde_json::Value {
    json!({
        "model": "quill-llm",
        "version": "v1",
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{ "role": "user", "content": format!("Letter {number}") }],
    })
}

/// Runs the measurement and prints its results.
pub fn run(options: &Path) -> Result<(), Error> {
    actix_rt::System::new().block_on(measure(options))
}

async fn measure(options: &Path) -> Result<(), Error> {
    let fakes = Fakes::bind(options.fakes)?;
    let router = Router::bind(fakes.settings(options)?, log::discard())?;
    while router.ready_engines().await < options.fakes {
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    let router_address = router.address();
    println!(
        "router at {router_address}: {} serving threads and one for decisions; {} fakes of each sort; \
         client: {} threads",
        options.workers, options.fakes, options.clients
    );
    println!(
        "\nlatency of single requests, one connection each, in turns, {} requests each side",
        options.requests
    );
    println!(
        "{:<28}{:>14}{:>14}{:>14}{:>14}{:>12}{:>12}",
        "", "direct p50 us", "p99 us", "router p50 us", "p99 us", "added p50", "added p99"
    );
    for kind in Kind::LATENCY {
        let (direct, proxied) =
            latency(options, kind, fakes.direct(kind)[0], router_address).await?;
        print_latency(kind, &direct, &proxied);
    }
    println!(
        "\nrequests a second, {} connections, {} s each side",
        options.connections, options.seconds
    );
    println!(
        "{:<28}{:>14}{:>14}{:>14}{:>14}{:>12}",
        "", "direct req/s", "p99 us", "router req/s", "p99 us", "events/s"
    );
    for kind in Kind::THROUGHPUT {
        let direct = throughput(options, kind, fakes.direct(kind)).await?;
        let proxied = throughput(options, kind, vec![router_address]).await?;
        print_throughput(options, kind, &direct, &proxied);
    }
    router.stop().await;
    Ok(())
}

fn print_latency(kind: Kind, direct: &Histogram<u64>, proxied: &Histogram<u64>) {
    let us = |histogram: &Histogram<u64>, quantile| {
        histogram.value_at_quantile(quantile) as f64 / 1_000.0
    };
    let added = |quantile| us(proxied, quantile) - us(direct, quantile);
    println!(
        "{:<28}{:>14.1}{:>14.1}{:>14.1}{:>14.1}{:>12.1}{:>12.1}",
        kind.name(),
        us(direct, 0.5),
        us(direct, 0.99),
        us(proxied, 0.5),
        us(proxied, 0.99),
        added(0.5),
        added(0.99),
    );
}

fn print_throughput(options: &Path, kind: Kind, direct: &Histogram<u64>, proxied: &Histogram<u64>) {
    let rate = |histogram: &Histogram<u64>| histogram.len() as f64 / options.seconds as f64;
    let p99 = |histogram: &Histogram<u64>| histogram.value_at_quantile(0.99) as f64 / 1_000.0;
    let events = match kind {
        // A closing chunk and an end marker follow the tokens.
        Kind::Streamed => rate(proxied) * (STREAM_TOKENS + 2) as f64,
        _ => 0.0,
    };
    println!(
        "{:<28}{:>14.0}{:>14.0}{:>14.0}{:>14.0}{:>12.0}",
        kind.name(),
        rate(direct),
        p99(direct),
        rate(proxied),
        p99(proxied),
        events,
    );
}

struct Fakes {
    engines: Vec<Engine>,
    plain: Vec<Plain>,
}

impl Fakes {
    fn bind(count: usize) -> Result<Self, Error> {
        let engines = (0..count).map(|number| {
            Engine::bind(engine::Options {
                name: format!("engine-{number}").into(),
                ..engine::Options::default()
            })
        });
        let plain = (0..count).map(|_| Plain::bind(&"match-desk".into()));
        Ok(Self {
            engines: engines.collect::<Result<_, _>>().context(FakeSnafu)?,
            plain: plain.collect::<Result<_, _>>().context(FakeSnafu)?,
        })
    }

    fn direct(&self, kind: Kind) -> Vec<SocketAddr> {
        match kind {
            Kind::Plain => self.plain.iter().map(Plain::address).collect(),
            _ => self.engines.iter().map(Engine::address).collect(),
        }
    }

    fn settings(&self, options: &Path) -> Result<Settings, Error> {
        let mut settings = Settings::parse("host = \"measure\"\nzone = \"a\"")?;
        settings.listen = ([127, 0, 0, 1], 0).into();
        settings.workers = options.workers;
        settings.balancer_delay = Duration::ZERO;
        settings.documents = Some(options.documents.clone());
        let mut add = |name: String, address, service: Option<&str>| {
            settings.upstreams.push(settings::Upstream {
                name: name.into(),
                address,
                zone: "a".into(),
                service: service.map(Into::into),
            });
        };
        for (number, engine) in self.engines.iter().enumerate() {
            add(format!("engine-{number}"), engine.address(), None);
        }
        for (number, plain) in self.plain.iter().enumerate() {
            add(
                format!("match-desk-{number}"),
                plain.address(),
                Some("match-desk"),
            );
        }
        Ok(settings)
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_NS, 3).expect("the bounds are valid")
}

fn client() -> Client {
    let connector = Connector::new().limit(0);
    Client::builder()
        .connector(connector)
        .timeout(Duration::from_secs(30))
        .finish()
}

/// Sends sequential requests, alternating between direct and routed.
async fn latency(
    options: &Path,
    kind: Kind,
    direct: SocketAddr,
    proxied: SocketAddr,
) -> Result<(Histogram<u64>, Histogram<u64>), Error> {
    let client = client();
    let mut sides = [(direct, histogram()), (proxied, histogram())];
    let mut failed = 0;
    // The first tenth are extra requests that warm up both sides and aren't recorded.
    let warmup = options.requests / 10;
    for number in 0..options.requests + warmup {
        for (address, times) in &mut sides {
            match kind.send(&client, *address, number).await {
                Some(time) if number >= warmup => times.saturating_record(time.as_nanos() as u64),
                Some(_) => {}
                None => failed += 1,
            }
        }
    }
    let [(_, direct), (_, proxied)] = sides;
    check_failures(kind, failed)?;
    Ok((direct, proxied))
}

/// Sends as many requests as possible over all connections concurrently.
async fn throughput(
    options: &Path,
    kind: Kind,
    addresses: Vec<SocketAddr>,
) -> Result<Histogram<u64>, Error> {
    let next = Arc::new(AtomicUsize::new(0));
    let connections = options.connections.div_ceil(options.clients);
    let seconds = options.seconds;
    let threads: Vec<_> = (0..options.clients)
        .map(|_| {
            let next = Arc::clone(&next);
            let addresses = addresses.clone();
            thread::spawn(move || {
                let system = actix_rt::System::new();
                system.block_on(load(kind, addresses, connections, seconds, next))
            })
        })
        .collect();
    let joined = actix_rt::task::spawn_blocking(move || {
        let joined = threads.into_iter().map(thread::JoinHandle::join);
        joined
            .collect::<Result<Vec<_>, _>>()
            .expect("a client panicked")
    });
    let mut all = histogram();
    let mut failed = 0;
    for (times, failures) in joined.await.expect("the clients were joined") {
        all.add(times).expect("the same bounds");
        failed += failures;
    }
    check_failures(kind, failed)?;
    Ok(all)
}

async fn load(
    kind: Kind,
    addresses: Vec<SocketAddr>,
    connections: usize,
    seconds: u64,
    next: Arc<AtomicUsize>,
) -> (Histogram<u64>, u64) {
    let client = client();
    let end = Instant::now() + Duration::from_secs(seconds);
    let tasks: Vec<_> = (0..connections)
        .map(|index| {
            let client = client.clone();
            let address = addresses[index % addresses.len()];
            let next = Arc::clone(&next);
            actix_rt::spawn(async move {
                let mut times = histogram();
                let mut failed = 0;
                while Instant::now() < end {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    match kind.send(&client, address, number).await {
                        Some(time) => times.saturating_record(time.as_nanos() as u64),
                        None => failed += 1,
                    }
                }
                (times, failed)
            })
        })
        .collect();
    let mut all = histogram();
    let mut failed = 0;
    for task in tasks {
        let (times, failures) = task.await.expect("the task ended");
        all.add(times).expect("the same bounds");
        failed += failures;
    }
    (all, failed)
}

fn check_failures(kind: Kind, failed: u64) -> Result<(), Error> {
    if failed == 0 {
        return Ok(());
    }
    FailedSnafu {
        kind: kind.name(),
        failed,
    }
    .fail()
}
