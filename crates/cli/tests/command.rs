//! The operators' command as a process against the fake service.

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

/// Runs the service in a thread of its own, since the tests wait for processes.
fn serve() -> Server {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            sender.send(Server::open().unwrap()).unwrap();
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().unwrap()
}

struct Desk {
    server: Server,
    folder: TempDir,
}

/// What a command printed, and its exit code.
struct Ran {
    out: String,
    err: String,
    code: i32,
}

impl Desk {
    fn open() -> Self {
        let server = serve();
        let desk = Self {
            server,
            folder: TempDir::new().unwrap(),
        };
        desk.write(
            "settings.toml",
            &format!(
                "endpoints = [{:?}]\nedit_timeout_ms = 2000\nauthor = \"tester\"\n",
                desk.server.url()
            ),
        );
        desk.write("letters.toml", TEMPLATE);
        desk.write("desk.toml", BINDING);
        desk
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.folder.path().join(name), text).unwrap();
    }

    fn run(&self, line: &str) -> Ran {
        let output = Command::new(env!("CARGO_BIN_EXE_snipeusher"))
            .current_dir(self.folder.path())
            .args(["--settings", "settings.toml"])
            .args(line.split_whitespace())
            .output()
            .unwrap();
        Ran {
            out: String::from_utf8(output.stdout).unwrap(),
            err: String::from_utf8(output.stderr).unwrap(),
            code: output.status.code().unwrap(),
        }
    }

    fn done(&self, line: &str) -> String {
        let ran = self.run(line);
        assert_eq!(ran.code, 0, "{line}: {}{}", ran.out, ran.err);
        ran.out
    }

    fn json(&self, line: &str) -> Value {
        serde_json::from_str(&self.done(&format!("--json {line}"))).unwrap()
    }
}

/// Guards against commands that do or print something else than they say.
#[test]
fn documents_go_in_and_come_out() {
    let desk = Desk::open();
    let put = desk.done("template put letters.toml");
    assert_eq!(put, "template \"letters\" applied, revision 1\n");
    desk.done("workspace put desk.toml");
    assert_eq!(desk.done("template get letters").trim(), TEMPLATE.trim());
    let set = desk.json("param set --workspace desk weight 7");
    assert_eq!(
        (&set["outcome"], &set["revision"]),
        (&"applied".into(), &3.into())
    );
    desk.done("param set --template letters weight 5");
    let again = desk.json("param set --template letters weight 5");
    assert_eq!(again["outcome"], "unchanged");
    let diff = desk.done("template diff letters --revision 1");
    assert_eq!(
        diff,
        "- parameters.weight.default = 2\n+ parameters.weight.default = 5\n"
    );
    assert_eq!(
        desk.done("template diff letters --file letters.toml")
            .lines()
            .count(),
        2
    );
    let history = desk.json("template history letters");
    let revisions: Vec<_> = history["versions"].as_array().unwrap().iter().collect();
    assert_eq!(
        (&revisions[0]["revision"], &revisions[1]["revision"]),
        (&4.into(), &1.into())
    );
    assert_eq!(revisions[0]["author"], "tester");
    desk.done("template rollback letters 1");
    assert_eq!(desk.done("template get letters").trim(), TEMPLATE.trim());
    assert!(
        desk.done("workspace list")
            .contains("workspace \"desk\" revision 3 by tester")
    );
    assert_eq!(
        desk.json("template list")["documents"][0]["document"],
        "template/letters"
    );
}

/// Guards against a script that takes a failure for another one, or for success.
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
fn failures_have_their_codes(#[case] line: &str, #[case] code: i32, #[case] text: &str) {
    let desk = Desk::open();
    desk.write(
        "bad.toml",
        &format!("{TEMPLATE}\n[body.limits]\nload_limit = 1.0\n"),
    );
    desk.done("template put letters.toml");
    desk.done("workspace put desk.toml");
    let ran = desk.run(line);
    assert_eq!(ran.code, code, "{}{}", ran.out, ran.err);
    assert!(ran.err.contains(text), "{}", ran.err);
    assert_eq!(desk.server.with_memory(|memory| memory.revision().0), 2);
}

/// Guards against a wrong report when the service is out or loses a reply.
#[test]
fn outages_have_their_codes() {
    let desk = Desk::open();
    desk.server.set_faults(|faults| faults.down = true);
    assert_eq!(desk.run("template put letters.toml").code, 4);
    assert_eq!(desk.run("template list").code, 4);
    desk.server.set_faults(|faults| faults.down = false);
    // The read is answered, the write and all that follows are lost.
    desk.server.set_faults(|faults| faults.lose_after = Some(1));
    let ran = desk.run("--json template put letters.toml");
    assert_eq!(ran.code, 5, "{}", ran.err);
    let printed: Value = serde_json::from_str(&ran.out).unwrap();
    assert_eq!(printed["code"], 5);
}

/// Guards against a change that counts as in force while a router lacks it, and against routers
/// that are not named.
#[test]
fn put_waits_for_every_reachable_router() {
    let desk = Desk::open();
    let addresses = serve_routers(&desk.server);
    let gone = "http://127.0.0.1:1";
    let list = format!("{:?}", [addresses[0].as_str(), addresses[1].as_str(), gone]);
    let url = desk.server.url();
    let settings = |patience: u32| {
        format!("endpoints = [{url:?}]\nrouters = {list}\nwait_timeout_ms = {patience}\n")
    };
    desk.write("settings.toml", &settings(60_000));
    let put = desk.json("template put letters.toml --wait");
    assert_eq!(
        put["routers"]["in_force"].as_array().unwrap().len(),
        2,
        "{put}"
    );
    assert_eq!(put["routers"]["unreachable"], serde_json::json!([gone]));
    let status = desk.done("status");
    assert_eq!(
        status.matches("revision 1, ready, watching").count(),
        2,
        "{status}"
    );
    // Events that never come leave the routers behind.
    desk.server
        .set_faults(|faults| faults.event_delay = Duration::from_hours(1));
    desk.write("settings.toml", &settings(300));
    let ran = desk.run("--json param set --template letters weight 5 --wait");
    assert_eq!(ran.code, 6, "{}", ran.err);
    let printed: Value = serde_json::from_str(&ran.out).unwrap();
    assert_eq!(printed["outcome"], "applied");
    assert_eq!(printed["routers"]["behind"].as_array().unwrap().len(), 2);
}

/// Runs two routers in a thread of their own and gives their base addresses.
fn serve_routers(server: &Server) -> Vec<String> {
    let url = server.url();
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let open = |host| {
                let text = format!(
                    "host = {host:?}\nzone = \"a\"\nlisten = \"127.0.0.1:0\"\nworkers = 1\n\
                     key_value_endpoints = [{url:?}]\n"
                );
                let settings = snipeusher_router::settings::Settings::parse(&text).unwrap();
                Router::bind(settings, snipeusher_router::log::discard()).unwrap()
            };
            let routers = [open("one"), open("two")];
            let addresses = routers
                .iter()
                .map(|router| format!("http://{}", router.address()));
            sender.send(addresses.collect()).unwrap();
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().unwrap()
}

/// Guards against a check that misses mistakes, or needs the service.
#[test]
fn files_are_checked_without_the_service() {
    let desk = Desk::open();
    desk.server.set_faults(|faults| faults.down = true);
    assert_eq!(
        desk.done("check letters.toml desk.toml"),
        "2 files are valid\n"
    );
    desk.write("desk.toml", &format!("{BINDING}[parameters]\nheight = 1\n"));
    desk.write("letters.toml", &TEMPLATE.replace("min = 1", "min = 0"));
    let ran = desk.run("check letters.toml desk.toml");
    assert_eq!(ran.code, 1);
    let expected = "letters.toml: template \"letters\": classes.chat.weight: with weight = 0: \
                    must be above 0\n";
    assert_eq!(ran.out, expected);
}
