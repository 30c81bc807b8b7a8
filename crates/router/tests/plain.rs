//! Requests to plain services through a router, over sockets.

mod common;

use awc::http::StatusCode;
use bytes::Bytes;
use common::Fleet;
use common::KEY;
use common::Plan;
use common::is_complete;
use common::key_value_plan;
use common::wait_until;
use common::write_documents;
use futures_util::stream;
use serde_json::Value;
use snipeusher_fakes::kv::Server;
use snipeusher_fakes::plain::Fault;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

async fn start_fleet() -> Fleet {
    Fleet::start(Plan {
        engines: 0,
        ..Plan::default()
    })
    .await
}

/// Guards against changes to the path, query, method or body of a forwarded request.
#[actix_rt::test]
async fn requests_are_forwarded_unchanged() {
    // The idempotency key of a non-idempotent request is claimed in the key-value service.
    let server = Server::open().expect("a service");
    write_documents(&server);
    let fleet = Fleet::start(key_value_plan(&server)).await;
    wait_until(async || fleet.status().await["configuration"]["ready"] == true).await;
    let path = "/match/pairings/7?by=name&by=date";
    let part = Bytes::from(vec![b'x'; 9_000]);
    let parts = (0..100).map(move |_| Ok::<_, std::io::Error>(part.clone()));
    let call = fleet.post(path).insert_header(("idempotency-key", "key-1"));
    let mut response = call
        .send_stream(stream::iter(parts))
        .await
        .expect("an answer");
    assert_eq!(response.status(), StatusCode::OK);
    let header = |name: &str| response.headers().get(name).cloned();
    assert_eq!(header("x-upstream").expect("an upstream"), "match-desk-0");
    assert_eq!(
        header("x-service").expect("a header of the service"),
        "match-desk"
    );
    assert!(header("x-attempt-id").is_none());
    let body = response.body().limit(2_000_000).await.expect("a body");
    assert_eq!(body.len(), 900_000);
    let url = format!("{}/match", fleet.base);
    let call = fleet.client.delete(url);
    let call = call.insert_header(("authorization", format!("Bearer {KEY}")));
    call.send().await.expect("an answer");
    let calls = fleet.plain[0].calls();
    assert_eq!(calls[0].line, format!("POST {path}"));
    assert_eq!(calls[0].bytes, 900_000);
    assert_eq!(calls[0].key.as_deref(), Some("key-1"));
    assert_eq!(calls[1].line, "DELETE /match");
    assert!(
        calls.iter().all(|call| !call.has_bearer),
        "the bearer key was forwarded"
    );
}

/// Guards against a retry of a non-idempotent request.
#[actix_rt::test]
async fn non_idempotent_request_runs_once() {
    for fault in [
        Fault::CloseBeforeResponse,
        Fault::WrongAttempt("ff".to_owned()),
    ] {
        let fleet = start_fleet().await;
        fleet.plain[0].inject(fault);
        let mut response = fleet
            .post("/match/pairings")
            .send_body("a pairing")
            .await
            .expect("an answer");
        assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
        let problem: Value = response.json().await.expect("JSON");
        assert_eq!(problem["ran"], "unknown");
        assert_eq!(fleet.plain[0].calls().len(), 1);
    }
}

/// Guards against reporting `unknown` for a refused connection or a refusal by the service.
#[actix_rt::test]
async fn refused_request_is_reported_as_not_run() {
    let fleet = start_fleet().await;
    let send = async || {
        let call = fleet.post("/match/pairings").send_body("a pairing");
        let mut response = call.await.expect("an answer");
        response.json::<Value>().await.expect("JSON")
    };
    fleet.plain[0].inject(Fault::Refuse);
    assert_eq!(send().await["ran"], "not_run");
    fleet.plain[0].kill().await;
    assert_eq!(send().await["ran"], "not_run");
    assert!(fleet.plain[0].calls().is_empty());
}

/// Guards against a truncated response body that the caller takes for complete.
#[actix_rt::test]
async fn truncated_body_aborts_the_connection() {
    let fleet = start_fleet().await;
    for is_truncated in [false, true] {
        if is_truncated {
            fleet.plain[0].inject(Fault::Cut);
        }
        let mut stream = TcpStream::connect(fleet.router.address())
            .await
            .expect("a connection");
        let request = format!(
            "POST /match HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\
             Authorization: Bearer {KEY}\r\nContent-Length: 9\r\n\r\na pairing"
        );
        stream
            .write_all(request.as_bytes())
            .await
            .expect("a request");
        let mut raw = Vec::new();
        // The router may also reset the connection.
        let _reset = stream.read_to_end(&mut raw).await;
        assert_eq!(
            is_complete(&raw),
            !is_truncated,
            "{}",
            String::from_utf8_lossy(&raw)
        );
    }
    assert_eq!(fleet.count("cut").await, 1);
}

/// Guards against treating an error response of the service as a refusal, or replacing it.
#[actix_rt::test]
async fn error_responses_of_the_service_are_forwarded() {
    let fleet = start_fleet().await;
    fleet.plain[0].inject(Fault::Unavailable);
    let call = fleet.post("/match/pairings").send_body("a pairing");
    let mut response = call.await.expect("an answer");
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    let body: Value = response.json().await.expect("JSON");
    assert_eq!(body["title"], "the desk is closed");
    assert_eq!(fleet.plain[0].calls().len(), 1);
}

/// Guards against a streamed body that exceeds the limit being reported as a failure of the service
/// or as `not_run`, or being run by the service.
#[actix_rt::test]
async fn streamed_body_over_the_limit_is_rejected() {
    let fleet = start_fleet().await;
    let part = Bytes::from(vec![b'x'; 60_000]);
    let parts = (0..20).map(move |_| Ok::<_, std::io::Error>(part.clone()));
    let call = fleet.post("/match").send_stream(stream::iter(parts));
    let mut response = call.await.expect("an answer");
    assert_eq!(response.status(), StatusCode::PAYLOAD_TOO_LARGE);
    let problem: Value = response.json().await.expect("JSON");
    assert_eq!(problem["type"], "urn:snipeusher:problem:body-too-large");
    assert_eq!(problem["ran"], "unknown");
    assert!(fleet.plain[0].calls().is_empty());
}
