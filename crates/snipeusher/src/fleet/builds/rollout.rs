//! The appearance of a second software version of a service.
//!
//! Routers copy the origins of streams only while several versions run, so streams that began before
//! are known to their own router alone. If it is lost just before or after the second version
//! appears, nobody has a record of them. They can only have begun at the version that ran until
//! then, as long as each stream that begins at another version is recorded before its caller
//! receives an event. See `docs/platform.md#streams`.

use std::time::Duration;

use crate::name;
use crate::time::Time;

/// Time after the second version was noticed for which a stream without a record counts as one of
/// the incumbent version. It covers the time until all routers know the second version, and until
/// the callers of a lost router take up their streams.
const PRESUMED_FOR: Duration = Duration::from_secs(10);
/// Time for which streams of other versions are recorded before their first event. It is longer,
/// since other routers may notice the second version later.
const RECORDED_FOR: Duration = Duration::from_secs(20);

/// A second version that appeared beside an incumbent one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Rollout {
    /// When this router noticed the second version.
    noticed_at: Time,
    /// The only version until then.
    incumbent: name::Build,
    /// For how long this router had known the upstreams then; `None` if it learned of both versions
    /// with its first list.
    known_for: Option<Duration>,
    /// Whether the store was restored since.
    is_restored: bool,
}

impl Rollout {
    /// Records that a second version was noticed, at a router that has known the upstreams since
    /// `known_since`.
    pub(super) fn new(now: Time, incumbent: name::Build, known_since: Option<Time>) -> Self {
        let known_since = known_since.filter(|since| *since != now);
        Self {
            noticed_at: now,
            incumbent,
            known_for: known_since.map(|since| now.since(since)),
            is_restored: false,
        }
    }

    /// Records that the store was restored. It may list versions later than they appeared, and lacks
    /// records of streams, so this router presumes nothing. Others may not have noticed yet.
    pub(super) const fn record_restore(&mut self) {
        self.is_restored = true;
    }

    /// The version that began each stream without a record. The incumbent version has to have been
    /// the only one for `age`, the longest time since a stream may have begun.
    pub(super) fn presumed(&self, now: Time, age: Duration) -> Option<&name::Build> {
        let is_recent = now.since(self.noticed_at) < PRESUMED_FOR;
        let may_presume = is_recent && !self.is_restored;
        self.incumbent(age).filter(|_| may_presume)
    }

    /// The version that other routers may presume of a stream without a record.
    pub(super) fn presumed_elsewhere(&self, now: Time, age: Duration) -> Option<&name::Build> {
        let is_recent = now.since(self.noticed_at) < RECORDED_FOR;
        self.incumbent(age).filter(|_| is_recent)
    }

    /// Whether a stream that begins at a version has to be recorded before its caller receives an
    /// event, since other routers may presume that it began at another version.
    pub(super) fn needs_record(&self, now: Time, build: &name::Build, age: Duration) -> bool {
        let is_recent = now.since(self.noticed_at) < RECORDED_FOR;
        is_recent && self.incumbent(age) != Some(build)
    }

    fn incumbent(&self, age: Duration) -> Option<&name::Build> {
        let is_established = self.known_for.is_some_and(|known_for| known_for >= age);
        is_established.then_some(&self.incumbent)
    }
}
