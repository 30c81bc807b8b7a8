//! Engines that become cold while they serve requests.

mod common;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::time::sleep;
use common::Node;
use common::caller::Response;
use common::caller::call;
use common::caller::get;
use common::engine::Engine;
use common::engine::response;
use common::platform;
use common::store::Store;
use common::until;
use common::zone;

/// Requests a second that a cold engine accepts.
const PER_S: f64 = 9.3;
/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Requests to a router before the next one has its turn.
const INTERVAL: Duration = Duration::from_millis(8);
/// Time after which the routers of a fleet know each other well.
const SETTLING: Duration = Duration::from_millis(5_500);

/// When requests arrived at an engine.
type Arrivals = Rc<RefCell<Vec<Instant>>>;

async fn recording() -> (Engine, Arrivals) {
    let arrivals = Arrivals::default();
    let recorded = Rc::clone(&arrivals);
    let engine = Engine::start(move |seen| {
        recorded.borrow_mut().push(Instant::now());
        vec![response(seen.id(), "200 OK", "fine")]
    })
    .await;
    (engine, arrivals)
}

/// Routers whose configuration limits cold engines.
async fn limited(routers: usize, engines: &[(&Engine, &str)]) -> (Vec<Node>, Store) {
    let (nodes, store) = zone(routers, engines).await;
    let text = platform::DEFAULT.replacen('1', "2", 1) + &format!("cold {PER_S} 3\n");
    store.configure(&text);
    until("the limit is known", || {
        let version = |node: &Node| node.shared.table().map(|table| table.version());
        nodes.iter().all(|node| version(node) == Some(2))
    })
    .await;
    sleep(SETTLING).await;
    (nodes, store)
}

/// Writes the entry of the first engine with a remaining time.
fn write(store: &Store, engine: &Engine, cold_ms: u64) {
    let entry = format!("letters {} ready v1 {cold_ms}", engine.address);
    store.put("up/e0", &entry);
}

fn is_cold(node: &Node) -> bool {
    let fleet = node.shared.fleet.borrow();
    let upstream = fleet.upstream(&"e0".into()).expect("it is listed");
    upstream.warmup.remaining(node.shared.now()).is_some()
}

/// Sends requests to all routers in turn for a time.
async fn send(nodes: &[Node], duration: Duration) -> Vec<Response> {
    let began = Instant::now();
    let mut answers = Vec::new();
    while began.elapsed() < duration {
        let node = &nodes[answers.len() % nodes.len()];
        let id = format!("r{}", answers.len());
        answers.push(call(node.front, &get("/read/", &id)).await);
        sleep(INTERVAL).await;
    }
    answers
}

/// The most requests in one window between two times.
fn worst(arrivals: &Arrivals, from: Instant, to: Instant) -> usize {
    let arrivals = arrivals.borrow();
    let between = arrivals.iter().filter(|at| **at >= from && **at < to);
    let between: Vec<Instant> = between.copied().collect();
    let counts = between.iter().map(|start| {
        let within = |at: &&Instant| **at >= *start && at.duration_since(*start) < WINDOW;
        between.iter().filter(within).count()
    });
    counts.max().unwrap_or_default()
}

/// Guards against routers that together send a cold engine more than it survives, a limit that is
/// not used, requests that are refused although another engine takes them, and an engine that stays
/// limited once it is warm.
#[actix_rt::test]
async fn an_engine_that_becomes_cold_gets_only_what_it_accepts() {
    let (engine, arrivals) = recording().await;
    let other = Engine::start(|seen| vec![response(seen.id(), "200 OK", "fine")]).await;
    let (nodes, store) = limited(3, &[(&engine, "v1"), (&other, "v1")]).await;
    let load = send(&nodes, Duration::from_secs(8));
    let change = async {
        sleep(Duration::from_secs(1)).await;
        write(&store, &engine, 4_000);
        until("all routers know", || nodes.iter().all(is_cold)).await;
        let from = Instant::now();
        sleep(Duration::from_millis(3_300)).await;
        (from, Instant::now())
    };
    let (answers, (from, to)) = futures_util::join!(load, change);
    assert!(answers.iter().all(|answer| answer.status == 200));
    let most = worst(&arrivals, from, to);
    assert!(most <= (PER_S * 1.5 + 5.0) as usize, "{most} in a second");
    let count = |from, to| {
        let arrivals = arrivals.borrow();
        let between = arrivals.iter().filter(|at| **at >= from && **at < to);
        between.count() as f64
    };
    let rate = count(from, to) / to.duration_since(from).as_secs_f64();
    assert!(rate >= 0.8 * PER_S, "{rate} a second while cold");
    let warm = to + Duration::from_secs(2);
    let rate = count(warm, warm + Duration::from_secs(1));
    assert!(rate > 2.0 * PER_S, "{rate} a second after that");
}

/// Guards against callers that wait, or are told that a request may have run, when all engines of a
/// service are cold; and against a state that operators cannot see.
#[actix_rt::test]
async fn callers_are_refused_at_once_when_all_engines_are_cold() {
    let (engine, arrivals) = recording().await;
    let (nodes, store) = limited(2, &[(&engine, "v1")]).await;
    write(&store, &engine, 10_000);
    until("all routers know", || nodes.iter().all(is_cold)).await;
    let from = Instant::now();
    let answers = send(&nodes, Duration::from_secs(3)).await;
    let most = worst(&arrivals, from, Instant::now());
    assert!(most <= (PER_S * 1.5 + 5.0) as usize, "{most} in a second");
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert!(served as f64 >= 0.8 * 3.0 * PER_S, "{served} served");
    let refused = answers.iter().filter(|answer| answer.status == 503);
    let after: Vec<f64> = refused
        .filter_map(|answer| answer.header("retry-after")?.parse().ok())
        .collect();
    assert_eq!(served + after.len(), answers.len());
    assert!(after.iter().all(|after| *after > 0.0 && *after < 2.0));
    for node in &nodes {
        let status = snipeusher_edge::status::read(&node.shared);
        assert!(status.upstreams[0].cold_ms.is_some());
        let address = node.shared.settings.metrics.expect("it serves metrics");
        let metrics = call(address, &get("/metrics", "m")).await;
        let text = metrics.body;
        assert!(
            text.contains("snipeusher_upstreams_warming_up 1\n"),
            "{text}"
        );
    }
}

/// Guards against a router that starts beside others and takes the whole limit for itself.
#[actix_rt::test]
async fn a_router_that_starts_sends_nothing_to_a_cold_engine() {
    let (engine, arrivals) = recording().await;
    let (nodes, store) = limited(2, &[(&engine, "v1")]).await;
    write(&store, &engine, 10_000);
    until("all routers know", || nodes.iter().all(is_cold)).await;
    let newcomer = common::start("host-9", &store, vec![nodes[0].control]).await;
    until("the newcomer knows", || {
        newcomer.shared.is_loaded() && is_cold(&newcomer)
    })
    .await;
    let from = Instant::now();
    let mut direct = Vec::new();
    for index in 0..100 {
        let id = format!("n{index}");
        let answer = call(newcomer.front, &get("/read/", &id)).await;
        direct.push(answer.status);
        sleep(INTERVAL).await;
    }
    assert!(direct.iter().all(|status| [200, 503].contains(status)));
    // What it could not send itself went through its peers, within the bound.
    let most = worst(&arrivals, from, Instant::now());
    assert!(most <= (PER_S * 1.5 + 5.0) as usize, "{most} in a second");
    let fleet = newcomer.shared.fleet.borrow();
    let upstream = fleet.upstream(&"e0".into()).expect("it is listed");
    assert_eq!(upstream.load.in_flight(), 0);
    assert!(fleet.needs_relay(newcomer.shared.now(), &"letters".into()));
}
