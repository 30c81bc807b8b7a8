//! Prompts that crash engines.

mod common;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::time::sleep;
use common::Node;
use common::caller::Response;
use common::caller::call;
use common::engine::Act;
use common::engine::Engine;
use common::engine::Seen;
use common::engine::end;
use common::engine::event;
use common::engine::stream;
use common::zone;
use rstest::rstest;

/// Part that all prompts begin with.
const FIRST: u64 = 1;
/// Part that crashes each engine that begins to answer it.
const POISON: u64 = 666;
/// Requests with the poison part that may reach engines after the bound.
const LATE_MAX: usize = 3;
/// Crashes after which the bound begins to run.
const CRASHES: usize = 5;
/// Time from the last of these crashes to the bound.
const BOUND: Duration = Duration::from_secs(3);
const ENGINES: usize = 40;
/// Requests with the poison part; each router gets one in turn.
const REQUESTS: u64 = 40;
/// Time between them.
const INTERVAL: Duration = Duration::from_millis(250);

fn has_poison(seen: &Seen) -> bool {
    let parts = seen.header("t-parts").unwrap_or_default();
    parts.split(',').any(|part| part == POISON.to_string())
}

/// Engines that end when they are about to answer a prompt with the poison part.
#[derive(Clone, Default)]
struct CrashingEngines {
    /// When requests with the poison part arrived. Each ends its engine.
    arrivals: Rc<RefCell<Vec<Instant>>>,
}

impl CrashingEngines {
    async fn start(&self) -> Engine {
        let arrivals = Rc::clone(&self.arrivals);
        Engine::start(move |seen| {
            if has_poison(seen) {
                arrivals.borrow_mut().push(Instant::now());
                return vec![Act::Pause(20), Act::Crash];
            }
            vec![stream(seen.id()), event(1), event(2), end()]
        })
        .await
    }

    /// Poison requests that arrived later than the bound.
    fn late(&self) -> usize {
        let arrivals = self.arrivals.borrow();
        let Some(fifth) = arrivals.get(CRASHES - 1) else {
            return 0;
        };
        let late = arrivals
            .iter()
            .filter(|at| at.duration_since(*fifth) > BOUND);
        late.count()
    }
}

async fn ask(node: &Node, path: &str, id: &str, parts: &[u64]) -> Response {
    let parts: Vec<String> = parts.iter().map(u64::to_string).collect();
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: test.example\r\nT-Id: {id}\r\nT-Parts: {}\r\n\
         Content-Length: 1\r\n\r\nx",
        parts.join(",")
    );
    call(node.front, &text).await
}

/// Guards against a prompt part that crashes one engine after the other, from any router, and
/// against a block that also refuses harmless prompts that share their other parts.
#[rstest]
#[case("/review/")]
#[case("/chat/")]
#[actix_rt::test]
async fn a_part_that_crashes_engines_is_kept_from_the_others(#[case] path: &str) {
    let crashing = CrashingEngines::default();
    let mut engines = Vec::new();
    for _ in 0..ENGINES {
        engines.push(crashing.start().await);
    }
    let listed: Vec<(&Engine, &str)> = engines.iter().map(|engine| (engine, "v1")).collect();
    let (nodes, _store) = zone(3, &listed).await;
    let mut served = 0;
    let mut last = None;
    for number in 0..REQUESTS {
        let node = &nodes[number as usize % nodes.len()];
        let shared = 10 + number % 4;
        for (index, own) in (0..3).zip(number * 10..) {
            let parts = [FIRST, shared, 1_000 + own];
            let answer = ask(node, path, &format!("harmless-{number}-{index}"), &parts).await;
            served += usize::from(answer.status == 200 && answer.complete);
        }
        let parts = [FIRST, shared, POISON, 1_000_000 + number];
        last = Some(ask(node, path, &format!("poison-{number}"), &parts).await);
        sleep(INTERVAL).await;
    }
    let late = crashing.late();
    assert!(late <= LATE_MAX, "{late} poison requests arrived too late");
    assert!(
        served * 2 >= REQUESTS as usize * 3,
        "{served} harmless requests served"
    );
    let last = last.expect("a response");
    assert_eq!(
        last.status, 503,
        "the router knows that it cannot be served"
    );
    assert!(last.header("retry-after").is_some());
}
