//! Home regions: requests that must stay in some regions, in the placement, the source of copied
//! prompts and the decision to relay.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use snipeusher::fleet::Cause;
use snipeusher::fleet::Decision;
use snipeusher::fleet::Entry;
use snipeusher::fleet::Fleet;
use snipeusher::fleet::Limits;
use snipeusher::fleet::Outcome;
use snipeusher::fleet::Query;
use snipeusher::fleet::Regions;
use snipeusher::fleet::Settings;
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher::route::Homes;
use snipeusher::time::Time;

const SERVICE: &str = "letters";
/// Zones of the upstreams in turn; `nowhere` is in no region.
const ZONES: [&str; 4] = ["a", "b", "c", "nowhere"];
const SESSIONS: u64 = 200;

fn at(ms: u64) -> Time {
    Time(ms * 1_000)
}

fn homes(regions: &[&str]) -> Homes {
    regions
        .iter()
        .map(|region| name::Region::from(*region))
        .collect()
}

/// Zones `a` and `b` are in region `north`, `c` is in `south`.
fn regions(own: Option<&str>) -> Regions {
    let zones = [("a", "north"), ("b", "north"), ("c", "south")];
    let zones = zones.map(|(zone, region)| (name::Zone::from(zone), name::Region::from(region)));
    Regions::new(
        &name::Zone::from("a"),
        own.map(name::Region::from),
        BTreeMap::from(zones),
    )
}

fn entry(index: usize, revision: u64) -> Entry {
    Entry {
        id: name::Upstream::from(format!("e{index}")),
        service: name::Service::from(SERVICE),
        address: address(index),
        zone: name::Zone::from(ZONES[index % ZONES.len()]),
        build: name::Build::from("v1"),
        slots: Some(8),
        draining: false,
        incarnation: name::Incarnation(1),
        revision: Revision::new(revision),
        cold_ms: 0,
    }
}

fn address(index: usize) -> SocketAddr {
    let port = u16::try_from(9_000 + index).expect("a port");
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::new(Settings {
        zone: name::Zone::from("a"),
        regions: regions(None),
        retries: Limits::default(),
        drain: Duration::from_secs(2),
        pause_max: Duration::from_mins(1),
    });
    let entries = (0..count).map(|index| entry(index, 1)).collect();
    fleet.replace_all(at(0), Revision::new(1), entries);
    fleet
}

/// Chooses for a request; `session` is its hash, or a number that decides between equals.
fn choose(
    fleet: &mut Fleet,
    session: Result<u64, u64>,
    tried: &[name::Upstream],
    homes: &Homes,
) -> Decision {
    let query = Query {
        service: &name::Service::from(SERVICE),
        session: session.ok(),
        max_connections: 0,
        build: None,
        tried,
        homes,
        tie_breaker: session.err().unwrap_or_default(),
    };
    fleet.choose(at(1), &query)
}

fn zone_of(fleet: &Fleet, decision: &Decision) -> String {
    let Decision::Send { upstream, .. } = decision else {
        panic!("the request is refused: {decision:?}");
    };
    let upstream = fleet.upstream(upstream).expect("it is known");
    upstream.entry.zone.as_str().to_owned()
}

fn cause(decision: &Decision) -> Cause {
    match decision {
        Decision::Refuse { cause, .. } => *cause,
        Decision::Send { upstream, .. } => panic!("the request is sent to {upstream}"),
    }
}

/// Guards against an empty list that forbids everything, and against an empty intersection that
/// allows everything.
#[rstest]
#[case(&[], &[], Some("north"), true)]
#[case(&[], &[], None, true)]
#[case(&["north"], &[], Some("north"), true)]
#[case(&["north"], &[], Some("south"), false)]
#[case(&["north"], &[], None, false)]
#[case(&[], &["north"], Some("north"), true)]
#[case(&["north", "south"], &["south", "west"], Some("south"), true)]
#[case(&["north", "south"], &["south", "west"], Some("north"), false)]
#[case(&["north"], &["south"], Some("north"), false)]
#[case(&["north"], &["south"], None, false)]
fn both_lists_of_regions_apply(
    #[case] route: &[&str],
    #[case] tenant: &[&str],
    #[case] region: Option<&str>,
    #[case] is_admitted: bool,
) {
    let region = region.map(name::Region::from);
    for (left, right) in [(route, tenant), (tenant, route)] {
        let both = homes(left).intersect(&homes(right));
        assert_eq!(both.admits(region.as_ref()), is_admitted);
    }
}

/// Guards against lists without a common region that are taken for no lists.
#[rstest]
fn lists_without_a_common_region_leave_none() {
    assert!(homes(&["north"]).intersect(&homes(&["south"])).is_empty());
    assert!(!homes(&["north"]).intersect(&homes(&[])).is_empty());
    let none = homes(&["north"]).intersect(&homes(&["south"]));
    assert!(none.intersect(&homes(&[])).is_empty());
    assert!(homes(&[]).is_anywhere());
    assert!(!none.is_anywhere());
}

/// Guards against requests that leave their home regions, with and without a session, and against
/// zones without a region that count as home.
#[rstest]
#[case(&["north"], &["a", "b"])]
#[case(&["south"], &["c"])]
#[case(&["south", "north"], &["a", "b", "c"])]
#[case(&[], &["a", "b", "c", "nowhere"])]
fn requests_reach_all_zones_of_their_homes_and_no_other(
    #[case] regions: &[&str],
    #[case] zones: &[&str],
) {
    let homes = homes(regions);
    let mut fleet = fleet(12);
    let mut reached = Vec::new();
    for number in 0..SESSIONS {
        for session in [Ok(number), Err(number)] {
            let decision = choose(&mut fleet, session, &[], &homes);
            reached.push(zone_of(&fleet, &decision));
        }
    }
    reached.sort();
    reached.dedup();
    // Without a session, upstreams of the own zone are preferred; sessions reach all zones.
    assert_eq!(reached, zones);
}

/// Guards against a retry that leaves the home regions since all upstreams there were tried, and
/// against an alternative that is promised there.
#[rstest]
fn retries_stay_at_home() {
    let homes = homes(&["south"]);
    let mut fleet = fleet(12);
    let at_home = [2, 6, 10].map(|index| entry(index, 1).id);
    for tried in 0..3 {
        let decision = choose(&mut fleet, Ok(7), &at_home[..tried], &homes);
        assert_eq!(zone_of(&fleet, &decision), "c");
    }
    let decision = choose(&mut fleet, Ok(7), &at_home, &homes);
    assert_eq!(cause(&decision), Cause::NoUpstream);
    for (tried, has_alternative) in [(&at_home[..2], true), (&at_home[..], false)] {
        let query = Query {
            service: &name::Service::from(SERVICE),
            session: Some(7),
            max_connections: 0,
            build: None,
            tried,
            homes: &homes,
            tie_breaker: 0,
        };
        assert_eq!(fleet.has_alternative(at(1), &query), has_alternative);
    }
}

/// Guards against the preference for healthy upstreams that overrides the home regions.
#[rstest]
fn unreachable_upstreams_at_home_are_not_replaced_by_others() {
    let homes = homes(&["south"]);
    let mut fleet = fleet(12);
    for index in [2, 6, 10] {
        let id = entry(index, 1).id;
        fleet.record_sent(at(1), &id);
        fleet.record_outcome(at(1), &id, Outcome::Unreachable);
    }
    let decision = choose(&mut fleet, Ok(7), &[], &homes);
    assert_eq!(zone_of(&fleet, &decision), "c");
}

/// Guards against a resumed stream that leaves its home regions for an upstream of its software
/// version.
#[rstest]
fn resumed_streams_stay_at_home() {
    let mut fleet = fleet(8);
    let mut abroad = entry(1, 2);
    abroad.build = name::Build::from("v2");
    fleet.upsert(at(0), abroad);
    let (service, build) = (name::Service::from(SERVICE), name::Build::from("v2"));
    let query = |homes| Query {
        service: &service,
        session: None,
        max_connections: 0,
        build: Some(&build),
        tried: &[],
        homes,
        tie_breaker: 0,
    };
    let (north, south) = (homes(&["north"]), homes(&["south"]));
    let decision = fleet.choose(at(1), &query(&north));
    assert_eq!(zone_of(&fleet, &decision), "b");
    let decision = fleet.choose(at(1), &query(&south));
    assert_eq!(cause(&decision), Cause::NoUpstream);
}

/// Guards against a prompt that is copied from an upstream outside the home regions, which would be
/// told of the session, and against sessions that lose their source at home.
#[rstest]
fn prompts_are_copied_from_upstreams_at_home() {
    let homes = homes(&["north"]);
    let mut fleet = fleet(12);
    let mut sources = 0;
    for session in 0..SESSIONS {
        let Decision::Send { source, .. } = choose(&mut fleet, Ok(session), &[], &homes) else {
            panic!("upstreams at home are ready");
        };
        let source = source.expect("others at home run the same version");
        let holder = (0..12).find(|index| address(*index) == source);
        let zone = ZONES[holder.expect("an upstream") % ZONES.len()];
        assert!(["a", "b"].contains(&zone), "copied from zone {zone}");
        sources += 1;
    }
    assert_eq!(sources, SESSIONS);
}

/// Guards against a source outside when the chosen upstream is the only one at home.
#[rstest]
fn a_single_upstream_at_home_copies_nothing() {
    let mut fleet = fleet(4);
    let decision = choose(&mut fleet, Ok(7), &[], &homes(&["south"]));
    assert!(matches!(decision, Decision::Send { source: None, .. }));
}

/// Guards against causes that hide that the home regions are the reason, and against a `Retry-After`
/// of zero.
#[rstest]
#[case(&["north"], &["south"], Cause::NoHome)]
#[case(&["west"], &[], Cause::NoUpstreamAtHome)]
fn requests_without_an_upstream_at_home_are_refused(
    #[case] route: &[&str],
    #[case] tenant: &[&str],
    #[case] expected: Cause,
) {
    let homes = homes(route).intersect(&homes(tenant));
    let mut fleet = fleet(12);
    let decision = choose(&mut fleet, Ok(7), &[], &homes);
    assert_eq!(cause(&decision), expected);
    let service = name::Service::from(SERVICE);
    assert_eq!(
        fleet.refuse_at_home(at(1), &service, &homes),
        Some(decision.clone())
    );
    let Decision::Refuse { retry_after, .. } = decision else {
        panic!("it is refused");
    };
    assert!(retry_after >= Duration::from_millis(100));
}

/// Guards against a refusal for lack of homes where there is an upstream, or where none are asked
/// for.
#[rstest]
#[case(&["south"], 12)]
#[case(&[], 12)]
#[case(&[], 0)]
fn requests_that_can_be_served_at_home_are_not_refused(
    #[case] regions: &[&str],
    #[case] count: usize,
) {
    let mut fleet = fleet(count);
    let service = name::Service::from(SERVICE);
    assert_eq!(fleet.refuse_at_home(at(1), &service, &homes(regions)), None);
}

/// Guards against an upstream that keeps its region when a later entry moves it.
#[rstest]
fn the_region_follows_the_zone_of_the_entry() {
    let homes = homes(&["south"]);
    let mut fleet = fleet(1);
    assert_eq!(
        cause(&choose(&mut fleet, Ok(7), &[], &homes)),
        Cause::NoUpstreamAtHome
    );
    let mut moved = entry(0, 2);
    moved.zone = name::Zone::from("c");
    fleet.upsert(at(1), moved);
    let decision = choose(&mut fleet, Ok(7), &[], &homes);
    assert_eq!(zone_of(&fleet, &decision), "c");
    let mut moved = entry(0, 3);
    moved.zone = name::Zone::from("nowhere");
    fleet.upsert(at(1), moved);
    assert_eq!(
        cause(&choose(&mut fleet, Ok(7), &[], &homes)),
        Cause::NoUpstreamAtHome
    );
}

/// Guards against a router that does not relay since it reaches upstreams outside the home regions,
/// and against relays of requests that no peer can serve either.
#[rstest]
fn upstreams_at_home_decide_whether_to_relay() {
    let mut fleet = fleet(12);
    let service = name::Service::from(SERVICE);
    for index in [2, 6, 10] {
        let id = entry(index, 1).id;
        fleet.record_sent(at(1), &id);
        fleet.record_outcome(at(1), &id, Outcome::Unreachable);
    }
    let needs_relay = |regions| fleet.needs_relay_within(at(1), &service, &homes(regions));
    assert!(needs_relay(&["south"]));
    assert!(!needs_relay(&["north"]));
    assert!(!needs_relay(&[]));
    assert!(!needs_relay(&["west"]));
    assert!(!fleet.needs_relay(at(1), &service));
}

/// Guards against slots abroad that count for a request that must stay at home.
#[rstest]
fn slots_at_home_decide_whether_a_peer_gets_a_relayed_request() {
    let mut fleet = fleet(12);
    let service = name::Service::from(SERVICE);
    let (own, peer) = (name::Host::from("own"), name::Host::from("peer"));
    fleet.set_routers(2);
    fleet.set_hosts(at(1), &own, std::iter::once(&peer));
    assert!(fleet.record_decline_limit(at(1), &entry(0, 1).id, 1.0));
    let has_slots =
        |fleet: &Fleet, homes: &Homes| fleet.has_slots_within(at(1), &service, &peer, homes);
    assert!(fleet.has_slots(at(1), &service, &peer));
    assert!(!has_slots(&fleet, &homes(&["west"])));
    assert!(!fleet.needs_relay_within(at(1), &service, &homes(&["west"])));
}

/// Guards against bodies that are relayed to a router which is neither at home nor in the region of
/// the relaying router.
#[rstest]
#[case("a", Some("north"), &["south"], true)]
#[case("b", Some("north"), &["south"], true)]
#[case("c", Some("north"), &["south"], true)]
#[case("c", Some("north"), &["north"], false)]
#[case("c", Some("north"), &["west"], false)]
#[case("nowhere", Some("north"), &["south"], false)]
#[case("nowhere", Some("north"), &[], true)]
#[case("b", None, &["south"], true)]
#[case("c", None, &["north"], false)]
// The settings contradict each other: the own region is not known.
#[case("b", Some("south"), &["west"], false)]
#[case("c", Some("south"), &["west"], false)]
#[case("a", Some("south"), &["west"], true)]
fn peers_at_home_or_in_the_own_region_may_handle_a_request(
    #[case] zone: &str,
    #[case] own: Option<&str>,
    #[case] homes_of: &[&str],
    #[case] may_handle: bool,
) {
    let zone = name::Zone::from(zone);
    let regions = regions(own);
    assert_eq!(regions.may_handle(&zone, &homes(homes_of)), may_handle);
}

/// Guards against a contradiction or a missing table that is not reported.
#[rstest]
#[case(Some("north"), false)]
#[case(None, false)]
#[case(Some("south"), true)]
fn an_own_region_that_contradicts_the_zones_is_a_mistake(
    #[case] own: Option<&str>,
    #[case] is_mistake: bool,
) {
    let regions = regions(own);
    assert_eq!(regions.is_contradictory(), is_mistake);
    assert_eq!(regions.own().is_none(), is_mistake);
}

/// Guards against routers without `[zones]` that lose their own region, to which they may relay.
#[rstest]
fn the_own_region_needs_no_zones() {
    let zone = name::Zone::from("a");
    let region = name::Region::from("north");
    let regions = Regions::new(&zone, Some(region.clone()), BTreeMap::new());
    assert!(regions.is_empty());
    assert_eq!(regions.own(), Some(&region));
    assert_eq!(regions.of(&zone), None);
    assert!(regions.may_handle(&zone, &homes(&["south"])));
}
