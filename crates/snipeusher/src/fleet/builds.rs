//! Software versions that the upstreams of each service run or ran shortly before.

mod rollout;

use std::collections::BTreeMap;
use std::time::Duration;

use self::rollout::Rollout;
use super::Entry;
use crate::archive::Versions;
use crate::kv::Era;
use crate::name;
use crate::stream::Retention;
use crate::time::Time;

/// Software versions by service.
#[derive(Clone, Debug, Default)]
pub(super) struct Builds {
    /// Time for which a version counts after its last upstream has gone. Callers give up a stream
    /// that began earlier.
    retention: Retention,
    /// Each version, and when its last upstream was removed.
    services: BTreeMap<name::Service, BTreeMap<name::Build, Option<Time>>>,
    /// When the first list of upstreams arrived.
    known_since: Option<Time>,
    /// The versions as recorded in the store, by earlier routers too.
    recorded: Versions,
    /// Whether the record was read.
    is_record_known: bool,
    /// The last appearance of a second version of each service.
    rollouts: BTreeMap<name::Service, Rollout>,
    /// Era of the store in which the list was written.
    era: Option<Era>,
    /// Whether no stream can have begun before this router started.
    is_first_start: bool,
}

impl Builds {
    /// Extends the time for which a version counts to the time limit of streams.
    pub(super) fn extend_retention(&mut self, limit: Duration) {
        self.retention.extend_to(limit);
    }

    /// Records that the whole system starts for the first time, so that no stream began before.
    pub(super) const fn record_first_start(&mut self) {
        self.is_first_start = true;
    }

    /// Applies the present list of upstreams.
    ///
    /// What is known of rollouts holds only in part once the store is in another era; see
    /// [`Rollout::record_restore`].
    pub(super) fn update<'a>(
        &mut self,
        now: Time,
        era: Era,
        entries: impl Iterator<Item = &'a Entry>,
    ) {
        if self.era.replace(era).is_some_and(|before| before != era) {
            for rollout in self.rollouts.values_mut() {
                rollout.record_restore();
            }
        }
        let retention = self.retention.get();
        for builds in self.services.values_mut() {
            for left in builds.values_mut() {
                left.get_or_insert(now);
            }
            builds.retain(|_, left| is_recent(now, *left, retention));
        }
        for entry in entries {
            self.known_since.get_or_insert(now);
            self.record_present(now, entry);
        }
    }

    /// Learns the versions that are recorded in the store. One without upstreams may have left just
    /// now, since nobody may have run to see it leave.
    pub(super) fn record(&mut self, now: Time, recorded: Versions) {
        // What the first record holds may have run before this router started.
        let is_first = !std::mem::replace(&mut self.is_record_known, true);
        let known_since = self.known_since.filter(|_| !is_first);
        self.learn_since(now, known_since, &recorded);
        self.recorded = recorded;
    }

    /// Learns of versions that may run although this router knows no upstreams of them.
    pub(super) fn learn(&mut self, now: Time, versions: &Versions) {
        self.learn_since(now, self.known_since, versions);
    }

    fn learn_since(&mut self, now: Time, known_since: Option<Time>, versions: &Versions) {
        for (service, builds) in &versions.0 {
            for build in builds {
                self.add(now, known_since, service, build, Some(now));
            }
        }
    }

    /// The versions that the store should have recorded: in addition to the record those that
    /// upstreams run, without those that none has run for a minute. One that has left is never
    /// added, so that routers which saw it leave at different times agree in the end.
    pub(super) fn to_record(&self, now: Time) -> Versions {
        let retention = self.retention.get();
        let mut versions = self.recorded.clone();
        for (service, builds) in &self.services {
            let present = builds.iter().filter(|(_, left)| left.is_none());
            let recorded = versions.0.entry(service.clone()).or_default();
            recorded.extend(present.map(|(build, _)| build.clone()));
        }
        for (service, recorded) in &mut versions.0 {
            let known = self.services.get(service);
            recorded.retain(|build| {
                let left = known.and_then(|builds| builds.get(build));
                left.is_some_and(|left| is_recent(now, *left, retention))
            });
        }
        versions.0.retain(|_, builds| !builds.is_empty());
        versions
    }

    /// The versions as they are recorded in the store.
    pub(super) const fn recorded(&self) -> &Versions {
        &self.recorded
    }

    /// Whether upstreams have been listed.
    pub(super) const fn is_known(&self) -> bool {
        self.known_since.is_some()
    }

    /// Lists of thousands of upstreams hold few versions, so names are copied only for new ones.
    fn record_present(&mut self, now: Time, entry: &Entry) {
        let known = self.services.get_mut(&entry.service);
        let known = known.and_then(|builds| builds.get_mut(&entry.build));
        if let Some(left) = known {
            *left = None;
            return;
        }
        self.add(now, self.known_since, &entry.service, &entry.build, None);
    }

    /// Adds a version unless it is known. `known_since` is when the other versions were known.
    fn add(
        &mut self,
        now: Time,
        known_since: Option<Time>,
        service: &name::Service,
        build: &name::Build,
        left: Option<Time>,
    ) {
        let retention = self.retention.get();
        let builds = self.services.entry(service.clone()).or_default();
        if builds.contains_key(build) {
            return;
        }
        let recent = builds
            .iter()
            .filter(|(_, left)| is_recent(now, **left, retention));
        let recent: Vec<_> = recent.map(|(build, _)| build).collect();
        if let [incumbent] = recent[..] {
            let rollout = Rollout::new(now, incumbent.clone(), known_since);
            self.rollouts.insert(service.clone(), rollout);
        }
        builds.insert(build.clone(), left);
    }

    /// The version that began each stream of a service of which nobody has a record, if a second
    /// version appeared a short time ago; see [`Rollout::presumed`].
    pub(super) fn presumed(
        &self,
        now: Time,
        service: &name::Service,
        age: Duration,
    ) -> Option<&name::Build> {
        let rollout = self.rollouts.get(service)?;
        rollout.presumed(now, self.age_limit(age))
    }

    /// The version that other routers may presume of a stream of a service without a record; see
    /// [`Rollout::presumed_elsewhere`].
    pub(super) fn presumed_elsewhere(
        &self,
        now: Time,
        service: &name::Service,
        age: Duration,
    ) -> Option<&name::Build> {
        let rollout = self.rollouts.get(service)?;
        rollout.presumed_elsewhere(now, self.age_limit(age))
    }

    /// Whether a stream that begins at a version has to be recorded before its caller receives an
    /// event; see [`Rollout::needs_record`].
    pub(super) fn needs_record(
        &self,
        now: Time,
        service: &name::Service,
        build: &name::Build,
        age: Duration,
    ) -> bool {
        let rollout = self.rollouts.get(service);
        rollout.is_some_and(|rollout| rollout.needs_record(now, build, self.age_limit(age)))
    }

    /// For how long a version has to have been the only one known to be the only one that ran.
    const fn age_limit(&self, age: Duration) -> Duration {
        if self.is_first_start {
            Duration::ZERO
        } else {
            age
        }
    }

    /// Whether upstreams of a service run several versions or did so while a stream may last.
    pub(super) fn has_several(&self, now: Time, service: &name::Service) -> bool {
        let retention = self.retention.get();
        let builds = self.services.get(service).into_iter().flatten();
        builds
            .filter(|(_, left)| is_recent(now, **left, retention))
            .count()
            > 1
    }

    /// The same for any service.
    pub(super) fn has_any_several(&self, now: Time) -> bool {
        let mut services = self.services.keys();
        services.any(|service| self.has_several(now, service))
    }

    /// The only version that upstreams of a service run now and ran while a stream may last, if the
    /// upstreams have been known for `age` or the store's record shows no other version.
    pub(super) fn sole(
        &self,
        now: Time,
        service: &name::Service,
        age: Duration,
    ) -> Option<&name::Build> {
        let retention = self.retention.get();
        let builds = self.services.get(service)?.iter();
        let mut recent = builds.filter(|(_, left)| is_recent(now, **left, retention));
        let (only, _) = recent.next()?;
        if recent.next().is_some() {
            return None;
        }
        let is_known_long = self
            .known_since
            .is_some_and(|since| now.since(since) >= age);
        (is_known_long || self.is_recorded_alone(service, only)).then_some(only)
    }

    /// Time after which [`Self::sole`] can tell the version, if no second one appears.
    pub(super) fn sole_in(
        &self,
        now: Time,
        service: &name::Service,
        age: Duration,
    ) -> Option<Duration> {
        let known_since = self.known_since?;
        let is_mixed = self.has_several(now, service);
        (!is_mixed).then(|| age.saturating_sub(now.since(known_since)))
    }

    fn is_recorded_alone(&self, service: &name::Service, build: &name::Build) -> bool {
        let recorded = self.recorded.0.get(service);
        recorded.is_some_and(|builds| builds.len() == 1 && builds.contains(build))
    }
}

fn is_recent(now: Time, left: Option<Time>, retention: Duration) -> bool {
    left.is_none_or(|left| now.since(left) < retention)
}
