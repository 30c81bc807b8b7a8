//! Delivers the gossip messages of `snipeusher::member` between the routers of a replay.

use snipeusher::claim;
use snipeusher::config;
use snipeusher::machine::Event;
use snipeusher::member;
use snipeusher::member::Member;
use snipeusher::name;
use snipeusher::time::Time;
use snipeusher::upstream;
use snipeusher::wire;

use super::fleet;
use super::router::Router;
use super::simulation::CONNECT_TIMEOUT;
use super::simulation::Simulation;
use super::simulation::Step;
use super::store::ClientEvent;
use super::store::host;
use super::store::number_of;
use crate::trace::Header;

/// Wall-clock time at the start of every replay, in milliseconds since the Unix epoch.
pub const STARTED_AT_MS: u64 = 1_700_000_000_000;
/// Region of all zones.
const REGION: &str = "region";
/// Fleet key of replays.
const KEY: &[u8] = b"replay";

/// Creates the fleet member of a router.
pub fn member(header: &Header, number: usize, zone: usize) -> Result<Member, member::Error> {
    let settings = member::Settings {
        host: host(number),
        address: host(number).to_string(),
        place: place(header, zone),
        budget_bytes: header.budget_bytes,
        seeds: Vec::new(),
    };
    let seed = header.seed.rotate_left(29) + number as u64;
    Member::new(settings, wire::Key::new(KEY), Time(0), STARTED_AT_MS, seed)
}

fn place(header: &Header, zone: usize) -> wire::Place {
    let zone = header.zones.get(zone).cloned();
    wire::Place {
        zone: zone.unwrap_or_else(|| "a".into()),
        region: REGION.into(),
    }
}

impl<R: Router> Simulation<'_, R> {
    /// Returns the host list of routers. Upstreams announce their states themselves.
    pub(super) fn listings(&self) -> Vec<member::Listing> {
        let nodes = self.nodes.iter().enumerate();
        let listing = |(number, zone)| member::Listing {
            name: host(number).to_string(),
            address: host(number).to_string(),
            place: place(&self.trace.header, zone),
            role: member::Role::Router,
            leaving: false,
            since_ms: STARTED_AT_MS,
        };
        nodes
            .map(|(number, node)| listing((number, node.zone)))
            .collect()
    }

    /// Delivers an upstream's announcement of its state to a router.
    pub(super) fn announce(&mut self, node: usize, at: Time, state: upstream::State) {
        if self.nodes[node].member.is_none() {
            let event = Box::new(Event::Upstream(state));
            self.schedule(at, Step::Deliver(node, event));
            return;
        }
        // The time serves as the sequence number, which must increase within an incarnation.
        let sequence = self.now.0 + 1;
        let event = member::Event::Status { state, sequence };
        self.schedule(at, Step::Member(node, Box::new(event)));
    }

    /// Passes an event to a router's fleet member and performs the resulting actions.
    pub(super) fn handle_member(&mut self, node: usize, event: member::Event) {
        let now = self.now;
        let Some(member) = &mut self.nodes[node].member else {
            return;
        };
        member.handle(now, event);
        let actions: Vec<_> = member.drain().collect();
        for action in actions {
            match action {
                member::Action::Send { to, envelope } => self.send(node, to, envelope),
                member::Action::Upstream(state) => self.handle(node, Event::Upstream(state)),
                member::Action::Share { host, share } => {
                    self.handle(node, Event::Peer { host, share });
                }
                member::Action::Digest(peer, digest) => {
                    let event = config::Event::Digest(peer, digest);
                    self.handle_client(node, ClientEvent::Config(event));
                }
                member::Action::Exchange(peer, exchange) => {
                    let event = config::Event::Exchange(peer, exchange);
                    self.handle_client(node, ClientEvent::Config(event));
                }
                member::Action::Suspected(peer) => self.handle(node, Event::PeerRemoved(peer)),
                member::Action::Prefixes(_)
                | member::Action::Recovered(_)
                | member::Action::Incarnation(_) => {}
            }
        }
        self.schedule_wake(node);
    }

    fn send(&mut self, node: usize, to: String, envelope: wire::Envelope) {
        let bytes = envelope.body.len() + wire::OVERHEAD_BYTES;
        self.tally.add_control_bytes("gossip", bytes as u64);
        let number = number_of(&name::Host::from(to.as_str()));
        let Some(peer) = number.filter(|peer| *peer < self.nodes.len()) else {
            self.tally.record_violation("messages go to known routers");
            return;
        };
        let zones = (self.nodes[node].zone, self.nodes[peer].zone);
        let (at, node, event) = if self.is_reachable(zones.0, zones.1) {
            let (body, proof) = (envelope.body, envelope.proof);
            let event = member::Event::Frame { body, proof };
            (self.now + self.latency(zones.0, zones.1), peer, event)
        } else {
            let event = member::Event::Undelivered(to);
            (self.now + CONNECT_TIMEOUT, node, event)
        };
        self.schedule(at, Step::Member(node, Box::new(event)));
    }

    /// Passes the router's current state to its fleet member, which gossips it.
    pub(super) fn gossip(&mut self, node: usize) {
        if self.is_over() {
            return;
        }
        let interval = std::time::Duration::from_millis(self.trace.header.gossip_every_ms);
        self.schedule(self.now + interval, Step::Gossip(node));
        let share = self.nodes[node].router.share();
        self.handle_member(node, member::Event::Share(share));
        let clients = self.nodes[node].clients.as_ref();
        if let Some(digest) = clients.map(|clients| clients.replica.digest()) {
            self.handle_member(node, member::Event::Digest(digest));
            let member = self.nodes[node].member.as_ref();
            let peers: Vec<_> = member.map_or_else(Vec::new, |member| {
                let peers = member.peers().iter();
                peers
                    .map(|(host, peer)| (host.clone(), peer.incarnation))
                    .collect()
            });
            for (peer, incarnation) in peers {
                let event = claim::Event::PeerSeen(peer, incarnation);
                self.handle_client(node, ClientEvent::Claim(event));
            }
        }
        self.handle_member(
            node,
            member::Event::Clock(STARTED_AT_MS + self.now.0 / 1_000),
        );
    }

    /// Creates a router's fleet member, which starts with the host list and all upstreams.
    pub(super) fn join(&mut self, node: usize) {
        let zone = self.nodes[node].zone;
        self.nodes[node].member = member(&self.trace.header, node, zone).ok();
        let host_list = member::Event::HostList(self.listings());
        self.schedule(Time(0), Step::Member(node, Box::new(host_list)));
        for engine in 0..self.engines.len() {
            let state = fleet::state(&self.trace.header, &self.engines[engine]);
            self.announce(node, Time(0), state);
        }
    }
}
