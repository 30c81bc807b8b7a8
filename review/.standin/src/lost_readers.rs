//! Machines are lost for good, and just after that the operator changes the config and an engine
//! leaves. The machines that are left have a store that answers.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client::Answer;
use crate::client::Clients;
use crate::client::Plan;
use crate::config::config;
use crate::engine::Engine;
use crate::engine::Run;
use crate::engine::Runs;
use crate::fleet::Fleet;
use crate::record::Record;
use crate::store::Store;

/// Machines by zone, as at the site.
const ZONES: [&str; 7] = [
    "bp-buda", "bp-buda", "bp-buda", "bp-pest", "bp-pest", "godollo", "godollo",
];
/// Time after a confirmation by which a config is in force (`configApplyMs`).
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Time after a confirmation from which an engine that leaves gets nothing (`drainMs`).
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time for which the fleet runs before the loss.
const SETTLING: Duration = Duration::from_secs(12);
/// Time for which requests are watched after the changes.
const WATCHED: Duration = Duration::from_secs(9);

/// Plays the case.
pub fn play(folder: &Path, has_trouble: bool) -> Verdict {
    let record = Arc::new(Record::open(&folder.join("record.txt")));
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let store = Store::start();
    let engines = [
        Engine::start("i-stays", "notice-app", "bp-buda", &runs, &record),
        Engine::start("i-leaves", "notice-app", "bp-pest", &runs, &record),
    ];
    store.put(
        "op/config",
        &config(1, r#"["key-kept"]"#, r#"["key-taken"]"#),
    );
    for engine in &engines {
        store.put(&engine.key(), &engine.entry("ready", 1));
    }
    let root = std::env::current_dir().expect("the current folder is known");
    let mut fleet = Fleet::start(&root, &store, &ZONES);
    record.note("seven routers were started");
    if !fleet.wait_until_ready(Duration::from_secs(15)) {
        return Verdict::NotRun("the routers did not become ready");
    }
    record.note("all routers are ready");
    let mut clients = Clients::new(&record);
    let lost = Arc::new(AtomicBool::new(false));
    let kept = Arc::new(AtomicBool::new(false));
    thread::sleep(SETTLING);

    // The machines that have no watch at the store are those that stay.
    let within = Duration::from_secs(4);
    let stays = |name: &str| !store.is_watched_by(name, within);
    let staying: Vec<String> = fleet
        .nodes
        .iter()
        .filter(|node| stays(&node.name))
        .map(|node| node.name.clone())
        .collect();
    if staying.is_empty() || staying.len() == fleet.nodes.len() {
        return Verdict::NotRun("no machine is left");
    }
    record.note(&format!("machines that stay: {}", staying.join(", ")));
    for node in &fleet.nodes {
        let until = if staying.contains(&node.name) {
            &kept
        } else {
            &lost
        };
        for key in ["key-kept", "key-taken"] {
            let plan = Plan {
                node: node.name.clone(),
                front: node.front,
                path: "/book/1",
                key,
                every: Duration::from_millis(50),
            };
            clients.start(plan, until);
        }
    }
    thread::sleep(Duration::from_secs(3));

    if has_trouble {
        lost.store(true, Ordering::SeqCst);
        for node in &mut fleet.nodes {
            if !staying.contains(&node.name) {
                node.kill();
                record.note(&format!("{} lost power for good", node.name));
            }
        }
    }
    let config_at = store.put("op/config", &config(2, r#"["key-kept"]"#, "[]"));
    record.note_at(
        config_at,
        "the store confirmed version 2, without key-taken",
    );
    let leaving_at = store.put(&engines[1].key(), &engines[1].entry("draining", 2));
    record.note_at(leaving_at, "the store confirmed that i-leaves is draining");
    thread::sleep(WATCHED);
    let all_run = fleet
        .nodes
        .iter_mut()
        .all(|node| !staying.contains(&node.name) || node.is_running());
    let answers = clients.finish();
    let runs = runs.lock().expect("no thread fails with the lock").clone();
    if !all_run {
        record.note("a machine that stays has ended");
        return Verdict::NotRun("a machine that stays has ended");
    }
    judge(&record, &answers, &runs, config_at, leaving_at, &staying)
}

/// Checks what consumers and engines saw at the machines that stay.
fn judge(
    record: &Record,
    answers: &[Answer],
    runs: &[Run],
    config_at: Instant,
    leaving_at: Instant,
    staying: &[String],
) -> Verdict {
    let of_staying = |id: &str| {
        let mut answers = answers.iter();
        answers.any(|answer| answer.id == id && staying.contains(&answer.node))
    };
    let taken: Vec<&Answer> = answers
        .iter()
        .filter(|answer| staying.contains(&answer.node) && answer.key == "key-taken")
        .filter(|answer| answer.sent > config_at + CONFIG_APPLY && answer.status == 200)
        .filter(|answer| runs.iter().any(|run| run.id == answer.id))
        .collect();
    let late: Vec<&Run> = runs
        .iter()
        .filter(|run| run.engine == "i-leaves" && run.at > leaving_at + DRAIN)
        .filter(|run| of_staying(&run.id))
        .collect();
    let before = answers
        .iter()
        .filter(|answer| staying.contains(&answer.node) && answer.sent < config_at);
    let served = before.filter(|answer| answer.status == 200).count();
    record.note(&format!(
        "{served} requests were served at these machines before"
    ));
    if served < 20 {
        return Verdict::NotRun("too few requests were served before the changes");
    }
    report(
        record,
        "CONFIG: requests with key-taken ran although sent later than configApplyMs",
        taken.len(),
        taken
            .last()
            .map(|answer| answer.sent.duration_since(config_at)),
    );
    report(
        record,
        "DRAIN: requests reached i-leaves later than drainMs",
        late.len(),
        late.last().map(|run| run.at.duration_since(leaving_at)),
    );
    if taken.is_empty() && late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

fn report(record: &Record, text: &str, count: usize, last: Option<Duration>) {
    let last = last.unwrap_or_default().as_secs_f64();
    let line = format!("{text}: {count}, the last {last:.3} s after the confirmation");
    record.note(&line);
    println!("{line}");
}
