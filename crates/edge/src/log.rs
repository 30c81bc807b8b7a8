//! Set-up of the log: JSON lines on standard output, written by a thread of their own.

use slog::Drain as _;
use slog::Logger;
use slog::o;
use slog_async::AsyncGuard;
use slog_async::OverflowStrategy;

/// Records that wait for the writing thread; more are dropped and counted, so that a reader
/// which stalls delays no request.
const QUEUE: usize = 2_048;

/// Opens the root logger; what waits is written when the guard is dropped.
pub fn open() -> (Logger, AsyncGuard) {
    let drain = slog_json::Json::default(std::io::stdout()).ignore_res();
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(QUEUE)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    (Logger::root(drain.ignore_res(), o!()), guard)
}
