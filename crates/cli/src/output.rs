//! Prints the result of a command, as text or as one JSON object.

use std::process::ExitCode;

use serde_json::Value;
use serde_json::json;

use crate::error::Error;

/// Result of a command, in both forms, with its exit code.
#[derive(Debug)]
pub(crate) struct Output {
    pub(crate) text: String,
    pub(crate) json: Value,
    pub(crate) code: u8,
}

impl Output {
    pub(crate) const fn success(text: String, json: Value) -> Self {
        Self {
            text,
            json,
            code: 0,
        }
    }
}

pub(crate) fn print(output: &Output, json: bool) -> ExitCode {
    if json {
        println!("{}", output.json);
    } else if !output.text.is_empty() {
        println!("{}", output.text.trim_end_matches('\n'));
    }
    ExitCode::from(output.code)
}

/// Prints the message to standard error, and with `json` also as an object to standard output.
pub(crate) fn print_error(error: &Error, json: bool) -> ExitCode {
    let code = error.code();
    if json {
        println!("{}", json!({"error": error.to_string(), "code": code}));
    }
    eprintln!("snipeusher: {error}");
    ExitCode::from(code)
}
