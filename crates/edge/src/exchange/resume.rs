//! Streams that a caller takes up after its connection broke, here or at another router.
//!
//! Such a stream may go on only at the software version that began it. The router knows the version
//! if it began the stream itself or a peer sent it the origin; else it asks the peers that should
//! have a copy, then reads the records in the store. A stream whose version cannot be determined is
//! refused, since a wrong continuation is worse than none. See `docs/platform.md#streams`.

use std::time::Duration;

use slog::info;
use snipeusher::name;
use snipeusher::stream::Id;
use snipeusher::stream::Origin;

use super::Exchange;
use crate::dialect::Platform;
use crate::peer::Answer;
use crate::refusal::Refusal;

/// How the origin of a stream was determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// From this router's memory.
    Memory,
    /// From the answer of a peer.
    Peer,
    /// From a record in the store.
    Store,
    /// All upstreams of the service run one version.
    SoleBuild,
    /// Nobody has a record, and the second version appeared a short time ago.
    Presumed,
}

/// What the routers know of a stream.
enum Finding {
    /// What began it.
    Known(Origin, Source),
    /// What began it, unless the store has a record of it.
    Presumed(Origin),
    /// Nothing.
    Nothing,
}

/// Why the origin of a stream is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unknown {
    /// Nobody has a record of it.
    Unrecorded,
    /// The store does not answer in time.
    StoreUnavailable,
}

impl Unknown {
    /// Name in logs and metrics.
    const fn cause(self) -> &'static str {
        match self {
            Self::Unrecorded => "unknown_origin",
            Self::StoreUnavailable => "origin_store_unavailable",
        }
    }
}

impl Source {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Peer => "peer",
            Self::Store => "store",
            Self::SoleBuild => "sole_build",
            Self::Presumed => "presumed",
        }
    }
}

impl<P: Platform> Exchange<'_, P> {
    /// Restricts a request that takes a stream up to the service and version that began it.
    pub(super) async fn restrict_to_origin(&mut self) -> Result<(), Refusal> {
        if !self.admitted.takes_up_stream() {
            return Ok(());
        }
        let (origin, source) = match self.find_origin().await {
            Ok(found) => found,
            Err(unknown) => {
                self.shared.metrics.stream_taken_up(unknown.cause());
                return Err(self.not_run(unknown.cause(), self.known_in(unknown)));
            }
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
        self.renew_origin(&origin);
        self.origin = Some(origin);
        Ok(())
    }

    /// Time after which the origin may be known.
    fn known_in(&self, unknown: Unknown) -> Duration {
        let soon = self.retry_after();
        if unknown == Unknown::StoreUnavailable {
            return soon;
        }
        let service = &self.admitted.target.service;
        let age = self.admitted.route.timeout;
        let fleet = self.shared.fleet.borrow();
        let sole_in = fleet.sole_build_in(self.shared.now(), service, age);
        sole_in.map_or(soon, |time| time.max(soon))
    }

    async fn find_origin(&self) -> Result<(Origin, Source), Unknown> {
        // Upstreams that a router never knew may have begun a stream of longer ago.
        let age = self.admitted.route.timeout;
        let named = self.admitted.request.resumes.as_deref();
        let stream = named.map(Id::of_request);
        let presumed = match self.find_at_routers(stream, age).await {
            Finding::Known(origin, source) => return Ok((origin, source)),
            // Nobody has a record of a stream that the caller does not name.
            Finding::Presumed(origin) if stream.is_some() => Some(origin),
            Finding::Presumed(_) | Finding::Nothing => None,
        };
        self.find_in_store(stream, age, presumed).await
    }

    /// Finds the origin in the memory of routers.
    async fn find_at_routers(&self, stream: Option<Id>, age: Duration) -> Finding {
        if let Some(origin) = stream.and_then(|stream| self.recorded_origin(stream)) {
            return Finding::Known(origin, Source::Memory);
        }
        // Nobody has a record of a stream that the caller does not name, but peers know whether one
        // version runs. The list of this router may be outdated.
        let own = || Id::of_request(self.admitted.request.id.as_deref().unwrap_or_default());
        let stream = stream.unwrap_or_else(own);
        let service = self.admitted.target.service.clone();
        let answer = self.streams.query(self.shared, stream, service, age);
        match answer.await {
            // A peer may not have heard of a second version that this router knows.
            Answer::Sole(origin) if self.has_several_builds(&origin.service) => Finding::Nothing,
            Answer::Recorded(origin) | Answer::Sole(origin) => Finding::Known(origin, Source::Peer),
            Answer::Presumed(origin) => Finding::Presumed(origin),
            Answer::Alone => self.find_alone(age),
            Answer::Unknown => Finding::Nothing,
        }
    }

    /// What this router knows by itself of a stream without a record, if there are no others.
    fn find_alone(&self, age: Duration) -> Finding {
        let service = &self.admitted.target.service;
        if let Some((origin, source)) = self.sole_origin(age) {
            return Finding::Known(origin, source);
        }
        let presumed = self.shared.presumed_origin(service, age);
        presumed.map_or(Finding::Nothing, Finding::Presumed)
    }

    fn has_several_builds(&self, service: &name::Service) -> bool {
        let now = self.shared.now();
        let fleet = self.shared.fleet.borrow();
        fleet.has_several_builds(now, service)
    }

    /// Finds the origin in the records of the store, which outlive a loss of all routers, or the only
    /// version in its present list of upstreams. What peers presume counts if this router presumes
    /// the same and the store has no record of the stream.
    async fn find_in_store(
        &self,
        stream: Option<Id>,
        age: Duration,
        presumed: Option<Origin>,
    ) -> Result<(Origin, Source), Unknown> {
        if !self.shared.archive.look_up().await {
            return Err(Unknown::StoreUnavailable);
        }
        let recorded = stream.and_then(|stream| self.recorded_origin(stream));
        if let Some(origin) = recorded {
            return Ok((origin, Source::Store));
        }
        if stream.is_some_and(|stream| self.shared.origins.borrow().is_announced(stream)) {
            return Err(Unknown::Unrecorded);
        }
        if let Some(found) = self.sole_origin(age) {
            return Ok(found);
        }
        let own = self
            .shared
            .presumed_origin(&self.admitted.target.service, age);
        match presumed.filter(|presumed| own.as_ref() == Some(presumed)) {
            Some(origin) => Ok((origin, Source::Presumed)),
            None => Err(Unknown::Unrecorded),
        }
    }

    /// The origin of a stream that this router has a record of.
    fn recorded_origin(&self, stream: Id) -> Option<Origin> {
        self.shared.origins.borrow().confirmed(stream).cloned()
    }

    /// The origin of all streams of the service while all its upstreams run one version.
    fn sole_origin(&self, age: Duration) -> Option<(Origin, Source)> {
        let service = &self.admitted.target.service;
        let origin = self.shared.sole_origin(service, age)?;
        Some((origin, Source::SoleBuild))
    }
}
