//! The key-value service and the parts of a router that use it: configuration, claims, leases.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use snipeusher::claim;
use snipeusher::claim::Claims;
use snipeusher::config;
use snipeusher::config::Edit;
use snipeusher::config::Replica;
use snipeusher::hash;
use snipeusher::kv::Call;
use snipeusher::kv::CallId;
use snipeusher::kv::Fault;
use snipeusher::kv::Reply;
use snipeusher::kv::Revision;
use snipeusher::lease;
use snipeusher::lease::Candidate;
use snipeusher::name;
use snipeusher::time::Time;
use snipeusher_fakes::kv::Memory;
use snipeusher_fakes::kv::Write;

use super::membership::STARTED_MS;
use super::router::Router;
use super::world::CONNECT_TIMEOUT;
use super::world::Happening;
use super::world::World;

/// One-way latency between a router and the service.
const LATENCY: Duration = Duration::from_millis(2);
/// Latest time at which a watch shows a change.
const WATCH_LAG_MS: u64 = 50;
/// Time to live of the lease on a zone's orders.
const LEASE_TTL_S: u64 = 10;
/// Guard time of the lease.
const LEASE_GUARD: Duration = Duration::from_secs(2);

/// An event for one of a router's parts.
#[derive(Clone, Debug)]
pub enum PartEvent {
    /// For its configuration.
    Config(config::Event),
    /// For its claims.
    Claim(claim::Event),
    /// For its part in the zone's lease.
    Lease(lease::Event),
}

/// Who calls the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Caller {
    /// A router's configuration.
    Config(usize),
    /// A router's claims.
    Claim(usize),
    /// A router's part in the zone's lease.
    Lease(usize),
    /// An operator's edit, by its event.
    Edit(usize),
}

/// The parts of a router that use the service.
#[derive(Debug)]
pub struct Parts {
    /// Its configuration.
    pub replica: Replica,
    /// Its claims.
    pub claims: Claims,
    /// Its part in the zone's lease.
    pub holder: Candidate,
    /// The digest that its part in the fleet was told last.
    pub(super) told: config::Digest,
    /// Revision in force by workspace.
    pub(super) applied: BTreeMap<name::Workspace, Revision>,
}

impl Parts {
    /// Starts the parts of a router.
    pub fn open(number: usize, zone: &name::Zone, seed: u64) -> Result<Self, lease::Error> {
        let seed = seed.rotate_left(7) + number as u64;
        let incarnation = name::Incarnation(STARTED_MS);
        let owner = lease::Owner {
            host: host(number),
            incarnation,
        };
        let settings = lease::Settings {
            key: format!("{}orders/{zone}", config::WATCHED_PREFIX),
            owner,
            ttl_s: LEASE_TTL_S,
            guard: LEASE_GUARD,
        };
        Ok(Self {
            replica: Replica::new(Time(0), seed),
            claims: Claims::new(host(number), incarnation, seed),
            holder: Candidate::new(settings, Time(0), seed)?,
            told: config::Digest::default(),
            applied: BTreeMap::new(),
        })
    }

    /// When the parts must be woken at the latest.
    pub fn next_wake(&self) -> Time {
        let claims = self.claims.next_wake();
        let holder = self.holder.next_wake();
        self.replica.next_wake().min(claims).min(holder)
    }
}

/// The service, with its faults.
#[derive(Debug, Default)]
pub struct Platform {
    /// Its data.
    pub store: Memory,
    /// Whether it does not answer.
    pub out: bool,
    /// Whether replies to writes are lost.
    pub lose_replies: bool,
    /// The next revision of each router's watch.
    pub watches: BTreeMap<usize, Revision>,
    /// Edits in progress, by event.
    pub edits: BTreeMap<usize, Edit>,
    /// When each revision of the configuration was accepted.
    pub accepted: BTreeMap<Revision, Time>,
    /// Fencing tokens seen, by zone.
    pub fences: BTreeMap<usize, BTreeSet<Revision>>,
    /// The router that got the right to run a request with a key.
    pub runs: BTreeMap<usize, usize>,
    pushed: Revision,
}

/// The host name of a router.
pub fn host(number: usize) -> name::Host {
    name::Host::from(format!("router-{number:03}"))
}

/// How late a router's watch shows a revision.
///
/// It depends on nothing else, so that who learns of a change before an outage does not vary with
/// unrelated messages.
fn watch_lag(seed: u64, seat: usize, revision: Revision) -> Duration {
    let draw = hash::mix(seed, hash::mix(seat as u64, revision.0));
    Duration::from_micros(draw % (WATCH_LAG_MS * 1_000 + 1))
}

/// The number of a router, if the name is one.
pub(super) fn number_of(host: &name::Host) -> Option<usize> {
    host.as_str().strip_prefix("router-")?.parse().ok()
}

impl<R: Router> World<'_, R> {
    pub(super) fn call(&mut self, caller: Caller, id: CallId, call: Call) {
        let at = self.now + LATENCY;
        self.plan(at, Happening::Call(caller, id, Box::new(call)));
    }

    /// Carries out a call when it reaches the service.
    pub(super) fn serve(&mut self, caller: Caller, id: CallId, call: &Call) {
        let seat = match caller {
            Caller::Config(seat) | Caller::Claim(seat) | Caller::Lease(seat) => Some(seat),
            Caller::Edit(_) => None,
        };
        let cut = seat.is_some_and(|seat| self.cut.contains(&self.seats[seat].zone));
        if self.platform.out || cut {
            self.reply(CONNECT_TIMEOUT, caller, id, Err(Fault::NotSent));
            return;
        }
        let result = self.platform.store.call(self.now, call);
        self.push();
        if self.platform.lose_replies && matches!(call, Call::Txn(_)) {
            self.reply(CONNECT_TIMEOUT, caller, id, Err(Fault::Lost));
        } else {
            self.reply(LATENCY, caller, id, result);
        }
    }

    fn reply(&mut self, after: Duration, caller: Caller, id: CallId, result: Result<Reply, Fault>) {
        let at = self.now + after;
        let (seat, event) = match caller {
            Caller::Config(seat) => {
                let event = config::Event::Reply { id, result };
                (seat, PartEvent::Config(event))
            }
            Caller::Claim(seat) => {
                let event = claim::Event::Reply { id, result };
                (seat, PartEvent::Claim(event))
            }
            Caller::Lease(seat) => {
                let event = lease::Event::Reply { id, result };
                (seat, PartEvent::Lease(event))
            }
            Caller::Edit(number) => {
                self.plan(at, Happening::Edit(number, Some(Box::new((id, result)))));
                return;
            }
        };
        self.plan(at, Happening::Part(seat, Box::new(event)));
    }

    /// Shows new writes to the watches and notes when configuration was accepted.
    pub(super) fn push(&mut self) {
        let now = self.now;
        self.platform.store.expire(now);
        let from = Revision(self.platform.pushed.0 + 1);
        for write in self.platform.store.log(from) {
            let documents = write.entries.iter().map(|entry| &entry.key);
            let mut keys = documents.chain(&write.deleted);
            if keys.any(|key| key.starts_with(config::PREFIX)) {
                self.platform.accepted.insert(write.revision, now);
            }
        }
        let current = self.platform.store.revision();
        self.platform.pushed = current;
        if self.platform.out {
            return;
        }
        let watches: Vec<_> = self.platform.watches.clone().into_iter().collect();
        for (seat, from) in watches {
            let writes = self.platform.store.log(from).to_vec();
            self.platform.watches.insert(seat, Revision(current.0 + 1));
            for write in writes {
                let lag = LATENCY + watch_lag(self.trace.header.seed, seat, write.revision);
                self.plan(now + lag, Happening::Show(seat, Box::new(write)));
            }
        }
    }

    /// Shows a write to a router, unless its watch has ended since.
    pub(super) fn show(&mut self, seat: usize, write: Write) {
        if !self.platform.watches.contains_key(&seat) {
            return;
        }
        let at = self.now;
        let zone = self.seats[seat].zone;
        let Some(zone) = self.trace.header.zones.get(zone) else {
            return;
        };
        let key = format!("{}orders/{zone}", config::WATCHED_PREFIX);
        let entry = write.entries.iter().find(|entry| entry.key == key);
        if entry.is_some() || write.deleted.contains(&key) {
            let event = lease::Event::Observed {
                entry: entry.cloned(),
                revision: write.revision,
            };
            let event = PartEvent::Lease(event);
            self.plan(at, Happening::Part(seat, Box::new(event)));
        }
        let event = config::Event::Changed {
            revision: write.revision,
            entries: write.entries,
            deleted: write.deleted,
        };
        let event = PartEvent::Config(event);
        self.plan(at, Happening::Part(seat, Box::new(event)));
    }

    /// Ends the watches of routers that no longer reach the service.
    pub(super) fn lose_watches(&mut self) {
        let lost = |world: &Self, seat: &usize| {
            world.platform.out || world.cut.contains(&world.seats[*seat].zone)
        };
        let seats: Vec<_> = self.platform.watches.keys().copied().collect();
        for seat in seats {
            if lost(self, &seat) {
                self.platform.watches.remove(&seat);
                let event = PartEvent::Config(config::Event::WatchLost);
                self.plan(self.now, Happening::Part(seat, Box::new(event)));
            }
        }
    }
}
