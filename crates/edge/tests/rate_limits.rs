//! Engines that state how many requests they take from all routers together.

mod common;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::time::sleep;
use common::caller::Response;
use common::caller::call;
use common::caller::get;
use common::engine::Engine;
use common::engine::response;
use common::engine::response_with;
use common::zone;

/// Requests a second that the limited engines take.
const LIMIT: f64 = 4.0;
/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first statement from which the limit has to hold.
const BOUND: Duration = Duration::from_secs(3);
/// Requests to a router before the next one has its turn.
const INTERVAL: Duration = Duration::from_millis(20);
/// Time for which requests are sent.
const DURATION: Duration = Duration::from_secs(10);

/// Requests that a limited engine may get in a window.
fn allowed() -> usize {
    (1.5 * LIMIT * WINDOW.as_secs_f64()) as usize + 5
}

/// When requests arrived at a limited engine.
type Arrivals = Rc<RefCell<Vec<Instant>>>;

async fn limited() -> (Engine, Arrivals) {
    let arrivals = Arrivals::default();
    let recorded = Rc::clone(&arrivals);
    let engine = Engine::start(move |seen| {
        recorded.borrow_mut().push(Instant::now());
        let limit = format!("T-Limit: {LIMIT}\r\n");
        vec![response_with(seen.id(), "200 OK", &limit, "fine")]
    })
    .await;
    (engine, arrivals)
}

/// The most requests in one window after the bound.
fn most_in_a_window(arrivals: &Arrivals) -> usize {
    let arrivals = arrivals.borrow();
    let Some(first) = arrivals.first() else {
        return 0;
    };
    let later: Vec<Instant> = arrivals
        .iter()
        .copied()
        .filter(|at| at.duration_since(*first) > BOUND)
        .collect();
    let counts = later.iter().map(|start| {
        let within = |at: &&Instant| **at >= *start && at.duration_since(*start) < WINDOW;
        later.iter().filter(within).count()
    });
    counts.max().unwrap_or_default()
}

/// Sends requests to all routers in turn.
async fn send(nodes: &[common::Node]) -> Vec<Response> {
    let began = Instant::now();
    let mut answers = Vec::new();
    while began.elapsed() < DURATION {
        let node = &nodes[answers.len() % nodes.len()];
        let id = format!("r{}", answers.len());
        answers.push(call(node.front, &get("/read/", &id)).await);
        sleep(INTERVAL).await;
    }
    answers
}

/// Guards against routers that together send an engine more than it states that it takes, and
/// against an engine that is left unused for its limit.
#[actix_rt::test]
async fn routers_share_the_rate_limit_of_an_engine() {
    let (engine, arrivals) = limited().await;
    let healthy = Engine::start(|seen| vec![response(seen.id(), "200 OK", "fine")]).await;
    let (nodes, _store) = zone(3, &[(&engine, "v1"), (&healthy, "v1")]).await;
    let answers = send(&nodes).await;
    assert!(answers.iter().all(|answer| answer.status == 200));
    let most = most_in_a_window(&arrivals);
    assert!(most <= allowed(), "{most} requests in a window");
    let least = (LIMIT * DURATION.as_secs_f64() / 2.0) as usize;
    let count = arrivals.borrow().len();
    assert!(count >= least, "{count} requests in all");
}

/// Guards against callers that wait, or get no time for their return, when all engines have had
/// what they take.
#[actix_rt::test]
async fn callers_are_refused_at_once_when_all_engines_have_had_their_share() {
    let (engine, arrivals) = limited().await;
    let (nodes, _store) = zone(3, &[(&engine, "v1")]).await;
    let answers = send(&nodes).await;
    let most = most_in_a_window(&arrivals);
    assert!(most <= allowed(), "{most} requests in a window");
    let refused = answers.iter().filter(|answer| answer.status == 503);
    let after: Vec<f64> = refused
        .filter_map(|answer| answer.header("retry-after")?.parse().ok())
        .collect();
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert_eq!(served + after.len(), answers.len());
    assert!(after.iter().all(|after| *after > 0.0 && *after < 3.0));
}
