//! Runs the daemon as a process.

use std::io::BufRead as _;
use std::io::BufReader;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use awc::Client;
use futures_util::StreamExt as _;
use serde_json::Value;
use serde_json::json;
use snipeusher_fakes::engine::Engine;
use snipeusher_fakes::engine::Options;

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

fn daemon(settings: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_snipeusherd"));
    command.current_dir(ROOT).arg("--settings").arg(settings);
    command
}

/// Guards against example settings that the daemon rejects.
#[test]
fn check_accepts_the_example() {
    let path = Path::new("examples/snipeusherd.toml");
    let output = daemon(path).arg("--check").output().expect("a run");
    assert!(output.status.success(), "{output:?}");
    assert_eq!(output.stdout, b"examples/snipeusherd.toml: ok\n");
}

/// Guards against mistakes in settings that `--check` misses.
#[test]
fn check_reports_all_mistakes() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("settings.toml");
    std::fs::write(&path, "zone = 3\nworkers = 0\n").expect("a file");
    let output = daemon(&path).arg("--check").output().expect("a run");
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).expect("text");
    for mistake in ["host is missing", "zone = 3", "workers = 0"] {
        assert!(text.contains(mistake), "{text}");
    }
    let text = "host = \"h\"\nzone = \"z\"\ndocuments = \"/nowhere\"\n";
    std::fs::write(&path, text).expect("a file");
    let output = daemon(&path).arg("--check").output().expect("a run");
    assert_eq!(output.status.code(), Some(1));
}

/// Returns the address of the daemon from its JSON log.
fn read_address(child: &mut Child) -> String {
    let lines = BufReader::new(child.stderr.take().expect("a pipe")).lines();
    for line in lines {
        let record: Value = serde_json::from_str(&line.expect("a line")).expect("JSON");
        if record["msg"] == "router: listening" {
            return record["address"].as_str().expect("an address").to_owned();
        }
    }
    panic!("the daemon does not listen");
}

/// Guards against a SIGTERM that cuts off a stream in flight, or ends in an exit code other than 0.
#[actix_rt::test]
async fn sigterm_completes_streams_in_flight() {
    let engine = Engine::bind(Options {
        output_token: Duration::from_millis(20),
        ..Options::default()
    })
    .expect("an engine");
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("settings.toml");
    let text = format!(
        "host = \"h\"\nzone = \"z\"\nlisten = \"127.0.0.1:0\"\nlog = \"json\"\n\
         documents = \"examples\"\nbalancer_delay_ms = 0\nprobe_interval_ms = 20\n\
         [[upstreams]]\nname = \"engine\"\naddress = \"{}\"\n",
        engine.address()
    );
    std::fs::write(&path, text).expect("a file");
    let mut child = daemon(&path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("a start");
    let url = format!("http://{}/v1/chat/completions", read_address(&mut child));
    let body = json!({
        "model": "quill-llm",
        "stream": true,
        "max_tokens": 50,
        "messages": [{ "role": "user", "content": "A letter" }],
    });
    let client = Client::builder().timeout(Duration::from_secs(30)).finish();
    let mut response = loop {
        let request = client.post(&url).bearer_auth("reading-circle-key");
        let response = request.send_json(&body).await.expect("an answer");
        if response.status().is_success() {
            break response;
        }
        // The router has not received the first status of the engine yet.
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    };
    let kill = Command::new("kill").arg(child.id().to_string()).status();
    assert!(kill.expect("a signal").success());
    let mut bytes = Vec::new();
    while let Some(part) = response.next().await {
        bytes.extend_from_slice(&part.expect("no break"));
    }
    let text = String::from_utf8(bytes).expect("text");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    assert_eq!(text.matches("data: ").count(), 52);
    let status = child.wait().expect("an end");
    assert_eq!(status.code(), Some(0));
}
