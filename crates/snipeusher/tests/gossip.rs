//! Stateful fuzzing of eight members against a simple oracle of what is true.
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
/// Time for spreading, for routers that nothing happened to.
const BOUND_MS: u64 = 2_000;
/// Time for a router that was cut off, paused or restarted, or whose witness was: the sides find
/// each other again in the rounds.
const HEAL_MS: u64 = 30_000;

/// What is true of an upstream.
#[derive(Clone, Debug)]
struct Upstream {
    incarnation: u64,
    reports: u64,
    /// When it began to leave and which router saw it.
    leaving: Option<(u64, usize)>,
}

/// What is true of the fleet.
#[derive(Clone, Debug)]
struct Truth {
    now_ms: u64,
    seed: u64,
    upstreams: Vec<Upstream>,
    paused: BTreeSet<usize>,
    cut: Option<usize>,
    /// When each router was last cut off, paused or restarted.
    disturbed_ms: Vec<u64>,
    starts: u64,
}

/// How a router learns of a departure.
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
    EarlierRun(usize, usize),
    StaleList(usize),
    Cut(usize),
    OneWay(usize, usize),
    Heal,
    Pause(usize),
    Resume(usize),
    Restart(usize, bool),
    Network { loss: f64, repeat: f64, slow: bool },
}

impl Truth {
    fn disturb(&mut self, router: usize) {
        self.disturbed_ms[router] = self.now_ms;
    }

    fn disturb_zone(&mut self, zone: usize) {
        for router in (0..ROUTERS).filter(|router| router % ZONES == zone) {
            self.disturb(router);
        }
    }

    fn state(&self, index: usize) -> State {
        let truth = &self.upstreams[index];
        let mut state = engine(index, &place(index % ZONES, ZONES));
        state.incarnation = Incarnation(truth.incarnation);
        if truth.leaving.is_some() {
            state.phase = Phase::Leaving;
        }
        state
    }

    /// Whether a router must no longer send to an upstream.
    fn must_know(&self, index: usize, router: usize) -> bool {
        let Some((since_ms, witness)) = self.upstreams[index].leaving else {
            return false;
        };
        let away = |router: usize| {
            self.paused.contains(&router) || self.cut.is_some_and(|zone| router % ZONES == zone)
        };
        if away(router) || away(witness) {
            return false;
        }
        let disturbed = self.disturbed_ms[router].max(self.disturbed_ms[witness]);
        let deadline = if disturbed >= since_ms {
            disturbed + HEAL_MS
        } else {
            since_ms + BOUND_MS
        };
        self.now_ms >= deadline
    }
}

impl ReferenceStateMachine for Truth {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        let upstream = Upstream {
            incarnation: EPOCH_MS - 1_000_000,
            reports: 1,
            leaving: None,
        };
        let truth = move |seed| Self {
            now_ms: 0,
            seed,
            upstreams: vec![upstream.clone(); UPSTREAMS],
            paused: BTreeSet::new(),
            cut: None,
            disturbed_ms: vec![0; ROUTERS],
            starts: 0,
        };
        any::<u64>().prop_map(truth).boxed()
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
            2 => pair().prop_map(|(index, router)| Step::EarlierRun(index, router)),
            1 => (0..ROUTERS).prop_map(Step::StaleList),
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
        let truth = state;
        match transition {
            Step::Leave(index, router, _) => {
                truth.upstreams[*index].leaving.is_none() && !truth.paused.contains(router)
            }
            Step::Start(_, router) | Step::Pause(router) | Step::Restart(router, _) => {
                !truth.paused.contains(router)
            }
            Step::Resume(router) => truth.paused.contains(router),
            Step::Cut(_) => truth.cut.is_none(),
            Step::OneWay(from, to) => from != to,
            _ => true,
        }
    }

    fn apply(mut state: Self, transition: &Step) -> Self {
        let truth = &mut state;
        match transition {
            Step::Wait(ms) => truth.now_ms += ms,
            Step::Leave(index, router, _) => {
                let now_ms = truth.now_ms;
                let upstream = &mut truth.upstreams[*index];
                upstream.reports += 1;
                upstream.leaving = Some((now_ms, *router));
            }
            Step::Start(index, _) => {
                let upstream = &mut truth.upstreams[*index];
                upstream.incarnation += 1;
                upstream.leaving = None;
            }
            Step::Cut(zone) => truth.cut = Some(*zone),
            Step::Heal => {
                if let Some(zone) = truth.cut.take() {
                    truth.disturb_zone(zone);
                }
            }
            Step::Pause(router) => {
                truth.paused.insert(*router);
            }
            Step::Resume(router) => {
                truth.paused.remove(router);
                truth.disturb(*router);
            }
            Step::Restart(router, later) => {
                truth.starts += u64::from(*later);
                truth.disturb(*router);
            }
            Step::LateStatus(..)
            | Step::EarlierRun(..)
            | Step::StaleList(_)
            | Step::OneWay(..)
            | Step::Network { .. } => {}
        }
        state
    }
}

struct Run {
    fleet: Fleet,
    truth: Truth,
}

impl Run {
    fn status(&mut self, router: usize, state: State, sequence: u64) {
        self.fleet.event(router, Event::Status { state, sequence });
    }

    /// A router that starts reads the host list and probes all upstreams.
    fn probe_all(&mut self, router: usize) {
        for index in 0..UPSTREAMS {
            let state = self.truth.state(index);
            let sequence = self.truth.upstreams[index].reports;
            self.status(router, state, sequence);
        }
    }

    fn list(&self, leaving: Option<usize>) -> Event {
        let states: Vec<_> = (0..UPSTREAMS)
            .map(|index| self.truth.state(index))
            .collect();
        let leaving = leaving.map(|index| states[index].name.clone());
        Event::HostList(self.fleet.list(&states, &leaving.into_iter().collect()))
    }

    fn leave(&mut self, index: usize, router: usize, source: Source) {
        let state = self.truth.state(index);
        let reports = self.truth.upstreams[index].reports;
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
                // The list does not name the run, so the router must have probed it once.
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
    type SystemUnderTest = Run;
    type Reference = Truth;

    fn init_test(ref_state: &Truth) -> Run {
        let truth = ref_state;
        let mut run = Run {
            fleet: Fleet::new(ROUTERS, ZONES, ZONES, BUDGET_BYTES, truth.seed),
            truth: truth.clone(),
        };
        (0..ROUTERS).for_each(|router| run.probe_all(router));
        run.fleet.run(Duration::from_secs(10));
        run
    }

    fn apply(state: Run, ref_state: &Truth, transition: Step) -> Run {
        let (mut run, truth) = (state, ref_state);
        run.truth = truth.clone();
        match transition {
            Step::Wait(ms) => run.fleet.run(Duration::from_millis(ms)),
            Step::Leave(index, router, source) => run.leave(index, router, source),
            Step::Start(index, router) => run.status(router, truth.state(index), 0),
            Step::LateStatus(index, router) => {
                let mut state = truth.state(index);
                state.phase = Phase::Live;
                run.status(router, state, 0);
            }
            Step::EarlierRun(index, router) => {
                let mut state = truth.state(index);
                state.phase = Phase::Live;
                state.incarnation.0 -= 1;
                run.status(router, state, 1_000);
            }
            Step::StaleList(router) => {
                let list = run.list(None);
                run.fleet.event(router, list);
            }
            Step::Cut(zone) => {
                let members = (0..ROUTERS).filter(|router| router % ZONES == zone);
                run.fleet.part(&members.collect());
            }
            Step::OneWay(from, to) => {
                run.fleet.network.cuts.insert((from, to));
            }
            Step::Heal => run.heal(),
            Step::Pause(router) => run.fleet.pause(router),
            Step::Resume(router) => run.fleet.resume(router),
            Step::Restart(router, later) => {
                let started_ms = EPOCH_MS + if later { truth.starts } else { 0 };
                run.fleet.restart(router, started_ms);
                let list = run.list(None);
                run.fleet.event(router, list);
                run.probe_all(router);
            }
            Step::Network { loss, repeat, slow } => {
                run.fleet.network.loss = loss;
                run.fleet.network.duplication = repeat;
                run.fleet.network.near_us = if slow { 500..200_000 } else { 500..3_000 };
            }
        }
        run
    }

    /// No new work goes to a leaving upstream after its bound, at any router that can be reached.
    /// The harness checks the budget of every second, and that no view moves back.
    fn check_invariants(state: &Run, ref_state: &Truth) {
        let (run, truth) = (state, ref_state);
        for index in 0..UPSTREAMS {
            let name = truth.state(index).name;
            for router in run.fleet.sending_to(&name) {
                assert!(
                    !truth.must_know(index, router),
                    "router-{router} sends to {name}, which leaves: {:?}, disturbed {:?}, now {}",
                    truth.upstreams[index],
                    truth.disturbed_ms,
                    truth.now_ms
                );
            }
        }
    }

    /// After healing, all views agree with the truth and nobody is suspected.
    fn teardown(state: Run) {
        let mut run = state;
        run.heal();
        run.fleet.network.loss = 0.05;
        (0..ROUTERS).for_each(|router| run.fleet.resume(router));
        run.fleet.run(Duration::from_millis(HEAL_MS));
        for node in &run.fleet.nodes {
            for index in 0..UPSTREAMS {
                let truth = run.truth.state(index);
                let view = &node.states[&truth.name];
                assert_eq!(
                    (view.incarnation, view.phase),
                    (truth.incarnation, truth.phase),
                    "{} at {}",
                    truth.name,
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
    fn members_agree_with_the_oracle(sequential 10..50 => Members);
}
