//! A request of a plain service that crashes each upstream that begins to run it, and comes again.

mod common;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::time::sleep;
use common::Node;
use common::caller::Response;
use common::caller::call;
use common::caller::post;
use common::engine::Act;
use common::engine::Engine;
use common::engine::Seen;
use common::engine::response;
use common::single;
use common::store::Store;
use common::until;
use common::zone;
use rstest::rstest;

/// Body of the request that crashes upstreams.
const CRASHING: &str = "crashing";
/// Time from the start of its run to the end of the upstream.
const RUN_MS: u64 = 45;
/// Time after which an upstream that ended is back.
const RESTART_TIME: Duration = Duration::from_secs(1);
/// Time between two arrivals of the request, each at the next router.
const INTERVAL: Duration = Duration::from_millis(350);
const REPEATS: usize = 24;
/// Crashes after which the bound begins to run.
const CRASHES: usize = 3;
/// Time from the last of these crashes to the bound.
const BOUND: Duration = Duration::from_secs(3);
/// Runs of the request that may begin after the bound.
const LATE_MAX: usize = 3;
/// Time between two harmless requests.
const HARMLESS_INTERVAL: Duration = Duration::from_millis(20);

/// Upstreams that end under the request and start again under a new id.
struct Upstreams {
    store: Store,
    /// When they began to run the request.
    runs: RefCell<Vec<Instant>>,
    started: Cell<usize>,
}

impl Upstreams {
    fn acts(self: &Rc<Self>, id: &str, seen: &Seen) -> Vec<Act> {
        if seen.body != CRASHING.as_bytes() {
            return vec![Act::Pause(10), response(seen.id(), "200 OK", "done")];
        }
        self.runs.borrow_mut().push(Instant::now());
        let (upstreams, id) = (Rc::clone(self), id.to_owned());
        actix_rt::spawn(async move { upstreams.restart(&id).await });
        vec![Act::Pause(RUN_MS), Act::Crash]
    }

    async fn restart(self: &Rc<Self>, id: &str) {
        sleep(RESTART_TIME).await;
        self.store.delete(&format!("up/{id}"));
        let _engine = self.start().await;
    }

    async fn start(self: &Rc<Self>) -> Engine {
        let id = format!("u{}", self.started.replace(self.started.get() + 1));
        let (upstreams, own) = (Rc::clone(self), id.clone());
        let engine = Engine::start(move |seen| upstreams.acts(&own, seen)).await;
        let (store, address) = (&self.store, engine.address);
        store.upstream(&id, "letters", address, "ready");
        engine
    }

    /// Runs that began later than the bound.
    fn late(&self) -> usize {
        let runs = self.runs.borrow();
        let Some(third) = runs.get(CRASHES - 1) else {
            return 0;
        };
        let bound = *third + Duration::from_millis(RUN_MS) + BOUND;
        runs.iter().filter(|began| **began > bound).count()
    }
}

/// Sends harmless requests to all routers in turn; returns how many of the last hundred were
/// served.
async fn send_harmless(fronts: Vec<std::net::SocketAddr>, is_over: Rc<Cell<bool>>) -> usize {
    let mut served = Vec::new();
    for (front, number) in fronts.iter().cycle().zip(0_u32..) {
        if is_over.get() {
            break;
        }
        let text = post(
            "/read/x",
            &format!("harmless-{number}"),
            &number.to_string(),
        );
        let front = *front;
        served.push(actix_rt::spawn(async move { call(front, &text).await }));
        sleep(HARMLESS_INTERVAL).await;
    }
    let mut count = 0;
    for answer in served.into_iter().rev().take(100) {
        count += usize::from(answer.await.expect("an answer").status == 200);
    }
    count
}

async fn send(node: &Node, path: &str, id: usize, body: &str) -> Response {
    call(node.front, &post(path, &format!("{body}-{id}"), body)).await
}

/// Guards against a router that takes each upstream as crashed when its own links are cut, and has
/// harmless requests blocked everywhere.
#[rstest]
#[case::one_of_two(false)]
#[case::both(true)]
#[actix_rt::test]
async fn upstreams_that_are_lost_together_have_not_crashed(#[case] both: bool) {
    let acts = |seen: &Seen| vec![Act::Pause(200), response(seen.id(), "200 OK", "done")];
    let crashing = |_seen: &Seen| vec![Act::Pause(60), Act::Crash];
    let first = Engine::start(crashing).await;
    let second = if both {
        Engine::start(crashing).await
    } else {
        Engine::start(acts).await
    };
    let (node, _store) = single(&[&first, &second]).await;
    let calls: Vec<_> = (0..4)
        .map(|id| {
            let front = node.front;
            actix_rt::spawn(
                async move { call(front, &post("/write/x", &id.to_string(), "x")).await },
            )
        })
        .collect();
    for answer in calls {
        answer.await.expect("an answer");
    }
    sleep(Duration::from_millis(500)).await;
    let report = node.shared.poison.borrow().report(node.shared.now());
    assert_eq!(report.losses.is_empty(), both, "{report:?}");
}

/// Guards against a repeated request that ends the upstreams of a plain service one after the
/// other, and against a block of other requests of the same route.
#[rstest]
#[case::idempotent("/read/x", 3)]
#[case::once("/write/x", 3)]
#[case::more_upstreams("/read/x", 8)]
#[actix_rt::test]
async fn a_repeated_request_that_crashes_upstreams_is_kept_from_them(
    #[case] path: &str,
    #[case] upstreams: usize,
) {
    let (nodes, store) = zone(3, &[]).await;
    let service = Rc::new(Upstreams {
        store,
        runs: RefCell::default(),
        started: Cell::default(),
    });
    for _ in 0..upstreams {
        service.start().await;
    }
    until("the upstreams are known", || {
        let mut fleets = nodes.iter().map(|node| node.shared.fleet.borrow());
        fleets.all(|fleet| fleet.upstreams().len() == upstreams)
    })
    .await;
    let is_over = Rc::new(Cell::new(false));
    let fronts = nodes.iter().map(|node| node.front).collect();
    let harmless = actix_rt::spawn(send_harmless(fronts, Rc::clone(&is_over)));
    let mut last = None;
    for (id, node) in (0..REPEATS).zip(nodes.iter().cycle()) {
        last = Some(send(node, path, id, CRASHING).await);
        sleep(INTERVAL).await;
    }
    let other_body = send(&nodes[0], path, 0, "other").await;
    is_over.set(true);
    let served = harmless.await.expect("it ends");
    let late = service.late();
    println!(
        "{} runs, {late} after the bound",
        service.runs.borrow().len()
    );
    assert!(late <= LATE_MAX, "{late} runs began after the bound");
    assert!(served >= 90, "{served} of the last 100 harmless ones");
    assert_eq!(other_body.status, 200, "another request of the route");
    let last = last.expect("an answer");
    assert_eq!(last.status, 503, "the router knows that it cannot be run");
    assert!(last.header("retry-after").is_some());
}
