//! Routers that find each other although the routers that their settings name are down.

mod common;

use std::time::Duration;

use common::Node;
use common::platform::DEFAULT;
use common::start;
use common::store::Store;
use common::until;
use snipeusher_fakes::address::free_address;

/// Prefix of the records of routers.
const RECORDS: &str = "snipeusher/routers/";
/// Longer than a router waits before it announces itself.
const ANNOUNCED: Duration = Duration::from_millis(3_500);

async fn until_all_know(nodes: &[Node], routers: usize) {
    until("the routers know each other", || {
        let mut nodes = nodes.iter();
        nodes.all(|node| node.shared.fleet.borrow().routers() == routers)
    })
    .await;
}

/// Guards against routers that started while all their seeds were down and never find each other, so
/// that each spends the whole slack of the retry budget.
#[actix_rt::test]
async fn routers_whose_seeds_are_all_down_find_each_other() {
    let store = Store::new();
    store.configure(DEFAULT);
    let mut nodes = Vec::new();
    for index in 0..5 {
        let name = format!("host-{index}");
        nodes.push(start(&name, &store, vec![free_address()]).await);
    }
    until_all_know(&nodes, 5).await;
    // The first ones that announced themselves were found before the others had to.
    let records = store.keys(RECORDS).len();
    assert!((1..5).contains(&records), "{records} records");
}

/// Guards against a router that starts while its seeds are down and stays apart from a fleet whose
/// routers know each other, and so do not look for others.
#[actix_rt::test]
async fn a_router_whose_seeds_are_down_joins_the_fleet() {
    let store = Store::new();
    store.configure(DEFAULT);
    let first = start("host-0", &store, Vec::new()).await;
    let seeds = vec![first.control];
    let second = start("host-1", &store, seeds).await;
    let mut nodes = vec![first, second];
    until_all_know(&nodes, 2).await;
    assert_eq!(store.keys(RECORDS), Vec::<String>::new());
    let late = start("host-2", &store, vec![free_address()]).await;
    nodes.push(late);
    until_all_know(&nodes, 3).await;
}

/// Guards against corrected settings without effect until the next start, while the store is out of
/// reach.
#[actix_rt::test]
async fn corrected_seeds_take_effect_at_once() {
    let store = Store::new();
    store.cut(true);
    let first = start("host-0", &store, Vec::new()).await;
    let second = start("host-1", &store, Vec::new()).await;
    second.running.set_seeds(&[first.control]);
    until_all_know(&[first, second], 2).await;
}

/// Guards against writes to the store by routers that reach their seeds.
#[actix_rt::test]
async fn routers_with_running_seeds_are_not_announced() {
    let store = Store::new();
    store.configure(DEFAULT);
    let addresses = [free_address(), free_address()];
    let mut nodes = Vec::new();
    for index in 0..2 {
        let name = format!("host-{index}");
        let seeds = nodes.iter().map(|node: &Node| node.control);
        nodes.push(start(&name, &store, seeds.chain(addresses).collect()).await);
    }
    let seed = nodes[1].control;
    nodes[0].running.set_seeds(&[seed]);
    actix_rt::time::sleep(ANNOUNCED).await;
    assert_eq!(store.keys(RECORDS), Vec::<String>::new());
}
