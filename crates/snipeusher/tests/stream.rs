//! Software versions of streams: origins of streams, versions of a service, and the choice among
//! upstreams of one version.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use snipeusher::archive::Versions;
use snipeusher::fleet::Decision;
use snipeusher::fleet::Entry;
use snipeusher::fleet::Fleet;
use snipeusher::fleet::Limits;
use snipeusher::fleet::Query;
use snipeusher::fleet::Regions;
use snipeusher::fleet::Settings;
use snipeusher::kv::Era;
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher::route::Homes;
use snipeusher::stream::Id;
use snipeusher::stream::Origin;
use snipeusher::stream::Origins;
use snipeusher::stream::group;
use snipeusher::stream::holders;
use snipeusher::time::Time;

/// Longer than any caller takes its stream up again.
const FORGOTTEN_MS: u64 = 61_000;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn service() -> name::Service {
    name::Service::from("letters")
}

fn origin(build: &str) -> Origin {
    Origin {
        service: service(),
        build: name::Build::from(build),
    }
}

fn entry(index: u16, build: &str) -> Entry {
    Entry {
        id: name::Upstream::from(format!("e{index}")),
        service: service(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + index)),
        zone: name::Zone::from("here"),
        build: name::Build::from(build),
        slots: None,
        draining: false,
        incarnation: name::Incarnation(1),
        revision: Revision::new(1),
        cold_ms: 0,
    }
}

fn fleet(builds: &[&str]) -> Fleet {
    let mut fleet = Fleet::new(Settings {
        zone: name::Zone::from("here"),
        regions: Regions::default(),
        retries: Limits::default(),
        drain: Duration::from_secs(2),
        pause_max: Duration::from_mins(1),
    });
    list(&mut fleet, 0, 1, builds);
    fleet
}

/// Applies a complete list with one upstream of each version.
fn list(fleet: &mut Fleet, ms: u64, revision: u64, builds: &[&str]) {
    let entries = (0..).zip(builds).map(|(index, build)| Entry {
        revision: Revision::new(revision),
        ..entry(index, build)
    });
    fleet.replace_all(at(ms), Revision::new(revision), entries.collect());
}

/// Guards against a stream whose version changes because a later router reports another one.
#[rstest]
fn the_first_origin_of_a_stream_stays() {
    let mut origins = Origins::default();
    assert!(origins.record(at(0), Id(1), origin("v1")));
    assert!(!origins.record(at(1), Id(1), origin("v2")));
    origins.merge(at(2), group([(Id(1), origin("v2")), (Id(2), origin("v2"))]));
    assert_eq!(origins.get(Id(1)), Some(&origin("v1")));
    assert_eq!(origins.get(Id(2)), Some(&origin("v2")));
}

/// Guards against origins of peers that are sent on, so that copies circulate without end.
#[rstest]
fn only_own_streams_are_sent_and_only_once() {
    let mut origins = Origins::default();
    origins.merge(at(0), group([(Id(1), origin("v1"))]));
    origins.record(at(0), Id(2), origin("v1"));
    assert_eq!(
        origins.take_unsent(at(1), |_| true),
        [(Id(2), origin("v1"))]
    );
    assert_eq!(origins.take_unsent(at(1), |_| true), []);
}

/// Guards against copies that cost something while one version runs, and against streams that are
/// missing at peers when a second version appears.
#[rstest]
fn streams_wait_until_a_second_version_runs() {
    let mut origins = Origins::default();
    origins.record(at(0), Id(1), origin("v1"));
    origins.record(at(50_000), Id(2), origin("v1"));
    assert_eq!(origins.take_unsent(at(50_001), |_| false), []);
    let mixed = |service: &name::Service| *service == self::service();
    let expected = [(Id(2), origin("v1"))];
    assert_eq!(origins.take_unsent(at(FORGOTTEN_MS), mixed), expected);
}

/// Guards against memory that grows with all streams that ever began.
#[rstest]
fn old_origins_are_forgotten() {
    let mut origins = Origins::default();
    for stream in 0..1_000 {
        origins.record(at(stream), Id(stream), origin("v1"));
    }
    origins.record(at(FORGOTTEN_MS), Id(5_000), origin("v1"));
    assert_eq!(origins.get(Id(0)), None);
    assert_eq!(origins.get(Id(999)), None);
    assert!(origins.len() < 1_000, "{}", origins.len());
    for stream in 10_000..200_000 {
        origins.record(at(FORGOTTEN_MS), Id(stream), origin("v1"));
    }
    assert!(origins.len() <= 65_536, "{}", origins.len());
    let unsent = origins.take_unsent(at(FORGOTTEN_MS), |_| true);
    assert!(unsent.len() <= 4_096);
}

/// Guards against a guess of the version while a second one serves, served shortly before, or may
/// have served before this router knew the upstreams.
#[rstest]
fn the_sole_version_is_one_that_no_other_preceded() {
    let age = Duration::from_secs(12);
    let mut fleet = fleet(&["v1", "v1"]);
    let sole = |fleet: &Fleet, ms: u64| {
        let build = fleet.sole_build(at(ms), &service(), age);
        build.map(|build| build.as_str().to_owned())
    };
    assert_eq!(sole(&fleet, 11_000), None);
    assert_eq!(sole(&fleet, 12_000), Some("v1".to_owned()));
    list(&mut fleet, 13_000, 2, &["v1", "v2"]);
    assert_eq!(sole(&fleet, 14_000), None);
    assert!(fleet.has_several_builds(at(14_000), &service()));
    list(&mut fleet, 15_000, 3, &["v2", "v2"]);
    assert_eq!(sole(&fleet, 16_000), None);
    assert!(!fleet.has_any_several_builds(at(15_000 + FORGOTTEN_MS)));
    assert_eq!(sole(&fleet, 15_000 + FORGOTTEN_MS), Some("v2".to_owned()));
    assert_eq!(
        fleet.sole_build(at(80_000), &name::Service::from("other"), age),
        None
    );
}

/// Guards against a stream that goes on at another version, against a prompt that is copied from
/// an engine of another version, and against a refusal while an upstream of the version is left.
#[rstest]
#[case("v1", &[], true)]
#[case("v1", &["e0"], true)]
#[case("v1", &["e0", "e2"], false)]
#[case("v3", &[], false)]
fn only_upstreams_of_the_version_are_chosen(
    #[case] build: &str,
    #[case] tried: &[&str],
    #[case] is_sent: bool,
) {
    let mut fleet = fleet(&["v1", "v2", "v1", "v2"]);
    let tried: Vec<name::Upstream> = tried.iter().map(|id| name::Upstream::from(*id)).collect();
    let build = name::Build::from(build);
    for session in 0..50 {
        let query = Query {
            service: &service(),
            session: Some(session),
            max_connections: 0,
            build: Some(&build),
            tried: &tried,
            homes: &Homes::default(),
            tie_breaker: session,
        };
        assert_eq!(fleet.has_alternative(at(1), &query), is_sent);
        match fleet.choose(at(1), &query) {
            Decision::Send {
                upstream,
                build: chosen,
                source,
                ..
            } => {
                assert!(is_sent && chosen == build && !tried.contains(&upstream));
                let source = source.map(|source| source.port() % 2);
                assert!(source.is_none_or(|source| source == 0), "copied from v2");
            }
            Decision::Refuse { .. } => assert!(!is_sent),
        }
    }
}

fn versions(builds: &[&str]) -> Versions {
    let builds = builds.iter().copied().map(name::Build::from).collect();
    Versions([(service(), builds)].into())
}

/// Guards against a router that starts after the last upstream of a version has left and takes the
/// other version for the only one.
#[rstest]
#[case(&["v1"], None)]
#[case(&["v1", "v2"], None)]
#[case(&["v2"], Some("v2"))]
#[case(&[], None)]
fn a_recorded_version_counts_after_a_restart(
    #[case] recorded: &[&str],
    #[case] expected: Option<&str>,
) {
    let mut fleet = fleet(&["v2"]);
    fleet.record_versions(at(10), versions(recorded));
    let age = Duration::from_secs(12);
    let sole = fleet.sole_build(at(20), &service(), age);
    assert_eq!(sole.map(name::Build::as_str), expected);
}

/// Guards against routers that keep replacing one another's record of versions, since they saw a
/// version leave at different times.
#[rstest]
fn routers_agree_on_the_recorded_versions() {
    let mut early = fleet(&["v1", "v2"]);
    let mut record = early
        .unrecorded_versions(at(10))
        .expect("nothing is recorded");
    assert_eq!(record, versions(&["v1", "v2"]));
    early.record_versions(at(10), record.clone());
    early.remove(at(1_000), &"e0".into(), Revision::new(9));
    assert_eq!(early.unrecorded_versions(at(2_000)), None);
    let mut late = fleet(&["v2"]);
    late.record_versions(at(30_000), record);
    record = early
        .unrecorded_versions(at(1_000 + FORGOTTEN_MS))
        .expect("v1 has left");
    assert_eq!(record, versions(&["v2"]));
    late.record_versions(at(62_100), record);
    assert_eq!(late.unrecorded_versions(at(62_200)), None);
    assert_eq!(late.unrecorded_versions(at(95_000)), None);
}

/// Longest time since a stream may have begun, in the tests of rollouts.
const AGE: Duration = Duration::from_secs(12);

fn presumed(fleet: &Fleet, ms: u64) -> Option<&str> {
    let build = fleet.presumed_build(at(ms), &service(), AGE);
    build.map(name::Build::as_str)
}

fn needs_record(fleet: &Fleet, ms: u64, build: &str) -> bool {
    fleet.needs_record(at(ms), &service(), &build.into(), AGE)
}

/// Guards against streams that nobody has a record of and that are refused, since they began just
/// before a second version appeared, and against streams of that version which may be taken for
/// them.
#[rstest]
fn a_stream_without_a_record_is_of_the_incumbent_version() {
    let mut fleet = fleet(&["v1", "v1"]);
    assert_eq!(presumed(&fleet, 19_000), None);
    assert!(!needs_record(&fleet, 19_000, "v1"));
    list(&mut fleet, 20_000, 2, &["v1", "v2"]);
    assert_eq!(presumed(&fleet, 20_000), Some("v1"));
    assert_eq!(presumed(&fleet, 29_999), Some("v1"));
    assert_eq!(presumed(&fleet, 30_000), None);
    // Other routers may have noticed the second version some seconds later.
    for ms in [20_000, 39_999] {
        assert!(needs_record(&fleet, ms, "v2"));
        assert!(!needs_record(&fleet, ms, "v1"));
    }
    assert!(!needs_record(&fleet, 40_000, "v2"));
    list(&mut fleet, 21_000, 3, &["v1", "v2", "v3"]);
    assert_eq!(presumed(&fleet, 22_000), Some("v1"));
    assert!(needs_record(&fleet, 22_000, "v3"));
}

/// Guards against a router that presumes a version although it cannot know what ran before: it has
/// just started, or the store was restored to a state in which a version is missing.
#[rstest]
#[case::started_with_both(&["v1", "v2"], 0, 0, None)]
#[case::started_shortly_before(&["v1"], 11_999, 0, None)]
#[case::known_for_long(&["v1"], 12_000, 0, Some("v1"))]
#[case::restored_meanwhile(&["v1"], 20_000, 1, Some("v1"))]
fn a_version_is_presumed_only_by_a_router_that_saw_it_alone(
    #[case] first: &[&str],
    #[case] second_at: u64,
    #[case] era: u64,
    #[case] expected: Option<&str>,
) {
    let mut fleet = fleet(first);
    list(&mut fleet, second_at, 2, &["v1", "v2"]);
    assert_eq!(presumed(&fleet, second_at + 1), expected);
    // Whoever presumes nothing has all streams recorded, since others may presume either version.
    assert!(needs_record(&fleet, second_at + 1, "v2"));
    assert_eq!(
        needs_record(&fleet, second_at + 1, "v1"),
        expected.is_none()
    );
    if era > 0 {
        let revision = Revision {
            era: Era(era),
            number: 1,
        };
        fleet.replace_all(at(second_at + 2), revision, vec![entry(0, "v1")]);
        fleet.replace_all(
            at(second_at + 3),
            revision,
            vec![entry(0, "v1"), entry(1, "v2")],
        );
        assert_eq!(presumed(&fleet, second_at + 4), None);
        // Routers that have not noticed the restored store may presume the version before.
        assert!(needs_record(&fleet, second_at + 4, "v2"));
    }
}

/// Guards against a stream that is kept to a version which no upstream runs, or for longer than
/// others presume it.
#[rstest]
#[case::it_serves(&["v1", "v2"], 39_999, Some("v1"))]
#[case::nobody_presumes_it(&["v1", "v2"], 40_000, None)]
#[case::it_has_left(&["v2"], 22_000, None)]
fn a_stream_without_a_record_begins_at_the_incumbent_version(
    #[case] listed: &[&str],
    #[case] ms: u64,
    #[case] expected: Option<&str>,
) {
    let mut fleet = fleet(&["v1", "v1"]);
    list(&mut fleet, 20_000, 2, &["v1", "v2"]);
    list(&mut fleet, 21_000, 3, listed);
    let build = fleet.unrecorded_build(at(ms), &service(), AGE);
    assert_eq!(build.map(name::Build::as_str), expected);
}

/// Guards against streams that are refused at the end of a release, since they are kept to a version
/// whose upstreams only finish what they run.
#[rstest]
fn no_stream_is_kept_to_a_version_that_takes_no_new_work() {
    let mut fleet = fleet(&["v1"]);
    list(&mut fleet, 20_000, 2, &["v1", "v2"]);
    fleet.record_sent(at(20_000), &"e0".into());
    let unrecorded = |fleet: &Fleet| {
        let build = fleet.unrecorded_build(at(21_000), &service(), AGE);
        build.cloned()
    };
    assert_eq!(unrecorded(&fleet), Some("v1".into()));
    let draining = Entry {
        draining: true,
        revision: Revision::new(3),
        ..entry(0, "v1")
    };
    fleet.upsert(at(21_000), draining);
    assert_eq!(unrecorded(&fleet), None, "it drains");
    fleet.remove(at(21_000), &"e0".into(), Revision::new(4));
    assert_eq!(
        unrecorded(&fleet),
        None,
        "it is gone, but for a request in flight"
    );
}

/// Guards against an announcement that is taken for the origin of a stream, which may have begun at
/// another version since.
#[rstest]
fn an_announced_stream_has_no_origin_until_it_begins() {
    let mut origins = Origins::default();
    origins.announce(at(0), Id(1), origin("v2"));
    assert!(origins.is_announced(Id(1)));
    assert_eq!(origins.confirmed(Id(1)), None);
    let added = origins.merge(at(1), group([(Id(1), origin("v1"))]));
    assert_eq!(added, [(Id(1), origin("v1"))]);
    assert_eq!(origins.confirmed(Id(1)), Some(&origin("v1")));
    origins.announce(at(2), Id(1), origin("v2"));
    assert!(!origins.is_announced(Id(1)));
    assert_eq!(origins.confirmed(Id(1)), Some(&origin("v1")));
}

/// Routers of a fleet, by zone.
fn routers(zones: &[(&str, usize)]) -> Vec<(name::Host, name::Zone)> {
    let zones = zones.iter().flat_map(|(zone, count)| {
        (0..*count).map(move |index| (format!("{zone}-{index}").into(), (*zone).into()))
    });
    zones.collect()
}

/// Guards against routers that record a stream at other peers than those which are asked for it, and
/// against holders that are lost together with one zone.
#[rstest]
#[case::one_router(&[("a", 1)], 1, 1)]
#[case::one_zone(&[("a", 5)], 3, 1)]
#[case::two_zones(&[("a", 1), ("b", 3)], 3, 2)]
#[case::three_zones(&[("a", 2), ("b", 3), ("c", 2)], 3, 3)]
#[case::many_zones(&[("a", 9), ("b", 9), ("c", 9), ("d", 9), ("e", 9)], 3, 3)]
fn all_routers_compute_the_same_holders_in_several_zones(
    #[case] zones: &[(&str, usize)],
    #[case] count: usize,
    #[case] zone_count: usize,
) {
    let routers = routers(zones);
    for id in 0..200 {
        let pairs = || routers.iter().map(|(host, zone)| (host, zone));
        let chosen = holders(Id(id), pairs());
        let elsewhere = holders(Id(id), pairs().rev());
        assert_eq!(chosen, elsewhere, "in another order");
        let of_zones: BTreeSet<_> = pairs()
            .filter(|(host, _)| chosen.contains(host))
            .map(|(_, zone)| zone)
            .collect();
        assert_eq!((chosen.len(), of_zones.len()), (count, zone_count));
    }
}

/// Guards against a version that leaves and comes back, and is then taken for a new one although
/// streams that it began may still run.
#[rstest]
#[case::within_a_minute(50_000, None)]
#[case::after_its_streams(25_000 + FORGOTTEN_MS, Some("v2"))]
fn a_version_that_comes_back_is_new_only_after_its_streams_ended(
    #[case] back_at: u64,
    #[case] expected: Option<&str>,
) {
    let mut fleet = fleet(&["v1"]);
    list(&mut fleet, 20_000, 2, &["v1", "v2"]);
    list(&mut fleet, 25_000, 3, &["v2"]);
    list(&mut fleet, back_at, 4, &["v2", "v1"]);
    assert_eq!(presumed(&fleet, back_at + 1), expected);
}

/// Guards against a fleet that presumes nothing during its first seconds, although no stream can
/// have begun before it started.
#[rstest]
fn a_fleet_that_starts_for_the_first_time_knows_what_ran_before() {
    let mut fleet = fleet(&["v1"]);
    fleet.record_first_start();
    list(&mut fleet, 1_000, 2, &["v1", "v2"]);
    assert_eq!(presumed(&fleet, 1_001), Some("v1"));
}

/// Time limit of a route with long streams.
const LONG: Duration = Duration::from_secs(95);

/// Guards against streams that last over a minute and cannot be taken up when their router is lost,
/// also after the time limit of their route was lowered.
#[rstest]
fn origins_are_kept_for_as_long_as_a_stream_may_last() {
    let mut origins = Origins::default();
    origins.extend_retention(LONG);
    origins.extend_retention(Duration::from_secs(15));
    origins.record(at(0), Id(1), origin("v1"));
    origins.merge(at(94_000), group([(Id(2), origin("v2"))]));
    assert_eq!(origins.get(Id(1)), Some(&origin("v1")));
    let unsent = origins.take_unsent(at(94_000), |_| true);
    assert_eq!(unsent, [(Id(1), origin("v1"))]);
    origins.merge(at(95_000), group([(Id(3), origin("v2"))]));
    assert_eq!(origins.get(Id(1)), None);
}

/// Guards against a stream that was taken up and cannot be taken up once more, since its first
/// router began it long ago, and against records of the store that keep it for good.
#[rstest]
fn a_stream_that_is_taken_up_is_kept_anew() {
    let mut origins = Origins::default();
    origins.record(at(0), Id(1), origin("v1"));
    assert!(!origins.record(at(500), Id(1), origin("v1")));
    assert!(origins.record(at(50_000), Id(1), origin("v2")));
    origins.merge_stored(at(80_000), group([(Id(1), origin("v1"))]));
    origins.merge(at(109_000), group([(Id(2), origin("v2"))]));
    assert_eq!(origins.get(Id(1)), Some(&origin("v1")));
    origins.merge(at(110_000), group([(Id(3), origin("v2"))]));
    assert_eq!(origins.get(Id(1)), None);
}

/// Guards against a version that no longer counts although streams that it began may still be taken
/// up, and then go on at the other version.
#[rstest]
fn a_version_counts_for_as_long_as_its_streams_may_last() {
    let mut fleet = fleet(&["v1", "v2"]);
    fleet.extend_stream_retention(LONG);
    list(&mut fleet, 1_000, 2, &["v2"]);
    let age = Duration::from_secs(12);
    for (ms, expected) in [(95_900, None), (96_000, Some("v2"))] {
        let sole = fleet.sole_build(at(ms), &service(), age);
        assert_eq!(sole.map(name::Build::as_str), expected);
    }
}
