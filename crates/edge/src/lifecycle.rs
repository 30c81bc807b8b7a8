//! Shutdown state and the count of in-flight requests.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;

/// Time after which the balancer sends no new connections to a host that is shutting down: it
/// checks readiness once a second and removes a host after two failed checks.
pub const DEREGISTRATION: Duration = Duration::from_millis(2_600);

/// Shutdown state and the count of in-flight requests.
#[derive(Debug, Default)]
pub struct Lifecycle {
    leaving_since: Cell<Option<Instant>>,
    in_flight: Cell<usize>,
    connections: Cell<usize>,
    changed: Notify,
}

impl Lifecycle {
    /// Starts the shutdown.
    pub fn leave(&self) {
        if self.leaving_since.get().is_none() {
            self.leaving_since.set(Some(Instant::now()));
            self.changed.notify_waiters();
        }
    }

    /// Whether the shutdown has started.
    pub const fn is_leaving(&self) -> bool {
        self.leaving_since.get().is_some()
    }

    /// Time since the shutdown started.
    pub fn leaving_for(&self) -> Option<Duration> {
        self.leaving_since.get().map(|since| since.elapsed())
    }

    /// Whether the balancer no longer sends new connections.
    pub fn is_deregistered(&self) -> bool {
        self.leaving_for()
            .is_some_and(|time| time >= DEREGISTRATION)
    }

    /// Waits until the balancer no longer sends new connections.
    pub async fn deregistered(&self) {
        self.shutdown_elapsed(DEREGISTRATION).await;
    }

    /// Waits until a time has passed since the shutdown started.
    pub async fn shutdown_elapsed(&self, time: Duration) {
        loop {
            let changed = self.changed.notified();
            if let Some(since) = self.leaving_since.get() {
                return tokio::time::sleep_until((since + time).into()).await;
            }
            changed.await;
        }
    }

    /// Number of in-flight requests.
    pub const fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Counts a request as in-flight until the guard is dropped.
    pub fn track(&self) -> Guard<'_> {
        Guard::start(&self.in_flight)
    }

    /// Counts a connection as open until the guard is dropped.
    pub fn track_connection(&self) -> Guard<'_> {
        Guard::start(&self.connections)
    }

    /// Whether no request is in flight and no connection is open, on which one may be arriving.
    pub const fn is_idle(&self) -> bool {
        self.in_flight.get() == 0 && self.connections.get() == 0
    }
}

/// An in-flight request or an open connection.
#[derive(Debug)]
pub struct Guard<'a>(&'a Cell<usize>);

impl<'a> Guard<'a> {
    fn start(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
