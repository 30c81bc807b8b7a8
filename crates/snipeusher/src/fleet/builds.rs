//! Software versions that the upstreams of each service run or ran shortly before.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Entry;
use crate::name;
use crate::time::Time;

/// Time for which a version counts after its last upstream has gone. Callers give up a stream that
/// began earlier.
const RETENTION: Duration = Duration::from_mins(1);

/// Software versions by service.
#[derive(Clone, Debug, Default)]
pub(super) struct Builds {
    /// Each version, and when its last upstream was removed.
    services: BTreeMap<name::Service, BTreeMap<name::Build, Option<Time>>>,
    /// When the first list of upstreams arrived.
    known_since: Option<Time>,
}

impl Builds {
    /// Applies the present list of upstreams.
    pub(super) fn update<'a>(&mut self, now: Time, entries: impl Iterator<Item = &'a Entry>) {
        for builds in self.services.values_mut() {
            for left in builds.values_mut() {
                left.get_or_insert(now);
            }
            builds.retain(|_, left| is_recent(now, *left));
        }
        for entry in entries {
            self.known_since.get_or_insert(now);
            self.record_present(entry);
        }
    }

    /// Lists of thousands of upstreams hold few versions, so names are copied only for new ones.
    fn record_present(&mut self, entry: &Entry) {
        let known = self.services.get_mut(&entry.service);
        let known = known.and_then(|builds| builds.get_mut(&entry.build));
        if let Some(left) = known {
            *left = None;
            return;
        }
        let builds = self.services.entry(entry.service.clone()).or_default();
        builds.insert(entry.build.clone(), None);
    }

    /// Whether upstreams of a service run several versions or did so in the last minute.
    pub(super) fn has_several(&self, now: Time, service: &name::Service) -> bool {
        let builds = self.services.get(service).into_iter().flatten();
        builds.filter(|(_, left)| is_recent(now, **left)).count() > 1
    }

    /// The same for any service.
    pub(super) fn has_any_several(&self, now: Time) -> bool {
        let mut services = self.services.keys();
        services.any(|service| self.has_several(now, service))
    }

    /// The only version that upstreams of a service run now and ran in the last minute, if the
    /// upstreams have been known for `age`.
    pub(super) fn sole(
        &self,
        now: Time,
        service: &name::Service,
        age: Duration,
    ) -> Option<&name::Build> {
        if self.known_since.is_none_or(|since| now.since(since) < age) {
            return None;
        }
        let builds = self.services.get(service)?.iter();
        let mut recent = builds.filter(|(_, left)| is_recent(now, **left));
        let (only, _) = recent.next()?;
        recent.next().is_none().then_some(only)
    }
}

fn is_recent(now: Time, left: Option<Time>) -> bool {
    left.is_none_or(|left| now.since(left) < RETENTION)
}
