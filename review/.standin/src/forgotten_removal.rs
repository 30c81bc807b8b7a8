//! Two machines of a zone freeze for some seconds, one a little after the other. Between the two an
//! engine registers, and it leaves while both are frozen. Long after both have woken, requests must
//! not reach the engine through either.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
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

/// Machines by zone: four in the zone in which two freeze.
const ZONES: [&str; 19] = [
    "bp-buda", "bp-buda", "bp-buda", "bp-buda", "bp-pest", "bp-pest", "bp-pest", "bp-pest",
    "bp-pest", "bp-pest", "bp-pest", "bp-pest", "godollo", "godollo", "godollo", "godollo",
    "godollo", "godollo", "godollo",
];
/// Time after a confirmation from which an engine that is gone gets nothing (`drainMs`).
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time after which a machine that woke is in touch (`stableWindowMs`).
const STABLE: Duration = Duration::from_millis(3_000);
/// Time for which a machine is frozen (`node_freeze`, for_s 3.5).
const FREEZE: Duration = Duration::from_millis(3_500);
/// Times that this is played.
const ROUNDS: usize = 9;

/// What happened in one round.
struct Round {
    engine: String,
    removed_at: Instant,
    woken_at: Instant,
    /// Before the machine freezes again.
    in_touch_until: Instant,
}

/// Plays the case.
pub fn play(folder: &Path, has_trouble: bool) -> Verdict {
    let record = Arc::new(Record::open(&folder.join("record.txt")));
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let store = Store::start();
    let lasting = [
        Engine::start("i-one", "notice-app", "bp-buda", &runs, &record),
        Engine::start("i-two", "notice-app", "bp-buda", &runs, &record),
    ];
    store.put("op/config", &config(1, r#"["key-a"]"#, r#"["key-b"]"#));
    for engine in &lasting {
        store.put(&engine.key(), &engine.entry("ready", 1));
    }
    let root = std::env::current_dir().expect("the current folder is known");
    let mut fleet = Fleet::start(&root, &store, &ZONES);
    if !fleet.wait_until_ready(Duration::from_secs(15)) {
        return Verdict::NotRun("the routers did not become ready");
    }
    thread::sleep(Duration::from_secs(7));
    let within = Duration::from_millis(2_600);
    let idle: Vec<usize> = (0..4)
        .filter(|index| !store.is_watched_by(&fleet.nodes[*index].name, within))
        .collect();
    let [first, second] = idle[..] else {
        return Verdict::NotRun("the zone has not two machines that don't read the store");
    };
    let name = |index: usize| fleet.nodes[index].name.clone();
    record.note(&format!("{} and {} will freeze", name(first), name(second)));
    let mut clients = Clients::new(&record);
    let never = Arc::new(AtomicBool::new(false));
    let plan = Plan {
        node: name(second),
        front: fleet.nodes[second].front,
        path: "/book/1",
        key: "key-a",
        every: Duration::from_millis(60),
    };
    clients.start(plan, &never);

    let mut rounds = Vec::new();
    for number in 0..ROUNDS {
        let signal = |index: usize, signal: &str| {
            if has_trouble {
                fleet.nodes[index].signal(signal);
                record.note(&format!("{} gets {signal}", fleet.nodes[index].name));
            }
        };
        signal(first, "STOP");
        thread::sleep(Duration::from_millis(300));
        let id = format!("i-brief-{number}");
        let engine = Engine::start(&id, "notice-app", "bp-buda", &runs, &record);
        store.put(&engine.key(), &engine.entry("ready", 1));
        record.note(&format!("{id} registers"));
        thread::sleep(Duration::from_millis(1_500));
        signal(second, "STOP");
        thread::sleep(Duration::from_millis(500));
        let removed_at = store.remove(&engine.key());
        record.note_at(
            removed_at,
            &format!("the store confirmed that {id} is gone"),
        );
        thread::sleep(FREEZE - Duration::from_millis(2_300));
        signal(first, "CONT");
        thread::sleep(FREEZE - Duration::from_millis(1_700));
        signal(second, "CONT");
        let woken_at = Instant::now();
        thread::sleep(STABLE + Duration::from_millis(1_500));
        rounds.push(Round {
            engine: id,
            removed_at,
            woken_at,
            in_touch_until: Instant::now(),
        });
    }
    if !fleet.nodes[second].is_running() {
        return Verdict::NotRun("the machine has ended");
    }
    let answers = clients.finish();
    let runs = runs.lock().expect("no thread fails with the lock").clone();
    judge(&record, &answers, &runs, &rounds)
}

/// Checks that nothing sent by the machine, while it was in touch, reached an engine that had gone.
fn judge(record: &Record, answers: &[Answer], runs: &[Run], rounds: &[Round]) -> Verdict {
    let mut late = 0;
    for round in rounds {
        let found: Vec<&Run> = runs
            .iter()
            .filter(|run| run.engine == round.engine && run.at > round.removed_at + DRAIN)
            .filter(|run| run.at > round.woken_at + STABLE && run.at < round.in_touch_until)
            .filter(|run| answers.iter().any(|answer| answer.id == run.id))
            .collect();
        let Some(last) = found.last() else { continue };
        let after = last.at.duration_since(round.removed_at).as_secs_f64();
        let of_engine = runs.iter().filter(|run| run.engine == round.engine);
        let end = of_engine.map(|run| run.at).max().unwrap_or(last.at);
        let end = end.duration_since(round.removed_at).as_secs_f64();
        let line = format!(
            "DRAIN: {} requests reached {} until {after:.1} s after the store confirmed that it is \
             gone; in the rest of the run it got more, the last after {end:.1} s",
            found.len(),
            round.engine
        );
        record.note(&line);
        println!("{line}");
        late += found.len();
    }
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    if served < 200 {
        return Verdict::NotRun("too few requests were served");
    }
    if late == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
