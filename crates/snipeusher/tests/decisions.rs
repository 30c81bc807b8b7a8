//! Tests of individual decisions of the machine.

use std::collections::BTreeMap;
use std::time::Duration;

use snipeusher::load::Report;
use snipeusher::load::Share;
use snipeusher::load::Work;
use snipeusher::machine::Action;
use snipeusher::machine::Event;
use snipeusher::machine::Machine;
use snipeusher::machine::Outcome;
use snipeusher::machine::Settings;
use snipeusher::name;
use snipeusher::policy::Class;
use snipeusher::policy::Limits;
use snipeusher::policy::Policy;
use snipeusher::request::Attempt;
use snipeusher::request::Chat;
use snipeusher::request::Id;
use snipeusher::request::Request;
use snipeusher::request::Target;
use snipeusher::request::Variant;
use snipeusher::time::Time;
use snipeusher::upstream::Kind;
use snipeusher::upstream::Phase;
use snipeusher::upstream::State;

fn variant() -> Variant {
    Variant {
        model: name::Model::from("quill"),
        adapter: None,
        version: name::Version::from("v1"),
    }
}

fn state(number: u64, incarnation: u64, phase: Phase) -> Event {
    Event::Upstream(State {
        name: name::Upstream::from(format!("u{number}")),
        address: String::from("127.0.0.1:1"),
        zone: name::Zone::from("et-central-a"),
        incarnation: name::Incarnation(incarnation),
        phase,
        kind: Kind::Engine([variant()].into()),
    })
}

fn policy(workspace: &str) -> Event {
    let review = Class {
        weight: 1,
        never_dropped: true,
        ..Class::default()
    };
    let classes = [("chat", Class::default()), ("review", review)];
    Event::Policy(Policy {
        workspace: name::Workspace::from(workspace),
        keys: Vec::new(),
        models: BTreeMap::new(),
        classes: classes
            .map(|(name, class)| (name::Class::from(name), class))
            .into(),
        default_class: name::Class::from("chat"),
        services: BTreeMap::new(),
        limits: Limits::default(),
    })
}

/// A request with a work of 1,000.
fn request(id: u64, workspace: &str, class: &str, chat: Option<u64>) -> Request {
    Request {
        id: Id(id),
        workspace: name::Workspace::from(workspace),
        class: name::Class::from(class),
        target: Target::Model(variant()),
        chat: chat.map(Chat),
        prompt_tokens: 600,
        output_tokens: 100,
        bytes: 100,
        deadline: Time::from_millis(3_600_000),
        idempotent: true,
    }
}

fn machine(engines: u64, capacity: u64) -> Machine {
    let mut machine = Machine::with(Settings {
        capacity: Work(capacity),
        ..Settings::default()
    });
    for engine in 0..engines {
        machine.handle(Time::default(), state(engine, 1, Phase::Live));
    }
    for workspace in ["a", "b"] {
        machine.handle(Time::default(), policy(workspace));
    }
    machine
}

fn dispatches(machine: &mut Machine) -> Vec<(u64, Attempt, name::Upstream)> {
    let actions = machine.drain().filter_map(|action| match action {
        Action::Dispatch {
            request,
            attempt,
            upstream,
            ..
        } => Some((request.0, attempt, upstream)),
        _ => None,
    });
    actions.collect()
}

fn end(attempt: Attempt, outcome: Outcome) -> Event {
    Event::End { attempt, outcome }
}

/// Guards against queues in order of arrival, in which a surge delays all other workspaces.
#[test]
fn workspace_with_less_work_in_flight_starts_first() {
    let mut machine = machine(1, 5_000);
    for id in 0..20 {
        machine.handle(Time(id), Event::Arrive(request(id, "a", "chat", None)));
    }
    let running = dispatches(&mut machine);
    machine.handle(Time(20), Event::Arrive(request(20, "b", "chat", None)));
    assert!(dispatches(&mut machine).is_empty(), "the engine is full");
    for (done, attempt, _) in running.iter().take(3) {
        machine.handle(Time(21 + done), end(*attempt, Outcome::Complete));
    }
    let started = dispatches(&mut machine);
    assert_eq!(started.first().map(|(id, _, _)| *id), Some(20));
}

/// Guards against reviews of low weight that wait as long as requests of other classes arrive.
#[test]
fn reviews_are_not_starved_by_a_steady_backlog() {
    let mut machine = machine(1, 5_000);
    machine.handle(Time(0), policy("a"));
    let mut running = Vec::new();
    for id in 0..40 {
        machine.handle(Time(id), Event::Arrive(request(id, "a", "chat", None)));
        running.extend(dispatches(&mut machine));
    }
    machine.handle(Time(40), Event::Arrive(request(40, "a", "review", None)));
    for step in 41..140 {
        let (_, attempt, _) = running.remove(0);
        machine.handle(Time(step), end(attempt, Outcome::Complete));
        machine.handle(Time(step), Event::Arrive(request(step, "a", "chat", None)));
        running.extend(dispatches(&mut machine));
        if running.iter().any(|(id, _, _)| *id == 40) {
            return;
        }
    }
    panic!("the review has not started after 99 others");
}

/// Guards against routers that send a chat to different engines because they know of different
/// engines.
#[test]
fn only_chats_of_a_leaving_engine_move() {
    let mut before = machine(12, u64::MAX);
    let mut after = machine(12, u64::MAX);
    after.handle(Time::default(), state(5, 1, Phase::Leaving));
    for chat in 0..500 {
        let choose = |machine: &mut Machine| {
            let arrive = Event::Arrive(request(chat, "a", "chat", Some(chat)));
            machine.handle(Time(chat), arrive);
            let (_, attempt, upstream) = dispatches(machine).remove(0);
            machine.handle(Time(chat), end(attempt, Outcome::Cancelled));
            machine.drain().count();
            upstream
        };
        let first = choose(&mut before);
        let second = choose(&mut after);
        assert_ne!(second.as_str(), "u5");
        assert!(
            first == second || first.as_str() == "u5",
            "chat {chat} moved"
        );
    }
}

/// Guards against routers that all fill a new, idle engine at once.
#[test]
fn routers_do_not_overload_an_idle_engine() {
    let mut loads: BTreeMap<name::Upstream, u64> = BTreeMap::new();
    for router in 0..9 {
        let mut machine = Machine::with(Settings {
            seed: router,
            ..Settings::default()
        });
        machine.handle(Time::default(), policy("a"));
        let mut in_flight = BTreeMap::new();
        for engine in 0..12 {
            machine.handle(Time::default(), state(engine, 1, Phase::Live));
            let work = if engine == 0 { 0 } else { 2_500 };
            in_flight.insert(name::Upstream::from(format!("u{engine}")), Work(work));
        }
        let share = Share {
            in_flight,
            ..Share::default()
        };
        for peer in 0..8 {
            let host = name::Host::from(format!("peer{peer}"));
            let share = share.clone();
            machine.handle(Time::default(), Event::Peer { host, share });
        }
        for id in 0..20 {
            let arrive = Event::Arrive(request(id, "a", "chat", Some(router * 100 + id)));
            machine.handle(Time(id), arrive);
        }
        for (_, _, upstream) in dispatches(&mut machine) {
            *loads.entry(upstream).or_default() += 1_000;
        }
    }
    let idle = loads.get("u0").copied().unwrap_or(0);
    let mean = (11 * 20_000 + 9 * 20 * 1_000) / 12;
    assert!(
        idle * 4 <= mean * 5,
        "the idle engine got {idle}, the mean is {mean}"
    );
}

/// Guards against an engine that restarts repeatedly and loses its work each time.
#[test]
fn hold_down_grows_with_each_restart() {
    let mut machine = machine(2, u64::MAX);
    let mut now = Time::from_millis(60_000);
    let mut holds = Vec::new();
    for run in 2..7 {
        machine.handle(now, state(0, run, Phase::Live));
        let start = now;
        while machine.accepting(&Target::Model(variant())).len() < 2 {
            now = now + Duration::from_millis(500);
            machine.handle(now, Event::Tick);
        }
        holds.push(now.since(start).as_secs());
        now = now + Duration::from_secs(1);
    }
    assert_eq!(holds, [0, 2, 4, 8, 16]);
}

/// Sends non-idempotent requests to six engines, of which all but `u4` and `u5` end attempts with
/// `outcome`.
fn machine_with_four_failing(outcome: Outcome) -> Machine {
    let mut machine = machine(6, u64::MAX);
    for id in 0..600 {
        let now = Time::from_millis(id);
        let mut non_idempotent = request(id, "a", "chat", Some(id));
        non_idempotent.idempotent = false;
        machine.handle(now, Event::Arrive(non_idempotent));
        for (_, attempt, upstream) in dispatches(&mut machine) {
            let works = ["u4", "u5"].contains(&upstream.as_str());
            let outcome = if works { Outcome::Complete } else { outcome };
            machine.handle(now, end(attempt, outcome));
        }
        machine.drain().count();
    }
    machine
}

/// Guards against failing engines that keep getting requests, and against the ejection of too
/// many engines.
#[test]
fn failing_engines_are_ejected_up_to_a_third() {
    let machine = machine_with_four_failing(Outcome::Broken);
    let accepting = machine.accepting(&Target::Model(variant()));
    assert_eq!(accepting.len(), 4, "two of six are ejected: {accepting:?}");
    assert!(accepting.iter().any(|name| name.as_str() == "u4"));
    assert!(accepting.iter().any(|name| name.as_str() == "u5"));
}

/// Guards against an unreachable zone whose engines use up all retries of a request, and against
/// engines that stay ejected after the zone is reachable again.
#[test]
fn unreachable_engines_are_ejected_until_they_report() {
    let mut machine = machine_with_four_failing(Outcome::Unreachable);
    let names = |machine: &Machine| {
        let accepting = machine.accepting(&Target::Model(variant()));
        let mut names: Vec<_> = accepting.iter().map(ToString::to_string).collect();
        names.sort_unstable();
        names
    };
    assert_eq!(names(&machine), ["u4", "u5"]);
    let report = Report {
        incarnation: name::Incarnation(1),
        sequence: 1,
        work: Work(0),
        running: 0,
        queued: 0,
        age_ms: 0,
    };
    let upstream = name::Upstream::from("u2");
    machine.handle(Time::from_millis(600), Event::Report { upstream, report });
    assert_eq!(names(&machine), ["u2", "u4", "u5"]);
}

/// Guards against caches that are lost with a leaving engine although a transfer takes less time
/// than a new prefill.
#[test]
fn caches_of_a_leaving_engine_are_transferred_to_the_next_choice() {
    let mut machine = machine(3, u64::MAX);
    machine.handle(Time(1), Event::Arrive(request(1, "a", "chat", Some(7))));
    let (_, attempt, first) = dispatches(&mut machine).remove(0);
    machine.handle(Time(2), end(attempt, Outcome::Complete));
    machine.drain().count();
    let leaving = Event::Leaving {
        upstream: first.clone(),
        incarnation: name::Incarnation(1),
    };
    machine.handle(Time(3), leaving);
    let actions: Vec<Action> = machine.drain().collect();
    let [
        Action::Transfer {
            chat,
            from,
            to,
            tokens,
        },
    ] = &*actions
    else {
        panic!("expected one transfer, got {actions:?}");
    };
    assert_eq!((*chat, from, *tokens), (Chat(7), &first, 700));
    let moved = Event::Transferred {
        chat: *chat,
        to: to.clone(),
        tokens: *tokens,
    };
    let to = to.clone();
    machine.handle(Time(4), moved);
    machine.handle(Time(5), Event::Arrive(request(2, "a", "chat", Some(7))));
    assert_eq!(dispatches(&mut machine).remove(0).2, to);
}
