//! Command-line tool with which operators edit and inspect the configuration of a fleet.

mod args;
mod check;
mod document;
mod edit;
mod error;
mod explain;
mod nodes;
mod output;
mod routers;
mod run;
mod settings;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args = match args::parse() {
        Ok(args) => args,
        Err(code) => return code,
    };
    let json = args.json;
    match actix_rt::System::new().block_on(run::run(args)) {
        Ok(output) => output::print(&output, json),
        Err(error) => output::print_error(&error, json),
    }
}
