//! What a command prints: text for people, or one JSON object.

use std::process::ExitCode;

use serde_json::Value;
use serde_json::json;

use crate::error::Error;

/// The result of a command.
#[derive(Debug)]
pub(crate) struct Printed {
    pub(crate) text: String,
    pub(crate) json: Value,
    pub(crate) code: u8,
}

impl Printed {
    pub(crate) const fn done(text: String, json: Value) -> Self {
        Self {
            text,
            json,
            code: 0,
        }
    }
}

pub(crate) fn print(printed: &Printed, json: bool) -> ExitCode {
    if json {
        println!("{}", printed.json);
    } else if !printed.text.is_empty() {
        println!("{}", printed.text.trim_end_matches('\n'));
    }
    ExitCode::from(printed.code)
}

/// The message goes to the standard error, also beside a JSON object.
pub(crate) fn print_error(error: &Error, json: bool) -> ExitCode {
    let code = error.code();
    if json {
        println!("{}", json!({"error": error.to_string(), "code": code}));
    }
    eprintln!("snipeusher: {error}");
    ExitCode::from(code)
}
