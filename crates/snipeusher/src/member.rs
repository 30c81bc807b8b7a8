//! Membership by gossip: routers, upstream phases, shares of load and configuration digests.
//!
//! A [`Member`] sends small digests in periodic rounds and urgent changes immediately, and never
//! more bytes in any second than its budget allows. See `docs/design.md#membership` and
//! `docs/design.md#leaving`.

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
use self::upstreams::Report;
use self::upstreams::Upstreams;
use crate::config;
use crate::load;
use crate::name;
use crate::time::Time;
use crate::upstream;
use crate::upstream::Phase;
use crate::wire;
use crate::wire::Authenticator;

/// Interval between gossip rounds.
pub const ROUND: Duration = Duration::from_millis(500);
/// Smallest byte budget; with less, a digest has no room for an entry after its header.
pub const BUDGET_BYTES_MIN: u32 = 2_000;
/// Largest total length of host name, address, zone and region, so that the header fits into the
/// smallest frame.
const NAMES_BYTES_MAX: usize = 160;
/// How long the change of an upstream to leaving is sent repeatedly. The design page derives that
/// it reaches every reachable router well within this time.
const RUMOR_LIFETIME: Duration = Duration::from_millis(2_500);
/// A rumor received from this many routers counts as widely known: a few more frames are enough to
/// reach the rest. Without this limit, one departure uses up the budget of all routers for a
/// second.
const WIDELY_KNOWN_ROUTERS: usize = 3;
/// A longer gap between two events means that this process was paused.
const PAUSE_MIN: Duration = Duration::from_secs(2);

/// The change of an upstream to leaving, sent repeatedly for [`RUMOR_LIFETIME`].
#[derive(Debug)]
struct Rumor {
    since: Time,
    /// Number of frames sent with it.
    sent: u32,
    /// Routers that sent it too, so that they need not receive it.
    known_by: BTreeSet<name::Host>,
}

impl Rumor {
    fn widely_known(&self) -> bool {
        self.known_by.len() >= WIDELY_KNOWN_ROUTERS
    }
}

/// The gossip state machine of one router.
#[derive(Debug)]
pub struct Member {
    settings: Settings,
    rng: Pcg64,
    now: Time,
    /// Wall clock at `Time` zero, in milliseconds since the Unix epoch.
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
    /// The peer that a configuration message was sent to last.
    last_message_peer: Option<name::Host>,
    cursor: Cursor,
    /// Departures that are still being sent.
    rumors: BTreeMap<name::Upstream, Rumor>,
    /// Receivers of the next urgent frames, in order.
    urgent_receivers: VecDeque<name::Host>,
    next_urgent: Time,
    /// When the next queued configuration message fits into the budget.
    next_message: Time,
    /// Whether the next digest is a large frame, for an upstream record that a digest of usual
    /// size cannot hold.
    use_large_frame: bool,
    /// The upstream that the last large frame was requested for.
    large_upstream: Option<name::Upstream>,
    /// Replies of this round by address, with the host name and whether the reply was sent.
    replies: BTreeMap<String, (String, bool)>,
    round: u64,
    next_round: Time,
    actions: VecDeque<Action>,
}

impl Member {
    /// Creates a member without peers. `started_ms` is the wall clock at `now`, in milliseconds
    /// since the Unix epoch, and becomes the incarnation; `seed` seeds the random generator.
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
                min_bytes: BUDGET_BYTES_MIN,
            }
            .fail();
        }
        let names = settings.host.as_str().len()
            + settings.address.len()
            + settings.place.zone.as_str().len()
            + settings.place.region.as_str().len();
        if names > NAMES_BYTES_MAX {
            return event::NamesSnafu {
                max_bytes: NAMES_BYTES_MAX,
            }
            .fail();
        }
        let mut rng = Pcg64::seed_from_u64(seed);
        // A random offset keeps routers that start together from sending at the same time.
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
            last_message_peer: None,
            cursor: Cursor::default(),
            rumors: BTreeMap::new(),
            urgent_receivers: VecDeque::new(),
            next_urgent: Time::NEVER,
            next_message: Time::NEVER,
            use_large_frame: false,
            large_upstream: None,
            replies: BTreeMap::new(),
            round: 0,
            next_round: now + first,
            actions: VecDeque::new(),
        })
    }

    /// This router's incarnation; it is raised when another process has used the same name.
    pub const fn incarnation(&self) -> name::Incarnation {
        self.incarnation
    }

    /// All known routers except this one.
    pub const fn peers(&self) -> &BTreeMap<name::Host, Peer> {
        self.peers.map()
    }

    /// States of all known upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = upstream::State> + '_ {
        let names = self.upstreams.map().keys();
        names.filter_map(|name| self.upstreams.state(name))
    }

    /// Number of refused frames by reason.
    pub const fn refusals(&self) -> &wire::Refusals {
        self.authenticator.refusals()
    }

    /// Handles one event at `now` and queues actions for [`Self::drain`]. If `now` is earlier than
    /// in the last call, the last time is kept.
    pub fn handle(&mut self, now: Time, event: Event) {
        let gap = now.since(self.now);
        if gap > PAUSE_MIN {
            self.peers.extend_timeouts(gap);
        }
        self.now = self.now.max(now);
        match event {
            Event::Tick => {}
            Event::Clock(wall_ms) => {
                self.origin_ms = wall_ms.saturating_sub(self.now.0 / 1_000);
            }
            Event::HostList(hosts) => self.apply_host_list(&hosts),
            Event::Frame { body, proof } => self.receive(&body, &proof),
            Event::Undelivered(address) => self.peers.back_off(self.now, &address, ROUND),
            Event::Status { state, sequence } => self.apply_status(state, sequence),
            Event::Refused {
                upstream,
                incarnation,
            } => self.apply_refusal(&upstream, incarnation),
            Event::ProbeFailed(upstream) => {
                let change =
                    self.upstreams
                        .record_probe_failure(self.now, &upstream, &self.settings.place);
                self.publish_change(&upstream, change, false);
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

    /// Removes and returns the queued actions in order.
    pub fn drain(&mut self) -> impl Iterator<Item = Action> + '_ {
        self.actions.drain(..)
    }

    fn wall_ms(&self) -> u64 {
        self.origin_ms.saturating_add(self.now.0 / 1_000)
    }

    fn apply_host_list(&mut self, hosts: &[Listing]) {
        let routers = hosts
            .iter()
            .filter(|host| host.role == Role::Router && !host.leaving)
            .map(|host| {
                let name = name::Host::from(host.name.as_str());
                (name, (host.address.clone(), host.place.clone()))
            });
        self.peers.apply_host_list(self.now, &routers.collect());
        for (name, change) in self.upstreams.apply_host_list(self.now, hosts) {
            self.publish_change(&name, change, false);
        }
    }

    fn apply_status(&mut self, state: upstream::State, sequence: u64) {
        // Sequence zero marks data from the host list, which any report of the upstream replaces.
        let sequence = sequence.saturating_add(1);
        let place = self.upstreams.map().get(&state.name).and_then(|record| {
            let place = &record.report.as_ref()?.place;
            (place.zone == state.zone).then(|| place.clone())
        });
        let report = Report {
            sequence,
            address: state.address,
            place: place.unwrap_or_else(|| wire::Place {
                zone: state.zone,
                region: self.settings.place.region.clone(),
            }),
            kind: state.kind,
        };
        let change = self.upstreams.merge_report(
            self.now,
            &state.name,
            state.incarnation,
            state.phase,
            report,
        );
        self.upstreams.record_answer(&state.name);
        self.publish_change(&state.name, change, false);
    }

    fn apply_refusal(&mut self, upstream: &name::Upstream, incarnation: Option<name::Incarnation>) {
        let known = self.upstreams.map().get(upstream);
        let known = known.map(|record| record.incarnation);
        let Some(incarnation) = incarnation.or(known) else {
            return;
        };
        let change = self
            .upstreams
            .merge_phase(self.now, upstream, incarnation, Phase::Leaving);
        self.publish_change(upstream, change, false);
    }

    /// Queues an action for a changed upstream, and starts a rumor if the upstream began to leave.
    fn publish_change(&mut self, name: &name::Upstream, change: Change, from_peer: bool) {
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
            self.schedule_urgent(from_peer);
        }
    }
}
