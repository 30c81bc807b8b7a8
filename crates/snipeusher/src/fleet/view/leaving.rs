//! Upstreams that leave, were replaced or ask for a pause.

use std::time::Duration;

use super::Fleet;
use crate::fleet::Leaving;
use crate::fleet::Source;
use crate::fleet::Upstream;
use crate::name;
use crate::time::Time;

impl Fleet {
    /// Records that an upstream said in a response that it shuts down. Returns whether this is
    /// news.
    pub fn record_leaving(&mut self, now: Time, id: &name::Upstream) -> bool {
        let Some(upstream) = self.upstream(id) else {
            return false;
        };
        let leaving = upstream.leaving();
        self.leave(now, &leaving)
    }

    /// Excludes an upstream that shuts down from new requests; news is passed on to peers.
    pub(super) fn leave(&mut self, now: Time, leaving: &Leaving) -> bool {
        let is_news = self.roster.record_leaving(leaving);
        if is_news {
            self.outage.leaving.push(leaving.clone());
            self.refresh(now);
            self.record_evacuations(now, Source::Expiry);
        }
        is_news
    }

    /// Records that another upstream answered at the address of an upstream, whose entry is outdated.
    /// Returns whether this is news.
    pub fn record_replaced(&mut self, now: Time, id: &name::Upstream) -> bool {
        let Some(upstream) = self.upstream(id) else {
            return false;
        };
        let replaced = upstream.leaving();
        self.exclude_replaced(now, &replaced)
    }

    /// Excludes an upstream whose address another one has; news is passed on to peers.
    pub(super) fn exclude_replaced(&mut self, now: Time, replaced: &Leaving) -> bool {
        let upstream = self.upstream_mut(&replaced.upstream);
        let upstream =
            upstream.filter(|upstream| upstream.entry.incarnation == replaced.incarnation);
        let is_news = upstream.is_some_and(|upstream| upstream.record_replaced(now));
        if is_news {
            self.outage.replaced.push(replaced.clone());
        }
        is_news
    }

    /// Whether an upstream said itself that it shuts down.
    pub fn has_announced_leaving(&self, upstream: &Upstream) -> bool {
        self.roster.is_announced(&upstream.leaving())
    }

    /// Records that an upstream asked this router to send it nothing for a time.
    pub fn record_pause(&mut self, now: Time, id: &name::Upstream, pause: Duration) {
        let pause = pause.min(self.settings.pause_max);
        if let Some(upstream) = self.upstream_mut(id) {
            upstream.paused_until = upstream.paused_until.max(Some(now + pause));
        }
    }
}
