//! A request at an upstream, counted until it ends.

use slog::warn;
use snipeusher::fleet::Outcome;
use snipeusher::name;

use crate::dialect::Platform;
use crate::shared::Shared;

/// A request at an upstream.
///
/// Whatever ends it, also a caller that leaves, the upstream's load and health are settled.
pub(crate) struct Guard<'a, P: Platform> {
    shared: &'a Shared<P>,
    upstream: name::Upstream,
    outcome: Outcome,
}

impl<'a, P: Platform> Guard<'a, P> {
    pub(crate) fn start(shared: &'a Shared<P>, upstream: name::Upstream) -> Self {
        let now = shared.now();
        shared.fleet.borrow_mut().start(now, &upstream);
        Self {
            shared,
            upstream,
            outcome: Outcome::Abandoned,
        }
    }

    /// The upstream said something.
    pub(crate) fn record_activity(&self) {
        let now = self.shared.now();
        self.shared.fleet.borrow_mut().heard(now, &self.upstream);
    }

    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl<P: Platform> Drop for Guard<'_, P> {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut fleet = self.shared.fleet.borrow_mut();
        // Whoever gave up on a silent upstream, the silence counts against it, and the connections
        // that are kept to it may be as silent as this one.
        let cell = fleet.cell(&self.upstream);
        let is_silent = cell.is_some_and(|cell| cell.is_silent(now));
        if self.outcome == Outcome::Abandoned && is_silent {
            self.outcome = Outcome::Lost;
            self.shared.pool.borrow_mut().close(&self.upstream);
        }
        self.shared.metrics.attempt(self.outcome);
        if fleet.end(now, &self.upstream, self.outcome) {
            warn!(self.shared.log, "upstream: set aside";
                "upstream" => self.upstream.as_str(), "outcome" => ?self.outcome);
            self.shared.pool.borrow_mut().close(&self.upstream);
        }
    }
}
