//! Membership by gossip: routers, upstream phases, shares of load and configuration summaries.
//!
//! A [`Member`] sends small digests in rounds and urgent news at once, never more than its byte
//! budget in any second; see `docs/design.md#membership` and `docs/design.md#leaving`.

mod budget;
mod digest;
mod event;
mod messages;
mod peers;
mod receive;
mod send;
mod shares;
mod upstreams;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64;

use self::budget::Budget;
use self::digest::Cursor;
pub use self::event::Action;
pub use self::event::Error;
pub use self::event::Event;
pub use self::event::Listing;
pub use self::event::Role;
pub use self::event::Settings;
use self::messages::Messages;
pub use self::peers::Peer;
use self::peers::Peers;
use self::shares::Shares;
use self::upstreams::Change;
use self::upstreams::Fact;
use self::upstreams::Upstreams;
use crate::config;
use crate::load;
use crate::name;
use crate::time::Time;
use crate::upstream;
use crate::upstream::Phase;
use crate::wire;
use crate::wire::Authenticator;

/// Time between two rounds.
pub const ROUND: Duration = Duration::from_millis(500);
/// Least byte budget: below it a digest has no room for an entry beside its head.
pub const BUDGET_BYTES_MIN: u32 = 2_000;
/// Longest host name, address, zone and region together, so that the head of a frame fits into
/// the smallest frame.
const NAMES_BYTES_MAX: usize = 160;
/// How long a change to leaving is repeated. With the derivation in the design page, it reaches
/// every router that can be reached well before.
const REPEAT: Duration = Duration::from_millis(2_500);
/// News that this many routers told has spread, and few further frames find the rest. Without the
/// rule, one departure uses up the budget of all routers for a second.
const WIDELY_KNOWN: usize = 3;
/// A gap between events that only a pause of this process explains.
const PAUSE: Duration = Duration::from_secs(2);
/// News that is repeated for a while.
#[derive(Debug)]
struct Rumor {
    since: Time,
    /// Frames that held it.
    sent: u32,
    /// Routers that told it too and need not be told.
    known_by: BTreeSet<name::Host>,
}

impl Rumor {
    fn widely_known(&self) -> bool {
        self.known_by.len() >= WIDELY_KNOWN
    }
}

/// One router's part in the fleet.
#[derive(Debug)]
pub struct Member {
    settings: Settings,
    rng: Pcg64,
    now: Time,
    /// Wall clock at time zero, in milliseconds since the Unix epoch.
    origin_ms: u64,
    incarnation: name::Incarnation,
    heartbeat: u64,
    authenticator: Authenticator,
    budget: Budget,
    peers: Peers,
    upstreams: Upstreams,
    shares: Shares,
    share: load::Share,
    digest: config::Digest,
    messages: Messages,
    served: Option<name::Host>,
    cursor: Cursor,
    /// Upstreams whose leaving is repeated.
    rumors: BTreeMap<name::Upstream, Rumor>,
    /// Routers that the next urgent frames go to.
    urgent: VecDeque<name::Host>,
    next_urgent: Time,
    /// When the next waiting exchange fits into the budget.
    next_message: Time,
    /// Whether the next digest must have room for an upstream that serves very much.
    wide: bool,
    /// The upstream that needed it.
    oversize: Option<name::Upstream>,
    /// Routers that must learn of this one's state, with the time of the last answer.
    answers: BTreeMap<String, (String, bool)>,
    round: u64,
    next_round: Time,
    actions: VecDeque<Action>,
}

impl Member {
    /// Starts with no peers. `started_ms` is the wall clock at `now`, in milliseconds since the
    /// Unix epoch, and becomes the incarnation; `seed` feeds the random choices.
    pub fn new(
        settings: Settings,
        key: wire::Key,
        now: Time,
        started_ms: u64,
        seed: u64,
    ) -> Result<Self, Error> {
        if settings.budget_bytes < BUDGET_BYTES_MIN {
            return event::BudgetSnafu {
                budget_bytes: settings.budget_bytes,
                least: BUDGET_BYTES_MIN,
            }
            .fail();
        }
        let names = settings.host.as_str().len()
            + settings.address.len()
            + settings.place.zone.as_str().len()
            + settings.place.region.as_str().len();
        if names > NAMES_BYTES_MAX {
            return event::NamesSnafu {
                most: NAMES_BYTES_MAX,
            }
            .fail();
        }
        let mut rng = Pcg64::seed_from_u64(seed);
        // Routers that start together must not send at the same instants.
        let first = Duration::from_micros(rng.random_range(0..ROUND.as_micros() as u64));
        Ok(Self {
            authenticator: Authenticator::new(key, settings.host.clone(), settings.address.clone()),
            budget: Budget::new(settings.budget_bytes),
            peers: Peers::new(settings.host.clone(), settings.place.clone()),
            settings,
            rng,
            now,
            origin_ms: started_ms.saturating_sub(now.0 / 1_000),
            incarnation: name::Incarnation(started_ms),
            heartbeat: 0,
            upstreams: Upstreams::default(),
            shares: Shares::default(),
            share: load::Share::default(),
            digest: config::Digest::default(),
            messages: Messages::default(),
            served: None,
            cursor: Cursor::default(),
            rumors: BTreeMap::new(),
            urgent: VecDeque::new(),
            next_urgent: Time::NEVER,
            next_message: Time::NEVER,
            wide: false,
            oversize: None,
            answers: BTreeMap::new(),
            round: 0,
            next_round: now + first,
            actions: VecDeque::new(),
        })
    }

    /// This router's incarnation, which may have moved up since the start.
    pub const fn incarnation(&self) -> name::Incarnation {
        self.incarnation
    }

    /// Known routers but this one.
    pub const fn peers(&self) -> &BTreeMap<name::Host, Peer> {
        self.peers.map()
    }

    /// Known upstreams with their states.
    pub fn upstreams(&self) -> impl Iterator<Item = upstream::State> + '_ {
        let names = self.upstreams.map().keys();
        names.filter_map(|name| self.upstreams.state(name))
    }

    /// Refused frames so far, by reason.
    pub const fn refusals(&self) -> &wire::Refusals {
        self.authenticator.refusals()
    }

    /// Takes one event at `now`; actions wait in [`Self::drain`]. A clock that jumps back counts
    /// as standing still.
    pub fn handle(&mut self, now: Time, event: Event) {
        let gap = now.since(self.now);
        if gap > PAUSE {
            self.peers.excuse(gap);
        }
        self.now = self.now.max(now);
        match event {
            Event::Tick => {}
            Event::Clock(wall_ms) => {
                self.origin_ms = wall_ms.saturating_sub(self.now.0 / 1_000);
            }
            Event::HostList(hosts) => self.listed(&hosts),
            Event::Frame { body, proof } => self.receive(&body, &proof),
            Event::Undelivered(address) => self.peers.unreachable(self.now, &address, ROUND),
            Event::Status { state, sequence } => self.status(state, sequence),
            Event::Refused {
                upstream,
                incarnation,
            } => self.refused(&upstream, incarnation),
            Event::ProbeFailed(upstream) => {
                let change = self
                    .upstreams
                    .silent(self.now, &upstream, &self.settings.place);
                self.changed(&upstream, change, false);
            }
            Event::Share(share) => self.share = share,
            Event::Digest(digest) => self.set_digest(digest),
            Event::Exchange(to, exchange) => {
                let bytes = wire::encode(&exchange);
                self.messages.queue(&self.settings.host, &to, bytes);
            }
            Event::Prefixes(prefixes) => self.cursor.queue(prefixes),
        }
        self.advance();
    }

    /// Takes the actions that are due, in order.
    pub fn drain(&mut self) -> impl Iterator<Item = Action> + '_ {
        self.actions.drain(..)
    }

    fn wall_ms(&self) -> u64 {
        self.origin_ms.saturating_add(self.now.0 / 1_000)
    }

    fn listed(&mut self, hosts: &[Listing]) {
        let routers = hosts
            .iter()
            .filter(|host| host.role == Role::Router && !host.leaving)
            .map(|host| {
                let name = name::Host::from(host.name.as_str());
                (name, (host.address.clone(), host.place.clone()))
            });
        self.peers.list(self.now, &routers.collect());
        for (name, change) in self.upstreams.list(self.now, hosts) {
            self.changed(&name, change, false);
        }
    }

    fn status(&mut self, state: upstream::State, sequence: u64) {
        // Number zero is the host list's word, which any report of the upstream replaces.
        let sequence = sequence.saturating_add(1);
        let place = self.upstreams.map().get(&state.name).and_then(|record| {
            let place = &record.fact.as_ref()?.place;
            (place.zone == state.zone).then(|| place.clone())
        });
        let fact = Fact {
            sequence,
            address: state.address,
            place: place.unwrap_or_else(|| wire::Place {
                zone: state.zone,
                region: self.settings.place.region.clone(),
            }),
            kind: state.kind,
        };
        let change =
            self.upstreams
                .fact(self.now, &state.name, state.incarnation, state.phase, fact);
        self.upstreams.answered(&state.name);
        self.changed(&state.name, change, false);
    }

    fn refused(&mut self, upstream: &name::Upstream, incarnation: Option<name::Incarnation>) {
        let known = self.upstreams.map().get(upstream);
        let known = known.map(|record| record.incarnation);
        let Some(incarnation) = incarnation.or(known) else {
            return;
        };
        let change = self
            .upstreams
            .phase(self.now, upstream, incarnation, Phase::Leaving);
        self.changed(upstream, change, false);
    }

    /// Tells the embedder of a changed upstream, and all peers if it stopped taking work.
    fn changed(&mut self, name: &name::Upstream, change: Change, told: bool) {
        if change == Change::None {
            return;
        }
        if let Some(state) = self.upstreams.state(name) {
            self.actions.push_back(Action::Upstream(state));
        }
        if change == Change::Leaving {
            let rumor = Rumor {
                since: self.now,
                sent: 0,
                known_by: BTreeSet::new(),
            };
            self.rumors.insert(name.clone(), rumor);
            self.spread(told);
        }
    }
}
