//! A router's configuration from the fake key-value service.

mod common;

use std::time::Duration;

use actix::Actor;
use actix::Addr;
use actix::Context;
use actix::Handler;
use common::Fleet;
use common::apply_change;
use common::key_value_plan;
use common::wait_until;
use common::write_documents;
use snipeusher::config::Change;
use snipeusher::config::Event;
use snipeusher::config::Name;
use snipeusher::config::Outcome;
use snipeusher_fakes::kv::Server;
use snipeusher_router::configuration::Configuration;
use snipeusher_router::configuration::Connect;
use snipeusher_router::configuration::CurrentDigest;
use snipeusher_router::configuration::Inbound;
use snipeusher_router::configuration::Outbound;

async fn status_of(fleet: &Fleet, path: &str) -> u16 {
    let call = fleet.client.get(format!("{}{path}", fleet.base)).send();
    call.await.expect("an answer").status().as_u16()
}

async fn models(fleet: &Fleet) -> u16 {
    let call = fleet.client.get(format!("{}/v1/models", fleet.base));
    let key = format!("Bearer {}", common::KEY);
    let answer = call.insert_header(("authorization", key)).send();
    answer.await.expect("an answer").status().as_u16()
}

async fn watching(fleet: &Fleet) -> bool {
    fleet.status().await["configuration"]["watching"] == true
}

fn set(value: i64) -> Change {
    Change::Set {
        name: Name::Workspace("reading-circle".into()),
        parameter: "review_deadline_ms".to_owned(),
        value: value.into(),
    }
}

async fn has(fleet: &Fleet, outcome: &Outcome) -> bool {
    let Outcome::Applied(revision) = outcome else {
        panic!("{outcome:?}");
    };
    let status = fleet.status().await;
    status["configuration"]["documents"]["workspace/reading-circle"] == revision.0
}

/// Guards against a router that starts without the service and reports ready, or that needs a
/// restart once the service is back.
#[actix_rt::test]
async fn the_service_is_down_at_start() {
    let server = Server::open().expect("a service");
    write_documents(&server);
    server.set_faults(|faults| faults.down = true);
    let fleet = Fleet::start(key_value_plan(&server)).await;
    wait_until(async || server.counts().range >= 2).await;
    assert_eq!(status_of(&fleet, "/readyz").await, 503);
    assert_eq!(models(&fleet).await, 401);
    server.set_faults(|faults| faults.down = false);
    wait_until(async || status_of(&fleet, "/readyz").await == 200).await;
    wait_until(async || models(&fleet).await == 200).await;
}

/// Guards against a change that is missed, applied twice or reverted when watches are cut, late
/// or repeat events, against an outage that takes the configuration away, and against more calls
/// than one read and one watch after each cut.
#[actix_rt::test]
async fn changes_arrive_through_cuts_and_outages() {
    let server = Server::open().expect("a service");
    write_documents(&server);
    let fleet = Fleet::start(key_value_plan(&server)).await;
    wait_until(async || models(&fleet).await == 200).await;
    wait_until(async || server.counts().watch == 1).await;
    let started = server.counts();
    assert_eq!((started.range, started.total()), (1, 2));

    server.set_faults(|faults| {
        faults.repeat_events = true;
        faults.event_delay = Duration::from_millis(20);
    });
    let outcome = apply_change(&server, set(700_000));
    wait_until(async || has(&fleet, &outcome).await).await;
    assert_eq!(
        server.counts().total(),
        2,
        "a change costs the router no call"
    );

    server.cut_watches();
    let outcome = apply_change(&server, set(800_000));
    wait_until(async || has(&fleet, &outcome).await).await;
    wait_until(async || server.counts().watch == 2).await;
    assert_eq!((server.counts().range, server.counts().total()), (2, 4));

    server.set_faults(|faults| faults.down = true);
    wait_until(async || !watching(&fleet).await).await;
    let outcome = apply_change(&server, set(900_000));
    assert_eq!(models(&fleet).await, 200);
    assert_eq!(status_of(&fleet, "/readyz").await, 200);
    server.set_faults(|faults| faults.down = false);
    wait_until(async || has(&fleet, &outcome).await).await;
    wait_until(async || watching(&fleet).await).await;

    let gone = apply_change(
        &server,
        Change::Delete(Name::Workspace("reading-circle".into())),
    );
    assert!(matches!(gone, Outcome::Applied(_)));
    wait_until(async || models(&fleet).await == 401).await;
}

/// Takes what one router sends to its peers to another router.
struct Courier {
    from: &'static str,
    to: Addr<Configuration>,
}

impl Actor for Courier {
    type Context = Context<Self>;
}

impl Handler<Outbound> for Courier {
    type Result = ();

    fn handle(&mut self, msg: Outbound, _ctx: &mut Self::Context) {
        let event = Event::Exchange(self.from.into(), msg.exchange);
        self.to.do_send(Inbound(event));
    }
}

/// Guards against a router that is cut off from the service and does not learn from a peer.
#[actix_rt::test]
async fn a_router_without_the_service_learns_from_a_peer() {
    let server = Server::open().expect("a service");
    write_documents(&server);
    let informed = Fleet::start(key_value_plan(&server)).await;
    wait_until(async || models(&informed).await == 200).await;
    let out = Server::open().expect("a service");
    out.set_faults(|faults| faults.down = true);
    let cut_off = Fleet::start(key_value_plan(&out)).await;
    let of = |fleet: &Fleet| fleet.router.configuration().expect("the loop").clone();
    let (informed, alone) = (of(&informed), of(&cut_off));
    for (from, own, to) in [
        ("informed", &informed, &alone),
        ("alone", &alone, &informed),
    ] {
        let courier = Courier {
            from,
            to: to.clone(),
        };
        own.send(Connect(courier.start().recipient()))
            .await
            .expect("the loop");
    }
    assert_eq!(status_of(&cut_off, "/readyz").await, 503);
    wait_until(async || {
        let digest = informed.send(CurrentDigest).await.expect("the loop");
        let event = Event::Digest("informed".into(), digest);
        alone.send(Inbound(event)).await.expect("the loop");
        models(&cut_off).await == 200 && status_of(&cut_off, "/readyz").await == 200
    })
    .await;
}
