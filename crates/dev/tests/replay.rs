//! Replays the recorded traces and tests the replay itself.

use std::path::Path;
use std::path::PathBuf;

use rstest::rstest;
use snipeusher::load::Share;
use snipeusher::machine::Action;
use snipeusher::machine::Event;
use snipeusher::machine::Machine;
use snipeusher::request::Attempt;
use snipeusher::request::Chat;
use snipeusher::time::Time;
use snipeusher_dev::replay;
use snipeusher_dev::replay::Subject;
use snipeusher_dev::replay::baseline::Algorithm;
use snipeusher_dev::replay::cache::Cache;
use snipeusher_dev::replay::engine::Engine;
use snipeusher_dev::replay::engine::Job;
use snipeusher_dev::replay::router::Router;
use snipeusher_dev::replay::simulation::Simulation;
use snipeusher_dev::replay::verdict;
use snipeusher_dev::trace;
use snipeusher_dev::trace::Trace;

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces")
}

fn read(name: &str) -> Trace {
    Trace::read(&folder().join(name)).unwrap()
}

/// Guards against decisions that miss an expected outcome of a recorded trace.
#[rstest]
fn recorded_outcomes_hold(#[files("../../traces/*.jsonl")] path: PathBuf) {
    let verdict = verdict::evaluate(&Trace::read(&path).unwrap());
    let table = replay::table::verdicts(std::slice::from_ref(&verdict));
    assert!(verdict.held, "{table}");
}

/// Guards against malformed traces in the folder that no other test reads.
#[rstest]
fn compared_traces_are_well_formed() {
    for path in trace::list(&folder().join("compare")).unwrap() {
        let trace = Trace::read(&path).unwrap();
        assert!(
            trace.expects.is_empty(),
            "outcomes belong into the parent folder"
        );
        assert!(!trace::expand(&trace).is_empty());
    }
}

/// Guards against nondeterminism, such as the system clock or the order of a hash map.
#[rstest]
#[case(Subject::FLEET)]
#[case(Subject::Baseline(Algorithm::TwoChoices))]
fn same_seed_gives_same_bytes(#[case] subject: Subject) {
    let trace = read("compare/deployment-churn.jsonl");
    let run = || {
        let replay = replay::run(&trace, subject);
        serde_json::to_string(&(replay.figures, replay.samples)).unwrap()
    };
    assert_eq!(run(), run());
}

/// Guards against a surge whose removal changes the generated requests of other lines.
#[rstest]
fn removing_surge_keeps_other_requests() {
    let trace = read("compare/deployment-surge.jsonl");
    let without_surge = trace::expand(&trace.without_surge());
    let mut all = trace::expand(&trace).into_iter();
    assert!(all.len() > without_surge.len());
    for request in without_surge {
        let same = |other: &trace::Request| format!("{other:?}") == format!("{request:?}");
        assert!(all.any(|other| same(&other)), "{request:?} is missing");
    }
}

/// A router that violates an invariant on purpose.
#[derive(Debug)]
struct FaultyRouter {
    machine: Machine,
    fault: Fault,
    next_attempt: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// Dispatches each request twice.
    DuplicateDispatch,
    /// Drops refusals.
    DroppedRefusal,
}

impl Router for FaultyRouter {
    fn handle(&mut self, now: Time, event: Event, _fleet: &[Engine]) {
        self.machine.handle(now, event);
    }

    fn take_actions(&mut self) -> Vec<Action> {
        let mut actions: Vec<_> = self.machine.drain().collect();
        if self.fault == Fault::DroppedRefusal {
            actions.retain(|action| !matches!(action, Action::Refuse { .. }));
            return actions;
        }
        let mut duplicates = actions.clone();
        for action in &mut duplicates {
            if let Action::Dispatch { attempt, .. } = action {
                self.next_attempt += 1;
                *attempt = Attempt(self.next_attempt);
            }
        }
        actions.extend(duplicates);
        actions
    }

    fn next_wake(&self) -> Time {
        self.machine.next_wake()
    }

    fn share(&self) -> Share {
        Share::default()
    }
}

/// Guards against a replay that misses violated invariants.
#[rstest]
#[case(Fault::DuplicateDispatch, "non-idempotent runs at most once")]
#[case(Fault::DroppedRefusal, "one final answer")]
fn violated_invariants_are_reported(#[case] fault: Fault, #[case] invariant: &str) {
    let text = r#"
        {"header":{"routers":1,"duration_ms":2000,"engines":1}}
        {"workspace":{"name":"w"}}
        {"request":{"at_ms":1,"workspace":"w","prompt_tokens":9,"output_tokens":9,"idempotent":false}}
        {"request":{"at_ms":2,"workspace":"unknown","prompt_tokens":9,"output_tokens":9}}
    "#;
    let trace = Trace::parse(Path::new("broken.jsonl"), text).unwrap();
    let requests = trace::expand(&trace);
    let create = |_| FaultyRouter {
        machine: Machine::new(0),
        fault,
        next_attempt: 1 << 40,
    };
    let tally = Simulation::new(&trace, &requests, 1, (true, false), create).run();
    let figures = tally.figures(1, 2.0);
    assert!(figures.violations.contains_key(invariant), "{figures:?}");
}

/// Guards against evicting a recently used chat and against exceeding the capacity.
#[rstest]
fn cache_evicts_least_recently_used() {
    let mut cache = Cache::new(100);
    cache.store(Chat(1), 40);
    cache.store(Chat(2), 40);
    cache.store(Chat(1), 50);
    cache.store(Chat(3), 20);
    let cached = [1, 2, 3].map(|chat| cache.peek(Chat(chat)));
    assert_eq!(cached, [50, 0, 20]);
}

/// Guards against an engine that exceeds its rate, and against drift of its outstanding work.
#[rstest]
fn engine_does_not_exceed_its_rate() {
    let mut engine = Engine::new("engine".into(), 0, false, (1_000.0, 8, 0));
    for number in 0..20 {
        let job = Job {
            attempt: Attempt(number),
            router: 0,
            request: 0,
            chat: None,
            prompt: 100,
            output: 100,
            priority: 4,
            sent: Time(0),
            work: 0,
        };
        engine.submit(Time(0), job).unwrap();
    }
    // 20 requests of 500 work each take ten seconds at least.
    let halfway = Time::from_millis(5_000);
    engine.advance(halfway);
    let outstanding = engine.outstanding(halfway);
    assert!((4_999.0..=5_500.0).contains(&outstanding), "{outstanding}");
    let progress = engine.advance(Time::from_millis(60_000));
    assert!(progress.last().unwrap().at >= Time::from_millis(10_000));
    assert!(engine.is_idle());
    assert!(engine.outstanding(Time::from_millis(60_000)) < 1e-6);
}
