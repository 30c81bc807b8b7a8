//! Reachability of an availability zone, judged by all its upstreams.

use std::time::Duration;

use crate::time::Time;

/// Consecutive losses of upstreams after which the zone counts as unreachable; an answer of any
/// upstream of the zone resets the count.
const LOSSES_MAX: u32 = 2;
/// Time between connection attempts to an unreachable zone.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Time after a report of a peer for which further ones are ignored. Otherwise a false report could
/// circulate between routers for ever.
pub(super) const REPORTS_IGNORED_FOR: Duration = Duration::from_secs(2);

/// Reachability of one availability zone.
///
/// A network partition cuts off all upstreams of a zone at once. Waiting for each of them to fail
/// separately would lose requests that must not be retried.
#[derive(Clone, Debug, Default)]
pub struct Zone {
    losses: u32,
    probe_at: Time,
    /// Connection attempts so far, which go to the upstreams of the zone in turn.
    probes: usize,
    reports_ignored_until: Time,
}

impl Zone {
    /// Resets the losses, since an upstream of the zone sent something or accepted a connection.
    pub const fn record_activity(&mut self) {
        self.losses = 0;
    }

    /// Counts an upstream of the zone that fell silent or cannot be reached. Returns whether the
    /// zone is newly unreachable.
    pub const fn record_loss(&mut self) -> bool {
        self.losses = self.losses.saturating_add(1);
        self.losses == LOSSES_MAX
    }

    /// Marks the zone unreachable, as reported by a peer, until a connection succeeds. Returns
    /// whether this is news.
    pub fn record_report(&mut self, now: Time) -> bool {
        let is_news = !self.is_unreachable() && now >= self.reports_ignored_until;
        if is_news {
            self.losses = LOSSES_MAX;
            self.probe_at = now;
            self.reports_ignored_until = now + REPORTS_IGNORED_FOR;
        }
        is_news
    }

    /// Whether upstreams of other zones are preferred.
    pub const fn is_unreachable(&self) -> bool {
        self.losses >= LOSSES_MAX
    }

    /// Which of `count` upstreams of the zone to connect to at `now`, if an attempt is due. A
    /// single upstream that is down thus does not keep the zone unreachable.
    pub fn take_due_probe(&mut self, now: Time, count: usize) -> Option<usize> {
        if !self.is_unreachable() || self.probe_at > now || count == 0 {
            return None;
        }
        self.probe_at = now + PROBE_INTERVAL;
        self.probes = self.probes.wrapping_add(1);
        Some(self.probes % count)
    }
}
