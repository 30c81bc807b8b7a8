//! Upstreams whose responses are overdue, since their path or their process hangs.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::time::sleep;
use common::caller::call;
use common::caller::get;
use common::caller::post;
use common::engine::Act;
use common::engine::Engine;
use common::engine::response;
use common::zone;
use rstest::rstest;

/// Requests of each check.
const REQUESTS: usize = 40;
/// Time for which the upstream hangs.
const HANG: Duration = Duration::from_millis(1_500);
/// Time after the end of the hang by which the upstream is in use again.
const RETURN_TIME: Duration = Duration::from_secs(6);

/// Upstreams of which the first hangs for a while, and whether it still does.
async fn engines() -> ([Engine; 3], Rc<Cell<bool>>) {
    let hangs = Rc::new(Cell::new(true));
    let state = Rc::clone(&hangs);
    let hanging = Engine::start(move |seen| {
        if state.get() {
            return vec![Act::Hang];
        }
        vec![response(seen.id(), "200 OK", "fine")]
    })
    .await;
    let healthy = || Engine::start(|seen| vec![response(seen.id(), "200 OK", "fine")]);
    ([hanging, healthy().await, healthy().await], hangs)
}

/// Guards against a router that learns nothing from an overdue response, so that the next requests
/// wait as long, also those that may run only once; and against an upstream that is never used
/// again.
#[rstest]
#[case("/read/")]
#[case("/write/")]
#[actix_rt::test]
async fn one_overdue_response_keeps_the_next_requests_away(#[case] path: &str) {
    let (engines, hangs) = engines().await;
    let listed = engines.each_ref().map(|engine| (engine, "v1"));
    let (nodes, _store) = zone(1, &listed).await;
    let front = nodes[0].front;
    for index in 0..REQUESTS {
        if engines[0].count() > 0 {
            break;
        }
        call(front, &get("/read/", &format!("find-{index}"))).await;
    }
    assert_eq!(engines[0].count(), 1, "one request meets the hang");
    let began = Instant::now();
    for index in 0..REQUESTS {
        let answered = call(front, &post(path, &format!("r{index}"), "x")).await;
        assert_eq!(answered.status, 200);
    }
    assert!(began.elapsed() < HANG / 2, "{:?}", began.elapsed());
    assert_eq!(engines[0].count(), 1);
    sleep(HANG.saturating_sub(began.elapsed())).await;
    hangs.set(false);
    let before = engines[0].count();
    let resumed = Instant::now();
    while engines[0].count() < before + REQUESTS {
        let id = format!("after-{}", resumed.elapsed().as_micros());
        assert_eq!(call(front, &get("/read/", &id)).await.status, 200);
        assert!(resumed.elapsed() < RETURN_TIME, "it is not used again");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a hang that lasts and costs a request each time the router tries the upstream.
#[actix_rt::test]
async fn an_upstream_that_hangs_on_is_tried_ever_less_often() {
    let (engines, _hangs) = engines().await;
    let listed = engines.each_ref().map(|engine| (engine, "v1"));
    let (nodes, _store) = zone(1, &listed).await;
    let began = Instant::now();
    let mut slow = 0;
    let mut index = 0;
    while began.elapsed() < HANG * 3 {
        let sent = Instant::now();
        let id = format!("r{index}");
        assert_eq!(call(nodes[0].front, &get("/read/", &id)).await.status, 200);
        slow += usize::from(sent.elapsed() > Duration::from_millis(200));
        index += 1;
        sleep(Duration::from_millis(5)).await;
    }
    assert!((1..=4).contains(&slow), "{slow} of {index} requests waited");
}
