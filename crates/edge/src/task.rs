//! Long-running tasks of the process.

use std::time::Duration;

use slog::Logger;
use slog::error;
use tokio::time::sleep;

/// Pause before a task is started again, so that one that fails at once does not occupy the
/// processor.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Runs a task that never returns. If it panics, the error is logged and the task is started again:
/// without it the process would go on with data that is never updated, and an exit would end the
/// requests in flight for a fault that may concern one message.
pub(crate) fn supervise<F, T>(log: &Logger, name: &'static str, start: F)
where
    F: Fn() -> T + 'static,
    T: Future<Output = ()> + 'static,
{
    let log = log.clone();
    actix_rt::spawn(async move {
        loop {
            match actix_rt::spawn(start()).await {
                Ok(()) => error!(log, "task: ended, starting it again"; "task" => name),
                Err(error) => {
                    error!(log, "task: failed, starting it again"; "task" => name, "error" => %error);
                }
            }
            sleep(RESTART_DELAY).await;
        }
    });
}
