//! Software versions of the upstreams.

use std::time::Duration;

use super::Fleet;
use crate::archive::Versions;
use crate::name;
use crate::time::Time;

impl Fleet {
    /// Whether upstreams of a service run several software versions or did so while a stream may last.
    pub fn has_several_builds(&self, now: Time, service: &name::Service) -> bool {
        self.builds.has_several(now, service)
    }

    /// Whether upstreams of any service run several software versions or did so while a stream may last.
    pub fn has_any_several_builds(&self, now: Time) -> bool {
        self.builds.has_any_several(now)
    }

    /// Learns the software versions that are recorded in the store.
    pub fn record_versions(&mut self, now: Time, recorded: Versions) {
        self.builds.record(now, recorded);
    }

    /// Learns the software versions of the upstreams that the store lists at present. The list of
    /// this router may be older.
    pub fn learn_listed_versions(&mut self, now: Time, listed: &Versions) {
        self.builds.learn(now, listed);
    }

    /// The software versions to be recorded in the store, if the record differs from them.
    pub fn unrecorded_versions(&self, now: Time) -> Option<Versions> {
        if !self.builds.is_known() {
            return None;
        }
        let versions = self.builds.to_record(now);
        (versions != *self.builds.recorded()).then_some(versions)
    }

    /// Extends the time for which a version counts after its last upstream has gone to the time limit
    /// of streams.
    pub fn extend_stream_retention(&mut self, limit: Duration) {
        self.builds.extend_retention(limit);
    }

    /// Records that the whole system starts for the first time, so that no stream began before.
    pub const fn record_first_start(&mut self) {
        self.builds.record_first_start();
    }

    /// The software version that began each stream of a service of which nobody has a record, if a
    /// second version appeared a short time ago. `age` is the longest time since a stream may have
    /// begun.
    pub fn presumed_build(
        &self,
        now: Time,
        service: &name::Service,
        age: Duration,
    ) -> Option<&name::Build> {
        self.builds.presumed(now, service, age)
    }

    /// The software version at which a stream begins while its record cannot be confirmed: the one
    /// that other routers presume of a stream without a record, if upstreams of it are ready.
    /// Without any, nobody can resume the stream at that version.
    pub fn unrecorded_build(
        &self,
        now: Time,
        service: &name::Service,
        age: Duration,
    ) -> Option<&name::Build> {
        let build = self.builds.presumed_elsewhere(now, service, age)?;
        let entries = self.roster().ready(now);
        let mut of_service = entries.filter(|entry| entry.service == *service);
        let is_ready = of_service.any(|entry| entry.build == *build);
        is_ready.then_some(build)
    }

    /// Whether a stream that begins at a software version has to be recorded before its caller
    /// receives an event, since other routers may presume that it began at another version.
    pub fn needs_record(
        &self,
        now: Time,
        service: &name::Service,
        build: &name::Build,
        age: Duration,
    ) -> bool {
        self.builds.needs_record(now, service, build, age)
    }

    /// Time after which [`Self::sole_build`] can tell the version, if no second one appears.
    pub fn sole_build_in(
        &self,
        now: Time,
        service: &name::Service,
        age: Duration,
    ) -> Option<Duration> {
        self.builds.sole_in(now, service, age)
    }

    /// The only software version that upstreams of a service run now and ran while a stream may last, if
    /// this router has known the upstreams for `age` or the store's record shows no other version.
    pub fn sole_build(
        &self,
        now: Time,
        service: &name::Service,
        age: Duration,
    ) -> Option<&name::Build> {
        self.builds.sole(now, service, age)
    }
}
