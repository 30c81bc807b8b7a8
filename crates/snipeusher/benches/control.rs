//! Gossip traffic and processor time of a router by the size of the fleet.
//!
//! `cargo bench -p snipeusher --bench control` runs the state machines on the simulated network of
//! the tests. It prints one row per measurement and the slope between the first and the last.

#[path = "../tests/fleet/mod.rs"]
#[expect(dead_code, reason = "the bench uses a part of the harness")]
mod fleet;

use std::time::Duration;
use std::time::Instant;

use fleet::Fleet;
use fleet::engine;
use fleet::place;
use snipeusher::load;
use snipeusher::load::Work;
use snipeusher::member::Event;

/// Simulated time that is measured, after the same time for warm-up.
const SPAN: Duration = Duration::from_secs(20);
const ZONES_PER_REGION: usize = 3;

struct Point {
    routers: usize,
    zones: usize,
    engines: usize,
    budget: u32,
}

struct Figures {
    bytes: f64,
    peak_bytes_per_s: u64,
    percent: f64,
    silence: Duration,
}

fn measure(point: &Point) -> Figures {
    let mut fleet = Fleet::new(
        point.routers,
        point.zones,
        ZONES_PER_REGION,
        point.budget,
        1,
    );
    fleet.network.loss = 0.01;
    let states: Vec<_> = (0..point.engines)
        .map(|index| engine(index, &place(index % point.zones, ZONES_PER_REGION)))
        .collect();
    for index in 0..point.routers {
        for state in &states {
            let state = state.clone();
            fleet.event(index, Event::Status { state, sequence: 1 });
        }
        let in_flight = states.iter().step_by(states.len().div_ceil(100));
        let in_flight = in_flight.map(|state| (state.name.clone(), Work(1_000)));
        let share = load::Share {
            in_flight: in_flight.collect(),
            ..load::Share::default()
        };
        fleet.event(index, Event::Share(share));
    }
    fleet.run(SPAN);
    let before: u64 = fleet.nodes.iter().map(|node| node.bytes).sum();
    let started = Instant::now();
    fleet.run(SPAN);
    let busy = started.elapsed();
    let after: u64 = fleet.nodes.iter().map(|node| node.bytes).sum();
    let daemons = point.routers as f64;
    let peers = fleet
        .nodes
        .iter()
        .flat_map(|node| node.member.peers().values());
    Figures {
        bytes: (after - before) as f64 / daemons / SPAN.as_secs_f64(),
        peak_bytes_per_s: fleet
            .nodes
            .iter()
            .map(|node| node.most_in_a_second)
            .max()
            .unwrap_or(0),
        // Includes the simulated network, so it is an upper bound.
        percent: busy.as_secs_f64() / daemons / SPAN.as_secs_f64() * 100.0,
        silence: peers
            .map(|peer| fleet.now.since(peer.last_heartbeat))
            .max()
            .unwrap_or_default(),
    }
}

fn main() {
    let point = |routers, zones, engines, budget| Point {
        routers,
        zones,
        engines,
        budget,
    };
    let series = [
        (
            "daemons",
            vec![
                point(8, 3, 15, 10_000),
                point(65, 3, 15, 10_000),
                point(370, 17, 15, 10_000),
            ],
        ),
        (
            "engines",
            vec![
                point(65, 3, 15, 10_000),
                point(65, 3, 600, 10_000),
                point(65, 3, 3_300, 10_000),
            ],
        ),
        (
            "budget",
            vec![point(8, 3, 15, 4_000), point(370, 17, 3_300, 10_000)],
        ),
    ];
    println!(
        "| series | daemons | engines | budget B/s | B/s a daemon | most in a second | % of a core | longest silence |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (name, points) in series {
        let mut ends = Vec::new();
        for point in &points {
            let figures = measure(point);
            println!(
                "| {name} | {} | {} | {} | {:.0} | {} | {:.3} | {:.1} s |",
                point.routers,
                point.engines,
                point.budget,
                figures.bytes,
                figures.peak_bytes_per_s,
                figures.percent,
                figures.silence.as_secs_f64(),
            );
            ends.push((point.routers as f64, point.engines as f64, figures));
        }
        let (Some(first), Some(last)) = (ends.first(), ends.last()) else {
            continue;
        };
        let steps = if name == "engines" {
            last.1 - first.1
        } else {
            last.0 - first.0
        };
        println!(
            "{name}: {:.2} B/s and {:.6} % of a core for each one more",
            (last.2.bytes - first.2.bytes) / steps,
            (last.2.percent - first.2.percent) / steps,
        );
    }
}
