//! Accounting of in-flight requests at upstreams.

use slog::warn;
use snipeusher::fleet::Outcome;
use snipeusher::name;

use crate::dialect::Platform;
use crate::shared::Shared;

/// An in-flight request at an upstream.
///
/// Updates the load and health of the upstream when dropped, also if the caller disconnects.
pub(crate) struct Guard<'a, P: Platform> {
    shared: &'a Shared<P>,
    upstream: name::Upstream,
    outcome: Outcome,
}

impl<'a, P: Platform> Guard<'a, P> {
    pub(crate) fn start(shared: &'a Shared<P>, upstream: name::Upstream) -> Self {
        let now = shared.now();
        shared.fleet.borrow_mut().record_sent(now, &upstream);
        Self {
            shared,
            upstream,
            outcome: Outcome::Abandoned,
        }
    }

    /// Records that bytes of the response arrived.
    pub(crate) fn record_activity(&self) {
        let now = self.shared.now();
        self.shared
            .fleet
            .borrow_mut()
            .record_activity(now, &self.upstream);
    }

    /// Records that the response is not read until the returned guard is dropped, since the caller
    /// does not read.
    pub(crate) fn pause_reading(&self) -> Unread<'_, P> {
        let mut fleet = self.shared.fleet.borrow_mut();
        fleet.record_unread(&self.upstream);
        Unread {
            shared: self.shared,
            upstream: &self.upstream,
        }
    }

    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

/// A response that is not read, so that the silence of its upstream shows nothing.
pub(crate) struct Unread<'a, P: Platform> {
    shared: &'a Shared<P>,
    upstream: &'a name::Upstream,
}

impl<P: Platform> Drop for Unread<'_, P> {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut fleet = self.shared.fleet.borrow_mut();
        fleet.record_read(now, self.upstream);
    }
}

impl<P: Platform> Drop for Guard<'_, P> {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut fleet = self.shared.fleet.borrow_mut();
        // If the upstream was silent, an abandoned request counts as its failure, whether the
        // caller or the router ended it. Idle connections to the upstream may be broken as well,
        // so they are closed.
        let upstream = fleet.upstream(&self.upstream);
        let is_silent = upstream.is_some_and(|upstream| upstream.is_silent(now));
        if self.outcome == Outcome::Abandoned && is_silent {
            self.outcome = Outcome::Lost;
            self.shared.pool.borrow_mut().close(&self.upstream);
        }
        self.shared.metrics.attempt(self.outcome);
        if fleet.record_outcome(now, &self.upstream, self.outcome) {
            warn!(self.shared.log, "upstream: set aside";
                "upstream" => self.upstream.as_str(), "outcome" => ?self.outcome);
            self.shared.pool.borrow_mut().close(&self.upstream);
            self.shared.outage.notify_one();
        }
    }
}
