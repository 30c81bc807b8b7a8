//! Command that plays the model.

use std::fs;
use std::io;
use std::path::PathBuf;

use argh::FromArgs;
use snafu::ResultExt as _;
use snafu::Snafu;

use super::Omission;
use super::Plan;
use super::play;
use super::shorten;

/// Plays the model of the fleet, a run for each seed, and checks what must always hold.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "model")]
pub struct Model {
    /// first seed (default: 1)
    #[argh(option, default = "1")]
    from: u64,

    /// number of seeds (default: 100)
    #[argh(option, default = "100")]
    seeds: u64,

    /// plays this case file instead of seeds
    #[argh(option)]
    case: Option<PathBuf>,

    /// leaves out a part of the protocol: lost-readers, discovery, past-retries or lost-spending
    #[argh(option)]
    omit: Option<Omission>,

    /// file to which the shortened run of a violation is written
    #[argh(option)]
    keep: Option<PathBuf>,
}

/// Why the model was not played, or what it found.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A case file cannot be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A case file is no plan.
    #[snafu(display("{}: {source}", path.display()))]
    Case {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: serde_json::Error,
    },
    /// A property did not hold.
    #[snafu(display("seed {seed}: {text}"))]
    Violated {
        /// Seed of the run.
        seed: u64,
        /// What was violated.
        text: String,
    },
}

/// Plays the runs up to the first violation.
pub fn run(options: &Model) -> Result<(), Error> {
    let plans: Vec<Plan> = match &options.case {
        Some(path) => vec![read_case(path)?],
        None => (options.from..options.from + options.seeds)
            .map(Plan::draw)
            .collect(),
    };
    let mut steps = 0;
    for (index, plan) in plans.iter().enumerate() {
        let report = play(plan, options.omit, u64::MAX);
        steps += report.steps;
        let Some(violation) = &report.violation else {
            continue;
        };
        println!("run {} of seed {}: {violation}", index + 1, plan.seed);
        let shortest = shorten(plan, options.omit, violation);
        let case = serde_json::to_string_pretty(&shortest).expect("numbers can be encoded");
        println!("{case}");
        if let Some(path) = &options.keep {
            fs::write(path, case).context(FileSnafu { path })?;
        }
        let (seed, text) = (plan.seed, violation.to_string());
        return ViolatedSnafu { seed, text }.fail();
    }
    println!("{} runs, {steps} steps, nothing violated", plans.len());
    Ok(())
}

fn read_case(path: &PathBuf) -> Result<Plan, Error> {
    let text = fs::read_to_string(path).context(FileSnafu { path })?;
    serde_json::from_str(&text).context(CaseSnafu { path })
}
