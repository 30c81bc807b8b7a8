//! Selects the log lines of routers that explain what happened to a request or on a host.
//!
//! Logs are JSON lines with the fields `ts`, `host` and `msg`. Text before the first brace of a
//! line, such as the prefix of a log collector, is ignored. See `docs/OPERATIONS.md`.

use std::fs;
use std::io;
use std::io::Read as _;

use serde_json::Map;
use serde_json::Value;
use serde_json::json;
use snafu::ResultExt as _;

use crate::args::ExplainArgs;
use crate::error::Error;
use crate::error::ReadSnafu;
use crate::error::UsageSnafu;
use crate::output::Output;

/// Milliseconds before and after a request for which other lines of its hosts are included.
const CONTEXT_MS: i64 = 1_000;
/// Fields that every line has; they are printed at the start of a line, or not at all.
const COMMON: [&str; 4] = ["ts", "host", "msg", "level"];

#[derive(Clone, Debug)]
struct Line {
    ts: String,
    host: String,
    msg: String,
    fields: Map<String, Value>,
}

pub(crate) fn explain(args: &ExplainArgs) -> Result<Output, Error> {
    let mut words = args.words.iter();
    let id = match &args.host {
        Some(_) => None,
        None => words.next(),
    };
    if id.is_none() && args.host.is_none() {
        let text = "explain needs the id of a request, or --host";
        return UsageSnafu { text }.fail();
    }
    let mut text = String::new();
    let paths: Vec<&String> = words.collect();
    for path in &paths {
        text.push_str(&fs::read_to_string(path).context(ReadSnafu { path })?);
        text.push('\n');
    }
    if paths.is_empty() {
        let read = io::stdin().read_to_string(&mut text);
        read.context(ReadSnafu { path: "-" })?;
    }
    let mut lines: Vec<Line> = text.lines().filter_map(Line::parse).collect();
    lines.sort_by(|left, right| left.ts.cmp(&right.ts));
    let selected = match id {
        Some(id) => select_for_request(&lines, id),
        None => select_for_host(&lines, args),
    };
    if selected.is_empty() {
        let name = id.map_or("such line", String::as_str).to_owned();
        return Err(Error::Missing { name });
    }
    let texts = selected.iter().map(|line| line.text());
    let text = texts.collect::<Vec<_>>().join("\n");
    let json = selected.iter().map(|line| line.json()).collect();
    Ok(Output::success(text, json))
}

/// Selects the lines of a request, and those that its routers logged in the same period without
/// a request, if they name one of its upstreams or none.
fn select_for_request<'a>(lines: &'a [Line], id: &str) -> Vec<&'a Line> {
    let request_lines: Vec<&Line> = lines.iter().filter(|line| line.is("id", id)).collect();
    let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
        return Vec::new();
    };
    let durations = request_lines
        .iter()
        .filter_map(|line| line.fields.get("ms")?.as_i64());
    let start = first.millis() - durations.max().unwrap_or(0) - CONTEXT_MS;
    let end = last.millis() + CONTEXT_MS;
    let hosts: Vec<&str> = request_lines
        .iter()
        .map(|line| line.host.as_str())
        .collect();
    let upstreams: Vec<&Value> = request_lines
        .iter()
        .filter_map(|line| line.fields.get("upstream"))
        .collect();
    let selected = lines.iter().filter(|line| {
        let is_in_period = (start..=end).contains(&line.millis());
        let is_same_host = hosts.contains(&line.host.as_str());
        let upstream = line.fields.get("upstream");
        let is_same_upstream = upstream.is_none_or(|upstream| upstreams.contains(&upstream));
        let is_without_request = !line.fields.contains_key("id");
        line.is("id", id) || is_in_period && is_same_host && is_without_request && is_same_upstream
    });
    selected.collect()
}

fn select_for_host<'a>(lines: &'a [Line], args: &ExplainArgs) -> Vec<&'a Line> {
    let selected = lines.iter().filter(|line| {
        let time = line.ts.get(11..19).unwrap_or_default();
        let is_host = args.host.as_ref().is_some_and(|host| *host == line.host);
        let is_after = args.from.as_deref().is_none_or(|from| from <= time);
        let is_before = args.to.as_deref().is_none_or(|to| time <= to);
        is_host && is_after && is_before
    });
    selected.collect()
}

impl Line {
    fn parse(line: &str) -> Option<Self> {
        let json = &line[line.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let text = |name: &str| fields.get(name)?.as_str().map(str::to_owned);
        Some(Self {
            ts: text("ts")?,
            host: text("host").unwrap_or_default(),
            msg: text("msg")?,
            fields,
        })
    }

    fn is(&self, field: &str, value: &str) -> bool {
        self.fields.get(field).and_then(Value::as_str) == Some(value)
    }

    /// Milliseconds since midnight.
    fn millis(&self) -> i64 {
        let number = |range| {
            let digits: Option<&str> = self.ts.get(range);
            digits.and_then(|digits| digits.parse::<i64>().ok())
        };
        let [hour, minute, second, milli] =
            [11..13, 14..16, 17..19, 20..23].map(|range| number(range).unwrap_or(0));
        ((hour * 60 + minute) * 60 + second) * 1_000 + milli
    }

    fn text(&self) -> String {
        let time = self.ts.get(11..23).unwrap_or(&self.ts);
        let fields = self
            .fields
            .iter()
            .filter(|(name, value)| !COMMON.contains(&name.as_str()) && !value.is_null());
        let fields = fields.map(|(name, value)| match value {
            Value::String(text) => format!(" {name}={text}"),
            other => format!(" {name}={other}"),
        });
        let fields: Vec<String> = fields.collect();
        format!("{time} {} {}{}", self.host, self.msg, fields.concat())
    }

    fn json(&self) -> Value {
        json!(self.fields)
    }
}
