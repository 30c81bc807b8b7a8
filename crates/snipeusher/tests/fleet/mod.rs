//! Members on a simulated network that loses, delays and duplicates frames and can be partitioned.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64;
use snipeusher::config;
use snipeusher::load;
use snipeusher::member::Action;
use snipeusher::member::Event;
use snipeusher::member::Listing;
use snipeusher::member::Member;
use snipeusher::member::Role;
use snipeusher::member::Settings;
use snipeusher::name;
use snipeusher::request::Variant;
use snipeusher::time::Time;
use snipeusher::upstream;
use snipeusher::upstream::Phase;
use snipeusher::wire;

/// Wall clock at the start of a simulation.
pub const EPOCH_MS: u64 = 1_700_000_000_000;

/// How the network treats a frame.
#[derive(Clone, Debug)]
pub struct Network {
    /// Share of frames that are lost.
    pub loss: f64,
    /// Share of frames that arrive twice.
    pub duplication: f64,
    /// Delay within a region, in microseconds.
    pub within_region_us: std::ops::Range<u64>,
    /// Delay between regions, in microseconds.
    pub between_regions_us: std::ops::Range<u64>,
    /// Pairs of sender and receiver, by index, between which frames are dropped.
    pub cuts: BTreeSet<(usize, usize)>,
}

/// One router.
pub struct Node {
    pub settings: Settings,
    pub member: Member,
    pub up: bool,
    pub paused: bool,
    /// Sizes of the frames sent within the last second, to check the budget.
    sent: VecDeque<(Time, u64)>,
    pub bytes: u64,
    pub most_in_a_second: u64,
    pub states: BTreeMap<name::Upstream, upstream::State>,
    pub shares: BTreeMap<name::Host, load::Share>,
    pub exchanges: Vec<(name::Host, config::Exchange)>,
    pub digests: BTreeMap<name::Host, config::Digest>,
    wake: Time,
    waiting: Vec<Event>,
}

/// All routers and the frames in transit.
pub struct Fleet {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub network: Network,
    pub rng: Pcg64,
    queue: BTreeMap<(Time, u64), (usize, Event)>,
    wakes: BTreeSet<(Time, usize)>,
    by_address: BTreeMap<String, usize>,
    next: u64,
}

pub fn key() -> wire::Key {
    wire::Key::new(b"fleet key of the tests")
}

pub fn place(zone: usize, zones_per_region: usize) -> wire::Place {
    wire::Place {
        zone: format!("zone-{zone}").into(),
        region: format!("region-{}", zone / zones_per_region).into(),
    }
}

pub fn engine(index: usize, place: &wire::Place) -> upstream::State {
    let variant = Variant {
        model: "letters".into(),
        adapter: None,
        version: "1".into(),
    };
    upstream::State {
        name: format!("engine-{index}").into(),
        address: format!("10.1.{}.{}:80", index / 250, index % 250),
        zone: place.zone.clone(),
        incarnation: name::Incarnation(EPOCH_MS - 1_000_000),
        phase: Phase::Live,
        kind: upstream::Kind::Engine([variant].into()),
    }
}

impl Fleet {
    /// Starts `count` routers spread evenly over zones, with a host list that names all routers.
    pub fn new(count: usize, zones: usize, per_region: usize, budget: u32, seed: u64) -> Self {
        let network = Network {
            loss: 0.0,
            duplication: 0.0,
            within_region_us: 500..3_000,
            between_regions_us: 20_000..90_000,
            cuts: BTreeSet::new(),
        };
        let mut fleet = Self {
            now: Time::default(),
            nodes: Vec::new(),
            network,
            rng: Pcg64::seed_from_u64(seed),
            queue: BTreeMap::new(),
            wakes: BTreeSet::new(),
            by_address: BTreeMap::new(),
            next: 0,
        };
        for index in 0..count {
            let settings = Settings {
                host: format!("router-{index}").into(),
                address: format!("10.0.{}.{}:80", index / 250, index % 250),
                place: place(index % zones, per_region),
                budget_bytes: budget,
                seeds: Vec::new(),
            };
            fleet.by_address.insert(settings.address.clone(), index);
            let member = fleet.member(&settings, EPOCH_MS);
            fleet.nodes.push(Node {
                settings,
                member,
                up: true,
                paused: false,
                sent: VecDeque::new(),
                bytes: 0,
                most_in_a_second: 0,
                states: BTreeMap::new(),
                shares: BTreeMap::new(),
                exchanges: Vec::new(),
                digests: BTreeMap::new(),
                wake: Time::NEVER,
                waiting: Vec::new(),
            });
            fleet.rewake(index);
        }
        let list = fleet.list(&[], &BTreeSet::new());
        for index in 0..count {
            fleet.event(index, Event::HostList(list.clone()));
        }
        fleet
    }

    fn member(&mut self, settings: &Settings, started_ms: u64) -> Member {
        let seed = self.rng.random();
        Member::new(settings.clone(), key(), self.now, started_ms, seed).expect("usable settings")
    }

    pub fn wall_ms(&self) -> u64 {
        EPOCH_MS + self.now.0 / 1_000
    }

    /// A host list of all routers and the engines given.
    pub fn list(
        &self,
        engines: &[upstream::State],
        leaving: &BTreeSet<name::Upstream>,
    ) -> Vec<Listing> {
        let routers = self.nodes.iter().map(|node| Listing {
            name: node.settings.host.to_string(),
            address: node.settings.address.clone(),
            place: node.settings.place.clone(),
            role: Role::Router,
            leaving: false,
            since_ms: EPOCH_MS,
        });
        let engines = engines.iter().map(|state| Listing {
            name: state.name.to_string(),
            address: state.address.clone(),
            place: wire::Place {
                zone: state.zone.clone(),
                region: "region-0".into(),
            },
            role: Role::Engine,
            leaving: leaving.contains(&state.name),
            since_ms: if leaving.contains(&state.name) {
                self.wall_ms()
            } else {
                state.incarnation.0
            },
        });
        routers.chain(engines).collect()
    }

    /// Passes an event to a router now; a paused one handles it after it resumes.
    pub fn event(&mut self, index: usize, event: Event) {
        let node = &mut self.nodes[index];
        if !node.up {
            return;
        }
        if node.paused {
            node.waiting.push(event);
            return;
        }
        node.member.handle(self.now, event);
        self.collect(index);
    }

    /// Restarts a router without its state.
    pub fn restart(&mut self, index: usize, started_ms: u64) {
        let settings = self.nodes[index].settings.clone();
        let member = self.member(&settings, started_ms);
        let node = &mut self.nodes[index];
        node.member = member;
        node.up = true;
        node.paused = false;
        node.waiting.clear();
        node.states.clear();
        node.shares.clear();
        node.digests.clear();
        // The budget applies to a process.
        node.sent.clear();
        self.rewake(index);
        // The incarnation comes from the clock as it was before this correction.
        self.event(index, Event::Clock(self.wall_ms()));
    }

    pub fn pause(&mut self, index: usize) {
        self.nodes[index].paused = true;
        self.rewake(index);
    }

    pub fn resume(&mut self, index: usize) {
        if !std::mem::take(&mut self.nodes[index].paused) {
            return;
        }
        for event in std::mem::take(&mut self.nodes[index].waiting) {
            self.event(index, event);
        }
        self.rewake(index);
    }

    /// Drops all frames between the group and the other routers, in both directions.
    pub fn partition(&mut self, group: &BTreeSet<usize>) {
        for left in 0..self.nodes.len() {
            for right in 0..self.nodes.len() {
                if group.contains(&left) != group.contains(&right) {
                    self.network.cuts.insert((left, right));
                }
            }
        }
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.step(end) {}
        self.now = end;
    }

    /// Runs until the condition holds and returns the time taken, or `None` after `most`.
    pub fn run_until(&mut self, most: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        loop {
            if done(self) {
                return Some(self.now.since(start));
            }
            if !self.step(start + most) {
                self.now = start + most;
                return None;
            }
        }
    }

    fn step(&mut self, end: Time) -> bool {
        let frame = self.queue.first_key_value().map(|((time, _), _)| *time);
        let wake = self.wakes.first().map(|(time, _)| *time);
        let next = frame
            .unwrap_or(Time::NEVER)
            .min(wake.unwrap_or(Time::NEVER));
        if next > end {
            return false;
        }
        self.now = self.now.max(next);
        if frame == Some(next) {
            let (_, (index, event)) = self.queue.pop_first().expect("just seen");
            self.event(index, event);
        } else if let Some((_, index)) = self.wakes.pop_first() {
            self.nodes[index].wake = Time::NEVER;
            self.event(index, Event::Tick);
        }
        true
    }

    fn rewake(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        self.wakes.remove(&(node.wake, index));
        node.wake = Time::NEVER;
        if node.up && !node.paused {
            node.wake = node.member.next_wake();
            self.wakes.insert((node.wake, index));
        }
    }

    fn collect(&mut self, index: usize) {
        let actions: Vec<_> = self.nodes[index].member.drain().collect();
        for action in actions {
            let node = &mut self.nodes[index];
            match action {
                Action::Send { to, envelope } => self.transmit(index, &to, &envelope),
                Action::Upstream(state) => {
                    let order = (state.incarnation, state.phase);
                    let known = node.states.insert(state.name.clone(), state);
                    let known = known.map(|known| (known.incarnation, known.phase));
                    assert!(
                        known.is_none_or(|known| known <= order),
                        "{known:?}, then {order:?}"
                    );
                }
                Action::Share { host, share } => {
                    node.shares.insert(host, share);
                }
                Action::Exchange(host, exchange) => node.exchanges.push((host, exchange)),
                Action::Digest(host, digest) => {
                    node.digests.insert(host, digest);
                }
                Action::Prefixes(_)
                | Action::Suspected(_)
                | Action::Recovered(_)
                | Action::Incarnation(_) => {}
            }
        }
        let wake = self.nodes[index].member.next_wake();
        assert!(wake > self.now, "the next wake-up lies in the future");
        self.rewake(index);
    }

    fn transmit(&mut self, from: usize, to: &str, envelope: &wire::Envelope) {
        self.charge(from, (envelope.body.len() + wire::OVERHEAD_BYTES) as u64);
        let Some(to) = self.by_address.get(to).copied() else {
            return;
        };
        if self.network.cuts.contains(&(from, to)) || !self.nodes[to].up {
            return;
        }
        if self.rng.random_bool(self.network.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.network.duplication));
        for _ in 0..copies {
            let is_same_region =
                self.nodes[from].settings.place.region == self.nodes[to].settings.place.region;
            let delay = if is_same_region {
                self.rng.random_range(self.network.within_region_us.clone())
            } else {
                self.rng
                    .random_range(self.network.between_regions_us.clone())
            };
            let at = self.now + Duration::from_micros(delay);
            let event = Event::Frame {
                body: envelope.body.clone(),
                proof: envelope.proof.clone(),
            };
            self.queue.insert((at, self.next), (to, event));
            self.next += 1;
        }
    }

    /// Counts sent bytes independently of the member and checks the budget over each second.
    fn charge(&mut self, index: usize, bytes: u64) {
        let now = self.now;
        let node = &mut self.nodes[index];
        node.bytes += bytes;
        node.sent.push_back((now, bytes));
        while node
            .sent
            .front()
            .is_some_and(|(sent, _)| now.since(*sent) >= Duration::from_secs(1))
        {
            node.sent.pop_front();
        }
        let sum: u64 = node.sent.iter().map(|(_, bytes)| bytes).sum();
        node.most_in_a_second = node.most_in_a_second.max(sum);
        assert!(
            sum <= u64::from(node.settings.budget_bytes),
            "router-{index} sent {sum} bytes in a second at {now}"
        );
    }

    /// Routers that would still send new requests to an upstream.
    pub fn sending_to(&self, name: &name::Upstream) -> Vec<usize> {
        let nodes = self.nodes.iter().enumerate();
        let up = nodes.filter(|(_, node)| node.up && !node.paused);
        up.filter(|(_, node)| {
            let state = node.states.get(name);
            state.is_some_and(|state| state.phase == Phase::Live)
        })
        .map(|(index, _)| index)
        .collect()
    }
}
