//! The story of a request from the logs of routers.
//!
//! Logs are JSON lines with the fields `ts`, `host` and `msg`; whatever stands before the first
//! brace of a line, such as a prefix of a log collector, is passed over. See `docs/OPERATIONS.md`.

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
use crate::output::Printed;

/// Milliseconds before and after a request in which other lines of its hosts belong to its story.
const AROUND_MS: i64 = 1_000;
/// Fields that every line has and that are printed first, or not at all.
const COMMON: [&str; 4] = ["ts", "host", "msg", "level"];

/// A line of a log.
#[derive(Clone, Debug)]
struct Line {
    ts: String,
    host: String,
    msg: String,
    fields: Map<String, Value>,
}

pub(crate) fn explain(wanted: &ExplainArgs) -> Result<Printed, Error> {
    let mut words = wanted.words.iter();
    let id = match &wanted.host {
        Some(_) => None,
        None => words.next(),
    };
    if id.is_none() && wanted.host.is_none() {
        let text = "explain needs the id of a request, or --host";
        return UsageSnafu { text }.fail();
    }
    let mut text = String::new();
    let files: Vec<&String> = words.collect();
    for path in &files {
        text.push_str(&fs::read_to_string(path).context(ReadSnafu { path })?);
        text.push('\n');
    }
    if files.is_empty() {
        let read = io::stdin().read_to_string(&mut text);
        read.context(ReadSnafu { path: "-" })?;
    }
    let mut lines: Vec<Line> = text.lines().filter_map(Line::read).collect();
    lines.sort_by(|left, right| left.ts.cmp(&right.ts));
    let told = match id {
        Some(id) => of_request(&lines, id),
        None => of_host(&lines, wanted),
    };
    if told.is_empty() {
        let name = id.map_or("such line", String::as_str).to_owned();
        return Err(Error::Missing { name });
    }
    let texts = told.iter().map(|line| line.text());
    let text = texts.collect::<Vec<_>>().join("\n");
    let json = told.iter().map(|line| line.json()).collect();
    Ok(Printed::done(text, json))
}

/// The lines of a request, and what its routers learnt of its upstreams meanwhile.
fn of_request<'a>(lines: &'a [Line], id: &str) -> Vec<&'a Line> {
    let own: Vec<&Line> = lines.iter().filter(|line| line.is("id", id)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let spans = own
        .iter()
        .filter_map(|line| line.fields.get("ms")?.as_i64());
    let start = first.millis() - spans.max().unwrap_or(0) - AROUND_MS;
    let end = last.millis() + AROUND_MS;
    let hosts: Vec<&str> = own.iter().map(|line| line.host.as_str()).collect();
    let upstreams: Vec<&Value> = own
        .iter()
        .filter_map(|line| line.fields.get("upstream"))
        .collect();
    let told = lines.iter().filter(|line| {
        let is_near = (start..=end).contains(&line.millis());
        let is_of_host = hosts.contains(&line.host.as_str());
        let upstream = line.fields.get("upstream");
        let concerns = upstream.is_none_or(|upstream| upstreams.contains(&upstream));
        let is_state = !line.fields.contains_key("id");
        line.is("id", id) || is_near && is_of_host && is_state && concerns
    });
    told.collect()
}

fn of_host<'a>(lines: &'a [Line], wanted: &ExplainArgs) -> Vec<&'a Line> {
    let told = lines.iter().filter(|line| {
        let time = line.ts.get(11..19).unwrap_or_default();
        let is_host = wanted.host.as_ref().is_some_and(|host| *host == line.host);
        let is_after = wanted.from.as_deref().is_none_or(|from| from <= time);
        let is_before = wanted.to.as_deref().is_none_or(|to| time <= to);
        is_host && is_after && is_before
    });
    told.collect()
}

impl Line {
    fn read(line: &str) -> Option<Self> {
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
        let found = self.fields.get(field).and_then(Value::as_str);
        found == Some(value)
    }

    /// Milliseconds of the day.
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
        let rest = self
            .fields
            .iter()
            .filter(|(name, value)| !COMMON.contains(&name.as_str()) && !value.is_null());
        let rest = rest.map(|(name, value)| match value {
            Value::String(text) => format!(" {name}={text}"),
            other => format!(" {name}={other}"),
        });
        let rest: Vec<String> = rest.collect();
        format!("{time} {} {}{}", self.host, self.msg, rest.concat())
    }

    fn json(&self) -> Value {
        json!(self.fields)
    }
}
