//! Stateful property test: eight members against a simple model of the true state.
//!
//! `SNIPEUSHER_CASES` raises the number of cases; the seed is fixed.

#[expect(dead_code, reason = "each test program uses a part of the harness")]
mod fleet;

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::EPOCH_MS;
use fleet::Fleet;
use fleet::engine;
use fleet::place;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use snipeusher::member::Event;
use snipeusher::name::Incarnation;
use snipeusher::upstream::Phase;
use snipeusher::upstream::State;

const ROUTERS: usize = 8;
const ZONES: usize = 3;
const UPSTREAMS: usize = 4;
const BUDGET_BYTES: u32 = 4_000;
/// Time limit for spreading a departure between undisturbed routers.
const SPREAD_MS_MAX: u64 = 2_000;
/// Time limit if the router or the observer of the departure was partitioned, paused or restarted:
/// the change then spreads with the regular rounds.
const HEAL_MS_MAX: u64 = 30_000;

/// True state of an upstream.
#[derive(Clone, Debug)]
struct Upstream {
    incarnation: u64,
    reports: u64,
    /// When the upstream began to leave, and the router that observed it.
    leaving: Option<(u64, usize)>,
}

/// True state of the fleet.
#[derive(Clone, Debug)]
struct Model {
    now_ms: u64,
    seed: u64,
    upstreams: Vec<Upstream>,
    paused: BTreeSet<usize>,
    cut: Option<usize>,
    /// When a disturbance of each router (partition, pause or restart) last ended.
    disturbed_ms: Vec<u64>,
    starts: u64,
}

/// How a router detects a departure.
#[derive(Clone, Copy, Debug)]
enum Source {
    Status,
    Refusal,
    List,
}

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Leave(usize, usize, Source),
    Start(usize, usize),
    LateStatus(usize, usize),
    EarlierIncarnation(usize, usize),
    OutdatedList(usize),
    Cut(usize),
    OneWay(usize, usize),
    Heal,
    Pause(usize),
    Resume(usize),
    Restart(usize, bool),
    Network { loss: f64, repeat: f64, slow: bool },
}

impl Model {
    fn disturb(&mut self, router: usize) {
        self.disturbed_ms[router] = self.now_ms;
    }

    fn disturb_zone(&mut self, zone: usize) {
        for router in (0..ROUTERS).filter(|router| router % ZONES == zone) {
            self.disturb(router);
        }
    }

    fn state(&self, index: usize) -> State {
        let model = &self.upstreams[index];
        let mut state = engine(index, &place(index % ZONES, ZONES));
        state.incarnation = Incarnation(model.incarnation);
        if model.leaving.is_some() {
            state.phase = Phase::Leaving;
        }
        state
    }

    /// Whether a router must have stopped sending to an upstream.
    fn must_know(&self, index: usize, router: usize) -> bool {
        let Some((since_ms, observer)) = self.upstreams[index].leaving else {
            return false;
        };
        let isolated = |router: usize| {
            self.paused.contains(&router) || self.cut.is_some_and(|zone| router % ZONES == zone)
        };
        if isolated(router) || isolated(observer) {
            return false;
        }
        let disturbed = self.disturbed_ms[router].max(self.disturbed_ms[observer]);
        let deadline = if disturbed >= since_ms {
            disturbed + HEAL_MS_MAX
        } else {
            since_ms + SPREAD_MS_MAX
        };
        self.now_ms >= deadline
    }
}

impl ReferenceStateMachine for Model {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        let upstream = Upstream {
            incarnation: EPOCH_MS - 1_000_000,
            reports: 1,
            leaving: None,
        };
        let model = move |seed| Self {
            now_ms: 0,
            seed,
            upstreams: vec![upstream.clone(); UPSTREAMS],
            paused: BTreeSet::new(),
            cut: None,
            disturbed_ms: vec![0; ROUTERS],
            starts: 0,
        };
        any::<u64>().prop_map(model).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let source = prop_oneof![
            Just(Source::Status),
            Just(Source::Refusal),
            Just(Source::List)
        ];
        let pair = || (0..UPSTREAMS, 0..ROUTERS);
        prop_oneof![
            8 => (1_u64..4_000).prop_map(Step::Wait),
            1 => Just(Step::Wait(40_000)),
            3 => (pair(), source).prop_map(|((index, router), source)| Step::Leave(index, router, source)),
            2 => pair().prop_map(|(index, router)| Step::Start(index, router)),
            2 => pair().prop_map(|(index, router)| Step::LateStatus(index, router)),
            2 => pair().prop_map(|(index, router)| Step::EarlierIncarnation(index, router)),
            1 => (0..ROUTERS).prop_map(Step::OutdatedList),
            1 => (0..ZONES).prop_map(Step::Cut),
            1 => (0..ROUTERS, 0..ROUTERS).prop_map(|(from, to)| Step::OneWay(from, to)),
            2 => Just(Step::Heal),
            1 => (0..ROUTERS).prop_map(Step::Pause),
            2 => (0..ROUTERS).prop_map(Step::Resume),
            1 => (0..ROUTERS, any::<bool>()).prop_map(|(router, later)| Step::Restart(router, later)),
            1 => (0.0..0.3, 0.0..0.5, any::<bool>())
                .prop_map(|(loss, repeat, slow)| Step::Network { loss, repeat, slow }),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, transition: &Step) -> bool {
        let model = state;
        match transition {
            Step::Leave(index, router, _) => {
                model.upstreams[*index].leaving.is_none() && !model.paused.contains(router)
            }
            Step::Start(_, router) | Step::Pause(router) | Step::Restart(router, _) => {
                !model.paused.contains(router)
            }
            Step::Resume(router) => model.paused.contains(router),
            Step::Cut(_) => model.cut.is_none(),
            Step::OneWay(from, to) => from != to,
            _ => true,
        }
    }

    fn apply(mut state: Self, transition: &Step) -> Self {
        let model = &mut state;
        match transition {
            Step::Wait(ms) => model.now_ms += ms,
            Step::Leave(index, router, _) => {
                let now_ms = model.now_ms;
                let upstream = &mut model.upstreams[*index];
                upstream.reports += 1;
                upstream.leaving = Some((now_ms, *router));
            }
            Step::Start(index, _) => {
                let upstream = &mut model.upstreams[*index];
                upstream.incarnation += 1;
                upstream.leaving = None;
            }
            Step::Cut(zone) => model.cut = Some(*zone),
            Step::Heal => {
                if let Some(zone) = model.cut.take() {
                    model.disturb_zone(zone);
                }
            }
            Step::Pause(router) => {
                model.paused.insert(*router);
            }
            Step::Resume(router) => {
                model.paused.remove(router);
                model.disturb(*router);
            }
            Step::Restart(router, later) => {
                model.starts += u64::from(*later);
                model.disturb(*router);
            }
            Step::LateStatus(..)
            | Step::EarlierIncarnation(..)
            | Step::OutdatedList(_)
            | Step::OneWay(..)
            | Step::Network { .. } => {}
        }
        state
    }
}

struct Simulation {
    fleet: Fleet,
    model: Model,
}

impl Simulation {
    fn status(&mut self, router: usize, state: State, sequence: u64) {
        self.fleet.event(router, Event::Status { state, sequence });
    }

    /// Reports the states of all upstreams to a router, which probes them when it starts.
    fn probe_all(&mut self, router: usize) {
        for index in 0..UPSTREAMS {
            let state = self.model.state(index);
            let sequence = self.model.upstreams[index].reports;
            self.status(router, state, sequence);
        }
    }

    fn list(&self, leaving: Option<usize>) -> Event {
        let states: Vec<_> = (0..UPSTREAMS)
            .map(|index| self.model.state(index))
            .collect();
        let leaving = leaving.map(|index| states[index].name.clone());
        Event::HostList(self.fleet.list(&states, &leaving.into_iter().collect()))
    }

    fn leave(&mut self, index: usize, router: usize, source: Source) {
        let state = self.model.state(index);
        let reports = self.model.upstreams[index].reports;
        match source {
            Source::Status => self.status(router, state, reports),
            Source::Refusal => {
                let event = Event::Refused {
                    upstream: state.name,
                    incarnation: Some(state.incarnation),
                };
                self.fleet.event(router, event);
            }
            Source::List => {
                // The host list does not contain the incarnation, so the router must have probed
                // the upstream before.
                let mut live = state;
                live.phase = Phase::Live;
                self.status(router, live, reports - 1);
                let list = self.list(Some(index));
                self.fleet.event(router, list);
            }
        }
    }

    fn heal(&mut self) {
        self.fleet.network.cuts.clear();
    }
}

struct Members;

impl StateMachineTest for Members {
    type SystemUnderTest = Simulation;
    type Reference = Model;

    fn init_test(ref_state: &Model) -> Simulation {
        let model = ref_state;
        let mut simulation = Simulation {
            fleet: Fleet::new(ROUTERS, ZONES, ZONES, BUDGET_BYTES, model.seed),
            model: model.clone(),
        };
        (0..ROUTERS).for_each(|router| simulation.probe_all(router));
        simulation.fleet.run(Duration::from_secs(10));
        simulation
    }

    fn apply(state: Simulation, ref_state: &Model, transition: Step) -> Simulation {
        let (mut simulation, model) = (state, ref_state);
        simulation.model = model.clone();
        match transition {
            Step::Wait(ms) => simulation.fleet.run(Duration::from_millis(ms)),
            Step::Leave(index, router, source) => simulation.leave(index, router, source),
            Step::Start(index, router) => simulation.status(router, model.state(index), 0),
            Step::LateStatus(index, router) => {
                let mut state = model.state(index);
                state.phase = Phase::Live;
                simulation.status(router, state, 0);
            }
            Step::EarlierIncarnation(index, router) => {
                let mut state = model.state(index);
                state.phase = Phase::Live;
                state.incarnation.0 -= 1;
                simulation.status(router, state, 1_000);
            }
            Step::OutdatedList(router) => {
                let list = simulation.list(None);
                simulation.fleet.event(router, list);
            }
            Step::Cut(zone) => {
                let members = (0..ROUTERS).filter(|router| router % ZONES == zone);
                simulation.fleet.partition(&members.collect());
            }
            Step::OneWay(from, to) => {
                simulation.fleet.network.cuts.insert((from, to));
            }
            Step::Heal => simulation.heal(),
            Step::Pause(router) => simulation.fleet.pause(router),
            Step::Resume(router) => simulation.fleet.resume(router),
            Step::Restart(router, later) => {
                let started_ms = EPOCH_MS + if later { model.starts } else { 0 };
                simulation.fleet.restart(router, started_ms);
                let list = simulation.list(None);
                simulation.fleet.event(router, list);
                simulation.probe_all(router);
            }
            Step::Network { loss, repeat, slow } => {
                simulation.fleet.network.loss = loss;
                simulation.fleet.network.duplication = repeat;
                simulation.fleet.network.within_region_us =
                    if slow { 500..200_000 } else { 500..3_000 };
            }
        }
        simulation
    }

    /// After the time limit, no reachable router sends new work to a leaving upstream. The harness
    /// checks the byte budget of every second, and that no router's view moves back.
    fn check_invariants(state: &Simulation, ref_state: &Model) {
        let (simulation, model) = (state, ref_state);
        for index in 0..UPSTREAMS {
            let name = model.state(index).name;
            for router in simulation.fleet.sending_to(&name) {
                assert!(
                    !model.must_know(index, router),
                    "router-{router} sends to leaving {name}: {:?}, disturbed {:?}, now {}",
                    model.upstreams[index],
                    model.disturbed_ms,
                    model.now_ms
                );
            }
        }
    }

    /// After healing, the views of all routers match the model and no router is suspected.
    fn teardown(state: Simulation) {
        let mut simulation = state;
        simulation.heal();
        simulation.fleet.network.loss = 0.05;
        (0..ROUTERS).for_each(|router| simulation.fleet.resume(router));
        simulation.fleet.run(Duration::from_millis(HEAL_MS_MAX));
        for node in &simulation.fleet.nodes {
            for index in 0..UPSTREAMS {
                let expected = simulation.model.state(index);
                let view = &node.states[&expected.name];
                assert_eq!(
                    (view.incarnation, view.phase),
                    (expected.incarnation, expected.phase),
                    "{} at {}",
                    expected.name,
                    node.settings.host
                );
            }
            let mut peers = node.member.peers().values();
            assert!(peers.all(|peer| !peer.suspect), "{}", node.settings.host);
            assert_eq!(node.member.peers().len(), ROUTERS - 1);
        }
    }
}

fn config() -> ProptestConfig {
    let cases = std::env::var("SNIPEUSHER_CASES").ok();
    ProptestConfig {
        cases: cases.and_then(|text| text.parse().ok()).unwrap_or(24),
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn members_agree_with_the_model(sequential 10..50 => Members);
}
