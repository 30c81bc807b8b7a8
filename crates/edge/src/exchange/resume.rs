//! Streams that a caller takes up after its connection broke, here or at another router.
//!
//! Such a stream may go on only at the software version that began it. The router knows the version
//! if it began the stream itself or a peer sent it the origin; else it asks the peers that should
//! have a copy. A stream whose version cannot be determined is refused, since a wrong continuation
//! is worse than none. See `docs/platform.md#streams`.

use std::time::Duration;

use slog::info;
use snipeusher::stream::Id;
use snipeusher::stream::Origin;

use super::Exchange;
use crate::dialect::Platform;
use crate::peer::Answer;
use crate::peer::Question;
use crate::refusal::Refusal;

/// How the origin of a stream was determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// From this router's memory.
    Memory,
    /// From the answer of a peer.
    Peer,
    /// All upstreams of the service run one version.
    SoleBuild,
}

impl Source {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Peer => "peer",
            Self::SoleBuild => "sole_build",
        }
    }
}

impl<P: Platform> Exchange<'_, P> {
    /// Restricts a request that takes a stream up to the service and version that began it.
    pub(super) async fn restrict_to_origin(&mut self) -> Result<(), Refusal> {
        if !self.admitted.takes_up_stream() {
            return Ok(());
        }
        let Some((origin, source)) = self.find_origin().await else {
            self.shared.metrics.stream_taken_up("unknown_origin");
            return Err(self.not_run("unknown_origin", self.retry_after()));
        };
        info!(self.shared.log, "stream: taken up";
            "id" => self.admitted.request.id.as_deref(),
            "resumes" => self.admitted.request.resumes.as_deref(),
            "service" => origin.service.as_str(), "build" => origin.build.as_str(),
            "source" => source.as_str());
        if !self.admitted.select_service(&origin.service) {
            self.shared.metrics.stream_taken_up("service_changed");
            return Err(self.not_run("service_changed", self.retry_after()));
        }
        self.shared.metrics.stream_taken_up(source.as_str());
        self.origin = Some(origin);
        Ok(())
    }

    async fn find_origin(&self) -> Option<(Origin, Source)> {
        // Callers that do not name a stream belong to platforms whose upstreams run one version.
        let Some(named) = self.admitted.request.resumes.as_deref() else {
            return self.sole_origin(Duration::ZERO);
        };
        let id = Id::of_request(named);
        let known = self.shared.origins.borrow().get(id).cloned();
        if let Some(origin) = known {
            return Some((origin, Source::Memory));
        }
        // Upstreams that a router never knew may have begun a stream of longer ago.
        let age = self.admitted.route.timeout;
        let question = Question {
            stream: id,
            service: self.admitted.target.service.clone(),
            age_ms: age.as_millis() as u64,
        };
        match self.streams.ask(self.shared, question).await {
            Answer::Recorded(origin) => Some((origin, Source::Peer)),
            // A peer may not have heard of a second version that this router knows.
            Answer::Sole(origin) => {
                let now = self.shared.now();
                let fleet = self.shared.fleet.borrow();
                let is_mixed = fleet.has_several_builds(now, &origin.service);
                (!is_mixed).then_some((origin, Source::Peer))
            }
            Answer::Unknown => self.sole_origin(age),
            // This router may be cut off and know an old list of upstreams.
            Answer::Silent => None,
        }
    }

    /// The origin of all streams of the service while all its upstreams run one version.
    fn sole_origin(&self, age: Duration) -> Option<(Origin, Source)> {
        let service = &self.admitted.target.service;
        let origin = self.shared.sole_origin(service, age)?;
        Some((origin, Source::SoleBuild))
    }

    /// Records which version began the stream whose first events are passed on, so that it is
    /// resumed only at this version.
    pub(super) fn record_origin(&mut self) {
        if self.origin.is_some() || !self.admitted.is_resumable() {
            return;
        }
        let Some(build) = self.build.clone() else {
            return;
        };
        let origin = Origin {
            service: self.admitted.target.service.clone(),
            build,
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
}
