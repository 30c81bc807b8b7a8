//! The subcommand `replay`.

use std::path::Path;
use std::path::PathBuf;

use serde_json::json;

use super::Subject;
use super::run as replay;
use super::table;
use super::verdict;
use crate::trace;
use crate::trace::Line;
use crate::trace::Trace;

/// Folder of the recorded traces, from the repository's root.
const FOLDER: &str = "traces";

/// What to do with the traces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Replay them against their outcomes.
    Judge,
    /// Compare the decisions with the baselines.
    Compare,
    /// Print their requests as recorded lines.
    Expand,
}

/// Runs the subcommand and prints to standard output; returns whether all outcomes held.
pub fn run(paths: &[PathBuf], mode: Mode, as_json: bool) -> Result<bool, trace::Error> {
    let paths = if paths.is_empty() {
        trace::list(Path::new(FOLDER))?
    } else {
        paths.to_vec()
    };
    let traces: Result<Vec<_>, _> = paths.iter().map(|path| Trace::read(path)).collect();
    let traces = traces?;
    match mode {
        Mode::Judge => Ok(judge(&traces, as_json)),
        Mode::Compare => {
            for trace in &traces {
                compare(trace, as_json);
            }
            Ok(true)
        }
        Mode::Expand => {
            for request in traces.iter().flat_map(trace::expand) {
                println!("{}", json!(Line::Request(request)));
            }
            Ok(true)
        }
    }
}

fn judge(traces: &[Trace], as_json: bool) -> bool {
    let verdicts: Vec<_> = traces.iter().map(verdict::judge).collect();
    if as_json {
        println!("{}", json!(verdicts));
    } else {
        print!("{}", table::verdicts(&verdicts));
    }
    verdicts.iter().all(|verdict| verdict.held)
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
