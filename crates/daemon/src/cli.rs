//! Command line, settings and signals.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use slog::info;
use snafu::ResultExt as _;
use snafu::Snafu;
use snipeusher_router::Router;
use snipeusher_router::log;
use snipeusher_router::settings;
use snipeusher_router::settings::Settings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Router before model engines and plain services.
///
/// It shuts down on SIGTERM or SIGINT: the health check fails first, then new work is refused,
/// and it ends once all requests in flight have ended.
#[derive(Debug, FromArgs)]
pub struct Cli {
    /// settings file (TOML)
    #[argh(option, short = 's')]
    settings: PathBuf,
    /// check the settings and the files that they name, then exit
    #[argh(switch)]
    check: bool,
}

/// Why the daemon does not run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings cannot be used.
    #[snafu(transparent)]
    Settings {
        /// The cause.
        source: settings::Error,
    },
    /// The router does not start.
    #[snafu(transparent)]
    Router {
        /// The cause.
        source: snipeusher_router::Error,
    },
    /// Signals cannot be waited for.
    #[snafu(display("cannot wait for signals: {source}"))]
    Signal {
        /// The cause.
        source: io::Error,
    },
}

/// Checks the settings or serves until a signal; fails if requests did not end in time.
pub fn run(cli: &Cli) -> Result<ExitCode, Error> {
    let settings = Settings::open(&cli.settings)?;
    if cli.check {
        snipeusher_router::check(&settings)?;
        println!("{}: ok", cli.settings.display());
        return Ok(ExitCode::SUCCESS);
    }
    actix_rt::System::new().block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<ExitCode, Error> {
    let log = log::open(settings.log);
    let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalSnafu)?;
    let router = Router::bind(settings, log.clone())?;
    tokio::select! {
        _ = terminate.recv() => info!(log, "daemon: SIGTERM"),
        _ = interrupt.recv() => info!(log, "daemon: SIGINT"),
    }
    if router.stop().await {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::FAILURE)
    }
}
