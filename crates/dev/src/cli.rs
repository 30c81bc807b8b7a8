//! Command line.

use std::fmt::Display;
use std::process::ExitCode;

use argh::FromArgs;
use snipeusher_dev::replay::command as replay;

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
}

/// Runs the command that the line names.
pub fn run(cli: &Cli) -> ExitCode {
    match &cli.command {
        Command::Local(local) => report(local::run(local)),
        Command::Replay(options) => report(replay::run(options)),
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
