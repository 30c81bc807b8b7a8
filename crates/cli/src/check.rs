//! Validates template and workspace files without access to the key-value service.

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;

use serde_json::json;
use snafu::ResultExt as _;
use snipeusher::template;
use snipeusher::template::Binding;
use snipeusher::template::Template;

use crate::error;
use crate::error::Error;
use crate::error::ReadSnafu;
use crate::error::UsageSnafu;
use crate::output::Output;

pub(crate) fn check(files: &[PathBuf]) -> Result<Output, Error> {
    if files.is_empty() {
        let text = "check needs at least one file";
        return UsageSnafu { text }.fail();
    }
    let mut problems = Vec::new();
    let mut templates = BTreeMap::new();
    let mut bindings = Vec::new();
    for path in files {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        let is_binding = text
            .parse::<toml::Table>()
            .is_ok_and(|table| table.contains_key("workspace"));
        let parsed = if is_binding {
            Binding::parse(&text).and_then(|binding| {
                binding.validate()?;
                bindings.push((path, binding));
                Ok(())
            })
        } else {
            Template::parse(&text).and_then(|template| {
                template.validate()?;
                templates.insert(template.name.clone(), template);
                Ok(())
            })
        };
        problems.extend(
            parsed
                .err()
                .into_iter()
                .flat_map(|error| error_lines(path, &error)),
        );
    }
    for (path, binding) in bindings {
        if let Some(template) = templates.get(&binding.template) {
            let compiled = template.compile(&binding);
            problems.extend(
                compiled
                    .err()
                    .into_iter()
                    .flat_map(|error| error_lines(path, &error)),
            );
        }
    }
    let code = if problems.is_empty() {
        0
    } else {
        error::REFUSED
    };
    let text = if problems.is_empty() {
        format!("{} files are valid", files.len())
    } else {
        problems.join("\n")
    };
    let json = json!({"files": files.len(), "mistakes": problems});
    Ok(Output { text, json, code })
}

/// Formats an error as one line for each mistake in the document.
fn error_lines(path: &Path, error: &template::Error) -> Vec<String> {
    let path = path.display();
    match error {
        template::Error::Invalid { document, mistakes } => mistakes
            .iter()
            .map(|mistake| format!("{path}: {document}: {mistake}"))
            .collect(),
        other => vec![format!("{path}: {}", other.to_string().trim_end())],
    }
}
