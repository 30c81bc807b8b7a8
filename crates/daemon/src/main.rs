//! Daemon that runs a router.

mod cli;

use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    match cli::run(&argh::from_env()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("snipeusherd: {error}");
            ExitCode::FAILURE
        }
    }
}
