//! One router's view of a single upstream.

use std::time::Duration;

use super::Entry;
use super::Health;
use super::Leaving;
use super::Load;
use super::Overdue;
use super::Pace;
use super::Rate;
use super::Regions;
use super::Warmup;
use super::decline;
use super::zone::REPORTS_IGNORED_FOR;
use crate::hash;
use crate::name;
use crate::time::Time;

/// An upstream with requests in flight that has sent nothing for this long is avoided. An engine
/// that processes a long prompt sends nothing for some hundred milliseconds.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(450);
/// Time for which an upstream gets nothing after another one has answered at its address. Its entry
/// is outdated by then, unless the answer was wrong.
const REPLACED_FOR: Duration = Duration::from_secs(5);

/// One router's view of a single upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The entry that the store lists.
    pub entry: Entry,
    /// Hash of its id, for rendezvous hashing.
    pub id_hash: u64,
    /// Whether it is in this router's availability zone.
    pub local: bool,
    /// The region of its availability zone, if the settings name it.
    pub region: Option<name::Region>,
    /// Its load.
    pub load: Load,
    /// How long work takes at it.
    pub pace: Pace,
    /// Its health.
    pub health: Health,
    /// Since when it has had requests in flight without sending anything.
    pub silent_since: Option<Time>,
    /// Whether it owes a response that this router has given up.
    pub overdue: Overdue,
    /// Requests whose responses this router does not read, since their callers do not read.
    unread: u32,
    /// Whether this silence has been counted as a loss of its availability zone.
    pub silence_counted: bool,
    /// Whether a connection attempt has to show if it is reachable.
    pub is_doubtful: bool,
    /// End of the pause that it asked this router for.
    pub paused_until: Option<Time>,
    /// The rate limit that it states, if any.
    pub rate: Rate,
    /// Whether it is warming up.
    pub warmup: Warmup,
    /// End of the time for which this router stays away, since it can decline few requests and has
    /// declined one.
    pub(super) backoff_until: Option<Time>,
    /// Its slots that only this router uses while it can decline few requests.
    pub(super) own_slots: u32,
    /// End of the time for which it gets nothing, since another upstream answers at its address.
    replaced_until: Option<Time>,
    /// Until when reports of peers are ignored.
    reports_ignored_until: Time,
}

impl Upstream {
    pub(super) fn new(now: Time, entry: Entry, zone: &name::Zone, regions: &Regions) -> Self {
        let mut warmup = Warmup::default();
        warmup.record_entry(now, cold(&entry));
        Self {
            id_hash: hash::bytes(entry.id.as_str().as_bytes()),
            local: entry.zone == *zone,
            region: regions.of(&entry.zone).cloned(),
            entry,
            load: Load::default(),
            pace: Pace::default(),
            health: Health::default(),
            silent_since: None,
            overdue: Overdue::default(),
            unread: 0,
            silence_counted: false,
            is_doubtful: false,
            paused_until: None,
            rate: Rate::default(),
            warmup,
            backoff_until: None,
            own_slots: 0,
            replaced_until: None,
            reports_ignored_until: Time::default(),
        }
    }

    /// Marks it unreachable, as reported by a peer, until a connection succeeds. Returns whether
    /// this is news.
    pub(super) fn record_report(&mut self, now: Time) -> bool {
        let is_news = !self.health.is_unreachable() && now >= self.reports_ignored_until;
        if is_news {
            self.health.record_doubt(now);
            self.reports_ignored_until = now + REPORTS_IGNORED_FOR;
        }
        is_news
    }

    /// Records that another upstream answered at its address. Returns whether this is news.
    pub(super) fn record_replaced(&mut self, now: Time) -> bool {
        let is_news = !self.is_replaced(now);
        if is_news {
            self.replaced_until = Some(now + REPLACED_FOR);
        }
        is_news
    }

    /// Whether another upstream answers at its address, so that it cannot be reached there.
    pub fn is_replaced(&self, now: Time) -> bool {
        self.replaced_until.is_some_and(|until| now < until)
    }

    /// Its present incarnation, as named in reports to peers.
    pub(super) fn leaving(&self) -> Leaving {
        Leaving {
            upstream: self.entry.id.clone(),
            incarnation: self.entry.incarnation,
        }
    }

    /// Whether it asked this router to send nothing now.
    pub fn is_paused(&self, now: Time) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// When it takes a request again, by its pause, its rate limit, its warm-up and, if it can
    /// decline few requests, this router's slots; `None` if it does now.
    pub(super) fn available_at(&self, now: Time, needs_room: bool) -> Option<Time> {
        let pause = self.paused_until.filter(|_| self.is_paused(now));
        let room = needs_room.then(|| self.room_at(now)).flatten();
        let rate = self.rate.available_at(now);
        pause.max(rate).max(self.warmup.available_at(now)).max(room)
    }

    /// When it has room for a request of this router; `None` if it has now.
    fn room_at(&self, now: Time) -> Option<Time> {
        let backoff = self.backoff_until.filter(|until| now < *until);
        backoff.max(decline::slot_free_at(now, &self.load, self.own_slots))
    }

    /// Whether it has sent nothing for so long that other upstreams are preferred.
    pub fn is_silent(&self, now: Time) -> bool {
        self.silent_since
            .is_some_and(|since| now.since(since) > SILENCE_TIMEOUT)
    }

    /// Restarts the silence timer, since the upstream sent something.
    pub(super) fn record_activity(&mut self, now: Time) {
        self.silent_since = self.is_read().then_some(now);
        self.silence_counted = false;
        self.overdue.record_activity();
    }

    /// Whether this router waits for a response.
    fn is_read(&self) -> bool {
        self.load.in_flight() > self.unread
    }

    /// Stops the silence timer if this router waits for no response.
    pub(super) fn stop_unless_read(&mut self) {
        if !self.is_read() {
            self.silent_since = None;
        }
    }

    /// Records that this router stops reading a response.
    pub(super) fn record_unread(&mut self) {
        self.unread += 1;
        self.stop_unless_read();
    }

    /// Records that this router reads a response again.
    pub(super) fn record_read(&mut self, now: Time) {
        self.unread = self.unread.saturating_sub(1);
        if self.is_read() {
            self.silent_since.get_or_insert(now);
        }
    }

    /// Applies a newer entry. The health of an earlier incarnation or address is reset.
    pub(super) fn update(&mut self, now: Time, entry: Entry, zone: &name::Zone, regions: &Regions) {
        if entry.incarnation != self.entry.incarnation || entry.address != self.entry.address {
            self.health = Health::default();
            self.overdue = Overdue::default();
            self.paused_until = None;
            self.backoff_until = None;
            self.rate = Rate::default();
            self.warmup.reset();
        }
        if entry.revision != self.entry.revision {
            self.warmup.record_entry(now, cold(&entry));
            self.replaced_until = None;
        }
        if entry.zone != self.entry.zone {
            self.region = regions.of(&entry.zone).cloned();
        }
        self.local = entry.zone == *zone;
        self.entry = entry;
    }
}

/// Time for which an entry states that its upstream is warming up.
fn cold(entry: &Entry) -> Duration {
    Duration::from_millis(entry.cold_ms.into())
}
