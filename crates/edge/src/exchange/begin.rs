//! Streams that begin while other routers presume the version of those without a record.
//!
//! Such a stream is announced to its holders before its caller receives the first event. While that
//! fails, resumable streams begin at the version which the others presume, and one whose first event
//! has arrived already runs again there. See `docs/design/stream-holders.md`.

use std::time::Instant;

use actix_http::StatusCode;
use slog::debug;
use slog::info;
use snipeusher::fleet::Outcome;
use snipeusher::name;
use snipeusher::stream::Id;
use snipeusher::stream::Origin;

use super::Exchange;
use super::Step;
use crate::dialect::Platform;
use crate::events::Parser;
use crate::in_flight::Guard;

/// A stream whose holders did not acknowledge it, so that no event of it may be passed on.
#[derive(Debug)]
pub(super) struct Unannounced {
    /// Version at which it began.
    build: name::Build,
    /// Version that other routers may presume.
    incumbent: name::Build,
}

impl<P: Platform> Exchange<'_, P> {
    /// Restricts a resumable stream to the version that other routers may presume, unless its
    /// holders can be expected to acknowledge an announcement.
    pub(super) fn restrict_to_incumbent(&mut self) {
        let Some(stream) = self.new_stream() else {
            return;
        };
        let Some(incumbent) = self.unrecorded_build() else {
            return;
        };
        if self.streams.can_announce(self.shared, stream) {
            return;
        }
        debug!(self.shared.log, "stream: kept to the version before";
            "id" => self.admitted.request.id.as_deref(), "build" => incumbent.as_str());
        self.shared.metrics.stream_begun("kept_to_incumbent");
        self.incumbent = Some(incumbent);
    }

    /// Has the stream whose first events have arrived begin: announces it if other routers may
    /// presume another version, and records which version began it.
    ///
    /// # Errors
    ///
    /// If the announcement was not acknowledged, the events must not be passed on.
    pub(super) async fn begin(&mut self, status: StatusCode) -> Result<(), Unannounced> {
        self.announce().await?;
        self.status.get_or_insert(status);
        self.first_byte.get_or_insert_with(Instant::now);
        Ok(())
    }

    async fn announce(&mut self) -> Result<(), Unannounced> {
        let began = self.new_stream().zip(self.new_origin());
        let Some((stream, origin)) = began.filter(|(_, origin)| self.needs_announcement(origin))
        else {
            self.record_origin();
            return Ok(());
        };
        if !self.streams.announce(self.shared, stream, &origin).await {
            // Without an upstream of the incumbent version, or at a router that does not know which it
            // is, the stream begins all the same.
            if let Some(incumbent) = self.unrecorded_build() {
                return Err(Unannounced {
                    build: origin.build,
                    incumbent,
                });
            }
            self.shared.metrics.stream_begun("unannounced");
        }
        self.record_origin();
        self.streams.confirm(self.shared, stream, origin);
        Ok(())
    }

    /// Discards the first events of a stream, of which its caller has received none, and has the
    /// request run again at the version that other routers may presume.
    pub(super) fn run_at_incumbent(
        &mut self,
        unannounced: Unannounced,
        guard: Guard<'_, P>,
    ) -> Step {
        info!(self.shared.log, "stream: not announced";
            "id" => self.admitted.request.id.as_deref(),
            "build" => unannounced.build.as_str(),
            "incumbent" => unannounced.incumbent.as_str());
        self.shared.metrics.stream_begun("not_announced");
        self.events = Parser::after(self.admitted.request.last_event.clone());
        self.incumbent = Some(unannounced.incumbent);
        guard.finish(Outcome::Abandoned);
        Step::Lost
    }

    /// Records which version began the stream whose first events are passed on, so that it is resumed
    /// only at this version.
    pub(super) fn record_origin(&mut self) {
        let Some(origin) = self.new_origin() else {
            return;
        };
        self.origin = Some(origin.clone());
        let Some(id) = self.admitted.request.id.as_deref() else {
            return;
        };
        let now = self.shared.now();
        let mut origins = self.shared.origins.borrow_mut();
        if origins.record(now, Id::of_request(id), origin) {
            self.shared.new_origins.notify_one();
        }
    }

    /// Records what began a stream that goes on here, so that it can be resumed again for as long as
    /// it may last from now on.
    pub(super) fn renew_origin(&self, origin: &Origin) {
        let Some(began) = self.admitted.request.resumes.as_deref() else {
            return;
        };
        let now = self.shared.now();
        let mut origins = self.shared.origins.borrow_mut();
        if origins.record(now, Id::of_request(began), origin.clone()) {
            self.shared.new_origins.notify_one();
        }
    }

    /// The stream that the request begins, if its caller can resume it by name.
    fn new_stream(&self) -> Option<Id> {
        let is_new = self.origin.is_none() && self.admitted.is_resumable();
        let id = self.admitted.request.id.as_deref().filter(|_| is_new)?;
        Some(Id::of_request(id))
    }

    /// What begins the stream, if it can be resumed and has not begun yet.
    fn new_origin(&self) -> Option<Origin> {
        let is_new = self.origin.is_none() && self.admitted.is_resumable();
        let build = self.build.clone().filter(|_| is_new)?;
        Some(Origin {
            service: self.admitted.target.service.clone(),
            build,
        })
    }

    fn needs_announcement(&self, origin: &Origin) -> bool {
        self.shared
            .needs_record(origin, self.admitted.route.timeout)
    }

    /// The version at which a stream begins that cannot be announced.
    fn unrecorded_build(&self) -> Option<name::Build> {
        let now = self.shared.now();
        let fleet = self.shared.fleet.borrow();
        let age = self.admitted.route.timeout;
        let build = fleet.unrecorded_build(now, &self.admitted.target.service, age);
        build.cloned()
    }
}
