//! TLS of the listener and of connections to upstreams.

mod common;

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use awc::Client;
use awc::Connector;
use common::Answer;
use common::Fleet;
use common::Plan;
use common::TIMEOUT;
use common::chat_body;
use common::expected_text;
use snipeusher_fakes::engine::Options;
use snipeusher_router::settings::Tls;
use snipeusher_router::tls;

/// Writes a self-signed certificate for the loopback address.
fn write_certificate(folder: &Path, name: &str) -> Tls {
    let certified = rcgen::generate_simple_self_signed(vec!["127.0.0.1".to_owned()]);
    let certified = certified.expect("a certificate");
    let files = Tls {
        certificate: folder.join(format!("{name}.pem")),
        key: folder.join(format!("{name}.key")),
    };
    std::fs::write(&files.certificate, certified.cert.pem()).expect("a file");
    std::fs::write(&files.key, certified.signing_key.serialize_pem()).expect("a file");
    files
}

fn plan(engine: &Tls, router: &Tls, authority: &Tls) -> Plan {
    let router = router.clone();
    let authority = authority.certificate.clone();
    Plan {
        engines: 1,
        options: Options {
            tls: Some(tls::server(engine).expect("the engine's TLS")),
            ..Options::default()
        },
        settings: Box::new(move |settings| {
            settings.tls = Some(router.clone());
            settings.upstream_authority = Some(authority.clone());
            // The fake service has no TLS.
            settings
                .upstreams
                .retain(|upstream| upstream.service.is_none());
        }),
        ..Plan::default()
    }
}

fn client(router: &Tls) -> Client {
    let config = tls::client(&router.certificate).expect("the router's authority");
    let connector = Connector::new()
        .rustls_0_23(Arc::new(config))
        .conn_keep_alive(Duration::ZERO);
    Client::builder()
        .connector(connector)
        .timeout(TIMEOUT)
        .finish()
}

/// Guards against a listener that accepts connections without TLS, and against streams that TLS
/// breaks.
#[actix_rt::test]
async fn streams_over_tls() {
    let folder = tempfile::tempdir().expect("a folder");
    let engine = write_certificate(folder.path(), "engine");
    let router = write_certificate(folder.path(), "router");
    let mut fleet = Fleet::start(plan(&engine, &router, &engine)).await;
    fleet.client = client(&router);
    let response = fleet.chat().send_json(&chat_body("Letter", true, 20)).await;
    let answer = Answer::read(response.expect("an answer")).await;
    assert_eq!(answer.text, expected_text("Letter", 20));
    assert!(answer.done);
    let address = fleet.router.address();
    let plain = fleet.client.get(format!("http://{address}/healthz")).send();
    assert!(plain.await.is_err(), "the listener answers without TLS");
}

/// Guards against requests to an upstream whose certificate another authority signed.
#[actix_rt::test]
async fn rejects_upstream_of_another_authority() {
    let folder = tempfile::tempdir().expect("a folder");
    let engine = write_certificate(folder.path(), "engine");
    let router = write_certificate(folder.path(), "router");
    let mut plan = plan(&engine, &router, &router);
    plan.ready = 0;
    let mut fleet = Fleet::start(plan).await;
    fleet.client = client(&router);
    let call = fleet.chat().send_json(&chat_body("Letter", false, 1)).await;
    let mut response = call.expect("an answer");
    let problem: serde_json::Value = response.json().await.expect("JSON");
    assert_eq!(problem["type"], "urn:snipeusher:problem:no-upstream");
    assert_eq!(problem["ran"], "not_run");
    assert_eq!(fleet.engines[0].counts().started, 0);
}
