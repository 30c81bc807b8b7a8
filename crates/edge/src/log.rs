//! Set-up of the log: JSON lines on standard output, written by a thread of their own.

use slog::Drain as _;
use slog::Logger;
use slog::o;
use slog_async::AsyncGuard;
use slog_async::OverflowStrategy;
use snipeusher::name;

/// Records that wait for the writing thread; more are dropped and counted, so that a reader
/// which stalls delays no request.
const QUEUE: usize = 2_048;

/// Opens the root logger of a host; what waits is written when the guard is dropped.
pub fn open(host: &name::Host) -> (Logger, AsyncGuard) {
    let drain = slog_json::Json::default(std::io::stdout()).ignore_res();
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(QUEUE)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let host = host.as_str().to_owned();
    (Logger::root(drain.ignore_res(), o!("host" => host)), guard)
}
