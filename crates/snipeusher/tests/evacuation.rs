//! Evacuated zones in the roster and in the choice of an upstream: order of statements, deltas,
//! complete lists, copies from peers and restores of the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use snipeusher::fleet::Cause;
use snipeusher::fleet::Decision;
use snipeusher::fleet::Delta;
use snipeusher::fleet::Entry;
use snipeusher::fleet::Evacuation;
use snipeusher::fleet::Fleet;
use snipeusher::fleet::Limits;
use snipeusher::fleet::List;
use snipeusher::fleet::Milestone;
use snipeusher::fleet::Outcome;
use snipeusher::fleet::Query;
use snipeusher::fleet::Regions;
use snipeusher::fleet::Report;
use snipeusher::fleet::Roster;
use snipeusher::fleet::Settings;
use snipeusher::fleet::Source;
use snipeusher::fleet::Stage;
use snipeusher::fleet::Update;
use snipeusher::kv::Era;
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher::route::Homes;
use snipeusher::time::Time;

const NOW: Time = Time::from_millis(1_000);
/// Time for which an evacuation that a restored store lacks is kept.
const RETENTION: Duration = Duration::from_millis(2_300);
/// More ends of evacuations than a router remembers.
const MANY: u64 = 80;

fn revision(era: u64, number: u64) -> Revision {
    Revision {
        era: Era(era),
        number,
    }
}

fn zone(name: &str) -> name::Zone {
    name::Zone::from(name)
}

fn entry(id: &str, zone: &str, number: u64) -> Entry {
    Entry {
        id: name::Upstream::from(id),
        service: name::Service::from("letters"),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        zone: name::Zone::from(zone),
        build: name::Build::from("v1"),
        slots: None,
        draining: false,
        incarnation: name::Incarnation(1),
        revision: Revision::new(number),
        cold_ms: 0,
    }
}

fn list(revision: Revision, zones: &[(&str, Revision)]) -> List {
    let entries = [entry("a1", "a", 1), entry("b1", "b", 2)];
    let entries = entries.map(|entry| Entry {
        revision: Revision {
            era: revision.era,
            ..entry.revision
        },
        ..entry
    });
    let zones = zones.iter().map(|(name, at)| (zone(name), *at));
    List {
        revision,
        entries: entries.to_vec(),
        evacuations: zones.collect::<BTreeMap<_, _>>(),
    }
}

fn roster(revision: Revision, zones: &[(&str, Revision)]) -> Roster {
    let mut roster = Roster::default();
    roster.replace(NOW, list(revision, zones));
    roster
}

fn evacuated(roster: &Roster, now: Time) -> Vec<String> {
    let zones = roster.evacuated(now);
    zones.map(|(zone, _)| zone.to_string()).collect()
}

/// A fleet view of two zones with two upstreams each.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new(Settings {
        zone: zone("a"),
        retries: Limits::default(),
        drain: Duration::from_secs(2),
        pause_max: Duration::from_mins(1),
        regions: Regions::default(),
    });
    let entries = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];
    let entries = (1..).zip(entries);
    let entries = entries.map(|(number, (id, zone))| entry(id, zone, number));
    fleet.replace_all(NOW, Revision::new(10), entries.collect());
    fleet
}

fn evacuate(fleet: &mut Fleet, name: &str, number: u64) {
    let update = Update::Evacuated(zone(name), Revision::new(number));
    fleet.apply(NOW, [update]);
}

fn end(fleet: &mut Fleet, name: &str, number: u64) {
    let update = Update::EvacuationEnded(zone(name), Revision::new(number));
    fleet.apply(NOW, [update]);
}

fn choose(fleet: &mut Fleet, now: Time, tie_breaker: u64, session: Option<u64>) -> Decision {
    let service = name::Service::from("letters");
    let query = Query {
        service: &service,
        session,
        max_connections: 0,
        build: None,
        homes: &Homes::default(),
        tried: &[],
        tie_breaker,
    };
    fleet.choose(now, &query)
}

/// Upstreams chosen for 200 requests, half of them with a session.
fn chosen(fleet: &mut Fleet, now: Time) -> Vec<String> {
    let mut chosen: Vec<String> = (0..200_u64)
        .filter_map(|number| {
            let session = (number % 2 == 0).then_some(number);
            match choose(fleet, now, number, session) {
                Decision::Send { upstream, .. } => Some(upstream.to_string()),
                Decision::Refuse { .. } => None,
            }
        })
        .collect();
    chosen.sort();
    chosen.dedup();
    chosen
}

/// Guards against a removal or a write that arrives late and reverts a newer statement.
#[rstest]
#[case::write_then_removal(&[(true, 11), (false, 12)], false)]
#[case::removal_then_late_write(&[(false, 12), (true, 11)], false)]
#[case::write_again(&[(true, 11), (false, 12), (true, 13)], true)]
#[case::late_removal(&[(true, 11), (true, 13), (false, 12)], true)]
#[case::repeated_write(&[(true, 11), (true, 11)], true)]
fn the_newest_statement_counts(#[case] statements: &[(bool, u64)], #[case] expected: bool) {
    let mut roster = roster(Revision::new(10), &[]);
    for (is_written, number) in statements {
        let at = Revision::new(*number);
        if *is_written {
            roster.evacuate(zone("a"), at);
        } else {
            roster.end_evacuation(zone("a"), at);
        }
    }
    assert_eq!(roster.is_evacuated(NOW, &zone("a")), expected);
    assert_eq!(
        roster.revision(),
        Revision::new(statements.iter().map(|s| s.1).max().unwrap())
    );
}

/// Guards against an era that is compared by its revision numbers, which a restored store gives out
/// again.
#[rstest]
fn a_later_era_counts_although_its_number_is_lower() {
    let mut roster = roster(Revision::new(90), &[]);
    roster.evacuate(zone("a"), Revision::new(91));
    roster.end_evacuation(zone("a"), revision(1, 40));
    assert!(!roster.is_evacuated(NOW, &zone("a")));
    roster.evacuate(zone("a"), Revision::new(95));
    assert!(!roster.is_evacuated(NOW, &zone("a")));
}

/// Guards against a peer that misses the beginning or the end of an evacuation in a delta.
#[rstest]
fn deltas_hold_beginnings_and_ends() {
    let mut first = roster(Revision::new(10), &[]);
    let mut second = first.clone();
    first.evacuate(zone("a"), Revision::new(11));
    second.merge(NOW, first.changes_since(NOW, second.revision()));
    assert_eq!(evacuated(&second, NOW), ["a"]);
    first.end_evacuation(zone("a"), Revision::new(12));
    first.evacuate(zone("b"), Revision::new(13));
    let delta = first.changes_since(NOW, second.revision());
    assert!(!delta.complete);
    second.merge(NOW, delta);
    assert_eq!(evacuated(&second, NOW), ["b"]);
}

/// Guards against messages that grow, or that the build before cannot decode, although there is no
/// evacuation or none any more.
#[rstest]
fn without_an_evacuation_the_field_is_not_written() {
    let mut roster = roster(Revision::new(10), &[]);
    let fields = |delta: &Delta| rmp_serde::to_vec(delta).expect("it can be written")[0];
    let none = roster.changes_since(NOW, Revision::default());
    assert_eq!(fields(&none), 0x94, "an array of four");
    roster.evacuate(zone("a"), Revision::new(11));
    let one = roster.changes_since(NOW, Revision::default());
    assert_eq!(fields(&one), 0x95, "an array of five");
    let bytes = rmp_serde::to_vec(&one).expect("it can be written");
    let read: Delta = rmp_serde::from_slice(&bytes).expect("it can be read");
    assert_eq!(read, one);
    roster.end_evacuation(zone("a"), Revision::new(12));
    let ended = roster.changes_since(NOW, Revision::default());
    assert_eq!(fields(&ended), 0x94);
}

/// Guards against an evacuation that stays for ever at a router that missed its end while the store
/// was unreachable for it.
#[rstest]
fn a_complete_list_replaces_what_was_known() {
    let mut roster = roster(Revision::new(10), &[("a", Revision::new(5))]);
    let next = list(Revision::new(20), &[("b", Revision::new(15))]);
    roster.replace(NOW, next);
    assert_eq!(evacuated(&roster, NOW), ["b"]);
    let stale = list(Revision::new(12), &[("a", Revision::new(5))]);
    roster.replace(NOW, stale);
    assert_eq!(evacuated(&roster, NOW), ["b"], "an older list is ignored");
}

/// Guards against a list that was read while a change was made, which the watch then repeats.
#[rstest]
fn a_list_and_the_watch_that_repeats_its_changes_agree() {
    // The zones were listed at 14, the upstreams at 10, where the watch begins.
    let mut roster = roster(Revision::new(10), &[("a", Revision::new(13))]);
    assert_eq!(evacuated(&roster, NOW), ["a"]);
    assert_eq!(roster.revision(), Revision::new(10));
    roster.evacuate(zone("b"), Revision::new(11));
    roster.end_evacuation(zone("b"), Revision::new(12));
    roster.evacuate(zone("a"), Revision::new(13));
    assert_eq!(evacuated(&roster, NOW), ["a"]);
}

/// Guards against an end that is learned from a list and is then not passed on to a peer which
/// learned of the beginning.
#[rstest]
fn an_end_learned_from_a_list_reaches_peers() {
    let mut first = roster(Revision::new(10), &[("a", Revision::new(5))]);
    let mut second = first.clone();
    first.replace(NOW, list(Revision::new(20), &[]));
    second.merge(NOW, first.changes_since(NOW, second.revision()));
    assert_eq!(evacuated(&second, NOW), Vec::<String>::new());
}

/// Guards against a router that starts, copies its list from a peer and sends to an evacuated zone.
#[rstest]
fn a_list_copied_from_a_peer_holds_the_evacuations() {
    let mut first = roster(Revision::new(10), &[]);
    first.evacuate(zone("a"), Revision::new(11));
    first.evacuate(zone("odd / \u{1f600}"), Revision::new(12));
    let copy = first.changes_since(NOW, Revision::default());
    assert!(copy.complete);
    let mut second = Roster::default();
    second.merge(NOW, copy);
    assert_eq!(evacuated(&second, NOW), ["a", "odd / \u{1f600}"]);
    assert_eq!(second.entries().count(), 2);
}

/// Guards against routers whose state depends on which of two peers they heard first.
#[rstest]
fn deltas_of_two_routers_merge_in_either_order() {
    let base = roster(Revision::new(10), &[("b", Revision::new(4))]);
    let (mut first, mut second) = (base.clone(), base.clone());
    first.evacuate(zone("a"), Revision::new(11));
    second.evacuate(zone("a"), Revision::new(11));
    second.end_evacuation(zone("b"), Revision::new(12));
    second.end_evacuation(zone("a"), Revision::new(13));
    second.evacuate(zone("c"), Revision::new(14));
    let deltas = [&first, &second].map(|roster| roster.changes_since(NOW, base.revision()));
    for order in [[0, 1], [1, 0], [1, 1]] {
        let mut third = base.clone();
        for index in order {
            third.merge(NOW, deltas[index].clone());
        }
        assert_eq!(evacuated(&third, NOW), ["c"], "{order:?}");
        assert_eq!(third.revision(), Revision::new(14));
    }
}

/// Guards against a zone that gets requests at once when the store is restored from a copy without
/// its evacuation, and against one that stays evacuated for ever.
#[rstest]
#[case::not_written_again(None, false)]
#[case::written_again(Some(8), true)]
fn an_evacuation_lost_with_a_restore_is_retained(
    #[case] written_again: Option<u64>,
    #[case] expected: bool,
) {
    let mut roster = roster(Revision::new(10), &[]);
    roster.evacuate(zone("a"), Revision::new(11));
    roster.replace(NOW, list(revision(1, 7), &[]));
    assert_eq!(evacuated(&roster, NOW), ["a"]);
    // A further list of the same era does not end it.
    roster.replace(NOW, list(revision(1, 7), &[]));
    assert_eq!(evacuated(&roster, NOW), ["a"]);
    assert_eq!(roster.next_expiry(), Some(NOW + RETENTION));
    if let Some(number) = written_again {
        roster.evacuate(zone("a"), revision(1, number));
    }
    let later = NOW + RETENTION;
    roster.expire(later);
    assert_eq!(roster.is_evacuated(later, &zone("a")), expected);
    assert_eq!(roster.next_expiry(), None);
}

/// Guards against an evacuation that is ended by the operators in the new era and retained all the
/// same, and one of the copy that is ignored since its number is lower.
#[rstest]
fn the_restored_store_counts() {
    let mut roster = roster(Revision::new(90), &[("a", Revision::new(85))]);
    roster.end_evacuation(zone("a"), Revision::new(91));
    roster.replace(NOW, list(revision(1, 88), &[("a", revision(1, 85))]));
    assert_eq!(evacuated(&roster, NOW), ["a"], "the copy has it");
    roster.end_evacuation(zone("a"), revision(1, 89));
    assert_eq!(evacuated(&roster, NOW), Vec::<String>::new());
}

/// Guards against a peer that learns of the restore from another router and drops the evacuation,
/// and against routers that prolong the retention by telling each other.
#[rstest]
fn a_retained_evacuation_is_passed_on_with_the_time_left() {
    let mut first = roster(Revision::new(10), &[("a", Revision::new(5))]);
    let mut second = first.clone();
    let mut new = Roster::default();
    first.replace(NOW, list(revision(1, 7), &[]));
    let later = NOW + Duration::from_secs(1);
    for peer in [&mut second, &mut new] {
        peer.merge(later, first.changes_since(later, peer.revision()));
        assert_eq!(evacuated(peer, later), ["a"]);
    }
    let end = NOW + RETENTION;
    for peer in [&mut second, &mut new] {
        peer.expire(end);
        assert_eq!(evacuated(peer, end), Vec::<String>::new());
    }
}

/// Guards against a peer with the list of a restored store that never knew the evacuation and has
/// others drop it at once.
#[rstest]
fn a_peer_that_never_knew_it_does_not_end_a_lost_evacuation() {
    let mut first = roster(Revision::new(10), &[("a", Revision::new(5))]);
    let new = roster(revision(1, 7), &[]);
    first.merge(NOW, new.changes_since(NOW, first.revision()));
    assert_eq!(evacuated(&first, NOW), ["a"]);
    first.expire(NOW + RETENTION);
    assert_eq!(evacuated(&first, NOW + RETENTION), Vec::<String>::new());
}

/// Guards against an end that was forgotten and is not in a delta, so that a peer stays evacuated
/// for ever.
#[rstest]
fn a_peer_that_missed_many_ends_gets_the_complete_list() {
    let mut first = roster(Revision::new(10), &[]);
    first.evacuate(zone("a"), Revision::new(11));
    let mut second = first.clone();
    first.end_evacuation(zone("a"), Revision::new(12));
    for number in 0..MANY {
        let other = zone(&format!("other-{number}"));
        first.evacuate(other.clone(), Revision::new(20 + 2 * number));
        first.end_evacuation(other, Revision::new(21 + 2 * number));
    }
    let delta = first.changes_since(NOW, second.revision());
    assert!(delta.complete);
    second.merge(NOW, delta);
    assert_eq!(evacuated(&second, NOW), Vec::<String>::new());
}

/// Guards against a request, with or without a session, or a retry, that reaches an evacuated zone;
/// and against a zone that stays unused after its evacuation.
#[rstest]
fn no_request_is_sent_to_an_evacuated_zone() {
    let mut fleet = fleet();
    assert_eq!(chosen(&mut fleet, NOW).len(), 4);
    evacuate(&mut fleet, "a", 11);
    assert_eq!(chosen(&mut fleet, NOW), ["b1", "b2"]);
    let service = name::Service::from("letters");
    let tried = [name::Upstream::from("b1"), name::Upstream::from("b2")];
    let query = Query {
        service: &service,
        session: None,
        max_connections: 0,
        build: None,
        homes: &Homes::default(),
        tried: &tried,
        tie_breaker: 0,
    };
    assert!(!fleet.has_alternative(NOW, &query));
    assert!(matches!(
        fleet.choose(NOW, &query),
        Decision::Refuse {
            cause: Cause::NoUpstream,
            ..
        }
    ));
    end(&mut fleet, "a", 12);
    assert_eq!(chosen(&mut fleet, NOW).len(), 4);
}

/// Guards against an upstream that registers in an evacuated zone and gets requests.
#[rstest]
fn an_upstream_that_registers_in_an_evacuated_zone_gets_nothing() {
    let mut fleet = fleet();
    evacuate(&mut fleet, "a", 11);
    fleet.upsert(NOW, entry("a3", "a", 12));
    assert_eq!(chosen(&mut fleet, NOW), ["b1", "b2"]);
}

/// Guards against requests that are sent, wait or get a wrong cause while all upstreams of their
/// service are evacuated.
#[rstest]
fn requests_are_refused_at_once_while_all_zones_are_evacuated() {
    let mut fleet = fleet();
    evacuate(&mut fleet, "a", 11);
    evacuate(&mut fleet, "b", 12);
    for tie_breaker in 0..300 {
        let decision = choose(&mut fleet, NOW, tie_breaker, None);
        let Decision::Refuse { cause, retry_after } = decision else {
            panic!("{decision:?}");
        };
        assert_eq!(cause, Cause::Evacuated);
        assert!((1_000..1_250).contains(&retry_after.as_millis()));
    }
    assert!(!fleet.needs_relay(NOW, &name::Service::from("letters")));
    end(&mut fleet, "b", 13);
    assert_eq!(chosen(&mut fleet, NOW), ["b1", "b2"]);
}

/// Guards against an evacuation of a zone without upstreams that has an effect.
#[rstest]
#[case("nowhere")]
#[case("A")]
#[case("a/")]
#[case("a ")]
fn an_unknown_zone_changes_nothing(#[case] name: &str) {
    let mut fleet = fleet();
    evacuate(&mut fleet, name, 11);
    assert_eq!(chosen(&mut fleet, NOW).len(), 4);
    let milestones = fleet.take_milestones();
    assert_eq!(milestones.len(), 1);
    assert_eq!(milestones[0].upstreams, 0);
}

/// Guards against a prompt that is processed again although an upstream of the evacuated zone has
/// it in its cache.
#[rstest]
fn an_evacuated_upstream_is_still_a_source_of_copied_prompts() {
    let mut fleet = fleet();
    let session = Some(7);
    let Decision::Send {
        address, upstream, ..
    } = choose(&mut fleet, NOW, 0, session)
    else {
        panic!("it is sent");
    };
    let zone = fleet
        .upstream(&upstream)
        .expect("it is known")
        .entry
        .zone
        .clone();
    evacuate(&mut fleet, zone.as_str(), 11);
    let Decision::Send {
        source,
        upstream: other,
        ..
    } = choose(&mut fleet, NOW, 0, session)
    else {
        panic!("it is sent");
    };
    assert_ne!(other, upstream);
    assert_eq!(source, Some(address));
}

/// Guards against a retention that ends without a request or a change, and a refresh that never
/// happens.
#[rstest]
fn a_retained_evacuation_ends_in_time() {
    let mut fleet = fleet();
    evacuate(&mut fleet, "a", 11);
    fleet.replace(NOW, list(revision(1, 7), &[]));
    // The upstreams that the copy lacks are retained as well.
    assert_eq!(chosen(&mut fleet, NOW), ["b1", "b2"]);
    let end = NOW + RETENTION;
    fleet.expire(end);
    let stages: Vec<Stage> = stages(&fleet.take_milestones());
    assert_eq!(stages, [Stage::Evacuated, Stage::Ended]);
    assert_eq!(chosen(&mut fleet, end), ["a1", "b1"]);
}

fn stages(milestones: &[Milestone]) -> Vec<Stage> {
    milestones.iter().map(|milestone| milestone.stage).collect()
}

/// Guards against requests in flight that are not told apart from new ones, and against log lines
/// that are missing, repeated or wrong.
#[rstest]
fn milestones_tell_the_progress() {
    let mut fleet = fleet();
    let upstream = name::Upstream::from("a1");
    fleet.record_sent(NOW, &upstream);
    fleet.record_sent(NOW, &upstream);
    evacuate(&mut fleet, "a", 11);
    evacuate(&mut fleet, "a", 12);
    let expected = Milestone {
        zone: zone("a"),
        stage: Stage::Evacuated,
        revision: Revision::new(11),
        source: Source::Store,
        upstreams: 2,
        in_flight: 2,
    };
    assert_eq!(fleet.take_milestones(), [expected]);
    fleet.record_outcome(NOW, &upstream, Outcome::Served);
    assert_eq!(fleet.take_milestones(), []);
    let in_flight: Vec<u32> = fleet.drains().map(|(_, _, in_flight)| in_flight).collect();
    assert_eq!(in_flight, [1]);
    fleet.record_outcome(NOW, &upstream, Outcome::Served);
    assert_eq!(stages(&fleet.take_milestones()), [Stage::Drained]);
    end(&mut fleet, "a", 13);
    end(&mut fleet, "a", 14);
    assert_eq!(stages(&fleet.take_milestones()), [Stage::Ended]);
    assert_eq!(fleet.drains().count(), 0);
}

/// Guards against a peer that stays evacuated for ever, since the router that sends it the list of
/// upstreams retained the zone from before the write and the removal that it did not hear of.
#[rstest]
fn a_list_ends_at_peers_what_the_router_still_retains() {
    let mut first = roster(Revision::new(10), &[("a", Revision::new(5))]);
    let mut second = roster(revision(1, 7), &[]);
    first.merge(NOW, second.changes_since(NOW, first.revision()));
    second.evacuate(zone("a"), revision(1, 8));
    first.replace(NOW, list(revision(1, 9), &[]));
    second.merge(NOW, first.changes_since(NOW, second.revision()));
    let later = NOW + RETENTION;
    for roster in [&mut first, &mut second] {
        roster.expire(later);
        assert_eq!(evacuated(roster, later), Vec::<String>::new());
    }
}

/// Guards against a peer that states a retention without end.
#[rstest]
fn the_retention_that_a_peer_states_is_bounded() {
    let mut roster = roster(Revision::new(10), &[]);
    let delta = Delta {
        revision: Revision::new(11),
        evacuations: vec![Evacuation {
            zone: zone("a"),
            revision: Revision::new(11),
            keep_ms: Some(u64::MAX),
        }],
        ..Delta::default()
    };
    roster.merge(NOW, delta);
    assert_eq!(roster.next_expiry(), Some(NOW + RETENTION));
}

const ROUTERS: usize = 3;
const ZONES: [&str; 3] = ["a", "b", "c"];

/// What happens next.
#[derive(Clone, Debug)]
enum Step {
    /// The operators write or remove the key of a zone.
    Write { zone: usize, is_evacuated: bool },
    /// The store comes back from a copy this many writes old.
    Restore { lost: usize },
    /// A router lists the store.
    List { router: usize },
    /// A router that is at the store's era receives the next writes of its watch.
    Watch { router: usize, count: usize },
    /// A router answers another one; the message waits.
    Answer { from: usize, to: usize },
    /// A waiting message arrives; it may arrive again.
    Deliver { message: usize, again: bool },
}

fn step() -> impl Strategy<Value = Step> {
    let router = 0..ROUTERS;
    prop_oneof![
        4 => (0..ZONES.len(), any::<bool>())
            .prop_map(|(zone, is_evacuated)| Step::Write { zone, is_evacuated }),
        1 => (0..6_usize).prop_map(|lost| Step::Restore { lost }),
        2 => router.clone().prop_map(|router| Step::List { router }),
        4 => (router.clone(), 1..4_usize)
            .prop_map(|(router, count)| Step::Watch { router, count }),
        4 => (router.clone(), router).prop_map(|(from, to)| Step::Answer { from, to }),
        4 => (0..8_usize, any::<bool>())
            .prop_map(|(message, again)| Step::Deliver { message, again }),
    ]
}

/// A store of the keys of evacuations that can be restored from an earlier copy of itself.
#[derive(Default)]
struct Store {
    era: u64,
    /// Each write: the zone and whether its key was written or removed.
    writes: Vec<(usize, bool)>,
}

impl Store {
    fn revision(&self, number: usize) -> Revision {
        revision(self.era, number as u64)
    }

    /// The evacuated zones after the first `count` writes.
    fn evacuations(&self, count: usize) -> BTreeMap<name::Zone, Revision> {
        let mut zones = BTreeMap::new();
        for (number, (index, is_evacuated)) in (1..).zip(&self.writes[..count]) {
            let zone = zone(ZONES[*index]);
            if *is_evacuated {
                zones.insert(zone, self.revision(number));
            } else {
                zones.remove(&zone);
            }
        }
        zones
    }

    fn list_to(&self, roster: &mut Roster, now: Time) {
        let count = self.writes.len();
        let list = List {
            revision: self.revision(count),
            entries: Vec::new(),
            evacuations: self.evacuations(count),
        };
        roster.replace(now, list);
    }

    /// Sends the writes after a router's revision, if it has listed this era.
    fn watch_to(&self, roster: &mut Roster, count: usize) {
        let known = roster.revision();
        if roster.is_unsynced() || known.era != Era(self.era) {
            return;
        }
        let first = known.number as usize;
        let next = self.writes.iter().enumerate().skip(first).take(count);
        for (index, (zone_index, is_evacuated)) in next {
            let (zone, at) = (zone(ZONES[*zone_index]), self.revision(index + 1));
            if *is_evacuated {
                roster.evacuate(zone, at);
            } else {
                roster.end_evacuation(zone, at);
            }
        }
    }
}

proptest! {
    /// Guards against a router that lacks an evacuation of the revision that it says it has, or has
    /// one that ended, whatever the order in which lists, changes and messages of peers arrive.
    #[test]
    fn a_router_has_the_evacuations_of_its_revision(
        steps in proptest::collection::vec(step(), 1..80),
    ) {
        let mut store = Store::default();
        let mut rosters: Vec<Roster> = vec![Roster::default(); ROUTERS];
        let mut messages: Vec<(usize, Delta)> = Vec::new();
        for (index, step) in (0..).zip(steps) {
            let now = Time::from_millis(index * 100);
            match step {
                Step::Write { zone, is_evacuated } => store.writes.push((zone, is_evacuated)),
                Step::Restore { lost } => {
                    store.era += 1;
                    let kept = store.writes.len().saturating_sub(lost);
                    store.writes.truncate(kept);
                }
                Step::List { router } => store.list_to(&mut rosters[router], now),
                Step::Watch { router, count } => store.watch_to(&mut rosters[router], count),
                Step::Answer { from, to } => {
                    let delta = rosters[from].changes_since(now, rosters[to].revision());
                    messages.push((to, delta));
                }
                Step::Deliver { message, again } if message < messages.len() => {
                    let (to, delta) = messages[message].clone();
                    if !again {
                        messages.remove(message);
                    }
                    rosters[to].merge(now, delta);
                }
                Step::Deliver { .. } => {}
            }
            // Long after any retention, without a change of the state itself.
            let later = Time::from_millis(index * 100 + 60_000);
            for roster in rosters.iter().filter(|roster| !roster.is_unsynced()) {
                let known = roster.revision();
                if known.era != Era(store.era) {
                    continue;
                }
                let expected = store.evacuations(known.number as usize);
                let expected: Vec<String> = expected.keys().map(name::Zone::to_string).collect();
                prop_assert_eq!(evacuated(roster, later), expected.clone());
                let now_evacuated = evacuated(roster, now);
                prop_assert!(expected.iter().all(|zone| now_evacuated.contains(zone)));
            }
        }
    }
}

/// Guards against an evacuation whose end goes unnoticed, so that its cold upstreams are not limited,
/// if the check of home regions is the first to notice that the time is over.
#[rstest]
fn the_end_of_a_retained_evacuation_is_recorded_by_each_check() {
    let mut fleet = fleet();
    let evacuated = list(revision(0, 20), &[("a", revision(0, 12))]);
    fleet.replace(NOW, evacuated);
    fleet.replace(NOW, list(revision(1, 5), &[]));
    let _begun = fleet.take_milestones();
    let later = NOW + Duration::from_secs(3);
    let service = name::Service::from("letters");
    assert_eq!(
        fleet.refuse_at_home(later, &service, &Homes::default()),
        None
    );
    let stages: Vec<Stage> = fleet
        .take_milestones()
        .iter()
        .map(|milestone| milestone.stage)
        .collect();
    assert_eq!(stages, [Stage::Ended]);
}

/// Guards against upstreams that are loaded beyond the bound while others of their service are
/// evacuated and idle: these count for the mean. If all others are beyond it, sessions are not
/// refused.
#[rstest]
#[case(6, 0, false)]
#[case(20, 20, true)]
fn evacuated_upstreams_count_for_the_load_bound(
    #[case] first_load: u32,
    #[case] second_load: u32,
    #[case] stays: bool,
) {
    let mut fleet = fleet();
    evacuate(&mut fleet, "a", 11);
    let session = Some(7);
    let sent = |decision| match decision {
        Decision::Send { upstream, .. } => upstream,
        Decision::Refuse { .. } => panic!("two upstreams are left"),
    };
    let first = sent(choose(&mut fleet, NOW, 0, session));
    let second = ["b1", "b2"].map(name::Upstream::from);
    let second = second.into_iter().find(|id| *id != first);
    let second = second.expect("one of two is first");
    let report = |running| Report {
        running,
        ..Report::default()
    };
    fleet.record_load(NOW, &first, report(first_load));
    fleet.record_load(NOW, &second, report(second_load));
    let later = NOW + Duration::from_millis(10);
    let chosen = sent(choose(&mut fleet, later, 0, session));
    assert_eq!(chosen == first, stays);
}
