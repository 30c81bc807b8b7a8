//! Development command: local fleet, trace replay, reports and measurements.

mod cli;

use std::process::ExitCode;

use cli::Command;
use snipeusher_dev::replay;

fn main() -> ExitCode {
    let cli: cli::Cli = argh::from_env();
    let done = match cli.command {
        Command::Replay(options) => {
            let mode = match (options.expand, options.compare) {
                (true, _) => replay::command::Mode::Expand,
                (false, true) => replay::command::Mode::Compare,
                (false, false) => replay::command::Mode::Judge,
            };
            replay::command::run(&options.traces, mode, options.json)
        }
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
