//! Construction of loggers.

use slog::Drain as _;
use slog::Logger;
use slog::o;

use crate::settings;

/// Opens the root logger, which writes to standard error without blocking its callers.
///
/// Records are dropped if standard error is closed or too slow.
pub fn open(format: settings::Log) -> Logger {
    match format {
        settings::Log::Human => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build().ignore_res();
            let drain = slog_async::Async::new(drain).build().ignore_res();
            Logger::root(drain, o!())
        }
        settings::Log::Json => {
            let drain = slog_json::Json::default(std::io::stderr()).ignore_res();
            let drain = slog_async::Async::new(drain).build().ignore_res();
            Logger::root(drain, o!())
        }
    }
}

/// Returns a logger that drops all records, for tests and measurements.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
