//! Runs an edit of a document against the key-value service.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rand::TryRngCore as _;
use rand::rngs::OsRng;
use snipeusher::config::Author;
use snipeusher::config::Change;
use snipeusher::config::Edit;
use snipeusher::config::EditId;
use snipeusher::config::Outcome;
use snipeusher::config::Step;
use snipeusher::kv::Revision;
use snipeusher::time::Time;
use snipeusher_store::Gateway;
use snipeusher_store::Store as _;

/// Applies a change, with retries until the timeout, and returns its outcome.
pub(crate) async fn execute(
    gateway: &Gateway,
    change: Change,
    author_name: String,
    expected: Option<Revision>,
    timeout: Duration,
) -> Outcome {
    let started = Instant::now();
    let now = || Time::default() + started.elapsed();
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let author = Author {
        name: author_name,
        at_ms: since_epoch.unwrap_or_default().as_millis() as u64,
    };
    let mut bytes = [0; 16];
    if OsRng.try_fill_bytes(&mut bytes).is_err() {
        return Outcome::Unavailable;
    }
    let id = EditId(u128::from_be_bytes(bytes));
    let deadline = now() + timeout;
    let mut edit = Edit::new(change, author, id, expected, now(), deadline);
    edit.handle(now(), None);
    loop {
        let Some(step) = edit.drain().next() else {
            let delay = edit.next_wake().since(now());
            actix_rt::time::sleep(delay).await;
            edit.handle(now(), None);
            continue;
        };
        match step {
            Step::Done(outcome) => return outcome,
            Step::Call { id, call } => {
                let result = gateway.call(call).await;
                edit.handle(now(), Some((id, result)));
            }
        }
    }
}
