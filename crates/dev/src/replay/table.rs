//! Formats the results of replays as text tables.

use std::fmt::Write as _;

use super::Subject;
use super::tally::Figures;
use super::verdict::Verdict;

/// Markdown header of the table that compares subjects.
const COMPARISON_HEADER: &str = "\
| routing | cache reuse | skew mean | skew p99 | placed beyond bound | samples in excess | \
late | refused | queueing p99 best / worst workspace | control B/s |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
";

/// Returns a Markdown table with one row per subject.
pub fn compare(rows: &[(Subject, Figures)]) -> String {
    let mut text = COMPARISON_HEADER.to_owned();
    for (subject, figures) in rows {
        let waits = figures.queue_p99_ms.values().copied();
        let worst = waits.clone().fold(0.0, f64::max);
        let best = waits.fold(f64::INFINITY, f64::min);
        let refused: u64 = figures.refused.values().sum();
        let line = format!(
            "| {} | {:.3} | {:.2} | {:.2} | {:.4} | {:.4} | {} | {} | {:.0} / {:.0} ms | {:.0} |",
            subject.name(),
            figures.cache_reuse,
            figures.skew_mean,
            figures.skew_p99,
            figures.beyond,
            figures.excess,
            figures.late,
            refused,
            best,
            worst,
            figures.control_bytes,
        );
        text.push_str(&line);
        text.push('\n');
    }
    text
}

/// Returns a text table of verdicts and lists the outcomes that did not hold.
pub fn verdicts(verdicts: &[Verdict]) -> String {
    let mut text = format!(
        "{:<28} {:<7} {:>8} {:>8} {:>6} {:>6} {:>7} {:>7} {:>8} {:>9}\n",
        "trace",
        "outcome",
        "requests",
        "complete",
        "late",
        "refuse",
        "reuse",
        "skew99",
        "beyond",
        "control"
    );
    for verdict in verdicts {
        let figures = &verdict.figures;
        let refused: u64 = figures.refused.values().sum();
        let outcome = if verdict.held { "held" } else { "FAILED" };
        let line = format!(
            "{:<28} {:<7} {:>8} {:>8} {:>6} {:>6} {:>7.3} {:>7.2} {:>8.4} {:>9.0}\n",
            verdict.trace,
            outcome,
            figures.requests,
            figures.complete,
            figures.late,
            refused,
            figures.cache_reuse,
            figures.skew_p99,
            figures.beyond,
            figures.control_bytes,
        );
        text.push_str(&line);
        for (rule, cases) in &figures.violations {
            let _infallible = writeln!(text, "    broken rule: {rule}, {cases} cases");
        }
        for check in verdict.checks.iter().filter(|check| !check.held) {
            let expect = serde_json::to_string(&check.expect).unwrap_or_default();
            let _infallible = writeln!(text, "    not held: {expect}, seen {:.4}", check.measured);
        }
    }
    text
}
