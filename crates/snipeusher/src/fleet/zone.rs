//! Whether an availability zone can be reached, judged by all its upstreams.

use std::time::Duration;

use crate::time::Time;

/// Upstreams lost in a row, with no word from any other of the zone, that make it dark.
const LOSSES_MAX: u32 = 2;
/// Time between two connections that are tried to a dark zone.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// What is known of one availability zone.
///
/// A partition takes all upstreams of a zone at once. Waiting until each of them has failed by
/// itself would cost requests that must not be repeated.
#[derive(Clone, Debug, Default)]
pub struct Zone {
    losses: u32,
    probe_at: Time,
}

impl Zone {
    /// An upstream of the zone was heard.
    pub const fn record_activity(&mut self) {
        self.losses = 0;
    }

    /// An upstream of the zone fell silent or cannot be reached.
    pub const fn record_loss(&mut self) {
        self.losses = self.losses.saturating_add(1);
    }

    /// Whether requests are better sent to other zones.
    pub const fn is_unreachable(&self) -> bool {
        self.losses >= LOSSES_MAX
    }

    /// Whether a connection is to be tried at `now`; the next one is due a while later.
    pub fn take_due_probe(&mut self, now: Time) -> bool {
        let is_due = self.is_unreachable() && self.probe_at <= now;
        if is_due {
            self.probe_at = now + PROBE_INTERVAL;
        }
        is_due
    }
}
