//! The command line.

use std::path::PathBuf;

use argh::FromArgs;

/// Development command of the project.
#[derive(Debug, FromArgs)]
pub struct Cli {
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Replay traces.
    Replay(Replay),
}

/// Replay recorded traces against their stated outcomes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct Replay {
    /// traces to replay; all of the folder traces/ if none is named
    #[argh(positional)]
    pub traces: Vec<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// compare with the baselines
    #[argh(switch)]
    pub compare: bool,
    /// print the requests of the trace as recorded lines instead of replaying it
    #[argh(switch)]
    pub expand: bool,
}
