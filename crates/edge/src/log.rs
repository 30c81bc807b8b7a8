//! Sets up the log: JSON lines on standard output, written by a separate thread.

use slog::Drain as _;
use slog::Logger;
use slog::o;
use slog_async::AsyncGuard;
use slog_async::OverflowStrategy;
use snipeusher::name;

/// Capacity of the queue to the writing thread. Further records are dropped and counted, so that a
/// stalled reader of the output delays no request.
const QUEUE_RECORDS: usize = 2_048;

/// Opens the root logger of a host. Dropping the guard writes the queued records.
pub fn open(host: &name::Host) -> (Logger, AsyncGuard) {
    let drain = slog_json::Json::default(std::io::stdout()).ignore_res();
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(QUEUE_RECORDS)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let host = host.as_str().to_owned();
    (Logger::root(drain.ignore_res(), o!("host" => host)), guard)
}
