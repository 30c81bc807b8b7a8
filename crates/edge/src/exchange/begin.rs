//! Streams that begin while other routers presume the version of those without a record.
//!
//! Such a stream is announced to its holders before its caller receives the first event. See
//! `docs/design/stream-holders.md`.

use std::time::Instant;

use actix_http::StatusCode;
use snipeusher::stream::Id;
use snipeusher::stream::Origin;

use super::Exchange;
use crate::dialect::Platform;

impl<P: Platform> Exchange<'_, P> {
    /// Has the stream whose first events have arrived begin: announces it if other routers may
    /// presume another version, and records which version began it.
    pub(super) async fn begin(&mut self, status: StatusCode) {
        let began = self.new_stream().zip(self.new_origin());
        let announced = began.filter(|(_, origin)| self.needs_announcement(origin));
        if let Some((stream, origin)) = &announced
            && !self.streams.announce(self.shared, *stream, origin).await
        {
            self.shared.metrics.stream_begun("unannounced");
        }
        self.record_origin();
        if let Some((stream, origin)) = announced {
            self.streams.confirm(self.shared, stream, origin);
        }
        self.status.get_or_insert(status);
        self.first_byte.get_or_insert_with(Instant::now);
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
}
