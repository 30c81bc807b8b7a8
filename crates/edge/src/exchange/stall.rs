//! Time limits between the events of a stream.
//!
//! Callers give up after a gap that depends on the route. Only complete events end a gap: neither
//! bytes of an unfinished event nor comments do. The time in which the caller does not read does
//! not count.

use std::time::Duration;

use snipeusher::route::Route;
use tokio::time::Instant;

/// Shortest gap between events after which callers give up.
const CALLER_GAP_MIN: Duration = Duration::from_secs(2);
/// Multiple of the route's latency objective up to which callers wait.
const OBJECTIVE_FACTOR: u32 = 4;
/// Multiple of the route's longest pause between events up to which callers wait.
const PAUSE_FACTOR: u32 = 8;
/// Part of the caller's time after which the stream is resumed elsewhere. The rest is for the other
/// upstream, which has to process the prompt.
const RESUME_DIVISOR: u32 = 2;
/// Interval between checks for another upstream once a stream is stalled.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Measures the gap since the last event of a stream.
#[derive(Debug)]
pub(super) struct Timer {
    /// Gap after which callers give up.
    limit: Duration,
    gap_since: Instant,
    check_at: Instant,
    has_event: bool,
}

impl Timer {
    /// Starts with the head of the response.
    pub(super) fn start(route: &Route) -> Self {
        let limit = caller_gap(route);
        let now = Instant::now();
        Self {
            limit,
            gap_since: now,
            check_at: now + limit / RESUME_DIVISOR,
            has_event: false,
        }
    }

    /// Starts a new gap, since an event was passed on.
    pub(super) fn record_event(&mut self) {
        self.has_event = true;
        self.gap_since = Instant::now();
        self.check_at = self.gap_since + self.limit / RESUME_DIVISOR;
    }

    /// Leaves out a time in which the caller did not read.
    pub(super) fn exclude(&mut self, unread: Duration) {
        self.gap_since += unread;
        self.check_at += unread;
    }

    /// When to check next whether the stream is to be resumed elsewhere or ended.
    pub(super) const fn check_at(&self) -> Instant {
        self.check_at
    }

    /// Schedules the next check after one without a result.
    pub(super) fn record_check(&mut self) {
        self.check_at = Instant::now() + CHECK_INTERVAL;
    }

    /// Whether callers have given up the stream. Before its first event only their deadline counts,
    /// since a prompt may wait for long in an upstream's queue.
    pub(super) fn is_over(&self) -> bool {
        self.has_event && self.gap_since.elapsed() >= self.limit
    }
}

/// The gap between events after which callers of a route give up.
fn caller_gap(route: &Route) -> Duration {
    let pause = route.max_event_gap.unwrap_or_default();
    let objective = route.objective.saturating_mul(OBJECTIVE_FACTOR);
    let pause = pause.saturating_mul(PAUSE_FACTOR);
    CALLER_GAP_MIN.max(objective).max(pause)
}
