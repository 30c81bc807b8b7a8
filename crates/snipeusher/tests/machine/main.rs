//! Drives the decisions of one router with random events and checks them against an oracle.
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
use crate::oracle::Run;

/// Cases of each strategy unless the environment says otherwise.
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
    type SystemUnderTest = Run<S>;
    type Reference = Model;

    fn init_test(ref_state: &Model) -> Run<S> {
        Run::new(ref_state)
    }

    fn apply(mut state: Run<S>, ref_state: &Model, transition: Step) -> Run<S> {
        state.step(ref_state, transition);
        state
    }

    fn check_invariants(state: &Run<S>, _: &Model) {
        state.check();
    }

    fn teardown(state: Run<S>) {
        state.finish();
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn reports_keep_the_rules(sequential 20..240 => Decisions<Reports>);

    #[test]
    fn headroom_keeps_the_rules(sequential 20..240 => Decisions<Headroom>);

    #[test]
    fn peers_keep_the_rules(sequential 20..240 => Decisions<Peers>);

    #[test]
    fn admission_keeps_the_rules(sequential 20..240 => Decisions<Admission>);
}
