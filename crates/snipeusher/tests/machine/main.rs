//! Drives the state machine of one router with random events and checks it against an oracle.
//!
//! `SNIPEUSHER_CASES` sets the number of cases of each strategy; the seed is fixed.

mod model;
mod oracle;

use std::marker::PhantomData;

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use snipeusher::load::Admission;
use snipeusher::load::Headroom;
use snipeusher::load::Peers;
use snipeusher::load::Reports;
use snipeusher::load::Strategy;

use crate::model::Model;
use crate::model::Step;
use crate::oracle::Harness;

/// Cases of each strategy, unless `SNIPEUSHER_CASES` is set.
const CASES: u32 = 256;
/// Seed of all cases.
const SEED: u64 = 20_261_203;

fn config() -> Config {
    let cases = std::env::var("SNIPEUSHER_CASES").ok();
    Config {
        cases: cases.and_then(|cases| cases.parse().ok()).unwrap_or(CASES),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

struct Decisions<S>(PhantomData<S>);

impl<S: Strategy> StateMachineTest for Decisions<S> {
    type SystemUnderTest = Harness<S>;
    type Reference = Model;

    fn init_test(ref_state: &Model) -> Harness<S> {
        Harness::new(ref_state)
    }

    fn apply(mut state: Harness<S>, ref_state: &Model, transition: Step) -> Harness<S> {
        state.step(ref_state, transition);
        state
    }

    fn check_invariants(state: &Harness<S>, _: &Model) {
        state.check();
    }

    fn teardown(state: Harness<S>) {
        state.finish();
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn reports_strategy_holds_invariants(sequential 20..240 => Decisions<Reports>);

    #[test]
    fn headroom_strategy_holds_invariants(sequential 20..240 => Decisions<Headroom>);

    #[test]
    fn peers_strategy_holds_invariants(sequential 20..240 => Decisions<Peers>);

    #[test]
    fn admission_strategy_holds_invariants(sequential 20..240 => Decisions<Admission>);
}
