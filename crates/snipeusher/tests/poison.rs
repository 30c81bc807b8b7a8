//! Requests and prompt parts that crash upstreams: what is blocked, what is not, and for how long.

use std::time::Duration;

use snipeusher::name;
use snipeusher::poison::Crash;
use snipeusher::poison::Loss;
use snipeusher::poison::Tracker;
use snipeusher::time::Time;

/// Part that all prompts begin with.
const FIRST: u64 = 1;
/// Second part of the poison prompts, which harmless ones have as well.
const SHARED: u64 = 2;
const POISON: u64 = 666;
/// Fingerprints of requests that are not repeated begin here.
const OWN: u64 = 1_000_000;
/// Time from when a request is sent to its crash.
const RUN_MS: u64 = 40;
/// Time within which a part has to be blocked after the crashes that show it.
const NEWS_TIME: Duration = Duration::from_millis(500);

fn service() -> name::Service {
    name::Service::from("letters")
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn loss(crash: u64, parts: &[u64]) -> Loss {
    Loss {
        crash: Crash(crash),
        service: service(),
        parts: parts.to_vec(),
        request: OWN + crash,
        ran_ms: RUN_MS,
    }
}

fn is_blocked(tracker: &Tracker, now: Time, parts: &[u64]) -> bool {
    let found = tracker.blocked_for(now, &service(), parts.iter().copied());
    found.is_some()
}

fn serve(tracker: &mut Tracker, now: Time, parts: &[u64]) {
    tracker.record_served(now, &service(), parts.iter().copied());
}

/// A router that saw four crashes, one every 400 ms, under poison prompts and successful answers
/// between.
fn after_crashes() -> Tracker {
    let mut tracker = Tracker::new(0);
    for crash in 0..4 {
        let now = at(crash * 400);
        tracker.record_losses(now, [loss(crash, &[FIRST, SHARED, POISON])]);
        serve(&mut tracker, now, &[FIRST, 50 + crash]);
    }
    tracker
}

/// Guards against a poison part that stays in use, and against a block of the parts beside it.
#[test]
fn prompts_with_what_the_crashes_have_in_common_are_blocked() {
    let tracker = after_crashes();
    let now = at(1_200);
    assert!(is_blocked(&tracker, now, &[FIRST, SHARED, POISON]));
    assert!(!is_blocked(&tracker, now, &[FIRST, SHARED]));
    assert!(!is_blocked(&tracker, now, &[FIRST]));
    let other = name::Service::from("other");
    assert!(
        tracker
            .blocked_for(now, &other, [FIRST, SHARED, POISON])
            .is_none()
    );
}

/// Guards against a poison part that is blocked only beside parts that happened to come with it.
#[test]
fn a_part_is_blocked_beside_any_others() {
    let mut tracker = Tracker::new(0);
    for crash in 0..4 {
        let now = at(crash * 400);
        tracker.record_losses(now, [loss(crash, &[FIRST, POISON, 10 + crash])]);
        serve(&mut tracker, now, &[FIRST, 50]);
    }
    assert!(is_blocked(&tracker, at(1_200), &[FIRST, POISON, 99]));
    assert!(!is_blocked(&tracker, at(1_200), &[FIRST, 99]));
}

/// Guards against a block for crashes that no prompt caused: of many upstreams at once, with
/// successful answers between them, or while the service answers nobody.
#[test]
fn crashes_without_a_prompt_as_their_cause_block_nothing() {
    let prompt = [FIRST, SHARED];
    let mut at_once = Tracker::new(0);
    let mut with_answers = Tracker::new(0);
    let mut down = Tracker::new(0);
    for crash in 0..8 {
        at_once.record_losses(at(crash * 20), [loss(crash, &prompt)]);
        let now = at(crash * 400);
        with_answers.record_losses(now, [loss(crash, &prompt)]);
        serve(&mut with_answers, now + Duration::from_millis(1), &prompt);
        down.record_losses(now, [loss(crash, &prompt)]);
    }
    serve(&mut at_once, at(900), &[FIRST + 5]);
    serve(&mut at_once, at(901), &[FIRST + 5]);
    at_once.record_losses(at(2_000), [loss(9, &[FIRST + 9])]);
    for tracker in [at_once, with_answers, down] {
        assert_eq!(tracker.blocked(at(3_200)).count(), 0);
    }
}

/// Guards against routers that each need crashes of their own before they block a part.
#[test]
fn routers_join_what_each_of_them_saw() {
    let mut routers: Vec<Tracker> = (0..4).map(Tracker::new).collect();
    for (index, crash) in (0..4).zip(0..) {
        let now = at(crash * 400);
        let router = &mut routers[index];
        router.record_losses(now, [loss(crash, &[FIRST, SHARED, POISON])]);
        serve(router, now, &[FIRST, 50]);
        serve(router, now, &[FIRST, 51]);
    }
    let now = at(1_200) + NEWS_TIME;
    let reports: Vec<_> = routers
        .iter()
        .map(|router| router.report(at(1_200)))
        .collect();
    let last = &mut routers[0];
    for report in &reports {
        last.merge(at(1_200), report);
    }
    serve(last, at(1_300), &[FIRST, 52]);
    let again = last.report(at(1_300));
    last.merge(at(1_300), &again);
    assert!(is_blocked(&routers[0], now, &[FIRST, SHARED, POISON]));
    let report = routers[0].report(now);
    assert!(
        !routers[3].merge(now, &report).is_empty(),
        "a block is adopted"
    );
    assert!(is_blocked(&routers[3], now, &[FIRST, SHARED, POISON]));
    assert!(routers[3].merge(now, &report).is_empty(), "and only once");
}

/// Guards against a block that outlasts its cause, here or at a peer that had adopted it.
#[test]
fn successful_answers_end_a_block() {
    let prompt = [FIRST, SHARED, POISON];
    let mut tracker = after_crashes();
    let mut peer = Tracker::new(1);
    peer.merge(at(1_300), &tracker.report(at(1_300)));
    assert!(is_blocked(&peer, at(1_300), &prompt));
    serve(&mut tracker, at(2_000), &prompt);
    assert!(!is_blocked(&tracker, at(2_000), &prompt));
    let report = tracker.report(at(2_100));
    peer.merge(at(2_100), &report);
    assert!(!is_blocked(&peer, at(2_100), &prompt));
    let old = after_crashes().report(at(2_200));
    tracker.merge(at(2_200), &old);
    assert!(!is_blocked(&tracker, at(2_200), &prompt), "an old block");
}

/// Guards against a block for ever, and against one more series of crashes after its end.
#[test]
fn after_the_end_of_a_block_one_crash_is_enough() {
    let prompt = [FIRST, SHARED, POISON];
    let mut tracker = after_crashes();
    let end = at(70_000);
    assert!(!is_blocked(&tracker, end, &prompt));
    tracker.record_losses(end, [loss(9, &prompt)]);
    let left = tracker.blocked_for(end, &service(), prompt);
    assert!(
        left.is_some_and(|left| left > Duration::from_secs(90)),
        "{left:?}"
    );
}

/// Fingerprint of a request that its caller repeats.
const REPEATED: u64 = 77;

fn repeated(crash: u64, parts: &[u64]) -> Loss {
    Loss {
        request: REPEATED,
        ..loss(crash, parts)
    }
}

/// A router that lost a request at three upstreams, one run after the other, and saw `answers` to
/// others before the last.
fn after_repeats(answers: u64) -> Tracker {
    let mut tracker = Tracker::new(0);
    tracker.record_losses(at(0), [repeated(0, &[])]);
    for answer in 0..answers {
        serve(&mut tracker, at(10), &[OWN + answer]);
    }
    tracker.record_losses(at(60), [repeated(1, &[])]);
    tracker.record_losses(at(120), [repeated(2, &[]), loss(2, &[])]);
    tracker
}

/// Guards against a request without a prompt that crashes all upstreams of a service in one go.
#[test]
fn a_request_that_was_lost_in_crashes_one_after_the_other_is_blocked() {
    let mut tracker = after_repeats(2);
    let blocked = tracker.record_losses(at(1_000), []);
    assert_eq!(blocked.len(), 1, "{blocked:?}");
    let left = tracker.blocked_for(at(1_000), &service(), [REPEATED]);
    assert!(left.is_some_and(|left| left >= Duration::from_mins(4)));
    assert!(!is_blocked(&tracker, at(1_000), &[OWN + 2]), "lost beside");
}

/// Guards against a service without any answers, since all its upstreams end under the request, at
/// which the request is never found to be the cause.
#[test]
fn without_other_answers_two_more_crashes_are_needed() {
    let mut tracker = after_repeats(0);
    assert!(tracker.record_losses(at(1_000), []).is_empty());
    tracker.record_losses(at(2_000), [repeated(3, &[])]);
    assert!(!is_blocked(&tracker, at(2_000), &[REPEATED]));
    tracker.record_losses(at(2_100), [repeated(4, &[])]);
    assert!(is_blocked(&tracker, at(2_100), &[REPEATED]));
}

/// Guards against a block of a request that many callers send alike, for upstreams that a fault
/// struck at once.
#[test]
fn runs_that_overlapped_show_no_cause() {
    let mut tracker = Tracker::new(0);
    for crash in 0..8 {
        let lost = Loss {
            ran_ms: 20 * crash + RUN_MS,
            ..repeated(crash, &[])
        };
        tracker.record_losses(at(20 * crash + RUN_MS), [lost]);
    }
    serve(&mut tracker, at(500), &[OWN]);
    serve(&mut tracker, at(500), &[OWN]);
    assert!(tracker.record_losses(at(1_500), []).is_empty());
}

/// Guards against a block of a request that was answered between the crashes.
#[test]
fn a_request_that_was_served_since_is_not_blocked() {
    let mut tracker = after_repeats(2);
    serve(&mut tracker, at(500), &[REPEATED]);
    assert!(tracker.record_losses(at(1_000), []).is_empty());
}

/// Guards against a block of requests that happened to be lost beside the one that is the cause.
#[test]
fn the_request_of_most_crashes_explains_them() {
    let mut tracker = Tracker::new(0);
    let beside = |crash| Loss {
        request: OWN,
        ..loss(crash, &[])
    };
    for crash in 0..4 {
        let losses = [
            Some(repeated(crash, &[])),
            (crash < 3).then(|| beside(crash)),
        ];
        tracker.record_losses(at(crash * 200), losses.into_iter().flatten());
        serve(&mut tracker, at(crash * 200), &[OWN + 9]);
    }
    let blocked = tracker.record_losses(at(1_100), []);
    assert_eq!(blocked.len(), 1, "{blocked:?}");
    assert!(is_blocked(&tracker, at(1_100), &[REPEATED]));
    assert!(!is_blocked(&tracker, at(1_100), &[OWN]));
}

/// Guards against a poison part that stays in use, since the request in which it came first was
/// blocked for its crashes.
#[test]
fn a_part_is_found_beside_the_block_of_one_request() {
    let mut tracker = Tracker::new(0);
    for crash in 0..3 {
        tracker.record_losses(at(crash * 400), [repeated(crash, &[FIRST, POISON])]);
        serve(&mut tracker, at(crash * 400), &[FIRST, 50]);
    }
    tracker.record_losses(at(1_100), []);
    assert!(is_blocked(&tracker, at(1_100), &[FIRST, POISON, REPEATED]));
    assert!(!is_blocked(&tracker, at(1_100), &[FIRST, POISON]));
    tracker.record_losses(at(1_600), [loss(3, &[FIRST, POISON])]);
    assert!(is_blocked(&tracker, at(1_600), &[FIRST, POISON]));
}

/// Guards against digests that hold each lost request for as long as it counts, a minute.
#[test]
fn lost_requests_are_told_for_ten_seconds() {
    let mut tracker = Tracker::new(0);
    tracker.record_losses(at(0), [repeated(0, &[FIRST])]);
    serve(&mut tracker, at(1), &[FIRST]);
    assert!(!tracker.report(at(9_000)).is_empty());
    assert!(tracker.report(at(10_500)).is_empty());
    tracker.record_losses(at(20_000), [repeated(1, &[FIRST])]);
    tracker.record_losses(at(30_000), [repeated(2, &[FIRST])]);
    serve(&mut tracker, at(30_001), &[OWN]);
    serve(&mut tracker, at(30_001), &[OWN]);
    let blocked = tracker.record_losses(at(31_000), []);
    assert_eq!(blocked.len(), 1, "it still counts: {blocked:?}");
}

/// Guards against one more upstream that ends under a repeat of the router itself.
#[test]
fn a_router_does_not_repeat_what_the_next_crash_would_show() {
    let mut tracker = Tracker::new(0);
    let is_nearly_shown = |tracker: &Tracker| tracker.is_nearly_shown(&service(), || REPEATED);
    tracker.record_losses(at(0), [repeated(0, &[])]);
    assert!(!is_nearly_shown(&tracker));
    tracker.record_losses(at(60), [repeated(1, &[])]);
    assert!(is_nearly_shown(&tracker));
    assert!(!tracker.is_nearly_shown(&service(), || OWN));
    serve(&mut tracker, at(100), &[REPEATED]);
    assert!(!is_nearly_shown(&tracker));
}
