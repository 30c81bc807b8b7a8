//! `explain` selects the log lines of a request or of a host.

use std::fs;
use std::process::Command;
use std::process::Output;

use rstest::rstest;

const LOG: &str = r#"
  19.1 front-1 {"ts":"2026-05-04T01:51:33.100Z","host":"front-1","msg":"attempt: failed","level":"INFO","id":"r1","upstream":"e1","reason":"lost","error":"the connection ended before the answer did"}
{"ts":"2026-05-04T01:51:33.101Z","host":"front-1","msg":"request: settled","level":"INFO","id":"r1","upstream":"e1","outcome":"lost","status":502,"ms":15}
{"ts":"2026-05-04T01:51:32.900Z","host":"front-1","msg":"upstream: set aside","level":"WARN","upstream":"e1","outcome":"Lost"}
{"ts":"2026-05-04T01:51:32.900Z","host":"front-1","msg":"upstream: set aside","level":"WARN","upstream":"e2","outcome":"Lost"}
{"ts":"2026-05-04T01:51:33.200Z","host":"front-2","msg":"store: lost","level":"WARN","cause":"refused"}
{"ts":"2026-05-04T01:51:33.150Z","host":"front-1","msg":"request: settled","level":"INFO","id":"r2","upstream":"e1","outcome":"answered","status":200,"ms":15}
{"ts":"2026-05-04T01:51:39.150Z","host":"front-1","msg":"store: lost","level":"WARN","cause":"refused"}
not a line of a log
"#;

fn explain(args: &[&str]) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("all.log");
    fs::write(&path, LOG).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_snipeusher"));
    command.arg("explain").args(args).arg(&path);
    command.output().unwrap()
}

/// Guards against output without the state changes of the request's upstream, or with lines of
/// other requests, upstreams or hosts.
#[rstest]
fn request_is_printed_with_state_changes_of_its_upstream() {
    let output = explain(&["r1"]);
    assert!(output.status.success());
    let text = String::from_utf8_lossy(&output.stdout);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(
        lines[0].starts_with("01:51:32.900 front-1 upstream: set aside"),
        "{text}"
    );
    assert!(lines[0].contains("upstream=e1"), "{text}");
    assert!(lines[1].contains("reason=lost"), "{text}");
    assert!(lines[2].contains("status=502"), "{text}");
}

/// Guards against lines of other hosts or from outside the given period.
#[rstest]
fn host_is_printed_for_a_period() {
    let output = explain(&[
        "--host", "front-1", "--from", "01:51:35", "--to", "01:51:40",
    ]);
    assert!(output.status.success());
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(text.contains("store: lost cause=refused"), "{text}");
}

/// Guards against empty output and exit code 0 for a mistyped request id.
#[rstest]
fn unknown_request_is_an_error() {
    let output = explain(&["r9"]);
    assert_eq!(output.status.code(), Some(1));
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(error.contains("r9"), "{error}");
}
