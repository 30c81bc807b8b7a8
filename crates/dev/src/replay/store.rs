//! The simulated key-value service, and its clients in a router: configuration, claims and lease.

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

use super::membership::STARTED_AT_MS;
use super::router::Router;
use super::simulation::CONNECT_TIMEOUT;
use super::simulation::Simulation;
use super::simulation::Step;

/// One-way latency between a router and the service.
const LATENCY: Duration = Duration::from_millis(2);
/// Maximum delay until a watch delivers a change.
const WATCH_LAG_MS: u64 = 50;
/// TTL of the lease on a zone's orders.
const LEASE_TTL_S: u64 = 10;
/// Guard time of the lease.
const LEASE_GUARD: Duration = Duration::from_secs(2);

/// An event for one of a router's clients of the service.
#[derive(Clone, Debug)]
pub enum ClientEvent {
    /// For the configuration replica.
    Config(config::Event),
    /// For the claims.
    Claim(claim::Event),
    /// For the lease candidate.
    Lease(lease::Event),
}

/// The origin of a call to the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Caller {
    /// The configuration replica of a router.
    Config(usize),
    /// The claims of a router.
    Claim(usize),
    /// The lease candidate of a router.
    Lease(usize),
    /// An operator's edit, by event index.
    Edit(usize),
}

/// A router's clients of the service.
#[derive(Debug)]
pub struct Clients {
    /// Configuration replica.
    pub replica: Replica,
    /// Claims of idempotency keys.
    pub claims: Claims,
    /// Candidate for the zone's lease.
    pub candidate: Candidate,
    /// The configuration digest last passed to the fleet member.
    pub(super) announced: config::Digest,
    /// Applied revision by workspace.
    pub(super) applied: BTreeMap<name::Workspace, Revision>,
}

impl Clients {
    /// Creates the clients of a router.
    pub fn new(number: usize, zone: &name::Zone, seed: u64) -> Result<Self, lease::Error> {
        let seed = seed.rotate_left(7) + number as u64;
        let incarnation = name::Incarnation(STARTED_AT_MS);
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
            candidate: Candidate::new(settings, Time(0), seed)?,
            announced: config::Digest::default(),
            applied: BTreeMap::new(),
        })
    }

    /// Returns the time of the next tick that a client needs.
    pub fn next_wake(&self) -> Time {
        let claims = self.claims.next_wake();
        let holder = self.candidate.next_wake();
        self.replica.next_wake().min(claims).min(holder)
    }
}

/// The service with its simulated faults.
#[derive(Debug, Default)]
pub struct Store {
    /// Stored data.
    pub memory: Memory,
    /// Whether all calls fail.
    pub unavailable: bool,
    /// Whether replies to transactions are lost.
    pub lose_replies: bool,
    /// Next revision to deliver to each router's watch.
    pub watches: BTreeMap<usize, Revision>,
    /// Edits in progress by event index.
    pub edits: BTreeMap<usize, Edit>,
    /// Time at which each configuration revision was accepted.
    pub accepted: BTreeMap<Revision, Time>,
    /// Observed fencing tokens by zone.
    pub fences: BTreeMap<usize, BTreeSet<Revision>>,
    /// Routers that claimed a request with an idempotency key, by request.
    pub runs: BTreeMap<usize, usize>,
    published: Revision,
}

/// Returns the host name of a router.
pub fn host(number: usize) -> name::Host {
    name::Host::from(format!("router-{number:03}"))
}

/// Returns the delay until a router's watch delivers a revision.
///
/// It depends only on the arguments, so that unrelated messages don't alter which routers receive a
/// change before an outage.
fn watch_lag(seed: u64, node: usize, revision: Revision) -> Duration {
    let draw = hash::mix(seed, hash::mix(node as u64, revision.number));
    Duration::from_micros(draw % (WATCH_LAG_MS * 1_000 + 1))
}

/// Returns the index of the router with this host name.
pub(super) fn number_of(host: &name::Host) -> Option<usize> {
    host.as_str().strip_prefix("router-")?.parse().ok()
}

impl<R: Router> Simulation<'_, R> {
    pub(super) fn call(&mut self, caller: Caller, id: CallId, call: Call) {
        let at = self.now + LATENCY;
        self.schedule(at, Step::Call(caller, id, Box::new(call)));
    }

    /// Executes a call that has reached the service.
    pub(super) fn execute_call(&mut self, caller: Caller, id: CallId, call: &Call) {
        let node = match caller {
            Caller::Config(node) | Caller::Claim(node) | Caller::Lease(node) => Some(node),
            Caller::Edit(_) => None,
        };
        let isolated =
            node.is_some_and(|node| self.isolated_zones.contains(&self.nodes[node].zone));
        if self.store.unavailable || isolated {
            self.reply(CONNECT_TIMEOUT, caller, id, Err(Fault::NotSent));
            return;
        }
        let result = self.store.memory.call(self.now, call);
        self.publish_writes();
        if self.store.lose_replies && matches!(call, Call::Txn(_)) {
            self.reply(CONNECT_TIMEOUT, caller, id, Err(Fault::Lost));
        } else {
            self.reply(LATENCY, caller, id, result);
        }
    }

    fn reply(&mut self, after: Duration, caller: Caller, id: CallId, result: Result<Reply, Fault>) {
        let at = self.now + after;
        let (node, event) = match caller {
            Caller::Config(node) => {
                let event = config::Event::Reply { id, result };
                (node, ClientEvent::Config(event))
            }
            Caller::Claim(node) => {
                let event = claim::Event::Reply { id, result };
                (node, ClientEvent::Claim(event))
            }
            Caller::Lease(node) => {
                let event = lease::Event::Reply { id, result };
                (node, ClientEvent::Lease(event))
            }
            Caller::Edit(number) => {
                self.schedule(at, Step::Edit(number, Some(Box::new((id, result)))));
                return;
            }
        };
        self.schedule(at, Step::Client(node, Box::new(event)));
    }

    /// Sends new writes to the watches and records when configuration was accepted.
    pub(super) fn publish_writes(&mut self) {
        let now = self.now;
        self.store.memory.expire(now);
        let from = Revision::new(self.store.published.number + 1);
        for write in self.store.memory.log(from) {
            let documents = write.entries.iter().map(|entry| &entry.key);
            let mut keys = documents.chain(&write.deleted);
            if keys.any(|key| key.starts_with(config::PREFIX)) {
                self.store.accepted.insert(write.revision, now);
            }
        }
        let current = self.store.memory.revision();
        self.store.published = current;
        if self.store.unavailable {
            return;
        }
        let watches: Vec<_> = self.store.watches.clone().into_iter().collect();
        for (node, from) in watches {
            let writes = self.store.memory.log(from).to_vec();
            self.store
                .watches
                .insert(node, Revision::new(current.number + 1));
            for write in writes {
                let lag = LATENCY + watch_lag(self.trace.header.seed, node, write.revision);
                self.schedule(now + lag, Step::WatchUpdate(node, Box::new(write)));
            }
        }
    }

    /// Delivers a write to a router unless its watch has ended.
    pub(super) fn deliver_write(&mut self, node: usize, write: Write) {
        if !self.store.watches.contains_key(&node) {
            return;
        }
        let at = self.now;
        let zone = self.nodes[node].zone;
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
            let event = ClientEvent::Lease(event);
            self.schedule(at, Step::Client(node, Box::new(event)));
        }
        let event = config::Event::Changed {
            revision: write.revision,
            entries: write.entries,
            deleted: write.deleted,
        };
        let event = ClientEvent::Config(event);
        self.schedule(at, Step::Client(node, Box::new(event)));
    }

    /// Ends the watches of routers that cannot reach the service.
    pub(super) fn drop_watches(&mut self) {
        let is_unreachable = |simulation: &Self, node: &usize| {
            simulation.store.unavailable
                || simulation
                    .isolated_zones
                    .contains(&simulation.nodes[*node].zone)
        };
        let nodes: Vec<_> = self.store.watches.keys().copied().collect();
        for node in nodes {
            if is_unreachable(self, &node) {
                self.store.watches.remove(&node);
                let event = ClientEvent::Config(config::Event::WatchLost);
                self.schedule(self.now, Step::Client(node, Box::new(event)));
            }
        }
    }
}
