//! Command-line interface.

use std::fmt::Display;
use std::process::ExitCode;

use argh::FromArgs;
use snipeusher_dev::measure;
use snipeusher_dev::model::command as model;
use snipeusher_dev::replay::command as replay;
use snipeusher_dev::report;

use crate::local;

/// Development command of snipeusher.
#[derive(Debug, FromArgs)]
pub struct Cli {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Local(local::Local),
    Replay(replay::Replay),
    Report(report::Report),
    Measure(measure::Measure),
    Model(model::Model),
}

/// Runs the subcommand and returns the exit code.
pub fn run(cli: &Cli) -> ExitCode {
    match &cli.command {
        Command::Local(local) => exit_code(local::run(local)),
        Command::Replay(options) => exit_code(replay::run(options)),
        Command::Report(options) => exit_code(report::run(options)),
        Command::Measure(options) => exit_code(measure::run(options)),
        Command::Model(options) => exit_code(model::run(options)),
    }
}

fn exit_code<E: Display>(result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
