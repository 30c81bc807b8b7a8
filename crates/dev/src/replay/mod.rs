//! Replays a trace on a discrete clock and holds it against its stated outcomes.
//!
//! Several routers decide against small fake engines; nothing here opens a socket or reads a
//! clock, so the same trace gives the same output byte for byte.

pub mod baseline;
pub mod cache;
mod carry;
pub mod command;
mod control;
pub mod engine;
mod fleet;
mod membership;
mod occur;
mod parts;
pub mod platform;
pub mod router;
pub mod seat;
pub mod table;
pub mod tally;
pub mod verdict;
pub mod world;

use baseline::Baseline;
use baseline::Rule;
use serde::Serialize;
use snipeusher::load;
use snipeusher::load::Strategy;
use snipeusher::load::Work;
use snipeusher::machine::Machine;
use snipeusher::machine::Settings;
use tally::Figures;
use tally::Sample;
use tally::Tally;
use world::World;

use crate::trace::Request;
use crate::trace::Trace;
use crate::trace::expand;

/// What routes in a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// The decisions of the project, with a way to judge load.
    Fleet(Way),
    /// A baseline.
    Baseline(Rule),
}

/// A way to judge load that the project's decisions may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Way {
    /// Reports corrected by the peers' shares, the default.
    Peers,
    /// Reports and own work only.
    Reports,
    /// A fixed share of the headroom for each router.
    Headroom,
    /// Admission for an engine at one router of its zone.
    Admission,
}

impl Subject {
    /// The decisions as shipped.
    pub const FLEET: Self = Self::Fleet(Way::Peers);
    /// All that a comparison shows.
    pub const ALL: [Self; 9] = [
        Self::FLEET,
        Self::Fleet(Way::Reports),
        Self::Fleet(Way::Headroom),
        Self::Fleet(Way::Admission),
        Self::Baseline(Rule::RoundRobin),
        Self::Baseline(Rule::LeastLoaded),
        Self::Baseline(Rule::TwoChoices),
        Self::Baseline(Rule::Hashing),
        Self::Baseline(Rule::FullKnowledge),
    ];

    /// Its name in tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Fleet(Way::Peers) => "snipeusher",
            Self::Fleet(Way::Reports) => "snipeusher, reports only",
            Self::Fleet(Way::Headroom) => "snipeusher, share of headroom",
            Self::Fleet(Way::Admission) => "snipeusher, admission by zone",
            Self::Baseline(Rule::RoundRobin) => "round robin",
            Self::Baseline(Rule::LeastLoaded) => "least loaded, lagged",
            Self::Baseline(Rule::TwoChoices) => "two random choices",
            Self::Baseline(Rule::Hashing) => "hashing, no bound",
            Self::Baseline(Rule::FullKnowledge) => "full knowledge, one router",
        }
    }
}

/// A trace that was replayed.
#[derive(Clone, Debug)]
pub struct Replay {
    /// The figures.
    pub figures: Figures,
    /// Samples over time.
    pub samples: Vec<Sample>,
}

/// Replays a trace.
pub fn run(trace: &Trace, subject: Subject) -> Replay {
    let requests = expand(trace);
    let routers = trace.header.routers;
    let seed = trace.header.seed;
    let (routers, tally) = match subject {
        Subject::Fleet(way) => {
            let tally = match way {
                Way::Peers => fleet_run::<load::Peers>(trace, &requests),
                Way::Reports => fleet_run::<load::Reports>(trace, &requests),
                Way::Headroom => fleet_run::<load::Headroom>(trace, &requests),
                Way::Admission => fleet_run::<load::Admission>(trace, &requests),
            };
            (routers, tally)
        }
        Subject::Baseline(rule) => {
            let routers = if rule == Rule::FullKnowledge {
                1
            } else {
                routers
            };
            let probes = matches!(rule, Rule::LeastLoaded | Rule::TwoChoices);
            let make = |number| Baseline::new(rule, first_attempt(number), seed + number as u64);
            let world = World::new(trace, &requests, routers, (probes, false), make);
            (routers, world.run())
        }
    };
    let seconds = trace.header.duration_ms as f64 / 1e3;
    let Tally { samples, .. } = &tally;
    Replay {
        figures: tally.figures(routers, seconds),
        samples: samples.clone(),
    }
}

fn fleet_run<S: Strategy>(trace: &Trace, requests: &[Request]) -> Tally {
    let header = &trace.header;
    let make = |number: usize| {
        let zones = header.zones.len().max(1);
        let defaults = Settings::default();
        Machine::<S>::with(Settings {
            host: platform::host(number),
            zone: header.zones.get(number % zones).cloned(),
            first_attempt: first_attempt(number),
            seed: header.seed + number as u64,
            capacity: header.capacity.map_or(defaults.capacity, Work),
        })
    };
    World::new(trace, requests, header.routers, (true, true), make).run()
}

/// Attempts of different routers must differ, as the identities of different hosts do.
const fn first_attempt(number: usize) -> u64 {
    (number as u64) << 32
}
