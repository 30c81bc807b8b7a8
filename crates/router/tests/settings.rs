//! Parses each `tests/settings/*.toml` and compares the outcome with the `.txt` of the same name.

use std::fs;
use std::path::Path;

use snipeusher_router::settings::Settings;

/// Guards against a mistake that is ignored or reported without its key, value or expected value,
/// and against a default that changes unnoticed.
#[test]
fn outcomes_match() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/settings");
    let mut cases = 0;
    for entry in fs::read_dir(folder).expect("the cases") {
        let path = entry.expect("a case").path();
        if path.extension().is_none_or(|extension| extension != "toml") {
            continue;
        }
        let text = fs::read_to_string(&path).expect("a case");
        let expected = fs::read_to_string(path.with_extension("txt")).expect("its outcome");
        let outcome = match Settings::parse(&text) {
            Ok(settings) => format!("{settings:#?}\n"),
            Err(error) => format!("{error}\n"),
        };
        assert_eq!(outcome, expected, "{}", path.display());
        cases += 1;
    }
    assert_eq!(cases, 3);
}
