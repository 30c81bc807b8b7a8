//! Invalid requests: each case of `tests/problems.toml` is answered with its problem document.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use awc::http::Method;
use common::Fleet;
use common::Plan;
use serde::Deserialize;
use serde_json::Value;
use snipeusher_router::problem::Kind;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    name: String,
    #[serde(default = "default_method")]
    method: String,
    #[serde(default = "default_path")]
    path: String,
    #[serde(default)]
    headers: BTreeMap<String, String>,
    #[serde(default)]
    body: String,
    /// Number of spaces appended to the body.
    #[serde(default)]
    pad: usize,
    problem: String,
}

#[derive(Debug, Deserialize)]
struct Cases {
    case: Vec<Case>,
}

fn default_method() -> String {
    "POST".to_owned()
}

fn default_path() -> String {
    "/v1/chat/completions".to_owned()
}

/// Guards against an invalid request that is forwarded to an engine, or whose problem document has
/// the wrong `type` or states that the request may have run.
#[actix_rt::test]
async fn invalid_requests_are_rejected() {
    let fleet = Fleet::start(Plan::default()).await;
    let cases: Cases = toml::from_str(include_str!("problems.toml")).expect("the cases");
    let mut seen = BTreeSet::new();
    for case in cases.case {
        let method = Method::from_bytes(case.method.as_bytes()).expect("a method");
        let url = format!("{}{}", fleet.base, case.path);
        let mut request = fleet.client.request(method, url);
        if !case.headers.contains_key("authorization") {
            let key = format!("Bearer {}", common::KEY);
            request = request.insert_header(("authorization", key));
        }
        for (name, value) in &case.headers {
            let value = value.replace("{long}", &"x".repeat(20_000));
            request = request.insert_header((name.as_str(), value));
        }
        let body = case.body.clone() + &" ".repeat(case.pad);
        let mut response = request.send_body(body).await.expect(&case.name);
        let kind = Kind::ALL.iter().find(|kind| kind.slug() == case.problem);
        let kind = *kind.expect("a known problem");
        assert_eq!(response.status().as_u16(), kind.status(), "{}", case.name);
        let content_type = response
            .headers()
            .get("content-type")
            .expect("a content type");
        assert_eq!(content_type, "application/problem+json", "{}", case.name);
        let problem: Value = response.json().await.expect("JSON");
        let expected = format!("urn:snipeusher:problem:{}", case.problem);
        assert_eq!(problem["type"], expected.as_str(), "{}", case.name);
        assert_eq!(problem["status"], kind.status(), "{}", case.name);
        assert_eq!(problem["ran"], "not_run", "{}", case.name);
        seen.insert(kind);
    }
    assert_eq!(seen.len(), 11, "a case for each kind of invalid request");
    for engine in &fleet.engines {
        assert_eq!(engine.counts().started, 0);
    }
}

/// Guards against an incomplete body that keeps a connection open beyond the deadline.
#[actix_rt::test]
async fn slow_body_is_rejected_at_the_deadline() {
    let fleet = Fleet::start(Plan::default()).await;
    let mut stream = TcpStream::connect(fleet.router.address())
        .await
        .expect("a connection");
    let key = common::KEY;
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: test\r\nX-Request-Deadline-Ms: 100\r\n\
         Authorization: Bearer {key}\r\nContent-Length: 90\r\n\r\n{{"
    );
    stream.write_all(request.as_bytes()).await.expect("a head");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .await
        .expect("an answer");
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(response.contains("urn:snipeusher:problem:body-too-slow"));
    assert!(response.contains("\"ran\":\"not_run\""));
}
