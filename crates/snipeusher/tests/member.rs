//! Gossip membership over a simulated network.

mod fleet;

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::EPOCH_MS;
use fleet::Fleet;
use fleet::engine;
use fleet::place;
use rstest::rstest;
use snipeusher::config::Digest;
use snipeusher::config::Exchange;
use snipeusher::config::Span;
use snipeusher::kv::Revision;
use snipeusher::load;
use snipeusher::load::Work;
use snipeusher::member::Event;
use snipeusher::name;
use snipeusher::name::Incarnation;
use snipeusher::upstream::Phase;
use snipeusher::wire::Refusal;

const SMALL_BUDGET_BYTES: u32 = 4_000;
const TARGET_BUDGET_BYTES: u32 = 10_000;

/// Routers of a fleet too large for one digest to hold, but small enough for each run of CI; the
/// bench `control` measures 370.
const LARGE_FLEET: usize = 100;

const MINUTE: Duration = Duration::from_mins(1);

/// Time within which probes detect the departures of a rack one after the other.
const DETECTION_TIME: Duration = Duration::from_secs(1);

/// Time limit for spreading a change; the rest of the 3 s limit is for the probe that detects it.
const SPREAD_MAX: Duration = Duration::from_secs(2);

fn small_fleet(seed: u64) -> Fleet {
    Fleet::new(8, 3, 3, SMALL_BUDGET_BYTES, seed)
}

/// Reports the state of engines to every router, as if gossip had spread it already.
fn report_engines(fleet: &mut Fleet, count: usize) -> Vec<snipeusher::upstream::State> {
    let engines: Vec<_> = (0..count)
        .map(|index| engine(index, &place(index % 3, 3)))
        .collect();
    for index in 0..fleet.nodes.len() {
        for state in &engines {
            let state = state.clone();
            fleet.event(index, Event::Status { state, sequence: 1 });
        }
    }
    engines
}

/// Guards against a departure that one router observes and that does not reach all others within
/// the 3 s limit when frames are lost.
#[rstest]
#[case::small(8, 3, 3, SMALL_BUDGET_BYTES, 12, 100)]
#[case::target(370, 17, 3, TARGET_BUDGET_BYTES, 30, 1)]
fn departure_reaches_every_router_in_time(
    #[case] routers: usize,
    #[case] zones: usize,
    #[case] per_region: usize,
    #[case] budget: u32,
    #[case] engines: usize,
    #[case] seeds: u64,
) {
    let mut worst = Duration::ZERO;
    let factor = std::env::var("SNIPEUSHER_SEED_FACTOR").ok();
    let seeds = seeds * factor.and_then(|text| text.parse().ok()).unwrap_or(1);
    for seed in 0..seeds {
        let mut fleet = Fleet::new(routers, zones, per_region, budget, seed);
        fleet.network.loss = 0.3;
        fleet.run(Duration::from_secs(1));
        let engines = report_engines(&mut fleet, engines);
        fleet.run(Duration::from_secs(5));
        let mut state = engines[seed as usize % engines.len()].clone();
        state.phase = Phase::Leaving;
        let name = state.name.clone();
        let observer = seed as usize * 5 % routers;
        fleet.event(observer, Event::Status { state, sequence: 2 });
        let spread = |fleet: &Fleet| fleet.sending_to(&name).is_empty();
        let elapsed = fleet.run_until(SPREAD_MAX, spread);
        let elapsed = elapsed.unwrap_or_else(|| {
            panic!(
                "seed {seed}: still sending after {SPREAD_MAX:?}: {:?}",
                fleet.sending_to(&name)
            )
        });
        worst = worst.max(elapsed);
    }
    println!("{routers} routers, 30% loss, {seeds} seeds: slowest spread {worst:?}");
}

/// Guards against departures that displace each other from frames when a whole rack leaves at once.
#[rstest]
#[case::small(8, SMALL_BUDGET_BYTES, 12)]
#[case::larger(120, TARGET_BUDGET_BYTES, 40)]
fn departures_of_a_whole_rack_spread_in_time(
    #[case] routers: usize,
    #[case] budget: u32,
    #[case] engines: usize,
) {
    let mut fleet = Fleet::new(routers, 3, 3, budget, 1);
    fleet.network.loss = 0.1;
    fleet.run(Duration::from_secs(1));
    let engines = report_engines(&mut fleet, engines);
    fleet.run(Duration::from_secs(2));
    for mut state in engines.clone() {
        state.phase = Phase::Leaving;
        fleet.event(0, Event::Status { state, sequence: 2 });
        fleet.run(DETECTION_TIME / engines.len() as u32);
    }
    let spread = |fleet: &Fleet| {
        let mut all = engines.iter();
        all.all(|state| fleet.sending_to(&state.name).is_empty())
    };
    let elapsed = fleet.run_until(SPREAD_MAX, spread);
    println!(
        "{routers} routers, {} upstreams leave, 10% loss: {elapsed:?}",
        engines.len()
    );
    assert!(elapsed.is_some());
}

/// Guards against an outdated host list, which still shows an upstream as live, undoing its
/// departure.
#[test]
fn outdated_host_list_does_not_undo_a_departure() {
    let mut fleet = small_fleet(2);
    let engines = report_engines(&mut fleet, 3);
    fleet.run(Duration::from_secs(2));
    let mut state = engines[0].clone();
    state.phase = Phase::Leaving;
    fleet.event(0, Event::Status { state, sequence: 2 });
    fleet.run(SPREAD_MAX);
    let list = fleet.list(&engines, &BTreeSet::new());
    for index in 0..8 {
        fleet.event(index, Event::HostList(list.clone()));
    }
    fleet.run(Duration::from_secs(20));
    assert_eq!(fleet.sending_to(&engines[0].name), Vec::<usize>::new());
    let mut state = engines[0].clone();
    state.incarnation = Incarnation(state.incarnation.0 + 1);
    fleet.event(3, Event::Status { state, sequence: 0 });
    fleet.run(Duration::from_secs(20));
    assert_eq!(
        fleet.sending_to(&engines[0].name).len(),
        8,
        "the next incarnation is used"
    );
}

/// Guards against a departure of an earlier incarnation, still in the host list, that is applied to
/// a new incarnation.
#[test]
fn departure_older_than_the_incarnation_is_ignored() {
    let mut fleet = small_fleet(3);
    let engines = report_engines(&mut fleet, 1);
    let mut list = fleet.list(&engines, &BTreeSet::from([engines[0].name.clone()]));
    list.last_mut().unwrap().since_ms = engines[0].incarnation.0 - 1;
    fleet.event(0, Event::HostList(list.clone()));
    assert_eq!(fleet.sending_to(&engines[0].name).len(), 8);
    list.last_mut().unwrap().since_ms = engines[0].incarnation.0;
    fleet.event(0, Event::HostList(list));
    fleet.run(SPREAD_MAX);
    assert_eq!(fleet.sending_to(&engines[0].name).len(), 0);
}

/// Guards against suspecting a router because its frames do not reach one of its peers.
#[test]
fn one_way_partition_between_two_routers_raises_no_suspicion() {
    let mut fleet = small_fleet(4);
    fleet.network.cuts.insert((0, 3));
    fleet.run(MINUTE);
    for node in &fleet.nodes[1..] {
        let peer = &node.member.peers()["router-0"];
        assert!(!peer.suspect, "{} suspects", node.settings.host);
    }
}

/// Guards against false suspicions in a large fleet, of which a digest holds only a small part, and
/// against a dead router that still counts as alive.
#[test]
fn heartbeats_spread_in_a_large_fleet() {
    let mut fleet = Fleet::new(LARGE_FLEET, 17, 3, TARGET_BUDGET_BYTES, 5);
    fleet.network.loss = 0.05;
    fleet.run(MINUTE / 2);
    let suspects = |fleet: &Fleet, host: &str| {
        let nodes = fleet.nodes.iter().filter(|node| node.up);
        let suspecting = nodes.filter(|node| {
            let peer = node.member.peers().get(host);
            peer.is_some_and(|peer| peer.suspect)
        });
        suspecting.count()
    };
    let peers = fleet
        .nodes
        .iter()
        .flat_map(|node| node.member.peers().values());
    let longest = peers.map(|peer| fleet.now.since(peer.last_heartbeat)).max();
    println!("longest silence of a live router {longest:?}");
    let false_suspicions: usize = (0..LARGE_FLEET)
        .map(|index| suspects(&fleet, &format!("router-{index}")))
        .sum();
    println!(
        "{LARGE_FLEET} routers after 30 s: {false_suspicions} false suspicions of {}",
        LARGE_FLEET * (LARGE_FLEET - 1)
    );
    assert_eq!(false_suspicions, 0);
    fleet.nodes[7].up = false;
    fleet.run(MINUTE / 2);
    assert_eq!(suspects(&fleet, "router-7"), LARGE_FLEET - 1);
}

/// Guards against a router that suspects its peers after its own pause, and against a paused router
/// that is never suspected.
#[test]
fn paused_router_is_suspected_and_suspects_no_peers() {
    let mut fleet = small_fleet(6);
    fleet.run(Duration::from_secs(20));
    fleet.pause(2);
    fleet.run(Duration::from_secs(30));
    assert!(fleet.nodes[0].member.peers()["router-2"].suspect);
    fleet.resume(2);
    fleet.run(Duration::from_millis(100));
    let peers = fleet.nodes[2].member.peers().values();
    assert_eq!(peers.filter(|peer| peer.suspect).count(), 0);
    fleet.run(Duration::from_secs(20));
    assert!(!fleet.nodes[0].member.peers()["router-2"].suspect);
}

/// Guards against a merge that exceeds the byte budget or never completes, after a zone was
/// partitioned for ten minutes while upstreams left on both sides.
#[test]
fn partitioned_zone_merges_within_the_byte_budget() {
    let mut fleet = small_fleet(7);
    let engines = report_engines(&mut fleet, 12);
    fleet.run(Duration::from_secs(10));
    fleet.partition(&BTreeSet::from([0, 3, 6]));
    fleet.run(5 * MINUTE);
    for (observer, index) in [(0, 0), (1, 1), (3, 3), (4, 4)] {
        let mut state = engines[index].clone();
        state.phase = Phase::Leaving;
        fleet.event(observer, Event::Status { state, sequence: 2 });
    }
    fleet.run(5 * MINUTE);
    assert!(fleet.nodes[0].member.peers()["router-1"].suspect);
    assert!(!fleet.nodes[0].member.peers()["router-3"].suspect);
    assert_eq!(fleet.sending_to(&engines[0].name), [1, 2, 4, 5, 7]);
    fleet.network.cuts.clear();
    let merged = |fleet: &Fleet| {
        let departed = [0, 1, 3, 4].iter();
        let spread = departed
            .map(|index| &engines[*index].name)
            .all(|name| fleet.sending_to(name).is_empty());
        let mut nodes = fleet.nodes.iter();
        spread && nodes.all(|node| node.member.peers().values().all(|peer| !peer.suspect))
    };
    // Meanwhile, the harness checks the byte budget of every second.
    let elapsed = fleet.run_until(Duration::from_secs(30), merged);
    println!("merged {elapsed:?} after healing");
    assert!(elapsed.is_some());
}

/// Guards against a restarted router whose frames are taken for those of its earlier incarnation:
/// its clock may show the same or an earlier time after the restart.
#[rstest]
#[case::later(EPOCH_MS + 20_000)]
#[case::equal(EPOCH_MS)]
#[case::earlier(EPOCH_MS - 5_000)]
fn restarted_router_raises_its_incarnation(#[case] started_ms: u64) {
    let mut fleet = small_fleet(8);
    fleet.run(Duration::from_secs(20));
    fleet.restart(2, started_ms);
    let list = fleet.list(&[], &BTreeSet::new());
    fleet.event(2, Event::HostList(list));
    fleet.run(Duration::from_secs(10));
    let incarnation = fleet.nodes[2].member.incarnation();
    assert!(incarnation > Incarnation(EPOCH_MS));
    for node in fleet
        .nodes
        .iter()
        .filter(|node| node.settings.host.as_str() != "router-2")
    {
        let peer = &node.member.peers()["router-2"];
        assert_eq!((peer.incarnation, peer.suspect), (incarnation, false));
    }
}

/// Guards against routers that discover no peers without the host list.
#[test]
fn seeds_suffice_to_discover_the_fleet() {
    let mut fleet = small_fleet(9);
    for index in 0..8 {
        fleet.nodes[index].settings.seeds = vec!["10.0.0.0:80".to_owned()];
        fleet.restart(index, EPOCH_MS + 1);
    }
    fleet.run(Duration::from_secs(20));
    for node in &fleet.nodes {
        assert_eq!(node.member.peers().len(), 7, "{}", node.settings.host);
    }
}

/// Guards against shares that never expire, and against a digest that leaves out the largest load.
#[test]
fn shares_report_the_largest_load_and_expire() {
    let mut fleet = small_fleet(10);
    fleet.run(Duration::from_secs(5));
    let in_flight = (0..200_u64).map(|index| {
        let name = name::Upstream::from(format!("engine-{index}"));
        (name, Work(if index == 77 { 1_000_000 } else { index }))
    });
    let share = load::Share {
        in_flight: in_flight.collect(),
        running: [("letters".into(), Work(7))].into(),
        waiting: [("reviews".into(), Work(9))].into(),
    };
    fleet.event(0, Event::Share(share));
    fleet.run(Duration::from_secs(20));
    for node in &fleet.nodes[1..] {
        let share = &node.shares["router-0"];
        assert_eq!(share.in_flight.get("engine-77"), Some(&Work(1_000_000)));
        assert!(share.in_flight.len() < 200);
        assert_eq!(share.running.get("letters"), Some(&Work(7)));
        assert_eq!(share.waiting.get("reviews"), Some(&Work(9)));
    }
    fleet.nodes[0].up = false;
    fleet.run(Duration::from_secs(15));
    for node in &fleet.nodes[1..] {
        assert_eq!(node.shares["router-0"], load::Share::default());
    }
}

/// Guards against an undetected difference of configurations, and against an exchange that never
/// completes because some of its many frames are lost.
#[test]
fn exchange_of_many_frames_completes_when_repeated() {
    let mut fleet = small_fleet(11);
    fleet.network.loss = 0.1;
    fleet.run(Duration::from_secs(5));
    let digest = Digest {
        highest: Revision::new(7),
        hash: 7,
        ready: true,
    };
    fleet.event(0, Event::Digest(digest));
    fleet.run(Duration::from_secs(10));
    for node in &fleet.nodes[1..] {
        assert_eq!(node.digests["router-0"], digest, "{}", node.settings.host);
    }
    let spans = (0..300).map(|number| Span {
        above: Revision::new(number),
        upto: Revision::new(number + 1),
        hash: u64::MAX - number,
    });
    let exchange = Exchange::Parts(spans.collect());
    let mut rounds = 0;
    while fleet.nodes[7].exchanges.is_empty() && rounds < 20 {
        rounds += 1;
        fleet.event(0, Event::Exchange("router-7".into(), exchange.clone()));
        fleet.run(Duration::from_secs(5));
    }
    println!("300 spans arrived in {} s with 10% loss", 5 * rounds);
    let host = name::Host::from("router-0");
    assert_eq!(fleet.nodes[7].exchanges, [(host, exchange)]);
}

/// Guards against an upstream with more variants than a frame holds that keeps others from being
/// sent.
#[test]
fn oversized_upstream_does_not_block_the_others() {
    let mut fleet = small_fleet(12);
    let engines: Vec<_> = (0..12).map(|index| engine(index, &place(0, 3))).collect();
    for mut state in engines {
        if state.name.as_str() == "engine-5" {
            let snipeusher::upstream::Kind::Engine(ready) = &mut state.kind else {
                unreachable!("made as an engine");
            };
            let variant = ready.first().unwrap().clone();
            ready.extend((0..300).map(|number| {
                let mut variant = variant.clone();
                variant.adapter = Some(format!("adapter-{number}").into());
                variant
            }));
        }
        fleet.event(0, Event::Status { state, sequence: 1 });
    }
    fleet.run(MINUTE);
    for node in &fleet.nodes[1..] {
        assert_eq!(node.states.len(), 11, "{}", node.settings.host);
    }
}

/// Guards against duplicate frames that are accepted or refused for another reason.
#[test]
fn duplicate_frames_are_refused_and_counted() {
    let mut fleet = small_fleet(13);
    fleet.network.duplication = 1.0;
    fleet.run(Duration::from_secs(10));
    for node in &fleet.nodes {
        let refusals = node.member.refusals();
        assert!(refusals[&Refusal::Replay] > 5, "{refusals:?}");
        assert_eq!(refusals.len(), 1);
    }
}
