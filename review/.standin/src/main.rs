//! Stand-ins and scripts of the review. `standin CASE FOLDER` plays a case, writes `record.txt` to
//! the folder and exits with 1 if the rule was broken, 0 if it held and 2 if it could not run.

mod client;
mod config;
mod engine;
mod fleet;
mod forgotten_removal;
mod http;
mod lost_readers;
mod record;
mod stale_seeds;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(&'static str),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_default());
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let played = std::panic::catch_unwind(|| match case.as_str() {
        "lost-readers" => lost_readers::play(&folder, has_trouble),
        "stale-seeds" => stale_seeds::play(&folder, has_trouble),
        "forgotten-removal" => forgotten_removal::play(&folder, has_trouble),
        _ => Verdict::NotRun("there is no such case"),
    });
    let verdict = played.unwrap_or(Verdict::NotRun("a step of the script failed"));
    match verdict {
        Verdict::Held => {
            println!("{case}: the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            println!("{case}: the rule was broken");
            ExitCode::from(1)
        }
        Verdict::NotRun(reason) => {
            println!("{case}: not run: {reason}");
            ExitCode::from(2)
        }
    }
}
