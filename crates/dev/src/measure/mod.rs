//! Measures how memory and time grow per chat, engine, workspace and peer. `docs/CAPACITY.md`
//! derives the needs of the target from these slopes.
//!
//! Memory is the growth of the resident set while all machines stay alive, so it includes the
//! allocator's overhead. Times are means over many events on one core.

pub mod path;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::hint::black_box;
use std::io;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use serde::Serialize;
use snafu::OptionExt as _;
use snafu::ResultExt as _;
use snafu::Snafu;
use snipeusher::load::Share;
use snipeusher::load::Work;
use snipeusher::machine::Action;
use snipeusher::machine::Event;
use snipeusher::machine::Machine;
use snipeusher::machine::Outcome;
use snipeusher::name;
use snipeusher::policy::Policy;
use snipeusher::request::Chat;
use snipeusher::request::Id;
use snipeusher::request::Request;
use snipeusher::request::Target;
use snipeusher::request::Variant;
use snipeusher::time::Time;
use snipeusher::upstream;

/// Number of events per mean time.
const EVENTS: u64 = 20_000;
/// Upstreams in the share of a peer, as at the target.
const SHARE_ENTRIES: u64 = 100;

/// Print the slopes of state and time per chat, engine, workspace and peer.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "measure")]
pub struct Measure {
    /// print JSON
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    subcommand: Option<Subcommand>,
}

/// Measurements other than the slopes.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Path(path::Path),
}

/// An error of the measurement.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The process status cannot be read.
    #[snafu(display("cannot read /proc/self/status: {source}"))]
    Status {
        /// The cause.
        source: io::Error,
    },
    /// The request path cannot be measured.
    #[snafu(display("{source}"))]
    Path {
        /// The cause.
        source: path::Error,
    },
    /// The process status has no resident set size.
    #[snafu(display("/proc/self/status has no VmRSS"))]
    NoResidentSize,
}

/// The slope of memory and time between two counts.
#[derive(Clone, Debug, Serialize)]
struct Slope {
    per: &'static str,
    from: u64,
    to: u64,
    bytes_each: f64,
    event: &'static str,
    ns_at_from: f64,
    ns_at_to: f64,
    ns_each: f64,
}

/// Runs the measurement and prints its results.
pub fn run(options: &Measure) -> Result<(), Error> {
    if let Some(Subcommand::Path(path)) = &options.subcommand {
        return path::run(path).context(PathSnafu);
    }
    let mut machines = Vec::new();
    let slopes = [
        slope(&mut machines, "engine", (60, 600), "placement", engines)?,
        slope(&mut machines, "engine", (600, 6_000), "placement", engines)?,
        slope(
            &mut machines,
            "workspace",
            (100, 50_000),
            "placement",
            workspaces,
        )?,
        slope(
            &mut machines,
            "peer",
            (8, 370),
            "a peer's share of 100 entries",
            peers,
        )?,
        slope(&mut machines, "chat", (1_000, 400_000), "placement", chats)?,
        slope(
            &mut machines,
            "request in flight",
            (100, 50_000),
            "arrival",
            in_flight,
        )?,
    ];
    black_box(&machines);
    if options.json {
        println!("{}", serde_json::json!(slopes));
        return Ok(());
    }
    println!("| per | from | to | bytes each | event | ns at from | ns at to | ns each |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for slope in slopes {
        println!(
            "| {} | {} | {} | {:.0} | {} | {:.0} | {:.0} | {:.3} |",
            slope.per,
            slope.from,
            slope.to,
            slope.bytes_each,
            slope.event,
            slope.ns_at_from,
            slope.ns_at_to,
            slope.ns_each,
        );
    }
    Ok(())
}

/// Builds a machine of each count and returns the slope. Both machines stay alive in `machines`.
fn slope(
    machines: &mut Vec<Machine>,
    per: &'static str,
    (from, to): (u64, u64),
    event: &'static str,
    build: impl Fn(u64) -> (Machine, Duration),
) -> Result<Slope, Error> {
    let mut measure = |count| {
        let before = resident_bytes()?;
        let (machine, time) = build(count);
        machines.push(machine);
        Ok((
            resident_bytes()?.saturating_sub(before),
            time.as_nanos() as f64,
        ))
    };
    let (bytes_at_from, ns_at_from) = measure(from)?;
    let (bytes_at_to, ns_at_to) = measure(to)?;
    let count = (to - from) as f64;
    Ok(Slope {
        per,
        from,
        to,
        bytes_each: bytes_at_to.saturating_sub(bytes_at_from) as f64 / count,
        event,
        ns_at_from,
        ns_at_to,
        ns_each: (ns_at_to - ns_at_from) / count,
    })
}

fn resident_bytes() -> Result<u64, Error> {
    let status = fs::read_to_string("/proc/self/status").context(StatusSnafu)?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    let kib: Option<u64> = kib.and_then(|kib| kib.parse().ok());
    Ok(kib.context(NoResidentSizeSnafu)? * 1_024)
}

fn engines(count: u64) -> (Machine, Duration) {
    let mut machine = fleet(count, 1);
    let time = mean_placement_time(&mut machine, 1_000);
    (machine, time)
}

fn workspaces(count: u64) -> (Machine, Duration) {
    let mut machine = fleet(600, count);
    let time = mean_placement_time(&mut machine, 1_000);
    (machine, time)
}

fn chats(count: u64) -> (Machine, Duration) {
    let mut machine = fleet(60, 1);
    for number in 0..count {
        black_box(run_request(&mut machine, number, number));
    }
    let time = mean_placement_time(&mut machine, count);
    (machine, time)
}

fn in_flight(count: u64) -> (Machine, Duration) {
    let mut machine = fleet(60, 1);
    let begin = Instant::now();
    for number in 0..count {
        let now = Time::from_millis(number);
        machine.handle(now, Event::Arrive(request(number, number)));
        black_box(machine.drain().count());
    }
    let mean = begin.elapsed() / u32::try_from(count).unwrap_or(u32::MAX);
    (machine, mean)
}

fn peers(count: u64) -> (Machine, Duration) {
    let mut machine = fleet(600, 1);
    let mut spent = Duration::ZERO;
    let events = EVENTS.max(count) / count * count;
    for number in 0..events {
        let first = number % 500;
        let entry = |at| (upstream_name(first + at), Work(1_000));
        let in_flight = (0..SHARE_ENTRIES).map(entry).collect();
        let event = Event::Peer {
            host: name::Host::from(format!("router-{:04}", number % count)),
            share: Share {
                in_flight,
                ..Share::default()
            },
        };
        let now = Time::from_millis(number * 500 / count);
        let begin = Instant::now();
        machine.handle(now, event);
        spent += begin.elapsed();
        black_box(machine.drain().count());
    }
    (machine, spent / u32::try_from(events).unwrap_or(u32::MAX))
}

/// Returns the mean time of a placement among `chats` chats. Each request runs to its end.
fn mean_placement_time(machine: &mut Machine, chats: u64) -> Duration {
    let spent = (0..EVENTS).map(|number| run_request(machine, 1 << 40 | number, number % chats));
    spent.sum::<Duration>() / EVENTS as u32
}

/// Runs a request from arrival to end and returns the time of its placement.
fn run_request(machine: &mut Machine, number: u64, chat: u64) -> Duration {
    let now = Time::from_millis(number & 0xffff_ffff);
    let event = Event::Arrive(request(number, chat));
    let begin = Instant::now();
    machine.handle(now, event);
    let spent = begin.elapsed();
    let actions: Vec<_> = machine.drain().collect();
    for action in actions {
        let Action::Dispatch { attempt, .. } = action else {
            continue;
        };
        machine.handle(now, Event::Sent(attempt));
        let event = Event::Output {
            attempt,
            tokens: 100,
            cached: Some(500),
        };
        machine.handle(now, event);
        let outcome = Outcome::Complete;
        machine.handle(now, Event::End { attempt, outcome });
    }
    black_box(machine.drain().count());
    spent
}

fn request(number: u64, chat: u64) -> Request {
    Request {
        id: Id(number),
        workspace: workspace_name(0),
        class: "chat".into(),
        target: Target::Model(variant()),
        chat: Some(Chat(chat.wrapping_mul(0x9e37_79b9_7f4a_7c15))),
        prompt_tokens: 1_000,
        output_tokens: 200,
        bytes: 4_000,
        deadline: Time::NEVER,
        idempotent: true,
    }
}

fn fleet(engines: u64, workspaces: u64) -> Machine {
    let mut machine = Machine::new(0);
    for number in 0..workspaces {
        machine.handle(Time(0), Event::Policy(policy(number)));
    }
    for number in 0..engines {
        machine.handle(Time(0), Event::Upstream(state(number)));
    }
    machine
}

fn policy(number: u64) -> Policy {
    let class = name::Class::from("chat");
    Policy {
        workspace: workspace_name(number),
        keys: Vec::new(),
        models: BTreeMap::new(),
        classes: BTreeMap::from([(class.clone(), snipeusher::policy::Class::default())]),
        default_class: class,
        services: BTreeMap::new(),
        limits: snipeusher::policy::Limits::default(),
    }
}

fn state(number: u64) -> upstream::State {
    upstream::State {
        name: upstream_name(number),
        address: format!("10.0.{}.{}:8000", number / 250, number % 250),
        zone: name::Zone::from(["a", "b", "c"][number as usize % 3]),
        incarnation: name::Incarnation(1),
        phase: upstream::Phase::Live,
        kind: upstream::Kind::Engine(BTreeSet::from([variant()])),
    }
}

fn variant() -> Variant {
    Variant {
        model: "quill-llm".into(),
        adapter: None,
        version: "1".into(),
    }
}

fn upstream_name(number: u64) -> name::Upstream {
    name::Upstream::from(format!("engine-{number:04}"))
}

fn workspace_name(number: u64) -> name::Workspace {
    name::Workspace::from(format!("workspace-{number:04}"))
}
