//! What a router knows by itself of the software versions that began streams.
//!
//! See `docs/platform.md#streams`.

use std::time::Duration;

use snipeusher::name;
use snipeusher::stream::Origin;

use crate::dialect::Platform;
use crate::shared::Shared;

impl<P: Platform> Shared<P> {
    /// What began all streams of a service, if its upstreams run one software version only, and ran
    /// no other while a stream may last, and this router has known them for `age` or the store's record
    /// shows no other version.
    pub fn sole_origin(&self, service: &name::Service, age: Duration) -> Option<Origin> {
        let fleet = self.fleet.borrow();
        let build = fleet.sole_build(self.now(), service, age)?;
        Some(Origin {
            service: service.clone(),
            build: build.clone(),
        })
    }

    /// What began each stream of a service of which nobody has a record, if a second software
    /// version appeared a short time ago. `age` is the longest time since a stream may have begun.
    pub fn presumed_origin(&self, service: &name::Service, age: Duration) -> Option<Origin> {
        let fleet = self.fleet.borrow();
        let build = fleet.presumed_build(self.now(), service, age)?;
        Some(Origin {
            service: service.clone(),
            build: build.clone(),
        })
    }

    /// Whether a stream has to be recorded before its caller receives an event, since other routers
    /// may presume that it has another origin.
    pub(crate) fn needs_record(&self, origin: &Origin, age: Duration) -> bool {
        let fleet = self.fleet.borrow();
        fleet.needs_record(self.now(), &origin.service, &origin.build, age)
    }

    /// Keeps what is known of streams for as long as a route lets one last.
    pub(crate) fn extend_stream_retention(&self, limit: Duration) {
        self.origins.borrow_mut().extend_retention(limit);
        self.archive.extend_retention(limit);
        self.fleet.borrow_mut().extend_stream_retention(limit);
    }
}
