//! Checks a replay against the expected outcomes of its trace.

use std::collections::BTreeMap;

use serde::Serialize;
use snipeusher::name;

use super::Replay;
use super::Subject;
use super::baseline::Algorithm;
use super::run;
use super::tally::Figures;
use crate::trace::Trace;
use crate::trace::expect::Expect;
use crate::trace::expect::Figure;
use crate::trace::expect::Reference;

/// The result of one expected outcome.
#[derive(Clone, Debug, Serialize)]
pub struct Check {
    /// The expected outcome.
    pub expect: Expect,
    /// The figure, or its ratio to the figure of the reference.
    #[serde(rename = "seen")]
    pub measured: f64,
    /// Whether it held.
    pub held: bool,
}

/// The result of replaying one trace.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// Name of the trace.
    pub trace: String,
    /// Seed of the trace.
    pub seed: u64,
    /// Whether all outcomes and all invariants held.
    pub held: bool,
    /// Results of the expected outcomes.
    pub checks: Vec<Check>,
    /// Figures of the replay.
    pub figures: Figures,
}

/// Replays a trace with the project's decisions and checks its expected outcomes.
pub fn evaluate(trace: &Trace) -> Verdict {
    let replay = run(trace, Subject::FLEET);
    let uses = |reference| {
        trace
            .expects
            .iter()
            .any(|expect| expect.reference == reference)
    };
    let full_knowledge = uses(Reference::FullKnowledge)
        .then(|| run(trace, Subject::Baseline(Algorithm::FullKnowledge)).figures);
    let without_surge =
        uses(Reference::WithoutSurge).then(|| run(&trace.without_surge(), Subject::FLEET).figures);
    let check = |expect: &Expect| {
        let compared = match expect.reference {
            Reference::Absolute => None,
            Reference::FullKnowledge => full_knowledge.as_ref(),
            Reference::WithoutSurge => without_surge.as_ref(),
        };
        check(expect, &replay, compared)
    };
    let checks: Vec<_> = trace.expects.iter().map(check).collect();
    let figures = replay.figures.clone();
    Verdict {
        trace: trace.name.clone(),
        seed: trace.header.seed,
        held: figures.violations.is_empty() && checks.iter().all(|check| check.held),
        checks,
        figures,
    }
}

fn check(expect: &Expect, replay: &Replay, reference: Option<&Figures>) -> Check {
    let mut measured = read(expect, &replay.figures);
    if let Some(reference) = reference {
        let base = read(expect, reference);
        // Two zero figures count as equal.
        measured = if (base - measured).abs() < f64::EPSILON {
            1.0
        } else {
            measured / base
        };
    }
    let reaches_minimum = expect.at_least.is_none_or(|least| measured >= least);
    let within_maximum = expect.at_most.is_none_or(|most| measured <= most);
    Check {
        expect: expect.clone(),
        measured,
        held: reaches_minimum && within_maximum,
    }
}

fn read(expect: &Expect, figures: &Figures) -> f64 {
    let count = |by: &BTreeMap<name::Workspace, u64>| match &expect.workspace {
        Some(workspace) => by.get(workspace).copied().unwrap_or(0) as f64,
        None => by.values().sum::<u64>() as f64,
    };
    match expect.figure {
        Figure::CacheReuse => figures.cache_reuse,
        Figure::SkewP99 => figures.skew_p99,
        Figure::Beyond => figures.beyond,
        Figure::Excess => figures.excess,
        Figure::Late => count(&figures.late_by),
        Figure::Refused => count(&figures.refused_by),
        Figure::Unknown => figures.unknown as f64,
        Figure::Complete => figures.complete as f64,
        Figure::ControlBytes => figures.control_bytes,
        Figure::OthersQueueP99Ms => figures.others_queue_p99_ms,
        Figure::ConfigMs => figures.config_ms as f64,
        Figure::EditsFailed => figures.edits_failed as f64,
        Figure::Repeated => figures.repeated as f64,
        Figure::Holders => figures.holders as f64,
        Figure::LeaveMs => figures.leave_ms as f64,
        Figure::QueueP99Ms => match &expect.workspace {
            Some(workspace) => figures.queue_p99_ms.get(workspace).copied().unwrap_or(0.0),
            None => figures.queue_p99_ms.values().copied().fold(0.0, f64::max),
        },
    }
}
