//! A router's view of the upstreams: roster, choice, health and retry budget.

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use snipeusher::fleet::Budget;
use snipeusher::fleet::Decision;
use snipeusher::fleet::Delta;
use snipeusher::fleet::Entry;
use snipeusher::fleet::Fleet;
use snipeusher::fleet::Health;
use snipeusher::fleet::Limits;
use snipeusher::fleet::Observation;
use snipeusher::fleet::Outcome;
use snipeusher::fleet::Query;
use snipeusher::fleet::Regions;
use snipeusher::fleet::Roster;
use snipeusher::fleet::Settings;
use snipeusher::fleet::Update;
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher::route::Homes;
use snipeusher::time::Time;

const SERVICE: &str = "letters";

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn entry(index: u16, revision: u64) -> Entry {
    Entry {
        id: name::Upstream::from(format!("e{index}")),
        service: name::Service::from(SERVICE),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + index)),
        zone: name::Zone::from(if index.is_multiple_of(2) {
            "even"
        } else {
            "odd"
        }),
        build: name::Build::from("v1"),
        slots: Some(8),
        draining: false,
        incarnation: name::Incarnation(1),
        revision: Revision::new(revision),
        cold_ms: 0,
    }
}

fn fleet(count: u16) -> Fleet {
    let mut fleet = Fleet::new(Settings {
        zone: name::Zone::from("even"),
        regions: Regions::default(),
        retries: Limits::default(),
        drain: Duration::from_secs(2),
        pause_max: Duration::from_mins(1),
    });
    let entries = (0..count).map(|index| entry(index, 1)).collect();
    fleet.replace_all(at(0), Revision::new(1), entries);
    fleet
}

fn choose(
    fleet: &mut Fleet,
    now: Time,
    session: Option<u64>,
    tried: &[name::Upstream],
) -> Decision {
    choose_within(fleet, now, session, tried, 0)
}

fn choose_within(
    fleet: &mut Fleet,
    now: Time,
    session: Option<u64>,
    tried: &[name::Upstream],
    connections: u32,
) -> Decision {
    let service = name::Service::from(SERVICE);
    let query = Query {
        service: &service,
        session,
        max_connections: connections,
        build: None,
        tried,
        homes: &Homes::default(),
        tie_breaker: 5,
    };
    fleet.choose(now, &query)
}

fn chosen(decision: Decision) -> name::Upstream {
    match decision {
        Decision::Send { upstream, .. } => upstream,
        Decision::Refuse { .. } => panic!("the request is refused"),
    }
}

/// Guards against routers that choose different engines for the same session.
#[rstest]
fn all_routers_choose_the_same_engine_for_a_session() {
    for session in 0..50 {
        let first = chosen(choose(&mut fleet(12), at(1), Some(session), &[]));
        let second = chosen(choose(&mut fleet(12), at(9_999), Some(session), &[]));
        assert_eq!(first, second);
    }
}

/// Guards against a popular session that overloads its engine.
#[rstest]
fn sessions_of_an_overloaded_engine_move_to_another() {
    let mut fleet = fleet(4);
    let first = chosen(choose(&mut fleet, at(1), Some(1), &[]));
    for _ in 0..8 {
        fleet.record_sent(at(1), &first);
    }
    let second = chosen(choose(&mut fleet, at(1), Some(1), &[]));
    assert_ne!(first, second);
}

/// Guards against connections beyond what an upstream accepts from all routers: it resets them,
/// and a request on one of them must not be retried.
#[rstest]
fn a_router_stays_within_its_share_of_connections() {
    let mut fleet = fleet(3);
    fleet.set_routers(4);
    let now = at(1);
    let first = chosen(choose_within(&mut fleet, now, Some(1), &[], 12));
    for _ in 0..2 {
        fleet.record_sent(now, &first);
    }
    assert_eq!(
        chosen(choose_within(&mut fleet, now, Some(1), &[], 12)),
        first
    );
    fleet.record_sent(now, &first);
    assert_ne!(
        chosen(choose_within(&mut fleet, now, Some(1), &[], 12)),
        first
    );
    assert_eq!(
        chosen(choose_within(&mut fleet, now, Some(1), &[], 0)),
        first
    );
    for index in 0..3 {
        for _ in 0..3 {
            fleet.record_sent(now, &name::Upstream::from(format!("e{index}")));
        }
    }
    // Sent even if no upstream has room: other routers may use less than their share.
    chosen(choose_within(&mut fleet, now, Some(1), &[], 12));
}

/// Guards against an outdated report that hides requests sent since.
#[rstest]
fn own_requests_are_added_to_the_reported_load() {
    let mut fleet = fleet(2);
    let id = name::Upstream::from("e0");
    let idle = [Observation {
        upstream: id.clone(),
        load: 0,
        age_ms: 0,
    }];
    fleet.merge_observations(at(1), &idle);
    for _ in 0..5 {
        fleet.record_sent(at(1), &id);
    }
    let upstream = fleet.upstream(&id).expect("the engine is known");
    assert_eq!(upstream.load.estimate(at(2)), 5);
}

/// Guards against old observations of peers that keep an engine's estimated load high.
#[rstest]
fn old_observations_are_ignored() {
    let mut fleet = fleet(2);
    let id = name::Upstream::from("e0");
    let busy = [Observation {
        upstream: id.clone(),
        load: 40,
        age_ms: 0,
    }];
    fleet.merge_observations(at(1_000), &busy);
    let upstream = fleet.upstream(&id).expect("the engine is known");
    assert_eq!(upstream.load.estimate(at(1_100)), 40);
    assert_eq!(upstream.load.estimate(at(3_000)), 0);
    assert_eq!(fleet.observations(at(1_100)).len(), 1);
    assert!(fleet.observations(at(3_000)).is_empty());
}

/// Guards against processing a prompt again although the previous engine still caches it.
#[rstest]
fn a_moved_session_names_its_previous_engine_as_source() {
    let mut fleet = fleet(4);
    let first = chosen(choose(&mut fleet, at(1), Some(3), &[]));
    let held = fleet
        .upstream(&first)
        .expect("the engine is known")
        .entry
        .address;
    let mut leaving = fleet.roster().get(&first).expect("it is listed").clone();
    leaving.draining = true;
    leaving.revision = Revision::new(2);
    fleet.upsert(at(2), leaving);
    match choose(&mut fleet, at(3), Some(3), &[]) {
        Decision::Send {
            upstream, source, ..
        } => {
            assert_ne!(upstream, first);
            assert_eq!(source, Some(held));
        }
        Decision::Refuse { .. } => panic!("three engines are left"),
    }
}

/// Guards against an engine that waits for a copy from one beyond a partition.
#[rstest]
fn prompts_are_not_copied_from_an_unreachable_zone() {
    let mut fleet = fleet(8);
    for id in ["e1", "e3"].map(name::Upstream::from) {
        fleet.record_sent(at(1), &id);
    }
    for session in 0..40 {
        let Decision::Send { source, .. } = choose(&mut fleet, at(600), Some(session), &[]) else {
            panic!("the engines of one zone are left");
        };
        let source = source.expect("other engines of the zone are left");
        assert!(source.port().is_multiple_of(2), "{source} is unreachable");
    }
}

#[rstest]
fn a_request_is_not_sent_twice_to_one_upstream() {
    let mut fleet = fleet(2);
    let first = chosen(choose(&mut fleet, at(1), None, &[]));
    let second = chosen(choose(
        &mut fleet,
        at(1),
        None,
        std::slice::from_ref(&first),
    ));
    assert_ne!(first, second);
    let none = choose(&mut fleet, at(1), None, &[first, second]);
    assert!(matches!(none, Decision::Refuse { .. }));
}

/// Guards against new requests to an engine that is draining or removed.
#[rstest]
#[case(true)]
#[case(false)]
fn a_draining_or_removed_engine_gets_no_new_requests(#[case] is_draining: bool) {
    let mut fleet = fleet(2);
    let id = name::Upstream::from("e0");
    if is_draining {
        let mut leaving = entry(0, 5);
        leaving.draining = true;
        fleet.upsert(at(10), leaving);
    } else {
        fleet.remove(at(10), &id, Revision::new(5));
    }
    assert!(!fleet.is_ready(at(10), &id));
    for point in 0..20 {
        assert_ne!(chosen(choose(&mut fleet, at(11), Some(point), &[])), id);
    }
}

/// Guards against an outdated delta that restores a removed engine.
#[rstest]
fn an_older_revision_does_not_undo_a_removal() {
    let mut roster = Roster::default();
    roster.upsert(entry(0, 3));
    roster.remove(at(1), &name::Upstream::from("e0"), Revision::new(4));
    let stale = Delta {
        revision: Revision::new(3),
        complete: true,
        entries: vec![entry(0, 3)],
        removed: Vec::new(),
        evacuations: Vec::new(),
    };
    roster.merge(at(2), stale);
    assert_eq!(roster.ready(at(2)).count(), 0);
}

/// Guards against losing all upstreams after a store outage in which all leases expired.
#[rstest]
fn entries_that_expired_in_an_outage_are_retained() {
    let mut roster = Roster::default();
    let mut leaving = entry(1, 2);
    leaving.draining = true;
    roster.upsert(entry(0, 1));
    roster.upsert(leaving);
    roster.store_disconnected();
    roster.store_reconnected(at(1_000), true);
    roster.replace_all(at(1_000), Revision::new(9), Vec::new());
    let ready: Vec<&str> = roster.ready(at(1_500)).map(|e| e.id.as_str()).collect();
    assert_eq!(ready, ["e0"], "only the one that was not leaving");
    assert_eq!(roster.ready(at(3_400)).count(), 0);
    roster.upsert(entry(0, 10));
    roster.expire(at(3_400));
    assert_eq!(roster.ready(at(3_400)).count(), 1, "it came back");
}

/// Guards against requests to an upstream that was removed without notice after the store's return,
/// beyond the time for which it still serves them.
#[rstest]
fn a_removal_after_the_return_of_the_store_is_final_before_the_drain_ends() {
    let mut roster = Roster::default();
    roster.upsert(entry(0, 1));
    roster.store_disconnected();
    roster.store_reconnected(at(1_000), true);
    roster.remove(at(1_050), &name::Upstream::from("e0"), Revision::new(2));
    assert_eq!(
        roster.ready(at(1_100)).count(),
        1,
        "its lease may have expired"
    );
    assert_eq!(roster.ready(at(2_800)).count(), 0);
}

/// Guards against a router that alone had lost the store, takes a genuine removal for an expired
/// lease and reports that to its peers.
#[rstest]
fn a_router_that_was_cut_off_retains_no_removed_entries() {
    let mut roster = Roster::default();
    roster.upsert(entry(0, 1));
    roster.store_disconnected();
    roster.store_reconnected(at(1_000), false);
    roster.remove(at(1_100), &name::Upstream::from("e0"), Revision::new(2));
    assert_eq!(roster.ready(at(1_100)).count(), 0);
    let delta = roster.changes_since(at(1_100), Revision::new(1));
    assert_eq!(delta.removed[0].keep_ms, 0);
}

/// Guards against a peer that drops entries at once which the reader still retains.
#[rstest]
fn peers_retain_expired_entries_as_long_as_the_reader() {
    let mut reader = Roster::default();
    reader.upsert(entry(0, 1));
    let mut peer = Roster::default();
    peer.merge(at(0), reader.changes_since(at(0), Revision::new(0)));
    assert_eq!(peer.ready(at(0)).count(), 1);
    reader.store_disconnected();
    reader.store_reconnected(at(1_000), true);
    reader.remove(at(1_000), &name::Upstream::from("e0"), Revision::new(2));
    peer.merge(at(1_100), reader.changes_since(at(1_100), peer.revision()));
    assert_eq!(peer.ready(at(1_200)).count(), 1);
    assert_eq!(peer.ready(at(3_500)).count(), 0);
}

/// Guards against a delta that holds changed entries but no removals.
#[rstest]
fn a_delta_contains_removals() {
    let mut reader = Roster::default();
    for index in 0..4 {
        reader.upsert(entry(index, 1 + u64::from(index)));
    }
    let mut peer = Roster::default();
    peer.merge(at(0), reader.changes_since(at(0), Revision::new(0)));
    reader.remove(at(1), &name::Upstream::from("e1"), Revision::new(7));
    let delta = reader.changes_since(at(1), peer.revision());
    assert!(!delta.complete);
    assert!(delta.entries.is_empty());
    peer.merge(at(2), delta);
    assert_eq!(peer.ready(at(2)).count(), 3);
    assert_eq!(peer.revision(), Revision::new(7));
}

/// Guards against a delta that lacks removals from before the sender's complete list.
#[rstest]
fn deltas_from_before_a_complete_list_are_complete() {
    let mut peer = Roster::default();
    peer.upsert(entry(0, 1));
    peer.upsert(entry(1, 2));
    let mut reader = Roster::default();
    reader.replace_all(at(0), Revision::new(9), vec![entry(1, 2)]);
    let delta = reader.changes_since(at(0), peer.revision());
    assert!(delta.complete);
    peer.merge(at(1), delta);
    assert_eq!(peer.ready(at(1)).count(), 1);
}

/// Guards against more retries over all routers than the fleet may send.
#[rstest]
#[case(1)]
#[case(9)]
#[case(83)]
fn retries_of_all_routers_stay_within_the_bounds(#[case] routers: usize) {
    let limits = Limits {
        ratio: 0.2,
        slack: 58.0,
        window: Duration::from_secs(10),
    };
    let mut budgets = vec![Budget::default(); routers];
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for ms in (0..30_000).step_by(10) {
        // All requests reach one router, and each uses as many retries as the budget allows.
        budgets[0].record_request(at(ms));
        requests.push(ms);
        for budget in &mut budgets {
            while budget.try_retry(at(ms), &limits, routers) {
                retries.push(ms);
            }
        }
        let count = |times: &[u64]| times.iter().filter(|time| ms - **time < 10_000).count() as f64;
        let allowed = limits.ratio * count(&requests) + limits.slack;
        assert!(count(&retries) <= allowed, "at {ms} ms");
    }
    assert!(
        retries.len() > 100,
        "the allowance is used: {}",
        retries.len()
    );
}

/// Guards against sending requests to an upstream that keeps failing.
#[rstest]
fn a_failing_upstream_is_ejected_and_tried_again() {
    let mut health = Health::default();
    for count in 1..=2 {
        health.record_sent();
        assert_eq!(health.record_outcome(at(1), Outcome::Lost, 0.0), count == 2);
    }
    assert!(!health.is_available(at(2)));
    assert!(health.is_available(at(1_000)), "it is tried again");
    health.record_sent();
    assert!(
        !health.is_available(at(1_000)),
        "with one request at a time"
    );
    health.record_outcome(at(1_050), Outcome::Served, 0.0);
    assert!(health.is_available(at(1_060)));
    assert!(!health.is_ejected());
}

/// Guards against ejecting the upstreams of a service many of whose requests always fail.
#[rstest]
fn failures_are_compared_with_the_rate_of_the_service() {
    let mut usual = Health::default();
    let mut failing = Health::default();
    for count in 0..40 {
        let outcome = if count % 4 == 0 {
            Outcome::Failed
        } else {
            Outcome::Served
        };
        assert!(!usual.record_outcome(at(count), outcome, 0.25));
    }
    let is_ejected = (0..10).any(|count| failing.record_outcome(at(count), Outcome::Failed, 0.25));
    assert!(is_ejected);
}

/// Guards against ejecting an upstream of such a service for a few failures in a row.
#[rstest]
fn a_short_run_of_usual_failures_does_not_eject() {
    let mut health = Health::default();
    for count in 0..200 {
        // One in seven fails, three in a row.
        let outcome = if count % 21 < 3 {
            Outcome::Failed
        } else {
            Outcome::Served
        };
        assert!(
            !health.record_outcome(at(count), outcome, 0.14),
            "after {count}"
        );
    }
}

/// Guards against refusing all requests when every upstream of a service is unreachable.
#[rstest]
fn requests_are_sent_even_if_all_upstreams_are_unreachable() {
    let mut fleet = fleet(3);
    for index in 0..3 {
        let id = name::Upstream::from(format!("e{index}"));
        fleet.record_sent(at(1), &id);
        assert!(fleet.record_outcome(at(1), &id, Outcome::Unreachable));
    }
    let decision = choose(&mut fleet, at(2), Some(1), &[]);
    assert!(matches!(decision, Decision::Send { .. }));
}

/// Guards against using requests to find out whether an upstream is reachable again.
#[rstest]
fn an_unreachable_upstream_gets_requests_only_after_a_connection() {
    let mut fleet = fleet(2);
    let id = name::Upstream::from("e0");
    fleet.record_sent(at(1), &id);
    assert!(fleet.record_outcome(at(1), &id, Outcome::Unreachable));
    for point in 0..20 {
        assert_ne!(chosen(choose(&mut fleet, at(9_000), Some(point), &[])), id);
    }
    let due: Vec<name::Upstream> = fleet
        .due_probes(at(300))
        .into_iter()
        .map(|(id, _)| id)
        .collect();
    assert_eq!(due.as_slice(), std::slice::from_ref(&id));
    assert!(!fleet.record_probe(at(300), &id, false));
    assert!(
        fleet.due_probes(at(400)).is_empty(),
        "the next try comes later"
    );
    assert!(fleet.record_probe(at(900), &id, true));
    let sent = (0..20).any(|point| chosen(choose(&mut fleet, at(901), Some(point), &[])) == id);
    assert!(sent);
}

/// Guards against sending requests to an upstream that has stopped answering.
#[rstest]
fn a_silent_upstream_is_avoided_while_others_answer() {
    let mut fleet = fleet(3);
    let first = chosen(choose(&mut fleet, at(1), None, &[]));
    fleet.record_sent(at(1), &first);
    for id in ["e0", "e1", "e2"].map(name::Upstream::from) {
        if id != first {
            fleet.record_sent(at(1), &id);
            fleet.record_sent(at(1), &id);
            fleet.record_activity(at(400), &id);
        }
    }
    assert_eq!(chosen(choose(&mut fleet, at(300), None, &[])), first);
    assert_ne!(chosen(choose(&mut fleet, at(600), None, &[])), first);
    fleet.record_activity(at(610), &first);
    assert_eq!(chosen(choose(&mut fleet, at(620), None, &[])), first);
}

/// Guards against a partition in which each upstream of the remote zone has to fail separately.
#[rstest]
fn a_zone_with_silent_upstreams_is_avoided_as_a_whole() {
    let mut fleet = fleet(8);
    for id in ["e1", "e3"].map(name::Upstream::from) {
        fleet.record_sent(at(1), &id);
    }
    let odd = |fleet: &mut Fleet, ms: u64| {
        let sent = (0..40).map(|point| chosen(choose(fleet, at(ms), Some(point), &[])));
        let odd = sent.filter(|id| {
            let index = upstream_index(id);
            index % 2 == 1
        });
        odd.count()
    };
    assert!(odd(&mut fleet, 300) > 0);
    assert_eq!(odd(&mut fleet, 600), 0);
    let due = fleet.due_probes(at(600));
    assert_eq!(
        due.len(),
        1,
        "one connection shows whether the zone is reachable"
    );
    assert!(fleet.record_probe(at(700), &due[0].0, true));
    assert!(odd(&mut fleet, 800) > 0);
}

fn upstream_index(id: &name::Upstream) -> u32 {
    let number = id.as_str().strip_prefix('e');
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Guards against an update of the indexes for each of many changes that arrive together, and
/// against changes applied in another order.
#[rstest]
fn changes_that_arrive_together_are_applied_in_order() {
    let mut fleet = fleet(3);
    let before = fleet.upstreams().len();
    let entry = fleet.upstreams()[0].entry.clone();
    let written = |revision: u64, draining: bool| {
        let mut entry = entry.clone();
        entry.revision = Revision::new(revision);
        entry.draining = draining;
        Update::Written(entry)
    };
    let updates = [
        written(100, true),
        Update::Removed(entry.id.clone(), Revision::new(101)),
        written(102, false),
    ];
    fleet.apply(at(5), updates);
    assert_eq!(fleet.upstreams().len(), before);
    assert!(fleet.is_ready(at(5), &entry.id));
    fleet.apply(
        at(6),
        [Update::Removed(entry.id.clone(), Revision::new(103))],
    );
    assert_eq!(fleet.upstreams().len(), before - 1);
    assert_eq!(fleet.roster().revision(), Revision::new(103));
}
