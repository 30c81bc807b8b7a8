//! The `replay` subcommand.

use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use serde_json::json;
use snafu::Snafu;

use super::Subject;
use super::run as replay;
use super::table;
use super::verdict;
use crate::trace;
use crate::trace::Line;
use crate::trace::Trace;

/// Folder of the recorded traces, relative to the repository root.
const TRACE_FOLDER: &str = "traces";

/// Replay recorded traces against their stated outcomes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct Replay {
    /// traces to replay (default all of the folder traces)
    #[argh(positional)]
    traces: Vec<PathBuf>,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// compare with the baselines
    #[argh(switch)]
    compare: bool,
    /// print the requests as recorded lines instead of replaying them
    #[argh(switch)]
    expand: bool,
}

/// An error of the subcommand.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A trace cannot be read.
    #[snafu(transparent)]
    Trace {
        /// The cause.
        source: trace::Error,
    },
    /// An expected outcome or an invariant is violated.
    #[snafu(display("{count} of {total} traces did not hold"))]
    NotHeld {
        /// Number of traces that failed.
        count: usize,
        /// Number of traces replayed.
        total: usize,
    },
}

/// Runs the subcommand and prints its results to standard output.
pub fn run(options: &Replay) -> Result<(), Error> {
    let paths = if options.traces.is_empty() {
        trace::list(Path::new(TRACE_FOLDER))?
    } else {
        options.traces.clone()
    };
    let traces: Result<Vec<_>, _> = paths.iter().map(|path| Trace::read(path)).collect();
    let traces = traces?;
    if options.expand {
        for request in traces.iter().flat_map(trace::expand) {
            println!("{}", json!(Line::Request(request)));
        }
        return Ok(());
    }
    if options.compare {
        for trace in &traces {
            compare(trace, options.json);
        }
        return Ok(());
    }
    check(&traces, options.json)
}

fn check(traces: &[Trace], as_json: bool) -> Result<(), Error> {
    let verdicts: Vec<_> = traces.iter().map(verdict::evaluate).collect();
    if as_json {
        println!("{}", json!(verdicts));
    } else {
        print!("{}", table::verdicts(&verdicts));
    }
    let failed = verdicts.iter().filter(|verdict| !verdict.held);
    match failed.count() {
        0 => Ok(()),
        count => NotHeldSnafu {
            count,
            total: traces.len(),
        }
        .fail(),
    }
}

fn compare(trace: &Trace, as_json: bool) {
    let rows: Vec<_> = Subject::ALL
        .iter()
        .map(|subject| (*subject, replay(trace, *subject).figures))
        .collect();
    if as_json {
        println!("{}", json!({ "trace": trace.name, "rows": rows }));
    } else {
        println!("{} (seed {})\n", trace.name, trace.header.seed);
        println!("{}", table::compare(&rows));
    }
}
