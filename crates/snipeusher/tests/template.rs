//! Validation of templates, with test cases from `tests/templates`.

use std::fs;
use std::path::PathBuf;

use rstest::rstest;
use serde::Deserialize;
use snipeusher::policy::Digest;
use snipeusher::template::Binding;
use snipeusher::template::Error;
use snipeusher::template::Template;

#[derive(Deserialize)]
struct Case {
    document: String,
    mistakes: Vec<String>,
}

/// Guards against mistakes that are accepted or that hide others.
#[test]
fn every_mistake_is_reported() {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/templates");
    let mut cases = 0;
    for file in fs::read_dir(folder).unwrap() {
        let path = file.unwrap().path();
        let case: Case = toml::from_str(&fs::read_to_string(&path).unwrap()).unwrap();
        let found = match Template::parse(&case.document).unwrap().validate() {
            Ok(()) => Vec::new(),
            Err(Error::Invalid { mistakes, .. }) => mistakes,
            Err(other) => panic!("{}: {other}", path.display()),
        };
        let found: Vec<_> = found.iter().map(ToString::to_string).collect();
        assert_eq!(found, case.mistakes, "{}", path.display());
        cases += 1;
    }
    assert!(cases >= 6, "only {cases} cases were found");
}

const TEMPLATE: &str = r#"
name = "letters"
[parameters]
limit = { default = 1.25, min = 1.1, max = 2.0 }
[body]
default_class = "chat"
[body.classes.chat]
[body.limits]
load_limit = "$limit"
"#;

/// Guards against workspace parameters that are accepted although they have the wrong kind or are
/// out of range.
#[rstest]
#[case("limit", "1.5", None)]
#[case("limit", "2", None)]
#[case("limit", "2.5", Some("must be at most 2, not 2.5"))]
#[case("limit", "\"high\"", Some("must be a number"))]
#[case("limit", "nan", Some("must be a finite number"))]
#[case(
    "limits",
    "1.5",
    Some("template \"letters\" has no parameter \"limits\"")
)]
fn workspace_parameters_are_checked(
    #[case] name: &str,
    #[case] value: &str,
    #[case] reason: Option<&str>,
) {
    let template = Template::parse(TEMPLATE).unwrap();
    let binding = Binding::parse(&format!(
        "workspace = \"w\"\ntemplate = \"letters\"\nkeys = []\n[parameters]\n{name} = {value}"
    ));
    match (template.compile(&binding.unwrap()), reason) {
        (Ok(policy), None) => assert!(policy.limits.load_limit > 1.25),
        (Err(error), Some(reason)) => assert!(error.to_string().contains(reason), "{error}"),
        (other, _) => panic!("{other:?}"),
    }
}

/// Guards against key digests in logs.
#[test]
fn digests_are_redacted() {
    assert_eq!(format!("{:?}", Digest::of("secret")), "Digest(redacted)");
}
