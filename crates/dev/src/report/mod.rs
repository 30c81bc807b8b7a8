//! Writes the tables and plots of `docs/MEASURES.md`.

mod plot;

use std::fmt::Write as _;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;

use argh::FromArgs;
use snafu::ResultExt as _;
use snafu::Snafu;

use crate::replay;
use crate::replay::Replay;
use crate::replay::Subject;
use crate::replay::baseline::Algorithm;
use crate::replay::table;
use crate::replay::verdict;
use crate::trace;
use crate::trace::Trace;

/// Folder of the traces with expected outcomes.
const RECORDED_FOLDER: &str = "traces";
/// Folder of the traces that compare routing algorithms.
const COMPARED_FOLDER: &str = "traces/compare";
/// The trace that is plotted.
const PLOTTED_TRACE: &str = "deployment-churn";
/// File name of the page.
const PAGE_FILE: &str = "MEASURES.md";
/// Text before the tables.
const HEAD: &str = include_str!("head.md");

/// Write the measured tables and plots of docs/MEASURES.md.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report")]
pub struct Report {
    /// folder to write to (default docs)
    #[argh(option, default = "PathBuf::from(\"docs\")")]
    out: PathBuf,
    /// only traces whose name starts with this text
    #[argh(option, default = "String::new()")]
    only: String,
    /// replays at once (default 4)
    #[argh(option, default = "4")]
    jobs: usize,
}

/// An error of the report.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A trace cannot be read.
    #[snafu(transparent)]
    Trace {
        /// The cause.
        source: trace::Error,
    },
    /// A file cannot be written.
    #[snafu(display("cannot write {}: {source}", path.display()))]
    Write {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A plot cannot be drawn.
    #[snafu(display("cannot draw {}: {reason}", path.display()))]
    Draw {
        /// The file.
        path: PathBuf,
        /// The error of the plotting library.
        reason: String,
    },
}

/// Replays all traces and writes the page.
pub fn run(options: &Report) -> Result<(), Error> {
    let mut traces = Vec::new();
    for path in trace::list(Path::new(COMPARED_FOLDER))? {
        let trace = Trace::read(&path)?;
        if trace.name.starts_with(&options.only) {
            traces.push(trace);
        }
    }
    let pairs: Vec<_> = traces
        .iter()
        .flat_map(|trace| Subject::ALL.map(|subject| (trace, subject)))
        .collect();
    let replays = replay_all(&pairs, options.jobs.max(1));
    let mut page = HEAD.to_owned();
    for (trace, rows) in traces.iter().zip(replays.chunks(Subject::ALL.len())) {
        write_section(&mut page, trace, rows);
        if trace.name == PLOTTED_TRACE {
            write_plots(&mut page, trace, rows, &options.out)?;
        }
    }
    write_recorded(&mut page)?;
    let path = options.out.join(PAGE_FILE);
    fs::write(&path, page).context(WriteSnafu { path })
}

/// Replays in `jobs` threads; the result does not depend on their number.
fn replay_all(pairs: &[(&Trace, Subject)], jobs: usize) -> Vec<(Subject, Replay)> {
    let next = Mutex::new(0..pairs.len());
    let done = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| {
                loop {
                    let index = next.lock().unwrap_or_else(PoisonError::into_inner).next();
                    let Some(index) = index else {
                        break;
                    };
                    let (trace, subject) = pairs[index];
                    let replay = replay::run(trace, subject);
                    let mut done = done.lock().unwrap_or_else(PoisonError::into_inner);
                    done.push((index, subject, replay));
                }
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_else(PoisonError::into_inner);
    done.sort_by_key(|(index, _, _)| *index);
    done.into_iter()
        .map(|(_, subject, replay)| (subject, replay))
        .collect()
}

fn write_section(page: &mut String, trace: &Trace, rows: &[(Subject, Replay)]) {
    let figures: Vec<_> = rows
        .iter()
        .map(|(subject, replay)| (*subject, replay.figures.clone()))
        .collect();
    let header = &trace.header;
    let _infallible = write!(
        page,
        "\n## {}\n\n{} {} routers, {} engines, seed {}.\n\n    cargo run --release -- replay \
         --compare {COMPARED_FOLDER}/{}.jsonl\n\n{}",
        trace.name,
        header.about,
        header.routers,
        header.engines,
        header.seed,
        trace.name,
        table::compare(&figures),
    );
}

fn write_plots(
    page: &mut String,
    trace: &Trace,
    rows: &[(Subject, Replay)],
    out: &Path,
) -> Result<(), Error> {
    let folder = out.join("measures");
    fs::create_dir_all(&folder).context(WriteSnafu {
        path: folder.clone(),
    })?;
    let load_path = folder.join("load-by-engine.svg");
    if let Some((_, replay)) = rows.first() {
        plot::loads(&load_path, &replay.samples)?;
    }
    let reuse_path = folder.join("cache-reuse.svg");
    let shown = [
        Subject::ALL[0],
        Subject::Baseline(Algorithm::TwoChoices),
        Subject::Baseline(Algorithm::Hashing),
        Subject::Baseline(Algorithm::FullKnowledge),
    ];
    let lines: Vec<_> = rows
        .iter()
        .filter(|(subject, _)| shown.contains(subject))
        .map(|(subject, replay)| (subject.name(), replay.samples.as_slice()))
        .collect();
    plot::reuse(&reuse_path, &lines)?;
    let _infallible = write!(
        page,
        "\nWork outstanding by engine with snipeusher, and cache reuse over time in windows of \
         {} s, both of {} with seed {}:\n\n![Load by engine](measures/load-by-engine.svg)\n\n\
         ![Cache reuse](measures/cache-reuse.svg)\n",
        plot::WINDOW_MS / 1_000,
        trace.name,
        trace.header.seed,
    );
    Ok(())
}

fn write_recorded(page: &mut String) -> Result<(), Error> {
    let mut verdicts = Vec::new();
    for path in trace::list(Path::new(RECORDED_FOLDER))? {
        verdicts.push(verdict::evaluate(&Trace::read(&path)?));
    }
    let table = table::verdicts(&verdicts);
    let _infallible = write!(
        page,
        "\n## Recorded traces\n\n    cargo run --release -- replay\n\n```text\n{table}```\n",
    );
    Ok(())
}
