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
mod occur;
pub mod router;
pub mod table;
pub mod tally;
pub mod verdict;
pub mod world;

use baseline::Baseline;
use baseline::Rule;
use serde::Serialize;
use snipeusher::machine::Machine;
use tally::Figures;
use tally::Sample;
use tally::Tally;
use world::World;

use crate::trace::Trace;
use crate::trace::expand;

/// What routes in a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// The decisions of the project.
    Fleet,
    /// A baseline.
    Baseline(Rule),
}

impl Subject {
    /// All that a comparison shows.
    pub const ALL: [Self; 6] = [
        Self::Fleet,
        Self::Baseline(Rule::RoundRobin),
        Self::Baseline(Rule::LeastLoaded),
        Self::Baseline(Rule::TwoChoices),
        Self::Baseline(Rule::Hashing),
        Self::Baseline(Rule::FullKnowledge),
    ];

    /// Its name in tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Fleet => "snipeusher",
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
    // Attempts of different routers must differ, as the identities of different hosts do.
    let first = |number: usize| (number as u64) << 32;
    let (routers, tally) = match subject {
        Subject::Fleet => {
            let make = |number| Machine::new(first(number));
            let world = World::new(trace, &requests, routers, true, make);
            (routers, world.run())
        }
        Subject::Baseline(rule) => {
            let routers = if rule == Rule::FullKnowledge {
                1
            } else {
                routers
            };
            let probes = matches!(rule, Rule::LeastLoaded | Rule::TwoChoices);
            let make = |number| Baseline::new(rule, first(number), seed + number as u64);
            let world = World::new(trace, &requests, routers, probes, make);
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
