//! Templates and workspaces from a folder.
//!
//! A folder with `templates/*.toml` and `workspaces/*.toml` replaces the key-value service, such as
//! in examples and tests.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use snafu::ResultExt as _;
use snafu::Snafu;
use snipeusher::policy::Policy;
use snipeusher::template;
use snipeusher::template::Binding;
use snipeusher::template::Template;

/// Error of reading a folder of documents.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A file or folder cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A document is not valid.
    #[snafu(display("{}: {source}", path.display()))]
    Document {
        /// The file.
        path: PathBuf,
        /// The cause.
        #[snafu(source(from(template::Error, Box::new)))]
        source: Box<template::Error>,
    },
    /// A workspace names a template that does not exist.
    #[snafu(display("workspace {workspace:?} names template {template:?}, which does not exist"))]
    NoTemplate {
        /// Name of the workspace.
        workspace: String,
        /// Name of the template.
        template: String,
    },
}

/// Reads and compiles all documents of a folder.
pub fn read(folder: &Path) -> Result<Vec<Policy>, Error> {
    let mut templates = BTreeMap::new();
    for path in files(&folder.join("templates"))? {
        let text = fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
        let template = Template::parse(&text).context(DocumentSnafu { path })?;
        templates.insert(template.name.clone(), template);
    }
    let mut policies = Vec::new();
    for path in files(&folder.join("workspaces"))? {
        let text = fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
        let binding = Binding::parse(&text).context(DocumentSnafu { path: &path })?;
        let Some(template) = templates.get(&binding.template) else {
            return NoTemplateSnafu {
                workspace: binding.workspace.as_str(),
                template: binding.template.as_str(),
            }
            .fail();
        };
        policies.push(template.compile(&binding).context(DocumentSnafu { path })?);
    }
    Ok(policies)
}

fn files(folder: &Path) -> Result<Vec<PathBuf>, Error> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).context(ReadSnafu { path: folder })? {
        let path = entry.context(ReadSnafu { path: folder })?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "toml")
        {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}
