//! Runs the operators' command as a process against a fake key-value service.

use std::fs;
use std::process::Command;
use std::time::Duration;

use rstest::rstest;
use serde_json::Value;
use snipeusher_fakes::kv::Server;
use snipeusher_router::Router;
use tempfile::TempDir;

const TEMPLATE: &str = r#"name = "letters"

[parameters]
weight = { default = 2, min = 1 }

[body]
default_class = "chat"

[body.classes.chat]
weight = "$weight"
"#;

const BINDING: &str = r#"workspace = "desk"
template = "letters"
keys = ["713d13f178b4328c3ab44ceafd1ff913c57cb8657740d70007fe1acb08fc3a48"]
"#;

/// Runs the service in a separate thread, because the tests block while they wait for processes.
fn start_server() -> Server {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            sender.send(Server::open().unwrap()).unwrap();
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().unwrap()
}

/// A server and a folder with settings and documents, in which commands run.
struct Fixture {
    server: Server,
    folder: TempDir,
}

/// Output and exit code of a command.
struct Execution {
    stdout: String,
    stderr: String,
    code: i32,
}

impl Fixture {
    fn new() -> Self {
        let server = start_server();
        let fixture = Self {
            server,
            folder: TempDir::new().unwrap(),
        };
        fixture.write(
            "settings.toml",
            &format!(
                "endpoints = [{:?}]\nedit_timeout_ms = 2000\nauthor = \"tester\"\n",
                fixture.server.url()
            ),
        );
        fixture.write("letters.toml", TEMPLATE);
        fixture.write("desk.toml", BINDING);
        fixture
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.folder.path().join(name), text).unwrap();
    }

    fn run(&self, line: &str) -> Execution {
        let output = Command::new(env!("CARGO_BIN_EXE_snipeusher"))
            .current_dir(self.folder.path())
            .args(["--settings", "settings.toml"])
            .args(line.split_whitespace())
            .output()
            .unwrap();
        Execution {
            stdout: String::from_utf8(output.stdout).unwrap(),
            stderr: String::from_utf8(output.stderr).unwrap(),
            code: output.status.code().unwrap(),
        }
    }

    fn run_ok(&self, line: &str) -> String {
        let execution = self.run(line);
        assert_eq!(
            execution.code, 0,
            "{line}: {}{}",
            execution.stdout, execution.stderr
        );
        execution.stdout
    }

    fn run_json(&self, line: &str) -> Value {
        serde_json::from_str(&self.run_ok(&format!("--json {line}"))).unwrap()
    }
}

/// Guards against commands that write a wrong document, or print a wrong revision, diff or history.
#[test]
fn documents_are_written_and_read_back() {
    let fixture = Fixture::new();
    let put = fixture.run_ok("template put letters.toml");
    assert_eq!(put, "template \"letters\" applied, revision 1\n");
    fixture.run_ok("workspace put desk.toml");
    assert_eq!(
        fixture.run_ok("template get letters").trim(),
        TEMPLATE.trim()
    );
    let set = fixture.run_json("param set --workspace desk weight 7");
    assert_eq!(
        (&set["outcome"], &set["revision"]),
        (&"applied".into(), &3.into())
    );
    fixture.run_ok("param set --template letters weight 5");
    let again = fixture.run_json("param set --template letters weight 5");
    assert_eq!(again["outcome"], "unchanged");
    let diff = fixture.run_ok("template diff letters --revision 1");
    assert_eq!(
        diff,
        "- parameters.weight.default = 2\n+ parameters.weight.default = 5\n"
    );
    assert_eq!(
        fixture
            .run_ok("template diff letters --file letters.toml")
            .lines()
            .count(),
        2
    );
    let history = fixture.run_json("template history letters");
    let revisions: Vec<_> = history["versions"].as_array().unwrap().iter().collect();
    assert_eq!(
        (&revisions[0]["revision"], &revisions[1]["revision"]),
        (&4.into(), &1.into())
    );
    assert_eq!(revisions[0]["author"], "tester");
    fixture.run_ok("template rollback letters 1");
    assert_eq!(
        fixture.run_ok("template get letters").trim(),
        TEMPLATE.trim()
    );
    assert!(
        fixture
            .run_ok("workspace list")
            .contains("workspace \"desk\" revision 3 by tester")
    );
    assert_eq!(
        fixture.run_json("template list")["documents"][0]["document"],
        "template/letters"
    );
}

/// Guards against exit codes by which a script mistakes a failure for another one or for success.
#[rstest]
#[case(
    "template put bad.toml",
    1,
    "limits.load_limit: must be above 1, not 1"
)]
#[case("template delete letters", 1, "would break workspace \"desk\"")]
#[case("template get other", 1, "there is no template \"other\"")]
#[case("param set --workspace desk weight 0", 1, "must be at least 1, not 0")]
#[case(
    "template put letters.toml --expect 7",
    3,
    "was changed by \"tester\" in revision 1"
)]
#[case("template put letters.toml --wait", 2, "routers")]
#[case("template put absent.toml", 2, "cannot read absent.toml")]
#[case("param set weight 1", 2, "needs either --workspace or --template")]
#[case("template paint letters", 2, "paint")]
fn failures_exit_with_documented_codes(#[case] line: &str, #[case] code: i32, #[case] text: &str) {
    let fixture = Fixture::new();
    fixture.write(
        "bad.toml",
        &format!("{TEMPLATE}\n[body.limits]\nload_limit = 1.0\n"),
    );
    fixture.run_ok("template put letters.toml");
    fixture.run_ok("workspace put desk.toml");
    let execution = fixture.run(line);
    assert_eq!(
        execution.code, code,
        "{}{}",
        execution.stdout, execution.stderr
    );
    assert!(execution.stderr.contains(text), "{}", execution.stderr);
    assert_eq!(
        fixture
            .server
            .with_memory(|memory| memory.revision().number),
        2
    );
}

/// Guards against a wrong exit code when the service is unavailable or a reply is lost.
#[test]
fn outages_exit_with_documented_codes() {
    let fixture = Fixture::new();
    fixture.server.set_faults(|faults| faults.down = true);
    assert_eq!(fixture.run("template put letters.toml").code, 4);
    assert_eq!(fixture.run("template list").code, 4);
    fixture.server.set_faults(|faults| faults.down = false);
    // The read succeeds; the write and all later calls fail.
    fixture
        .server
        .set_faults(|faults| faults.fail_after = Some(1));
    let execution = fixture.run("--json template put letters.toml");
    assert_eq!(execution.code, 5, "{}", execution.stderr);
    let printed: Value = serde_json::from_str(&execution.stdout).unwrap();
    assert_eq!(printed["code"], 5);
}

/// Guards against a change that is reported as in force before every reachable router has it, and
/// against unreachable routers that are missing from the report.
#[test]
fn put_waits_for_every_reachable_router() {
    let fixture = Fixture::new();
    let addresses = start_routers(&fixture.server);
    let unreachable = "http://127.0.0.1:1";
    let list = format!(
        "{:?}",
        [addresses[0].as_str(), addresses[1].as_str(), unreachable]
    );
    let url = fixture.server.url();
    let settings = |timeout_ms: u32| {
        format!("endpoints = [{url:?}]\nrouters = {list}\nwait_timeout_ms = {timeout_ms}\n")
    };
    fixture.write("settings.toml", &settings(60_000));
    let put = fixture.run_json("template put letters.toml --wait");
    assert_eq!(
        put["routers"]["in_force"].as_array().unwrap().len(),
        2,
        "{put}"
    );
    assert_eq!(
        put["routers"]["unreachable"],
        serde_json::json!([unreachable])
    );
    let status = fixture.run_ok("status");
    assert_eq!(
        status.matches("revision 1, ready, watching").count(),
        2,
        "{status}"
    );
    // Watch events are delayed beyond the test, so the routers stay behind.
    fixture
        .server
        .set_faults(|faults| faults.event_delay = Duration::from_hours(1));
    fixture.write("settings.toml", &settings(300));
    let execution = fixture.run("--json param set --template letters weight 5 --wait");
    assert_eq!(execution.code, 6, "{}", execution.stderr);
    let printed: Value = serde_json::from_str(&execution.stdout).unwrap();
    assert_eq!(printed["outcome"], "applied");
    assert_eq!(printed["routers"]["behind"].as_array().unwrap().len(), 2);
}

/// Runs two routers in a separate thread and returns their base addresses.
fn start_routers(server: &Server) -> Vec<String> {
    let url = server.url();
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let bind = |host| {
                let text = format!(
                    "host = {host:?}\nzone = \"a\"\nlisten = \"127.0.0.1:0\"\nworkers = 1\n\
                     key_value_endpoints = [{url:?}]\n"
                );
                let settings = snipeusher_router::settings::Settings::parse(&text).unwrap();
                Router::bind(settings, snipeusher_router::log::discard()).unwrap()
            };
            let routers = [bind("one"), bind("two")];
            let addresses = routers
                .iter()
                .map(|router| format!("http://{}", router.address()));
            sender.send(addresses.collect()).unwrap();
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().unwrap()
}

/// Guards against `check` missing mistakes, or failing while the service is unavailable.
#[test]
fn files_are_checked_without_the_service() {
    let fixture = Fixture::new();
    fixture.server.set_faults(|faults| faults.down = true);
    assert_eq!(
        fixture.run_ok("check letters.toml desk.toml"),
        "2 files are valid\n"
    );
    fixture.write("desk.toml", &format!("{BINDING}[parameters]\nheight = 1\n"));
    fixture.write("letters.toml", &TEMPLATE.replace("min = 1", "min = 0"));
    let execution = fixture.run("check letters.toml desk.toml");
    assert_eq!(execution.code, 1);
    let expected = "letters.toml: template \"letters\": classes.chat.weight: with weight = 0: \
                    must be above 0\n";
    assert_eq!(execution.stdout, expected);
}
