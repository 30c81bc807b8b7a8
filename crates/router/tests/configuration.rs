//! Configuration of a router from a fake key-value service and from peers.

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

async fn get_status_code(fleet: &Fleet, path: &str) -> u16 {
    let call = fleet.client.get(format!("{}{path}", fleet.base)).send();
    call.await.expect("a response").status().as_u16()
}

async fn get_models(fleet: &Fleet) -> u16 {
    let call = fleet.client.get(format!("{}/v1/models", fleet.base));
    let key = format!("Bearer {}", common::KEY);
    let response = call.insert_header(("authorization", key)).send();
    response.await.expect("a response").status().as_u16()
}

async fn is_watching(fleet: &Fleet) -> bool {
    fleet.status().await["configuration"]["watching"] == true
}

fn set_review_deadline(value: i64) -> Change {
    Change::Set {
        name: Name::Workspace("reading-circle".into()),
        parameter: "review_deadline_ms".to_owned(),
        value: value.into(),
    }
}

async fn has_revision(fleet: &Fleet, outcome: &Outcome) -> bool {
    let Outcome::Applied(revision) = outcome else {
        panic!("{outcome:?}");
    };
    let status = fleet.status().await;
    status["configuration"]["documents"]["workspace/reading-circle"] == revision.number
}

/// Guards against a router that reports ready although the service was unavailable at its start, or
/// that needs a restart once the service is available.
#[actix_rt::test]
async fn starts_while_service_is_unavailable() {
    let server = Server::open().expect("a service");
    write_documents(&server);
    server.set_faults(|faults| faults.down = true);
    let fleet = Fleet::start(key_value_plan(&server)).await;
    wait_until(async || server.counts().range >= 2).await;
    assert_eq!(get_status_code(&fleet, "/readyz").await, 503);
    assert_eq!(get_models(&fleet).await, 401);
    server.set_faults(|faults| faults.down = false);
    wait_until(async || get_status_code(&fleet, "/readyz").await == 200).await;
    wait_until(async || get_models(&fleet).await == 200).await;
}

/// Guards against a change that is lost, applied twice or reverted when a watch breaks, is late or
/// repeats events, against a configuration that is lost in an outage, and against more than one
/// read and one watch after each break.
#[actix_rt::test]
async fn changes_survive_broken_watches_and_outages() {
    let server = Server::open().expect("a service");
    write_documents(&server);
    let fleet = Fleet::start(key_value_plan(&server)).await;
    wait_until(async || get_models(&fleet).await == 200).await;
    wait_until(async || server.counts().watch == 1).await;
    let started = server.counts();
    assert_eq!((started.range, started.total()), (1, 2));

    server.set_faults(|faults| {
        faults.duplicate_events = true;
        faults.event_delay = Duration::from_millis(20);
    });
    let outcome = apply_change(&server, set_review_deadline(700_000));
    wait_until(async || has_revision(&fleet, &outcome).await).await;
    assert_eq!(server.counts().total(), 2, "a change must cause no call");

    server.cut_watches();
    let outcome = apply_change(&server, set_review_deadline(800_000));
    wait_until(async || has_revision(&fleet, &outcome).await).await;
    wait_until(async || server.counts().watch == 2).await;
    assert_eq!((server.counts().range, server.counts().total()), (2, 4));

    server.set_faults(|faults| faults.down = true);
    wait_until(async || !is_watching(&fleet).await).await;
    let outcome = apply_change(&server, set_review_deadline(900_000));
    assert_eq!(get_models(&fleet).await, 200);
    assert_eq!(get_status_code(&fleet, "/readyz").await, 200);
    server.set_faults(|faults| faults.down = false);
    wait_until(async || has_revision(&fleet, &outcome).await).await;
    wait_until(async || is_watching(&fleet).await).await;

    let outcome = apply_change(
        &server,
        Change::Delete(Name::Workspace("reading-circle".into())),
    );
    assert!(matches!(outcome, Outcome::Applied(_)));
    wait_until(async || get_models(&fleet).await == 401).await;
}

/// Delivers the exchanges of one router to another.
struct Link {
    from: &'static str,
    to: Addr<Configuration>,
}

impl Actor for Link {
    type Context = Context<Self>;
}

impl Handler<Outbound> for Link {
    type Result = ();

    fn handle(&mut self, msg: Outbound, _ctx: &mut Self::Context) {
        let event = Event::Exchange(self.from.into(), msg.exchange);
        self.to.do_send(Inbound(event));
    }
}

/// Guards against a router that cannot reach the service and does not fetch the configuration from
/// a peer.
#[actix_rt::test]
async fn fetches_configuration_from_peer() {
    let server = Server::open().expect("a service");
    write_documents(&server);
    let connected_router = Fleet::start(key_value_plan(&server)).await;
    wait_until(async || get_models(&connected_router).await == 200).await;
    let unavailable = Server::open().expect("a service");
    unavailable.set_faults(|faults| faults.down = true);
    let isolated_router = Fleet::start(key_value_plan(&unavailable)).await;
    let configuration = |fleet: &Fleet| fleet.router.configuration().expect("the loop").clone();
    let (connected, isolated) = (
        configuration(&connected_router),
        configuration(&isolated_router),
    );
    for (from, sender, receiver) in [
        ("connected", &connected, &isolated),
        ("isolated", &isolated, &connected),
    ] {
        let link = Link {
            from,
            to: receiver.clone(),
        };
        sender
            .send(Connect(link.start().recipient()))
            .await
            .expect("the loop");
    }
    assert_eq!(get_status_code(&isolated_router, "/readyz").await, 503);
    wait_until(async || {
        let digest = connected.send(CurrentDigest).await.expect("the loop");
        let event = Event::Digest("connected".into(), digest);
        isolated.send(Inbound(event)).await.expect("the loop");
        get_models(&isolated_router).await == 200
            && get_status_code(&isolated_router, "/readyz").await == 200
    })
    .await;
}
