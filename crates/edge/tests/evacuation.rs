//! Evacuation of an availability zone while requests arrive: how soon all routers comply, also with
//! a store that fails midway, what a router that starts does, and requests in flight.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::time::sleep;
use common::Node;
use common::caller::Caller;
use common::caller::call;
use common::caller::get;
use common::engine::Act;
use common::engine::Engine;
use common::engine::end;
use common::engine::event;
use common::engine::response;
use common::engine::stream;
use common::platform::DEFAULT;
use common::start;
use common::store::Store;
use common::until;
use rstest::rstest;
use snipeusher::name;
use snipeusher_edge::status;
use snipeusher_edge::status::State;
use snipeusher_edge::status::Status;

/// Key that evacuates the zone of the upstreams named `...@away`.
const KEY: &str = "conf/evacuated/away";
/// Time after the write within which all routers have to comply.
const TARGET: Duration = Duration::from_millis(1_500);
/// Callers of each router. A single one would always find the upstream of its own zone idle.
const CALLERS: usize = 4;
/// Time between two requests of one caller.
const INTERVAL: Duration = Duration::from_millis(5);

async fn engine() -> Engine {
    Engine::start(|seen| vec![response(seen.id(), "200 OK", "fine")]).await
}

/// An engine that answers after a time.
async fn slow_engine(ms: u64) -> Engine {
    Engine::start(move |seen| vec![Act::Pause(ms), response(seen.id(), "200 OK", "fine")]).await
}

/// A store with an upstream in each of two zones, one of them `away`.
fn store(here: &Engine, away: &Engine) -> Store {
    let store = Store::new();
    store.configure(DEFAULT);
    store.upstream("e0", "letters", here.address, "ready");
    store.upstream("e1@away", "letters", away.address, "ready");
    store
}

/// Starts routers, each with its own client of the store.
async fn start_routers(store: &Store, count: usize) -> Vec<(Node, Store)> {
    let mut nodes: Vec<(Node, Store)> = Vec::new();
    for index in 0..count {
        let seeds = nodes.first().map(|(node, _)| node.control);
        let client = store.other_client();
        let name = format!("host-{index}");
        let node = start(&name, &client, seeds.into_iter().collect()).await;
        nodes.push((node, client));
    }
    until("all are ready and know each other", || {
        nodes.iter().all(|(node, _)| {
            node.shared.is_ready() && node.shared.fleet.borrow().routers() == count
        })
    })
    .await;
    nodes
}

fn is_evacuated(node: &Node) -> bool {
    let fleet = node.shared.fleet.borrow();
    let now = node.shared.now();
    fleet.roster().is_evacuated(now, &name::Zone::from("away"))
}

/// Calls each router all the time; returns the flag that ends this and the number of responses that
/// were not successful.
fn load(nodes: &[(Node, Store)]) -> (Rc<Cell<bool>>, Rc<Cell<usize>>) {
    let (stopped, failed) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(0)));
    let fronts = nodes.iter().map(|(node, _)| node.front);
    for front in fronts.flat_map(|front| [front; CALLERS]) {
        let (stopped, failed) = (Rc::clone(&stopped), Rc::clone(&failed));
        actix_rt::spawn(async move {
            let mut caller = Caller::connect(front).await;
            while !stopped.get() {
                caller.write(&get("/read/", "r1")).await;
                let status = caller.read().await.map(|response| response.status);
                failed.set(failed.get() + usize::from(status != Some(200)));
                sleep(INTERVAL).await;
            }
        });
    }
    (stopped, failed)
}

async fn status_of(node: &Node) -> Status {
    let address = node.shared.settings.metrics.expect("it is set");
    let page = call(address, &get(status::PATH, "status")).await;
    serde_json::from_str(&page.body).expect("a status")
}

/// Guards against routers that send to an evacuated zone for longer than the target, or refuse
/// requests that other zones can serve; with a store that works, one that rejects the routers which
/// read it from just before the write on, and one that rejects all but one router.
#[rstest]
#[case::store_works(0)]
#[case::store_rejects_one(1)]
#[case::store_rejects_most(4)]
#[actix_rt::test]
async fn all_routers_comply_in_time_under_load(#[case] rejected: usize) {
    let (here, away) = (slow_engine(20).await, slow_engine(20).await);
    let store = store(&here, &away);
    let nodes = start_routers(&store, 5).await;
    let (stopped, failed) = load(&nodes);
    until("both zones are used", || {
        here.count() > 50 && away.count() > 50
    })
    .await;
    for (_, client) in nodes.iter().take(rejected) {
        client.cut(true);
    }
    store.put(KEY, "{}");
    let began = Instant::now();
    until("all comply", || {
        nodes.iter().all(|(node, _)| is_evacuated(node))
    })
    .await;
    let elapsed = began.elapsed();
    // A request that was sent before is received within this time.
    sleep(Duration::from_millis(50)).await;
    let (here_before, before) = (here.count(), away.count());
    sleep(Duration::from_secs(1)).await;
    assert_eq!(away.count(), before);
    assert!(here.count() > here_before + 100, "the load goes on");
    println!(
        "{rejected} rejected: all comply after {} ms",
        elapsed.as_millis()
    );
    assert!(elapsed < TARGET, "{elapsed:?}");
    store.delete(KEY);
    until("the zone is used again", || away.count() > before + 50).await;
    stopped.set(true);
    assert_eq!(failed.get(), 0);
}

/// Guards against routers that forget an evacuation with the store, and against one whose end is
/// missed since the store was away at that moment.
#[actix_rt::test]
async fn an_evacuation_outlasts_an_outage_of_the_store() {
    let (here, away) = (engine().await, engine().await);
    let store = store(&here, &away);
    let nodes = start_routers(&store, 3).await;
    store.put(KEY, "{}");
    until("all comply", || {
        nodes.iter().all(|(node, _)| is_evacuated(node))
    })
    .await;
    for (_, client) in &nodes {
        client.cut(true);
    }
    until("the store is lost", || {
        nodes
            .iter()
            .any(|(node, _)| node.shared.is_store_unreachable())
    })
    .await;
    sleep(Duration::from_millis(500)).await;
    assert!(nodes.iter().all(|(node, _)| is_evacuated(node)));
    store.delete(KEY);
    for (_, client) in &nodes {
        client.cut(false);
    }
    until("all know the end", || {
        !nodes.iter().any(|(node, _)| is_evacuated(node))
    })
    .await;
}

/// Guards against a router that starts during an evacuation and sends to the zone before it knows;
/// it has the list from the store or, cut off from it, from a peer.
#[rstest]
#[case::from_the_store(false)]
#[case::from_a_peer(true)]
#[actix_rt::test]
async fn a_router_that_starts_during_it_complies_from_its_first_request(#[case] is_cut: bool) {
    let (here, away) = (engine().await, engine().await);
    let store = store(&here, &away);
    let nodes = start_routers(&store, 2).await;
    store.put(KEY, "{}");
    until("all comply", || {
        nodes.iter().all(|(node, _)| is_evacuated(node))
    })
    .await;
    let client = store.other_client();
    client.cut(is_cut);
    let seeds = if is_cut {
        vec![nodes[0].0.control]
    } else {
        Vec::new()
    };
    let node = start("host-9", &client, seeds).await;
    let mut served = 0;
    for _ in 0..2_000 {
        served += usize::from(call(node.front, &get("/read/", "r1")).await.status == 200);
        if served == 200 {
            break;
        }
    }
    assert_eq!(served, 200);
    assert_eq!(away.count(), 0);
}

/// Guards against requests in flight that are aborted or sent a second time, and a status that does
/// not tell operators when the zone is empty.
#[actix_rt::test]
async fn requests_in_flight_run_to_their_end() {
    let (here, away) = (engine().await, slow_engine(700).await);
    let store = store(&here, &away);
    let nodes = start_routers(&store, 1).await;
    let node = &nodes[0].0;
    let calls: Vec<_> = (0..20)
        .map(|_| {
            let front = node.front;
            actix_rt::spawn(async move { call(front, &get("/write/", "r1")).await.status })
        })
        .collect();
    until("the zone has requests", || away.count() > 0).await;
    sleep(Duration::from_millis(100)).await;
    let count = away.count();
    store.put(KEY, "{}");
    until("it complies", || is_evacuated(node)).await;
    let status = status_of(node).await;
    assert_eq!(status.evacuated.len(), 1);
    assert_eq!(status.evacuated[0].zone.as_str(), "away");
    assert_eq!(status.evacuated[0].open_requests as usize, count);
    let upstream = |id: &str| {
        let mut known = status.upstreams.iter();
        known
            .find(|known| known.id.as_str() == id)
            .expect("it is known")
    };
    assert_eq!(upstream("e1@away").state, State::Evacuated);
    assert_eq!(upstream("e0").state, State::Ready);
    for call in calls {
        assert_eq!(call.await.expect("it ends"), 200);
    }
    assert_eq!(away.count(), count);
    assert_eq!(status_of(node).await.evacuated[0].open_requests, 0);
}

/// Guards against a stream that is resumed in the zone whose evacuation began while it ran.
#[actix_rt::test]
async fn a_broken_stream_is_resumed_outside_the_zone() {
    let broken = |seen: &common::engine::Seen| {
        vec![stream(seen.id()), event(1), Act::Pause(600), Act::Close]
    };
    let resumed = |seen: &common::engine::Seen| vec![stream(seen.id()), event(2), end()];
    let (first, second) = (Engine::start(broken).await, Engine::start(resumed).await);
    let here = Engine::start(resumed).await;
    let store = Store::new();
    store.configure(DEFAULT);
    store.upstream("e1@away", "letters", first.address, "ready");
    let nodes = start_routers(&store, 1).await;
    let node = &nodes[0].0;
    let front = node.front;
    let answer = actix_rt::spawn(async move { call(front, &get("/chat/", "r1")).await });
    until("the stream has begun", || first.count() == 1).await;
    store.upstream("e2@away", "letters", second.address, "ready");
    store.upstream("e0", "letters", here.address, "ready");
    store.put(KEY, "{}");
    until("it complies", || is_evacuated(node)).await;
    let answer = answer.await.expect("it ends");
    assert!(answer.complete, "{}", answer.body);
    assert!(answer.body.contains("part 1") && answer.body.contains("part 2"));
    assert_eq!((here.count(), second.count(), first.count()), (1, 0, 1));
}

/// Guards against requests that wait, get a wrong cause, or are said not to have run although they
/// may have, while all zones are evacuated.
#[actix_rt::test]
async fn requests_are_refused_at_once_while_all_zones_are_evacuated() {
    let (here, away) = (engine().await, engine().await);
    let store = store(&here, &away);
    let nodes = start_routers(&store, 2).await;
    store.put(KEY, "{}");
    store.put("conf/evacuated/here", "not even JSON");
    let node = &nodes[0].0;
    until("it complies", || {
        node.shared.fleet.borrow().drains().count() == 2
    })
    .await;
    let (here_before, away_before) = (here.count(), away.count());
    for path in ["/read/", "/write/", "/chat/"] {
        let began = Instant::now();
        let answer = call(node.front, &get(path, "r1")).await;
        assert!(began.elapsed() < Duration::from_millis(100));
        assert_eq!(answer.status, 503);
        let seconds: f64 = answer
            .header("retry-after")
            .expect("it is set")
            .parse()
            .expect("a number");
        assert!((1.0..1.25).contains(&seconds), "{seconds}");
    }
    assert_eq!((here.count(), away.count()), (here_before, away_before));
    let address = node.shared.settings.metrics.expect("it is set");
    let metrics = call(address, &get("/metrics", "metrics")).await.body;
    for line in [
        "snipeusher_evacuated_zones 2",
        "snipeusher_evacuated_open_requests 0",
        "snipeusher_upstreams_unused{cause=\"evacuated\"} 2",
        "outcome=\"evacuated\"",
    ] {
        assert!(metrics.contains(line), "{line} is missing in {metrics}");
    }
    store.delete("conf/evacuated/here");
    until("the zone is used again", || {
        !node
            .shared
            .fleet
            .borrow()
            .roster()
            .is_evacuated(node.shared.now(), &name::Zone::from("here"))
    })
    .await;
    assert_eq!(call(node.front, &get("/read/", "r1")).await.status, 200);
}

/// Guards against a key without a zone that stops the router from reading what follows.
#[actix_rt::test]
async fn a_key_without_a_zone_is_ignored() {
    let (here, away) = (engine().await, engine().await);
    let store = store(&here, &away);
    store.put("conf/evacuated/", "{}");
    let nodes = start_routers(&store, 1).await;
    let node = &nodes[0].0;
    store.put("conf/evacuated/", "{}");
    store.put(KEY, "{}");
    until("it complies", || is_evacuated(node)).await;
    assert_eq!(node.shared.fleet.borrow().drains().count(), 1);
}

/// Guards against additional calls of the store, whose rate is limited: at the start, with or without
/// an evacuation, and when one begins.
#[actix_rt::test]
async fn evacuations_cost_no_further_calls_of_the_store() {
    let (here, away) = (engine().await, engine().await);
    let mut calls = Vec::new();
    for is_evacuated_before in [false, true] {
        let store = store(&here, &away);
        if is_evacuated_before {
            store.put(KEY, "{}");
        }
        let nodes = start_routers(&store, 1).await;
        sleep(Duration::from_millis(300)).await;
        calls.push(store.calls());
        store.put(KEY, "{}");
        until("it complies", || is_evacuated(&nodes[0].0)).await;
        assert_eq!(store.calls(), calls[0]);
    }
    assert_eq!(calls[0], calls[1]);
}
