//! Engines of two software versions in one service: a stream holds events of one version only,
//! within one response and over all requests by which a caller takes it up.

mod common;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use actix_rt::time::sleep;
use common::Node;
use common::builds::Engines;
use common::builds::begin;
use common::builds::take_up;
use common::builds::take_up_unnamed;
use common::caller::call;
use common::caller::post;
use common::digest;
use common::engine::Act;
use common::engine::Engine;
use common::exchange;
use common::introduce_as;
use common::start;
use common::start_in;
use common::until;
use common::zone;
use rstest::rstest;
use snipeusher::fleet::Regions;
use snipeusher::name;
use snipeusher::stream::Id;
use snipeusher::stream::Origin;
use snipeusher::stream::Origins;
use snipeusher::stream::group;
use snipeusher::stream::holders;
use snipeusher_fakes::address::free_address;

/// Time for which the route lets a stream last; from then on a router infers the only version.
const INFERENCE_TIME: Duration = Duration::from_millis(4_200);
/// Streams that each test begins, so that no test passes by a lucky choice of upstreams.
const STREAMS: usize = 8;
/// Time within which routers of a zone learn which version began a stream.
const SPREAD_TIME: Duration = Duration::from_millis(600);

/// Guards against a router that resumes a broken stream at another software version.
#[actix_rt::test]
async fn a_response_holds_events_of_one_build() {
    let engines = Engines::start(Act::Close).await;
    let (nodes, _store) = zone(1, &engines.with_builds()).await;
    for index in 0..STREAMS {
        let id = format!("r{index}");
        let answered = call(nodes[0].front, &post("/chat/", &id, "x")).await;
        assert!(answered.complete, "stream {index}");
        let builds = engines.builds(&id);
        assert_eq!(builds.len(), 2, "stream {index}");
        assert_eq!(builds[0], builds[1], "stream {index}");
    }
}

/// Guards against a caller that takes up a stream and gets the rest from another software version,
/// whichever router it reaches.
#[rstest]
#[case(1)]
#[case(3)]
#[case(6)]
#[actix_rt::test]
async fn a_stream_that_is_taken_up_holds_events_of_one_build(#[case] routers: usize) {
    let engines = Engines::start(Act::Hang).await;
    let (nodes, _store) = zone(routers, &engines.with_builds()).await;
    for index in 0..STREAMS {
        begin(&nodes[0], &format!("r{index}-a")).await;
    }
    sleep(SPREAD_TIME).await;
    for index in 0..STREAMS {
        let node = &nodes[index % routers];
        let answered = take_up(node, &format!("r{index}-b"), &format!("r{index}-a")).await;
        assert_eq!((answered.status, answered.complete), (200, true));
        let builds = engines.builds(&format!("r{index}-"));
        assert_eq!(builds.len(), 2, "stream {index}");
        assert_eq!(builds[0], builds[1], "stream {index}");
    }
}

/// Guards against a stream of unknown origin that goes on at a version picked by chance.
#[actix_rt::test]
async fn a_stream_of_unknown_build_is_refused_while_two_builds_serve() {
    let engines = Engines::start(Act::Hang).await;
    let (nodes, _store) = zone(2, &engines.with_builds()).await;
    let answered = take_up(&nodes[0], "r1-b", "r1-a").await;
    assert_eq!(answered.status, 503);
    assert!(answered.header("retry-after").is_some());
    assert_eq!(engines.builds("r1"), Vec::<&str>::new());
}

/// Guards against streams that cannot be taken up since they began before the second version
/// appeared, or at a router whose successor has just started.
#[actix_rt::test]
async fn streams_of_one_build_go_on_when_a_second_appears() {
    let engines = Engines::start(Act::Hang).await;
    let [(first, _), (second, _), (third, _), (fourth, _)] = engines.with_builds();
    let (nodes, store) = zone(3, &[(first, "v1"), (second, "v1")]).await;
    for index in 0..STREAMS {
        begin(&nodes[0], &format!("r{index}-a")).await;
    }
    store.upstream_of_build("new0", "letters", third.address, "ready", "v2");
    store.upstream_of_build("new1", "letters", fourth.address, "ready", "v2");
    sleep(2 * SPREAD_TIME).await;
    for index in 0..STREAMS {
        let node = &nodes[1 + index % 2];
        let answered = take_up(node, &format!("r{index}-b"), &format!("r{index}-a")).await;
        assert_eq!((answered.status, answered.complete), (200, true));
        assert_eq!(engines.builds(&format!("r{index}-")), ["v1", "v1"]);
    }
}

/// Lists engines of a second version at one router only, which its peers do not hear of.
fn add_second_build(node: &Node, engines: [&Engine; 2]) {
    let now = node.shared.now();
    let mut fleet = node.shared.fleet.borrow_mut();
    for (id, engine) in ["new0", "new1"].into_iter().zip(engines) {
        let known = fleet.roster().get(&"e0".into()).cloned();
        let mut entry = known.expect("it is listed");
        entry.id = id.into();
        entry.address = engine.address;
        entry.build = "v2".into();
        fleet.upsert(now, entry);
    }
}

/// Guards against a stream that joins the only version that a router knows, although a peer which
/// has no record of the stream knows two.
#[rstest]
#[case::named(true)]
#[case::unnamed(false)]
#[actix_rt::test]
async fn a_router_that_lags_behind_its_peers_joins_no_stream(#[case] is_named: bool) {
    let engines = Engines::start(Act::Hang).await;
    let [_, _, (third, _), (fourth, _)] = engines.with_builds();
    let store = engines.store_of(&["v1"]);
    let first = start("host-1", &store, Vec::new()).await;
    let client = store.other_client();
    let second = start("host-2", &client, vec![first.control]).await;
    until("the routers know each other", || {
        let nodes = [&first, &second];
        nodes
            .iter()
            .all(|node| node.shared.is_loaded() && node.shared.fleet.borrow().routers() == 2)
    })
    .await;
    sleep(INFERENCE_TIME).await;
    client.silence(true);
    add_second_build(&first, [third, fourth]);
    let answered = if is_named {
        take_up(&second, "r1-b", "r1-a").await
    } else {
        take_up_unnamed(&second, "r1-b").await
    };
    assert_eq!(answered.status, 503);
    assert_eq!(engines.builds("r1"), Vec::<&str>::new());
}

/// Guards against a stream that joins the only version in an outdated list of upstreams, at a router
/// that reaches no peer but could read the list anew.
#[rstest]
#[case::named(true)]
#[case::unnamed(false)]
#[actix_rt::test]
async fn a_router_with_an_outdated_list_joins_no_stream(#[case] is_named: bool) {
    let engines = Engines::start(Act::Hang).await;
    let store = engines.store_of(&["v1"]);
    let node = start("host-1", &store, vec![free_address()]).await;
    until("it is ready", || node.shared.is_ready()).await;
    sleep(INFERENCE_TIME).await;
    store.hold_changes(true);
    engines.list(&store, "v2");
    let answered = if is_named {
        take_up(&node, "r1-b", "r1-a").await
    } else {
        take_up_unnamed(&node, "r1-b").await
    };
    assert_eq!(answered.status, 503);
    assert_eq!(engines.builds("r1"), Vec::<&str>::new());
}

/// Guards against a stream whose version is taken from a peer that has not heard of the second
/// version yet, although the asking router has.
#[actix_rt::test]
async fn a_peer_that_lags_behind_does_not_decide_the_build() {
    let engines = Engines::start(Act::Hang).await;
    let [(first, _), (second, _), (third, _), (fourth, _)] = engines.with_builds();
    let (nodes, _store) = zone(2, &[(first, "v1"), (second, "v1")]).await;
    sleep(INFERENCE_TIME).await;
    add_second_build(&nodes[0], [third, fourth]);
    let answered = take_up(&nodes[0], "r1-b", "r1-a").await;
    assert_eq!(answered.status, 503);
    assert_eq!(engines.builds("r1"), Vec::<&str>::new());
    assert_eq!(take_up(&nodes[1], "r2-b", "r2-a").await.status, 200);
}

/// Guards against a stream that joins the only version known to the routers of a zone which is cut
/// off from the other zones and the store, where upstreams of a second one may have joined, and
/// against one that is refused although the store or a router of another zone answers.
#[rstest]
#[case::cut_off(false, false, 503)]
#[case::the_store_answers(true, false, 200)]
#[case::another_zone_answers(false, true, 200)]
#[actix_rt::test]
async fn a_zone_that_is_cut_off_infers_no_version(
    #[values(true, false)] is_named: bool,
    #[case] store_answers: bool,
    #[case] other_zone_answers: bool,
    #[case] status: u16,
) {
    let engines = Engines::start(Act::Hang).await;
    let [(first, _), (second, _), ..] = engines.with_builds();
    let (nodes, store) = zone(2, &[(first, "v1"), (second, "v1")]).await;
    let other_zone = name::Zone::from("there");
    let regions = Regions::default();
    let other = start_in(
        "host-3",
        &store.other_client(),
        Vec::new(),
        "there",
        regions,
    )
    .await;
    until("the upstreams are known", || other.shared.is_loaded()).await;
    sleep(INFERENCE_TIME).await;
    let address = if other_zone_answers {
        other.control
    } else {
        free_address()
    };
    let host = name::Host::from("host-3");
    exchange(&nodes[0], &digest(&other, host, other_zone, address)).await;
    store.silence(!store_answers);
    let answered = if is_named {
        take_up(&nodes[0], "r1-b", "r1-a").await
    } else {
        take_up_unnamed(&nodes[0], "r1-b").await
    };
    assert_eq!(answered.status, status);
}

/// Guards against a stream of a new version that is known to its router alone when its caller
/// receives the first event: other routers would take it for one of the version before.
#[actix_rt::test]
async fn a_stream_of_a_new_version_is_recorded_before_its_first_event() {
    let engines = Engines::start(Act::Hang).await;
    let [(first, _), (second, _), (third, _), (fourth, _)] = engines.with_builds();
    let (nodes, store) = zone(3, &[(first, "v1"), (second, "v1")]).await;
    store.upstream_of_build("new0", "letters", third.address, "ready", "v2");
    store.upstream_of_build("new1", "letters", fourth.address, "ready", "v2");
    until("the routers know both versions", || {
        let count = |node: &Node| node.shared.fleet.borrow().upstreams().len();
        nodes.iter().all(|node| count(node) == 4)
    })
    .await;
    let mut checked = 0;
    for index in 0..4 * STREAMS {
        let id = format!("r{index}-");
        begin(&nodes[0], &id).await;
        let stream = Id::of_request(&id);
        let knows = |node: &&Node| node.shared.origins.borrow().get(stream).is_some();
        let known_at = nodes.iter().filter(knows).count();
        if engines.builds(&id) == ["v2"] {
            checked += 1;
            assert!(known_at > 1, "stream {index} is known to its router alone");
        }
    }
    assert!(checked > 0, "no stream began at the new version");
}

/// Guards against a stream that began just before a second version appeared and is refused since
/// its router is lost, and against one that joins the version before although a router which
/// answers has not noticed the second version, or the store does not answer.
#[rstest]
#[case::all_know_of_it(false, true, 200)]
#[case::one_lags_behind(true, true, 503)]
#[case::the_store_is_silent(false, false, 503)]
#[actix_rt::test]
async fn a_stream_without_a_record_goes_on_only_if_all_agree(
    #[case] lags: bool,
    #[case] store_answers: bool,
    #[case] status: u16,
) {
    let engines = Engines::start(Act::Hang).await;
    let [(first, _), (second, _), (third, _), (fourth, _)] = engines.with_builds();
    let (nodes, store) = zone(3, &[(first, "v1"), (second, "v1")]).await;
    store.silence(true);
    let knowing = if lags { &nodes[..2] } else { &nodes };
    for node in knowing {
        add_second_build(node, [third, fourth]);
    }
    store.silence(!store_answers);
    // Nobody has begun this stream, as if its router were lost.
    let answered = take_up(&nodes[0], "r1-b", "r1-a").await;
    assert_eq!(answered.status, status);
    let expected: &[&str] = if status == 200 { &["v1"] } else { &[] };
    assert_eq!(engines.builds("r1"), expected);
    assert_eq!(take_up_unnamed(&nodes[0], "r2-b").await.status, 503);
}

/// What becomes of the announcement of a stream at a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Peer {
    /// Nothing listens at its address.
    Refuses,
    /// It accepts connections and never answers.
    Silent,
}

impl Peer {
    /// Its address, and what has to be kept for as long as it is used.
    fn start(self) -> (SocketAddr, Option<TcpListener>) {
        if self == Self::Refuses {
            return (free_address(), None);
        }
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        (listener.local_addr().expect("it is bound"), Some(listener))
    }
}

/// Guards against a stream of a new version that is known to its router alone, since the router is
/// cut off from its peers: if it is lost, the others take the stream for one of the version before.
#[rstest]
#[actix_rt::test]
async fn a_stream_that_no_peer_acknowledges_begins_at_the_version_before(
    #[values(Peer::Refuses, Peer::Silent)] peer: Peer,
) {
    let engines = Engines::start(Act::Hang).await;
    let [(first, _), (second, _), ..] = engines.with_builds();
    let (nodes, store) = zone(1, &[(first, "v1"), (second, "v1")]).await;
    let node = &nodes[0];
    let (address, _listener) = peer.start();
    introduce_as(node, "host-2".into(), address).await;
    engines.list(&store, "v2");
    until("the router knows both versions", || {
        node.shared.fleet.borrow().upstreams().len() == 4
    })
    .await;
    let mut discarded = 0;
    for index in 0..4 * STREAMS {
        let id = format!("r{index}-");
        begin(node, &id).await;
        let builds = engines.builds(&id);
        assert!(builds.contains(&"v1"), "stream {index} ran at {builds:?}");
        discarded += builds.len() - 1;
    }
    // The peer is not tried again until a digest of it arrives.
    assert!(discarded <= 1, "{discarded} streams ran twice");
}

/// Guards against streams that are refused for lack of a record, although no upstream of the version
/// before is left at which others could resume them.
#[actix_rt::test]
async fn a_stream_that_no_peer_acknowledges_begins_at_the_only_version_left() {
    let engines = Engines::start(Act::Hang).await;
    let [(first, _), (second, _), ..] = engines.with_builds();
    let (nodes, store) = zone(1, &[(first, "v1"), (second, "v1")]).await;
    let node = &nodes[0];
    introduce_as(node, "host-2".into(), free_address()).await;
    engines.list(&store, "v2");
    engines.unlist(&store, "v1");
    until("the version before has left", || {
        let fleet = node.shared.fleet.borrow();
        let mut builds = fleet
            .upstreams()
            .iter()
            .map(|upstream| &upstream.entry.build);
        builds.len() == 2 && builds.all(|build| build.as_str() == "v2")
    })
    .await;
    for index in 0..STREAMS {
        let id = format!("r{index}-");
        begin(node, &id).await;
        assert_eq!(engines.builds(&id), ["v2"], "stream {index}");
    }
}

/// A stream whose holders among some hosts are all in zones other than `here`, or not.
fn stream_held(hosts: &[(name::Host, name::Zone)], here: &str, is_elsewhere: bool) -> String {
    let mut ids = (0..).map(|index| format!("held-{index}"));
    let id = ids.find(|id| {
        let routers = hosts.iter().map(|(host, zone)| (host, zone));
        let holders = holders(Id::of_request(id), routers);
        let is_here = |host: &name::Host| {
            let mut hosts = hosts.iter();
            hosts.any(|(other, zone)| other == host && zone.as_str() == here)
        };
        holders.iter().all(|host| !is_here(host)) == is_elsewhere
    });
    id.expect("one of them has such holders")
}

/// Guards against a stream of a new version that goes on at the version before, since the peers that
/// have a record of it are lost and those that answer are none of them.
#[rstest]
#[case::all_holders_are_lost(true, 503)]
#[case::one_answers(false, 200)]
#[actix_rt::test]
async fn peers_that_would_have_no_record_presume_nothing(
    #[case] are_lost: bool,
    #[case] status: u16,
) {
    let engines = Engines::start(Act::Hang).await;
    let [(first, _), (second, _), (third, _), (fourth, _)] = engines.with_builds();
    let (nodes, store) = zone(3, &[(first, "v1"), (second, "v1")]).await;
    let mut hosts: Vec<(name::Host, name::Zone)> = nodes
        .iter()
        .map(|node| (node.shared.settings.host.clone(), "here".into()))
        .collect();
    for zone in ["there", "far", "farther"] {
        let host = name::Host::from(format!("lost-{zone}"));
        let zone = name::Zone::from(zone);
        for node in &nodes {
            let lost = digest(node, host.clone(), zone.clone(), free_address());
            exchange(node, &lost).await;
        }
        hosts.push((host, zone));
    }
    store.silence(true);
    for node in &nodes {
        add_second_build(node, [third, fourth]);
    }
    store.silence(false);
    let stream = stream_held(&hosts, "here", are_lost);
    let answered = take_up(&nodes[0], "r1-b", &stream).await;
    assert_eq!(answered.status, status);
    let expected: &[&str] = if are_lost { &[] } else { &["v1"] };
    assert_eq!(engines.builds("r1"), expected);
}

/// Guards against a stream that was announced and may have begun at another version, but goes on at
/// the version before, and against one that is refused although its origin has followed.
#[rstest]
#[case::announced("v2", false, 503)]
#[case::begun_as_announced("v2", true, 200)]
#[case::begun_at_the_version_before("v1", true, 200)]
#[actix_rt::test]
async fn an_announced_stream_is_presumed_to_be_of_no_version(
    #[case] build: &'static str,
    #[case] has_begun: bool,
    #[case] status: u16,
) {
    let engines = Engines::start(Act::Hang).await;
    let [(first, _), (second, _), (third, _), (fourth, _)] = engines.with_builds();
    let (nodes, store) = zone(3, &[(first, "v1"), (second, "v1")]).await;
    store.silence(true);
    for node in &nodes {
        add_second_build(node, [third, fourth]);
    }
    store.silence(false);
    let origin = |build: &str| Origin {
        service: "letters".into(),
        build: build.into(),
    };
    let stream = Id::of_request("r1-a");
    let announce = |node: &Node| {
        let now = node.shared.now();
        let mut origins = node.shared.origins.borrow_mut();
        origins.announce(now, stream, origin("v2"));
        if has_begun {
            origins.merge(now, group([(stream, origin(build))]));
        }
    };
    announce(&nodes[1]);
    for (index, node) in nodes.iter().enumerate() {
        let id = format!("r1-b{index}");
        assert_eq!(
            take_up(node, &id, "r1-a").await.status,
            status,
            "router {index}"
        );
        let expected: &[&str] = if has_begun { &[build] } else { &[] };
        assert_eq!(engines.builds(&id), expected, "router {index}");
    }
}

/// A configuration with streams of more than a minute, and one in which they are shorter again.
const LONG_STREAMS: [&str; 2] = [
    "2\n/chat/ resumable 2 95000 public\n",
    "3\n/chat/ resumable 2 4000 public\n",
];

/// Guards against streams of more than a minute that are refused when their router is lost, also if
/// the time limit of their route was lowered meanwhile.
#[rstest]
#[case::the_limit_stays(1)]
#[case::the_limit_falls(2)]
#[actix_rt::test]
async fn streams_of_more_than_a_minute_can_be_taken_up(#[case] configurations: usize) {
    let engines = Engines::start(Act::Hang).await;
    let (nodes, store) = zone(4, &engines.with_builds()).await;
    let mut begun = false;
    for (text, version) in LONG_STREAMS.iter().zip(2..).take(configurations) {
        store.configure(text);
        until("the configuration is in force", || {
            let is_in_force = |node: &Node| {
                let table = node.shared.table();
                table.is_some_and(|table| table.version() == version)
            };
            nodes.iter().all(is_in_force)
        })
        .await;
        for index in 0..STREAMS {
            if !begun {
                begin(&nodes[0], &format!("r{index}-a")).await;
            }
        }
        begun = true;
    }
    sleep(SPREAD_TIME).await;
    // The records in the store have ended too.
    store.silence(true);
    for node in &nodes {
        // Other streams begin at the routers for more than a minute. The first router is lost, and
        // with it what only it knows.
        let later = node.shared.now() + Duration::from_secs(66);
        let mut origins = node.shared.origins.borrow_mut();
        if node.control == nodes[0].control {
            *origins = Origins::default();
        }
        let origin = Origin {
            service: "letters".into(),
            build: "v1".into(),
        };
        origins.merge(later, group([(Id(7), origin)]));
    }
    for index in 0..STREAMS {
        let node = &nodes[1 + index % 3];
        let answered = take_up(node, &format!("r{index}-b"), &format!("r{index}-a")).await;
        assert_eq!((answered.status, answered.complete), (200, true));
        let builds = engines.builds(&format!("r{index}-"));
        assert_eq!(builds[0], builds[1], "stream {index}");
    }
}
