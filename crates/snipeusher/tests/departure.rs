//! Upstreams that leave by their own word, and upstreams that ask for a pause.

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use snipeusher::fleet::Cause;
use snipeusher::fleet::Decision;
use snipeusher::fleet::Entry;
use snipeusher::fleet::Fleet;
use snipeusher::fleet::Limits;
use snipeusher::fleet::Outage;
use snipeusher::fleet::Query;
use snipeusher::fleet::Regions;
use snipeusher::fleet::Settings;
use snipeusher::kv::Era;
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher::route::Homes;
use snipeusher::time::Time;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn revision(era: u64, number: u64) -> Revision {
    Revision {
        era: Era(era),
        number,
    }
}

fn entry(id: &str, incarnation: u64, revision: Revision) -> Entry {
    Entry {
        id: name::Upstream::from(id),
        service: name::Service::from("letters"),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        zone: name::Zone::from("here"),
        build: name::Build::from("v1"),
        slots: None,
        draining: false,
        incarnation: name::Incarnation(incarnation),
        revision,
        cold_ms: 0,
    }
}

fn draining(id: &str, incarnation: u64, revision: Revision) -> Entry {
    Entry {
        draining: true,
        ..entry(id, incarnation, revision)
    }
}

/// A view of the upstreams `a` and `b`, both of incarnation 1.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new(Settings {
        zone: name::Zone::from("here"),
        regions: Regions::default(),
        retries: Limits::default(),
        drain: Duration::from_secs(2),
        pause_max: Duration::from_secs(10),
    });
    let entries = ["a", "b"].map(|id| entry(id, 1, revision(0, 10)));
    fleet.replace_all(at(0), revision(0, 10), entries.to_vec());
    fleet
}

fn choose(fleet: &mut Fleet, ms: u64) -> Decision {
    let query = Query {
        service: &name::Service::from("letters"),
        session: None,
        max_connections: 0,
        build: None,
        tried: &[],
        homes: &Homes::default(),
        tie_breaker: 100,
    };
    fleet.choose(at(ms), &query)
}

fn is_ready(fleet: &Fleet, id: &str) -> bool {
    fleet.is_ready(at(1), &name::Upstream::from(id))
}

/// Guards against an upstream that is used again because the store does not say yet that it leaves,
/// or lists it again, and against a new start that stays unused.
#[rstest]
fn an_announced_departure_holds_until_a_new_start() {
    let mut fleet = fleet();
    let id = name::Upstream::from("a");
    assert!(fleet.record_leaving(at(1), &id));
    assert!(!fleet.record_leaving(at(1), &id), "it is no news");
    assert!(!is_ready(&fleet, "a"));
    fleet.upsert(at(2), entry("a", 1, revision(0, 11)));
    assert!(!is_ready(&fleet, "a"), "after another write of the entry");
    fleet.remove(at(3), &id, revision(0, 12));
    fleet.upsert(at(4), entry("a", 1, revision(1, 5)));
    assert!(!is_ready(&fleet, "a"), "in a restored store");
    fleet.upsert(at(5), entry("a", 2, revision(1, 6)));
    assert!(is_ready(&fleet, "a"), "after a new start");
}

/// Guards against reports that never end, that are lost, or that hit a new start.
#[rstest]
fn a_report_of_a_departure_is_passed_on_once() {
    let mut views = [fleet(), fleet()];
    views[0].record_leaving(at(1), &name::Upstream::from("a"));
    let report = views[0].take_outage().expect("there is news");
    assert!(views[1].merge_outage(at(2), &report));
    assert!(!is_ready(&views[1], "a"));
    let passed_on = views[1].take_outage().expect("it is news there");
    assert_eq!(passed_on.leaving, report.leaving);
    assert!(!views[0].merge_outage(at(3), &passed_on));
    let mut restarted = fleet();
    restarted.upsert(at(1), entry("a", 2, revision(0, 11)));
    assert!(!restarted.merge_outage(at(2), &report));
    assert!(is_ready(&restarted, "a"));
    assert_eq!(restarted.take_outage(), None::<Outage>);
}

/// Guards against entries of a restored store that undo what routers have acknowledged before, and
/// against engines that stay unused although they have registered again.
#[rstest]
#[case::draining_is_kept(
    draining("a", 1, revision(0, 20)),
    entry("a", 1, revision(1, 10)),
    false
)]
#[case::a_new_start_counts(
    draining("a", 1, revision(0, 20)),
    entry("a", 2, revision(1, 12)),
    true
)]
#[case::the_store_may_correct_itself(
    draining("a", 1, revision(0, 20)),
    entry("a", 1, revision(0, 21)),
    true
)]
fn a_restored_entry_does_not_end_a_drain(
    #[case] known: Entry,
    #[case] restored: Entry,
    #[case] expected: bool,
) {
    let mut fleet = fleet();
    fleet.upsert(at(1), known);
    assert!(!is_ready(&fleet, "a"));
    fleet.upsert(at(2), restored);
    assert_eq!(is_ready(&fleet, "a"), expected);
}

/// Guards against an upstream that left and that a restored store lists again from its old copy.
#[rstest]
#[case::the_old_write(10, false)]
#[case::an_older_write(8, false)]
#[case::registered_again(16, true)]
fn a_removed_upstream_comes_back_only_by_a_new_write(#[case] number: u64, #[case] expected: bool) {
    let mut fleet = fleet();
    fleet.remove(at(1), &name::Upstream::from("a"), revision(0, 20));
    let entries = vec![
        entry("a", 1, revision(1, number)),
        entry("b", 1, revision(1, 10)),
    ];
    fleet.replace_all(at(2), revision(1, 17), entries);
    assert_eq!(is_ready(&fleet, "a"), expected);
    assert!(is_ready(&fleet, "b"));
}

/// Guards against an upstream that registers again late after a restore, at a revision that was
/// given out before, and is taken for its old entry.
#[rstest]
fn a_late_registration_counts_although_its_number_was_used_before() {
    let mut fleet = fleet();
    fleet.upsert(at(1), entry("a", 1, revision(0, 20)));
    let only = vec![entry("b", 1, revision(1, 10))];
    fleet.replace_all(at(2), revision(1, 12), only);
    assert!(is_ready(&fleet, "a"), "it may register again");
    assert!(!fleet.is_ready(at(2_400), &name::Upstream::from("a")));
    fleet.upsert(at(3_000), entry("b", 1, revision(1, 13)));
    fleet.upsert(at(3_100), entry("a", 1, revision(1, 14)));
    assert!(fleet.is_ready(at(3_200), &name::Upstream::from("a")));
}

/// Guards against requests during a pause, a pause without an end, and a refusal that names a time
/// at which the upstream is still paused.
#[rstest]
#[case(500, 500)]
#[case(90_000, 10_000)]
fn pauses_end_in_time(#[case] asked_ms: u64, #[case] lasts_ms: u64) {
    let mut fleet = fleet();
    fleet.record_pause(
        at(0),
        &name::Upstream::from("a"),
        Duration::from_millis(asked_ms),
    );
    for ms in [0, lasts_ms - 1] {
        let Decision::Send { upstream, .. } = choose(&mut fleet, ms) else {
            panic!("b is ready");
        };
        assert_eq!(upstream.as_str(), "b");
    }
    fleet.record_pause(at(0), &name::Upstream::from("b"), Duration::from_secs(30));
    let expected = Decision::Refuse {
        cause: Cause::Paused,
        retry_after: Duration::from_millis(lasts_ms + 100),
    };
    assert_eq!(choose(&mut fleet, 0), expected);
    let after = choose(&mut fleet, lasts_ms);
    assert!(matches!(after, Decision::Send { .. }));
}

/// Guards against an upstream that stays ready for good at a router which learns the changes from a
/// peer that had never heard of the upstream: the peer got the removal from the store or from
/// another router, and takes part in passing it on.
#[rstest]
#[case::from_the_store(false)]
#[case::from_another_router(true)]
fn the_removal_of_an_unknown_upstream_is_passed_on(#[case] is_received: bool) {
    let (mut knowing, mut lagging) = (fleet(), fleet());
    let mut source = fleet();
    knowing.upsert(at(10), entry("c", 1, revision(0, 11)));
    source.upsert(at(10), entry("c", 1, revision(0, 11)));
    let id = name::Upstream::from("c");
    if is_received {
        source.remove(at(20), &id, revision(0, 12));
        let known = lagging.roster().revision();
        lagging.merge(at(30), source.changes_since(at(30), known));
    } else {
        lagging.remove(at(20), &id, revision(0, 12));
    }
    assert!(is_ready(&knowing, "c"));
    let known = knowing.roster().revision();
    let delta = lagging.changes_since(at(40), known);
    assert!(!delta.complete);
    knowing.merge(at(40), delta);
    assert!(!is_ready(&knowing, "c"));
    assert_eq!(knowing.roster().revision(), revision(0, 12));
}
