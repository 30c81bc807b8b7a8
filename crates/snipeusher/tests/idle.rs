//! Idle-time limits: set by a loss, raised and lifted again over time.

use std::time::Duration;

use rstest::rstest;
use snipeusher::idle::Limit;
use snipeusher::time::Time;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a limit that is never lifted, or that overflows after hours without requests.
#[rstest]
#[case(0, Some(100))]
#[case(4_999, Some(100))]
#[case(5_000, Some(400))]
#[case(10_000, Some(1_600))]
#[case(15_000, Some(6_400))]
#[case(20_000, None)]
#[case(30 * 86_400_000, None)]
fn a_limit_is_raised_and_then_lifted(#[case] after: u64, #[case] allowed: Option<u64>) {
    let limit = Limit::after_loss(Time::from_millis(7), ms(2_000)).expect("it was idle");
    assert_eq!(limit.at(Time::from_millis(7 + after)), allowed.map(ms));
}

/// Guards against a limit that is not below the idle time of the lost connection.
#[rstest]
#[case(150, Some(75))]
#[case(30, Some(20))]
#[case(19, None)]
fn a_limit_is_below_the_idle_time_of_the_loss(#[case] idle: u64, #[case] allowed: Option<u64>) {
    let now = Time::from_millis(1);
    let limit = Limit::after_loss(now, ms(idle));
    assert_eq!(limit.and_then(|limit| limit.at(now)), allowed.map(ms));
}
