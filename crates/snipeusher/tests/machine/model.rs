//! Random events for the machine, and a reference model of the upstreams' phases.

use std::collections::BTreeMap;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;
use proptest_state_machine::ReferenceStateMachine;
use snipeusher::machine::Outcome;
use snipeusher::upstream::Phase;

/// Number of upstreams; those from [`FIRST_PLAIN`] on are instances of a plain service.
pub const UPSTREAMS: u8 = 8;
/// Number of the first instance of the plain service.
pub const FIRST_PLAIN: u8 = 6;

/// One event, with numbers in place of names and of identifiers that exist only during a test.
#[derive(Clone, Debug)]
pub enum Step {
    Advance(u64),
    ClockBack(u64),
    Arrive(Arrival),
    ArriveAgain(usize),
    Disconnect(usize),
    Sent(usize),
    Output(usize, u64),
    End(usize, Outcome),
    EndUnknown(u64),
    Upstream(u8, u64, Phase, bool),
    Leaving(u8, u64),
    UpstreamRemoved(u8),
    Report(u8, u64, u64, u64, u32),
    Cache(u8, u64, u64, u64, u64),
    Peer(u8, u8, u64),
    PeerRemoved(u8),
    Routers(Vec<u8>),
    SlotRequested(u8, u64, u8, u64, f64),
    SlotReleased(u8, u64),
    SlotAnswered(usize, bool),
    SlotUnreachable(usize),
    Policy(u8, f64, f64, u32),
    WorkspaceRemoved(u8),
}

/// A request that arrives.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub workspace: u8,
    pub class: u8,
    pub target: u8,
    pub chat: Option<u64>,
    pub prompt: u64,
    pub output: u64,
    pub bytes: u64,
    pub deadline_ms: u64,
    pub idempotent: bool,
}

/// Reference model of the upstreams' phases: within one incarnation they only move forward.
#[derive(Clone, Debug)]
pub struct Model {
    /// Whether the router knows only its own work, so that the load bound can be checked exactly.
    pub own_only: bool,
    /// Whether upstreams have a capacity of a few requests, so that further requests queue.
    pub small: bool,
    /// Incarnation, phase and whether the second variant is loaded, by upstream.
    pub known: BTreeMap<u8, (u64, Phase, bool)>,
    /// Highest incarnation that is known to leave, by upstream.
    pub leaving: BTreeMap<u8, u64>,
}

impl Model {
    /// Returns whether an upstream may get new work.
    pub fn is_live(&self, upstream: u8) -> bool {
        let known = self.known.get(&upstream);
        known.is_some_and(|(_, phase, _)| *phase == Phase::Live)
    }

    fn set(&mut self, upstream: u8, run: u64, mut phase: Phase, second: bool) {
        let leaving = self.leaving.get(&upstream);
        if leaving.is_some_and(|leaving| *leaving >= run) {
            phase = phase.max(Phase::Leaving);
        }
        if let Some((known, before, _)) = self.known.get(&upstream) {
            if *known > run {
                return;
            }
            if *known == run {
                phase = phase.max(*before);
            }
        }
        if phase >= Phase::Leaving {
            self.mark_leaving(upstream, run);
        }
        self.known.insert(upstream, (run, phase, second));
    }

    fn leave(&mut self, upstream: u8, run: u64) {
        if let Some((known, phase, _)) = self.known.get_mut(&upstream) {
            if *known > run {
                return;
            }
            *phase = (*phase).max(Phase::Leaving);
        }
        self.mark_leaving(upstream, run);
    }

    fn mark_leaving(&mut self, upstream: u8, run: u64) {
        let leaving = self.leaving.entry(upstream).or_default();
        *leaving = run.max(*leaving);
    }
}

impl ReferenceStateMachine for Model {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        let full = (0..UPSTREAMS).map(|upstream| (upstream, (1, Phase::Live, true)));
        let known: BTreeMap<u8, (u64, Phase, bool)> = full.collect();
        (any::<bool>(), any::<bool>(), 0..8_u8)
            .prop_map(move |(own_only, small, empty)| Self {
                own_only,
                small,
                known: if empty == 0 {
                    BTreeMap::new()
                } else {
                    known.clone()
                },
                leaving: BTreeMap::new(),
            })
            .boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Step> {
        let reports_weight = if state.own_only { 0 } else { 4 };
        let requests = prop_oneof![
            30 => arrival().prop_map(Step::Arrive),
            1 => any::<usize>().prop_map(Step::ArriveAgain),
            2 => any::<usize>().prop_map(Step::Disconnect),
            4 => any::<usize>().prop_map(Step::Sent),
            4 => (any::<usize>(), 0..2_000_u64).prop_map(|(k, n)| Step::Output(k, n)),
            8 => (any::<usize>(), outcome()).prop_map(|(k, end)| Step::End(k, end)),
            1 => any::<u64>().prop_map(Step::EndUnknown),
        ];
        let slots = prop_oneof![
            1 => vec(0..4_u8, 0..4).prop_map(Step::Routers),
            4 => (any::<usize>(), any::<bool>()).prop_map(|(k, yes)| Step::SlotAnswered(k, yes)),
            1 => any::<usize>().prop_map(Step::SlotUnreachable),
        ];
        let reports = prop_oneof![
            3 => (upstream(), 0..4_u64, 0..50_u64, tokens(), 0..9_u32)
                .prop_map(|(u, run, n, work, queued)| Step::Report(u, run, n, work, queued)),
            1 => (1..4_u8, upstream(), tokens()).prop_map(|(h, u, work)| Step::Peer(h, u, work)),
            1 => (1..4_u8, 0..9_u64, upstream(), tokens(), limit())
                .prop_map(|(h, t, u, work, limit)| Step::SlotRequested(h, t, u, work, limit)),
            1 => (1..4_u8, 0..9_u64).prop_map(|(h, t)| Step::SlotReleased(h, t)),
            1 => (1..4_u8).prop_map(Step::PeerRemoved),
        ];
        let upstreams = prop_oneof![
            4 => (upstream(), 0..4_u64, phase(), any::<bool>())
                .prop_map(|(u, run, phase, second)| Step::Upstream(u, run, phase, second)),
            1 => (upstream(), 0..4_u64).prop_map(|(u, run)| Step::Leaving(u, run)),
            1 => upstream().prop_map(Step::UpstreamRemoved),
            2 => (upstream(), 0..4_u64, 0..9_u64, 0..6_u64, tokens())
                .prop_map(|(u, run, n, chat, t)| Step::Cache(u, run, n, chat, t)),
        ];
        let policies = prop_oneof![
            3 => (0..3_u8, limit(), limit(), 0..4_u32)
                .prop_map(|(w, limit, ratio, n)| Step::Policy(w, limit, ratio, n)),
            1 => (0..3_u8).prop_map(Step::WorkspaceRemoved),
        ];
        prop_oneof![
            8 => select(vec![0, 1, 1, 5, 5, 30, 30, 300, 300, 3_000, 60_000]).prop_map(Step::Advance),
            1 => any::<u64>().prop_map(Step::ClockBack),
            30 => requests,
            4 => slots,
            reports_weight => reports,
            2 => upstreams,
            1 => policies,
        ]
        .boxed()
    }

    fn apply(mut state: Self, transition: &Step) -> Self {
        match transition {
            Step::Upstream(upstream, run, phase, second) => {
                state.set(*upstream, *run, *phase, *second);
            }
            Step::Leaving(upstream, run) => state.leave(*upstream, *run),
            Step::UpstreamRemoved(upstream) => {
                state.known.remove(upstream);
            }
            _ => {}
        }
        state
    }
}

fn arrival() -> impl Strategy<Value = Arrival> {
    let prompt = prop_oneof![6 => 0..3_000_u64, 1 => tokens()];
    let size = (prompt, 0..1_000_u64, 0..6_000_u64);
    let deadline = select(vec![0, 500, 20_000, 20_000, 20_000, 3_600_000, 3_600_000]);
    let chat = proptest::option::of(0..6_u64);
    (
        select(vec![0, 0, 0, 1, 2, 3]),
        select(vec![0, 0, 0, 1, 2, 2, 3, 4]),
        select(vec![0, 0, 1, 2, 3]),
        chat,
        size,
        deadline,
        any::<bool>(),
    )
        .prop_map(
            |(workspace, class, target, chat, (prompt, output, bytes), deadline_ms, idempotent)| {
                Arrival {
                    workspace,
                    class,
                    target,
                    chat,
                    prompt,
                    output,
                    bytes,
                    deadline_ms,
                    idempotent,
                }
            },
        )
}

fn upstream() -> impl Strategy<Value = u8> {
    0..UPSTREAMS
}

fn tokens() -> impl Strategy<Value = u64> {
    select(vec![0, 1, 500, 2_000, 30_000, 200_000, 1 << 40, u64::MAX])
}

fn limit() -> impl Strategy<Value = f64> {
    select(vec![1.25, 2.0, 1.0, 0.0, -1.0, f64::NAN, f64::INFINITY])
}

fn phase() -> impl Strategy<Value = Phase> {
    let live = vec![Phase::Live; 4];
    let others = vec![Phase::Joining, Phase::Leaving, Phase::Gone];
    select([live, others].concat())
}

fn outcome() -> impl Strategy<Value = Outcome> {
    select(vec![
        Outcome::Complete,
        Outcome::Complete,
        Outcome::Unreachable,
        Outcome::Declined { retry_after: None },
        Outcome::Broken,
        Outcome::Cancelled,
    ])
}
