//! `status` with addresses of nodes prints their status as text and as JSON.

use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Command;
use std::process::Output;
use std::thread;

use rstest::rstest;

const STATUS: &str = r#"{"host":"front-1","zone":"a","ready":true,"leaving":false,
 "open_requests":3,"configuration":{"version":7,"revision":40,"routes":12,"age_ms":9500},
 "store":{"reads":false,"lost_ms":null,"upstreams_revision":41},"routers":9,
 "repeats_left":[{"service":"letters","left":5}],
 "upstreams":[
  {"id":"e0","service":"letters","zone":"a","state":"ready","own":1,"load":4,"failures":0.0},
  {"id":"e1","service":"letters","zone":"b","state":"set_aside","own":0,"load":0,"failures":0.8}]}"#;

/// Starts a node that answers each request with [`STATUS`].
fn start_node() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut head = [0; 4_096];
            let _read = stream.read(&mut head);
            let length = STATUS.len();
            let response = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
                 Content-Length: {length}\r\nConnection: close\r\n\r\n{STATUS}"
            );
            let _written = stream.write_all(response.as_bytes());
        }
    });
    address
}

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_snipeusher"));
    command.args(args).output().unwrap()
}

/// Guards against a status without the reason why an upstream gets no requests.
#[rstest]
fn status_lists_upstreams_that_get_no_requests() {
    let address = start_node().to_string();
    let output = run(&["status", &address]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
    for line in [
        "front-1 in a: ready",
        "configuration 7 (revision 40, 12 routes, 9 s old)",
        "hears the store's news from peers, upstreams of revision 41",
        "9 routers, 3 open requests",
        "letters: 5 repeats left",
        "1 of 2 upstreams ready",
        "e1 (letters, b): set aside, it failed too often; 0 requests, 80% failed",
    ] {
        assert!(text.contains(line), "{line:?} in\n{text}");
    }
}

/// Guards against exit code 0, or a missing entry, when a node does not answer.
#[rstest]
fn node_without_answer_is_listed_with_an_error() {
    let reachable = start_node().to_string();
    let unreachable = TcpListener::bind("127.0.0.1:0").unwrap().local_addr();
    let unreachable = unreachable.unwrap().to_string();
    let output = run(&["--json", "status", &reachable, &unreachable]);
    assert_eq!(output.status.code(), Some(6));
    let entries: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(entries[0]["status"]["upstreams"][1]["state"], "set_aside");
    assert_eq!(entries[1]["address"], unreachable);
    assert!(entries[1]["error"].is_string());
}
