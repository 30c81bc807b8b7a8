//! Model of the fleet: many routers on a simulated clock, network and store.
//!
//! The model drives the project's own state machines for membership, readers of the store, records of
//! upstreams and the retry budget through random faults, and checks after each step what must always
//! hold. A run is a function of its seed. What a router does between the state machines, sending and
//! receiving, stands in its module `router`; it follows the tasks of the edge crate. See
//! `docs/design/model.md`.

mod check;
pub mod command;
mod plan;
mod router;
mod store;
mod world;

use std::str::FromStr;

use snafu::Snafu;

pub use self::check::Violation;
pub use self::plan::Fault;
pub use self::plan::Plan;
pub use self::world::Report;
use self::world::World;

/// A part of the protocol that is left out, to show that the model finds the fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Omission {
    /// A reader of the store counts by the age of its last report, although it cannot be reached.
    LostReaders,
    /// Routers whose seeds are all down do not announce themselves in the store.
    Discovery,
    /// A router that starts does not wait for what its earlier process spent.
    PastRetries,
    /// Nobody counts what a lost router has spent beyond its parts.
    LostSpending,
}

/// There is no omission of this name.
#[derive(Debug, Snafu)]
#[snafu(display(
    "omission \"{name}\" is none of lost-readers, discovery, past-retries, lost-spending"
))]
pub struct UnknownOmission {
    name: String,
}

impl FromStr for Omission {
    type Err = UnknownOmission;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "lost-readers" => Ok(Self::LostReaders),
            "discovery" => Ok(Self::Discovery),
            "past-retries" => Ok(Self::PastRetries),
            "lost-spending" => Ok(Self::LostSpending),
            _ => UnknownOmissionSnafu { name }.fail(),
        }
    }
}

/// Plays a plan, for at most `steps` steps.
pub fn play(plan: &Plan, omission: Option<Omission>, steps: u64) -> Report {
    World::new(plan, omission).run(steps)
}

/// Leaves faults out of a plan for as long as it still violates the same property.
pub fn shorten(plan: &Plan, omission: Option<Omission>, violation: &Violation) -> Plan {
    let mut shortest = plan.clone();
    let mut index = 0;
    while index < shortest.faults.len() {
        let mut shorter = shortest.clone();
        shorter.faults.remove(index);
        let report = play(&shorter, omission, u64::MAX);
        let is_same = report
            .violation
            .is_some_and(|found| found.is_same_property(violation));
        if is_same {
            shortest = shorter;
        } else {
            index += 1;
        }
    }
    shortest
}
