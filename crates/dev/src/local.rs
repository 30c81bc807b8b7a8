//! Runs a small fleet in one process on the loopback interface.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use snafu::ResultExt as _;
use snafu::Snafu;
use snipeusher::name;
use snipeusher::request::Variant;
use snipeusher_fakes::engine;
use snipeusher_fakes::engine::Engine;
use snipeusher_fakes::plain::Plain;
use snipeusher_router::Router;
use snipeusher_router::log;
use snipeusher_router::settings;
use snipeusher_router::settings::Settings;

const ZONE: &str = "et-central-a";
/// Bearer key of the example workspace, used in the printed commands.
const EXAMPLE_KEY: &str = "reading-circle-key";
/// Interval at which the startup checks whether all engines are ready.
const READY_POLL_INTERVAL_MS: u64 = 10;

/// Run a router, fake engines and a plain service in one process.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "local")]
pub struct Local {
    /// number of fake engines (default 3)
    #[argh(option, default = "3")]
    engines: usize,
    /// time of one output token in milliseconds (default 20)
    #[argh(option, default = "20")]
    token_ms: u64,
    /// folder with templates and workspaces (default examples)
    #[argh(option, default = "PathBuf::from(\"examples\")")]
    documents: PathBuf,
}

/// An error of the local fleet.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A fake upstream cannot start.
    #[snafu(display("cannot start {kind}: {source}"))]
    Fake {
        /// The kind of fake.
        kind: &'static str,
        /// The cause.
        source: io::Error,
    },
    /// The generated settings are invalid.
    #[snafu(display("{source}"))]
    Settings {
        /// The cause.
        source: settings::Error,
    },
    /// The router cannot start.
    #[snafu(display("{source}"))]
    Router {
        /// The cause.
        source: snipeusher_router::Error,
    },
    /// The handler of Ctrl-C cannot be installed.
    #[snafu(display("cannot wait for Ctrl-C: {source}"))]
    Signal {
        /// The cause.
        source: io::Error,
    },
}

/// Runs the fleet until Ctrl-C.
pub fn run(local: &Local) -> Result<(), Error> {
    actix_rt::System::new().block_on(serve(local))
}

async fn serve(local: &Local) -> Result<(), Error> {
    let engines = (1..=local.engines)
        .map(|number| engine(number, Duration::from_millis(local.token_ms)))
        .collect::<io::Result<Vec<_>>>()
        .context(FakeSnafu { kind: "an engine" })?;
    let plain = Plain::bind(&"match-desk".into()).context(FakeSnafu { kind: "a service" })?;
    let mut settings =
        Settings::parse(&format!("host = \"local\"\nzone = \"{ZONE}\"")).context(SettingsSnafu)?;
    settings.listen = ([127, 0, 0, 1], 0).into();
    settings.documents = Some(local.documents.clone());
    settings.balancer_delay = Duration::ZERO;
    for (name, engine) in &engines {
        settings.upstreams.push(settings::Upstream {
            name: name.clone(),
            address: engine.address(),
            zone: ZONE.into(),
            service: None,
        });
    }
    settings.upstreams.push(settings::Upstream {
        name: "match-desk-1".into(),
        address: plain.address(),
        zone: ZONE.into(),
        service: Some("match-desk".into()),
    });
    let upstreams = settings.upstreams.clone();
    let router = Router::bind(settings, log::open(settings::Log::Human)).context(RouterSnafu)?;
    while router.ready_engines().await < engines.len() {
        actix_rt::time::sleep(Duration::from_millis(READY_POLL_INTERVAL_MS)).await;
    }
    print_usage(&router, &upstreams);
    tokio::signal::ctrl_c().await.context(SignalSnafu)?;
    router.stop().await;
    for (_, engine) in &engines {
        engine.stop().await;
    }
    plain.stop().await;
    println!("stopped");
    Ok(())
}

fn engine(number: usize, output_token: Duration) -> io::Result<(name::Upstream, Engine)> {
    let name = name::Upstream::from(format!("engine-{number}"));
    let variant = |adapter: Option<&str>, version: &str| Variant {
        model: "quill-llm".into(),
        adapter: adapter.map(name::Adapter::from),
        version: version.into(),
    };
    let engine = Engine::bind(engine::Options {
        name: name.clone(),
        variants: vec![
            variant(None, "v1"),
            variant(None, "v2"),
            variant(Some("formal"), "v1"),
        ],
        output_token,
        ..engine::Options::default()
    })?;
    Ok((name, engine))
}

fn print_usage(router: &Router, upstreams: &[settings::Upstream]) {
    let address = router.address();
    println!("router        http://{address}");
    for upstream in upstreams {
        println!("{:<13} http://{}", upstream.name.as_str(), upstream.address);
    }
    println!(
        "\nA streamed chat; ask twice and X-Cached-Tokens rises:\n
  curl -sNi http://{address}/v1/chat/completions \\
    -H 'Authorization: Bearer {EXAMPLE_KEY}' -H 'Content-Type: application/json' \\
    -d '{{\"model\": \"quill-llm\", \"stream\": true, \"messages\": [{{\"role\": \"user\", \"content\": \"Draft a short letter to the reading circle about the meeting on Friday.\"}}]}}'

The plain service:\n
  curl -si http://{address}/match/pairings -H 'Authorization: Bearer {EXAMPLE_KEY}' -d 'a pairing'

State:\n
  curl -s http://{address}/status\n\nCtrl-C stops."
    );
}
