//! Whether the process takes new work.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;

/// Time after which a host that leaves gets no new connections from the balancer, which asks once
/// a second and takes a host out after two misses.
pub const DEREGISTRATION: Duration = Duration::from_millis(2_600);

/// Where the process is between its start and its end.
#[derive(Debug, Default)]
pub struct Lifecycle {
    leaving: Cell<Option<Instant>>,
    in_flight: Cell<usize>,
    changed: Notify,
}

impl Lifecycle {
    /// Begins to leave.
    pub fn leave(&self) {
        if self.leaving.get().is_none() {
            self.leaving.set(Some(Instant::now()));
            self.changed.notify_waiters();
        }
    }

    /// Whether it is leaving.
    pub const fn is_leaving(&self) -> bool {
        self.leaving.get().is_some()
    }

    /// How long it has been leaving.
    pub fn leaving_for(&self) -> Option<Duration> {
        self.leaving.get().map(|since| since.elapsed())
    }

    /// Whether only connections that were open before are left.
    pub fn is_deregistered(&self) -> bool {
        self.leaving_for()
            .is_some_and(|time| time >= DEREGISTRATION)
    }

    /// Waits until only connections that were open before are left.
    pub async fn deregistered(&self) {
        loop {
            let changed = self.changed.notified();
            if let Some(since) = self.leaving.get() {
                return tokio::time::sleep_until((since + DEREGISTRATION).into()).await;
            }
            changed.await;
        }
    }

    /// Requests in progress.
    pub const fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Counts a request until the guard is dropped.
    pub fn track(&self) -> Guard<'_> {
        self.in_flight.set(self.in_flight.get() + 1);
        Guard(self)
    }
}

/// A request in progress.
#[derive(Debug)]
pub struct Guard<'a>(&'a Lifecycle);

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
