//! Replays a trace in a discrete-event simulation and checks its expected outcomes.
//!
//! Several routers run against simulated engines. No code here opens a socket or reads the system
//! clock, so the same trace gives the same output byte for byte.

pub mod baseline;
pub mod cache;
mod client;
pub mod command;
mod control;
pub mod engine;
mod event;
mod fleet;
mod membership;
pub mod node;
pub mod router;
pub mod simulation;
pub mod store;
pub mod table;
pub mod tally;
mod transport;
pub mod verdict;

use baseline::Algorithm;
use baseline::Baseline;
use serde::Serialize;
use simulation::Simulation;
use snipeusher::load;
use snipeusher::load::Strategy;
use snipeusher::load::Work;
use snipeusher::machine::Machine;
use snipeusher::machine::Settings;
use tally::Figures;
use tally::Sample;
use tally::Tally;

use crate::trace::Request;
use crate::trace::Trace;
use crate::trace::expand;

/// The routing logic that a replay runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// The project's decisions with a load estimator.
    Fleet(Estimator),
    /// A baseline algorithm.
    Baseline(Algorithm),
}

/// How the project's decisions estimate load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Estimator {
    /// Load reports corrected by the peers' shares (default).
    Peers,
    /// Load reports and the router's own work only.
    Reports,
    /// Each router gets a fixed share of the headroom.
    Headroom,
    /// One router of each engine's zone admits its requests.
    Admission,
}

impl Subject {
    /// The project's decisions with the default estimator.
    pub const FLEET: Self = Self::Fleet(Estimator::Peers);
    /// All subjects of a comparison.
    pub const ALL: [Self; 9] = [
        Self::FLEET,
        Self::Fleet(Estimator::Reports),
        Self::Fleet(Estimator::Headroom),
        Self::Fleet(Estimator::Admission),
        Self::Baseline(Algorithm::RoundRobin),
        Self::Baseline(Algorithm::LeastLoaded),
        Self::Baseline(Algorithm::TwoChoices),
        Self::Baseline(Algorithm::Hashing),
        Self::Baseline(Algorithm::FullKnowledge),
    ];

    /// Returns the name used in tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Fleet(Estimator::Peers) => "snipeusher",
            Self::Fleet(Estimator::Reports) => "snipeusher, reports only",
            Self::Fleet(Estimator::Headroom) => "snipeusher, share of headroom",
            Self::Fleet(Estimator::Admission) => "snipeusher, admission by zone",
            Self::Baseline(Algorithm::RoundRobin) => "round robin",
            Self::Baseline(Algorithm::LeastLoaded) => "least loaded, lagged",
            Self::Baseline(Algorithm::TwoChoices) => "two random choices",
            Self::Baseline(Algorithm::Hashing) => "hashing, no bound",
            Self::Baseline(Algorithm::FullKnowledge) => "full knowledge, one router",
        }
    }
}

/// The result of a replay.
#[derive(Clone, Debug)]
pub struct Replay {
    /// Figures of the whole replay.
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
        Subject::Fleet(estimator) => {
            let tally = match estimator {
                Estimator::Peers => run_fleet::<load::Peers>(trace, &requests),
                Estimator::Reports => run_fleet::<load::Reports>(trace, &requests),
                Estimator::Headroom => run_fleet::<load::Headroom>(trace, &requests),
                Estimator::Admission => run_fleet::<load::Admission>(trace, &requests),
            };
            (routers, tally)
        }
        Subject::Baseline(algorithm) => {
            let routers = if algorithm == Algorithm::FullKnowledge {
                1
            } else {
                routers
            };
            let probing = matches!(algorithm, Algorithm::LeastLoaded | Algorithm::TwoChoices);
            let create =
                |number| Baseline::new(algorithm, first_attempt(number), seed + number as u64);
            let simulation = Simulation::new(trace, &requests, routers, (probing, false), create);
            (routers, simulation.run())
        }
    };
    let seconds = trace.header.duration_ms as f64 / 1e3;
    let Tally { samples, .. } = &tally;
    Replay {
        figures: tally.figures(routers, seconds),
        samples: samples.clone(),
    }
}

fn run_fleet<S: Strategy>(trace: &Trace, requests: &[Request]) -> Tally {
    let header = &trace.header;
    let create = |number: usize| {
        let zones = header.zones.len().max(1);
        let defaults = Settings::default();
        Machine::<S>::with(Settings {
            host: store::host(number),
            zone: header.zones.get(number % zones).cloned(),
            first_attempt: first_attempt(number),
            seed: header.seed + number as u64,
            capacity: header.capacity.map_or(defaults.capacity, Work),
        })
    };
    Simulation::new(trace, requests, header.routers, (true, true), create).run()
}

/// Returns the first attempt ID of a router. The ranges of different routers must not overlap.
const fn first_attempt(number: usize) -> u64 {
    (number as u64) << 32
}
