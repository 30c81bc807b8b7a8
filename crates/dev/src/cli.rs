//! Command line.

use std::fmt::Display;
use std::process::ExitCode;

use argh::FromArgs;

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
}

/// Runs the command that the line names.
pub fn run(cli: &Cli) -> ExitCode {
    match &cli.command {
        Command::Local(local) => report(local::run(local)),
    }
}

fn report<E: Display>(result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
