//! Retries, and what the status of a failed request guarantees.

mod common;

use std::net::TcpListener;
use std::time::Duration;
use std::time::Instant;

use common::Node;
use common::caller::call;
use common::caller::get;
use common::caller::post;
use common::engine::Act;
use common::engine::Engine;
use common::engine::not_run;
use common::engine::response;
use common::single;
use rstest::rstest;
use snipeusher::fleet::Account;
use snipeusher::fleet::Span;
use snipeusher::fleet::Spending;
use snipeusher::name;
use snipeusher_fakes::address::free_address;

fn failing(failure: &'static str) -> impl Fn(&common::engine::Seen) -> Vec<Act> {
    move |seen| match failure {
        "declines" => vec![not_run(seen.id())],
        "fails" => vec![response(seen.id(), "500 Failed", "failed")],
        "promises" => vec![response(seen.id(), "503 Busy", "busy")],
        "resets" => vec![Act::Reset],
        _ => vec![Act::Hang],
    }
}

async fn healthy() -> Engine {
    Engine::start(|seen| vec![response(seen.id(), "200 OK", "fine")]).await
}

/// Guards against a non-idempotent request that is executed twice, and against a status that says
/// that it was not executed although it may have been.
#[rstest]
#[case("declines", 503, 3)]
#[case("fails", 500, 1)]
#[case("promises", 502, 1)]
#[case("resets", 502, 1)]
#[case("hangs", 504, 1)]
#[actix_rt::test]
async fn a_non_idempotent_request_is_retried_only_if_declined(
    #[case] act: &'static str,
    #[case] status: u16,
    #[case] sent: usize,
) {
    let engines = [
        Engine::start(failing(act)).await,
        Engine::start(failing(act)).await,
        Engine::start(failing(act)).await,
    ];
    let (node, _store) = single(&engines.each_ref()).await;
    let answered = call(node.front, &post("/write/", "r1", "x")).await;
    assert_eq!(answered.status, status);
    let count: usize = engines.iter().map(Engine::count).sum();
    assert_eq!(count, sent);
    assert_eq!(answered.header("retry-after").is_some(), status == 503);
}

/// Guards against a failed request that another upstream would have served.
#[rstest]
#[case("declines")]
#[case("fails")]
#[case("promises")]
#[case("resets")]
#[case("hangs")]
#[actix_rt::test]
async fn an_idempotent_request_is_retried_at_another_upstream(#[case] act: &'static str) {
    for round in 0..4 {
        let (bad, good) = (Engine::start(failing(act)).await, healthy().await);
        let (node, _store) = single(&[&bad, &good]).await;
        let answered = call(node.front, &get("/read/", "r1")).await;
        assert_eq!(
            (answered.status, answered.body.as_str()),
            (200, "fine"),
            "round {round}"
        );
    }
}

/// Guards against requests that fail because a listed upstream is no longer reachable.
#[rstest]
#[case("/read/")]
#[case("/write/")]
#[actix_rt::test]
async fn an_unreachable_upstream_fails_no_request(#[case] path: &str) {
    let good = healthy().await;
    let (node, store) = single(&[&good]).await;
    store.upstream("dead", "letters", free_address(), "ready");
    let shared = std::rc::Rc::clone(&node.shared);
    common::until("it is known", || {
        shared.fleet.borrow().upstreams().len() == 2
    })
    .await;
    for index in 0..8 {
        let answered = call(node.front, &post(path, &format!("r{index}"), "x")).await;
        assert_eq!(answered.status, 200);
    }
}

/// Guards against repeated losses on idle connections that upstreams have dropped silently. They
/// reset the connection at the next request, which may have been executed.
#[actix_rt::test]
async fn connections_that_upstreams_drop_early_are_not_reused() {
    const IDLE_LIMIT: Duration = Duration::from_millis(150);
    let dropping = || {
        let last_uses = std::cell::RefCell::new(std::collections::BTreeMap::new());
        Engine::start(move |seen| {
            let last = last_uses
                .borrow_mut()
                .insert(seen.connection, Instant::now());
            match last {
                Some(last) if last.elapsed() >= IDLE_LIMIT => vec![Act::Reset],
                _ => vec![response(seen.id(), "200 OK", "fine")],
            }
        })
    };
    let engines = [dropping().await, dropping().await, dropping().await];
    let (node, _store) = single(&engines.each_ref()).await;
    let mut lost = 0;
    for index in 0..24 {
        let answered = call(node.front, &post("/write/", &format!("r{index}"), "x")).await;
        lost += u32::from(answered.status != 200);
        actix_rt::time::sleep(IDLE_LIMIT / 2).await;
    }
    assert!(lost <= 2, "{lost} of 24 requests are lost");
}

/// Guards against idle connections of many routers that together exceed the limit of an upstream.
/// It would reset new connections, and the requests on them would be lost.
#[rstest]
#[case(1, 1)]
#[case(5, 1)]
#[case(9, 8)]
#[actix_rt::test]
async fn idle_connections_stay_within_the_share(
    #[case] routers: usize,
    #[case] connections: usize,
) {
    let engine = healthy().await;
    let (node, _store) = single(&[&engine]).await;
    // An upstream of the service accepts ten connections.
    node.shared.fleet.borrow_mut().set_routers(routers);
    for index in 0..8 {
        let answered = call(node.front, &post("/write/", &format!("r{index}"), "x")).await;
        assert_eq!(answered.status, 200);
    }
    let seen = engine.seen();
    let used: std::collections::BTreeSet<usize> = seen.iter().map(|seen| seen.connection).collect();
    assert_eq!(used.len(), connections);
}

/// Guards against more attempts than the route allows.
#[actix_rt::test]
async fn attempts_are_bounded_by_the_route() {
    let engines = [
        Engine::start(failing("fails")).await,
        Engine::start(failing("fails")).await,
        Engine::start(failing("fails")).await,
    ];
    let (node, _store) = single(&engines.each_ref()).await;
    let answered = call(node.front, &get("/read/", "r1")).await;
    assert_eq!((answered.status, answered.body.as_str()), (500, "failed"));
    let count: usize = engines.iter().map(Engine::count).sum();
    assert_eq!(count, 2);
}

/// Guards against a rejection that is delayed until the deadline.
#[actix_rt::test]
async fn a_request_without_upstreams_is_rejected_at_once() {
    let (node, store) = single(&[]).await;
    store.configure(common::platform::DEFAULT);
    let began = Instant::now();
    let answered = call(node.front, &get("/read/", "r1")).await;
    assert_eq!(answered.status, 503);
    let after: f64 = answered
        .header("retry-after")
        .unwrap_or_default()
        .parse()
        .unwrap_or(0.0);
    assert!(after > 0.0 && after < 1.0, "{after}");
    assert!(began.elapsed() < Duration::from_millis(300));
}

/// Guards against a response later than the timeout of the route.
#[actix_rt::test]
async fn a_timeout_is_reported_in_time() {
    let engine = Engine::start(failing("hangs")).await;
    let (node, _store) = single(&[&engine]).await;
    let began = Instant::now();
    let answered = call(node.front, &post("/write/", "r1", "x")).await;
    let elapsed = began.elapsed();
    assert_eq!(answered.status, 504);
    assert!(elapsed > Duration::from_millis(950) && elapsed < Duration::from_millis(1_400));
    let abandoned = std::rc::Rc::clone(&engine.abandoned);
    common::until("the engine's connection is closed", || abandoned.get() == 1).await;
}

/// Guards against a deadline header with more time than the caller still waits.
#[actix_rt::test]
async fn a_retry_states_the_remaining_time() {
    let engines = [
        Engine::start(failing("hangs")).await,
        Engine::start(failing("hangs")).await,
    ];
    let (node, _store) = single(&engines.each_ref()).await;
    let text = "GET /read/ HTTP/1.1\r\nHost: test.example\r\nT-Id: r1\r\nT-Deadline: 900\r\n\r\n";
    assert_eq!(call(node.front, text).await.status, 504);
    let seen = engines.iter().flat_map(Engine::seen);
    let mut deadlines: Vec<u64> = seen
        .map(|seen| {
            seen.header("t-deadline")
                .unwrap_or_default()
                .parse()
                .unwrap_or(0)
        })
        .collect();
    deadlines.sort_unstable();
    assert_eq!(deadlines.len(), 2);
    assert!(deadlines[1] <= 900 && deadlines[1] > 850, "{deadlines:?}");
    assert!(deadlines[0] < 700, "{deadlines:?}");
}

/// Guards against repeated losses on pooled connections that all became unresponsive at once, while
/// new ones work.
#[actix_rt::test]
async fn pooled_connections_are_closed_after_one_is_silent() {
    let served = std::rc::Rc::new(std::cell::RefCell::new(Vec::new()));
    let engine = Engine::start(move |seen| {
        let mut served = served.borrow_mut();
        if served.contains(&seen.connection) && seen.connection < 2 {
            return vec![Act::Hang];
        }
        served.push(seen.connection);
        vec![Act::Pause(100), response(seen.id(), "200 OK", "fine")]
    })
    .await;
    let (node, _store) = single(&[&engine]).await;
    let first = post("/write/", "r1", "x");
    let second = post("/write/", "r2", "x");
    let (first, second) = tokio::join!(call(node.front, &first), call(node.front, &second));
    assert_eq!((first.status, second.status), (200, 200));
    assert_eq!(
        call(node.front, &post("/write/", "r3", "x")).await.status,
        504
    );
    assert_eq!(
        call(node.front, &post("/write/", "r4", "x")).await.status,
        200
    );
}

/// What was spent just now beyond any part of a budget.
fn account(service: &str, retries: u32) -> Account {
    Account {
        service: name::Service::from(service),
        spans: vec![Span {
            age_ms: 0,
            spending: Spending {
                requests: 0,
                retries,
            },
        }],
    }
}

/// Guards against retries that count nowhere, or twice, when the callers of a router move to others:
/// what it has spent beyond its part is counted there.
#[actix_rt::test]
async fn retries_beyond_the_part_of_a_router_count_at_its_peers() {
    const SPENT: u32 = 40;
    let (nodes, _store) = common::zone(2, &[]).await;
    let now = nodes[0].shared.now();
    let fleet = &nodes[0].shared.fleet;
    fleet
        .borrow_mut()
        .learn_past_retries(now, &[account("letters", SPENT)]);
    let retries = |node: &Node| {
        let now = node.shared.now();
        let spending = node.shared.fleet.borrow_mut().spending(now);
        let retries = spending.iter().map(|(_, spending)| spending.retries);
        retries.sum::<u32>()
    };
    common::until("a peer counts some of them", || retries(&nodes[1]) > 0).await;
    common::until("each counts once", || {
        nodes.iter().map(retries).sum::<u32>() == SPENT
    })
    .await;
}

/// Guards against spending that is stated late, and lost with the router, while peers do not answer
/// to the retries that it hands over to them.
#[actix_rt::test]
async fn silent_peers_delay_no_statement_of_spending() {
    const SERVICES: usize = 8;
    let (nodes, _store) = common::zone(2, &[]).await;
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = silent.local_addr().expect("it is bound");
    for index in 1..=2 {
        let host = name::Host::from(format!("silent-{index}"));
        common::introduce_as(&nodes[0], host, address).await;
    }
    let services = (0..SERVICES).map(|index| account(&format!("s{index}"), 100));
    let accounts: Vec<Account> = services.collect();
    let (first, second) = (&nodes[0].shared, &nodes[1].shared);
    let began = Instant::now();
    first
        .fleet
        .borrow_mut()
        .learn_past_retries(first.now(), &accounts);
    common::until("the spending of each service is stated", || {
        let (now, window) = (second.now(), Duration::from_secs(10));
        let stated = second.accounts.borrow();
        let stated = stated.get(now, window, &first.settings.host);
        stated.is_some_and(|(_, accounts)| accounts.len() == SERVICES)
    })
    .await;
    assert!(
        began.elapsed() < Duration::from_secs(1),
        "{:?}",
        began.elapsed()
    );
}
