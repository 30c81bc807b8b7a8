//! Command-line arguments and shutdown by signals.

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

/// Errors that end the daemon.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings are invalid.
    #[snafu(transparent)]
    Settings {
        /// The cause.
        source: settings::Error,
    },
    /// The router failed to start.
    #[snafu(transparent)]
    Router {
        /// The cause.
        source: snipeusher_router::Error,
    },
    /// A signal handler cannot be installed.
    #[snafu(display("cannot wait for signals: {source}"))]
    Signal {
        /// The cause.
        source: io::Error,
    },
}

/// Checks the settings, or runs the router until a signal arrives. The exit code is 1 if requests
/// were still in flight at the end of the shutdown timeout.
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
