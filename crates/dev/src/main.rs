//! Development tool: local fleet, trace replay, reports and measurements.

mod cli;
mod local;

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    cli::run(&argh::from_env())
}
