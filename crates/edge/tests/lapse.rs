//! Upstreams whose entry lapses while they run requests, since they were late to renew it.

mod common;

use std::time::Duration;

use actix_rt::time::sleep;
use common::caller::Caller;
use common::caller::post;
use common::engine::Act;
use common::engine::Engine;
use common::engine::Seen;
use common::engine::end;
use common::engine::event;
use common::engine::response;
use common::engine::stream;
use common::zone;
use rstest::rstest;

/// Time that a request runs, shorter than any limit after which it would go elsewhere.
const RUN_MS: u64 = 700;
/// Time after the start of a request at which entries lapse.
const LAPSE: Duration = Duration::from_millis(150);

fn acts(seen: &Seen) -> Vec<Act> {
    let run = Act::Pause(RUN_MS);
    if seen.head.contains(" /write/") {
        return vec![run, response(seen.id(), "200 OK", "part 2")];
    }
    vec![stream(seen.id()), event(1), run, event(2), end()]
}

/// Guards against work that is abandoned or started again elsewhere because the entry of its
/// upstream lapsed, for a while or for good.
#[rstest]
#[case::once("/write/", false)]
#[case::once_returning("/write/", true)]
#[case::stream("/review/", false)]
#[case::resumable("/chat/", false)]
#[case::resumable_returning("/chat/", true)]
#[actix_rt::test]
async fn running_work_survives_a_lapsed_entry(#[case] path: &str, #[case] returns: bool) {
    let engines = [Engine::start(acts).await, Engine::start(acts).await];
    let (nodes, store) = zone(1, &[(&engines[0], "v1"), (&engines[1], "v1")]).await;
    let mut caller = Caller::connect(nodes[0].front).await;
    caller.write(&post(path, "r1", "x")).await;
    sleep(LAPSE).await;
    let runs = usize::from(engines[1].count() == 1);
    assert_eq!(engines[runs].count(), 1, "it runs");
    let id = format!("e{runs}");
    store.delete(&format!("up/{id}"));
    let is_ready = || {
        let fleet = nodes[0].shared.fleet.borrow();
        fleet.is_ready(nodes[0].shared.now(), &id.as_str().into())
    };
    common::until("the entry has lapsed", || !is_ready()).await;
    if returns {
        store.upstream(&id, "letters", engines[runs].address, "ready");
        common::until("the entry is back", is_ready).await;
    }
    let answered = caller.read().await.expect("a response");
    assert!(answered.status == 200 && answered.complete, "{answered:?}");
    assert!(answered.body.contains("part 2"), "{}", answered.body);
    assert_eq!(engines[0].count() + engines[1].count(), 1, "it runs once");
}
