//! Checks an operator's change and determines what it writes.

use snafu::OptionExt as _;
use snafu::Snafu;
use snafu::ensure;

use super::EditId;
use super::History;
use super::Name;
use super::Snapshot;
use super::WORKSPACES_PREFIX;
use super::document::TEXT_BYTES_MAX;
use crate::kv::Compare;
use crate::kv::Revision;
use crate::name;
use crate::template::Binding;
use crate::template::Template;

/// A change requested by an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Write a document.
    Put {
        /// The document.
        name: Name,
        /// The new text, in TOML.
        text: String,
    },
    /// Delete a document.
    Delete(Name),
    /// Set the default of a template's parameter, or a workspace's value of it.
    Set {
        /// The document.
        name: Name,
        /// The parameter.
        parameter: String,
        /// The new value.
        value: toml::Value,
    },
    /// Restore the text that a document had at an earlier revision.
    Rollback {
        /// The document.
        name: Name,
        /// The revision to restore.
        to: Revision,
    },
}

impl Change {
    /// The document to change.
    pub const fn name(&self) -> &Name {
        match self {
            Self::Put { name, .. }
            | Self::Delete(name)
            | Self::Set { name, .. }
            | Self::Rollback { name, .. } => name,
        }
    }
}

/// The author of a change, recorded in the history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Author {
    /// The operator's name.
    pub name: String,
    /// Time by the operator's clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Why a change is rejected; nothing is written.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Refusal {
    /// The document is not valid.
    #[snafu(display("{text}"))]
    Invalid {
        /// The document's name and all mistakes in it.
        text: String,
    },
    /// The text names another document.
    #[snafu(display("{name} cannot hold the text of {other}"))]
    Misnamed {
        /// The document.
        name: Name,
        /// The document that the text names.
        other: Name,
    },
    /// The document does not exist.
    #[snafu(display("there is no {name}"))]
    Missing {
        /// The document.
        name: Name,
    },
    /// A binding names a template that does not exist.
    #[snafu(display("{name} needs template {template:?}, which does not exist"))]
    NoTemplate {
        /// The workspace.
        name: Name,
        /// The template.
        template: String,
    },
    /// Bindings of workspaces would no longer compile with their template.
    #[snafu(display("{name} would break {}", workspaces.join(", ")))]
    Breaks {
        /// The document.
        name: Name,
        /// Each workspace, with the reason.
        workspaces: Vec<String>,
    },
    /// Another workspace has the same bearer key.
    #[snafu(display("{name} has a bearer key of workspace {other:?}"))]
    SharedKey {
        /// The workspace.
        name: Name,
        /// The other workspace.
        other: String,
    },
    /// The history does not contain the version.
    #[snafu(display("the history of {name} has no revision {}", revision.number))]
    NoVersion {
        /// The document.
        name: Name,
        /// The revision.
        revision: Revision,
    },
    /// The text exceeds the size limit.
    #[snafu(display("{name} has {bytes} bytes, at most {TEXT_BYTES_MAX} are allowed"))]
    TooLarge {
        /// The document.
        name: Name,
        /// Size of the text.
        bytes: usize,
    },
    /// Another operator changed the document first.
    #[snafu(display(
        "{name} was changed by {author:?} in revision {}, this change expected revision {}",
        found.number,
        expected.number
    ))]
    Conflict {
        /// The document.
        name: Name,
        /// The revision that the change is based on.
        expected: Revision,
        /// The document's current revision.
        found: Revision,
        /// The author of that revision.
        author: String,
        /// The edit that wrote that revision.
        edit: EditId,
    },
}

/// The checked result of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Plan {
    /// The new text; `None` to delete.
    pub(super) text: Option<String>,
    /// Conditions of the write that keep the checks valid.
    pub(super) conditions: Vec<Compare>,
}

/// Checks a change against all documents and returns what to write.
pub(super) fn plan(
    snapshot: &Snapshot,
    history: &History,
    change: &Change,
) -> Result<Plan, Refusal> {
    let name = change.name();
    let text = new_text(snapshot, history, change)?;
    if let Some(text) = &text {
        let bytes = text.len();
        ensure!(
            bytes <= TEXT_BYTES_MAX,
            TooLargeSnafu {
                name: name.clone(),
                bytes
            }
        );
    }
    // Another edit may meanwhile change a binding so that it uses a parameter removed here, or has
    // the same bearer key.
    let unchanged = Compare::Unchanged(WORKSPACES_PREFIX.to_owned(), snapshot.revision);
    let conditions = match (name, &text) {
        (Name::Template(template), text) => {
            check_template(snapshot, name, template, text.as_deref())?;
            vec![unchanged]
        }
        (Name::Workspace(_), Some(text)) => {
            let template = check_binding(snapshot, name, text)?;
            let revision = snapshot.revision_of(&template);
            vec![unchanged, Compare::Modified(template.key(), revision)]
        }
        (Name::Workspace(_), None) => Vec::new(),
    };
    Ok(Plan { text, conditions })
}

fn new_text(
    snapshot: &Snapshot,
    history: &History,
    change: &Change,
) -> Result<Option<String>, Refusal> {
    match change {
        Change::Put { text, .. } => Ok(Some(text.clone())),
        Change::Delete(name) => {
            snapshot
                .text(name)
                .context(MissingSnafu { name: name.clone() })?;
            Ok(None)
        }
        Change::Set {
            name,
            parameter,
            value,
        } => {
            let text = snapshot
                .text(name)
                .context(MissingSnafu { name: name.clone() })?;
            with_parameter(name, text, parameter, value).map(Some)
        }
        Change::Rollback { name, to } => {
            if let Some((revision, stored)) = snapshot.documents.get(name)
                && revision == to
            {
                return Ok(stored.text.clone());
            }
            let version = history
                .versions
                .iter()
                .find(|version| version.revision == *to);
            let missing = NoVersionSnafu {
                name: name.clone(),
                revision: *to,
            };
            Ok(version.context(missing)?.text.clone())
        }
    }
}

/// Sets a parameter in the text of a document. Comments in the text are lost.
fn with_parameter(
    name: &Name,
    text: &str,
    parameter: &str,
    value: &toml::Value,
) -> Result<String, Refusal> {
    let invalid = |text: String| Refusal::Invalid { text };
    let mut table: toml::Table = text
        .parse()
        .map_err(|error: toml::de::Error| invalid(format!("{name}: {error}")))?;
    let parameters = table
        .entry("parameters")
        .or_insert_with(|| toml::Value::Table(toml::Table::new()));
    let Some(parameters) = parameters.as_table_mut() else {
        return Err(invalid(format!("{name}: parameters must be a table")));
    };
    match (name, parameters.get_mut(parameter)) {
        (Name::Template(_), None) => {
            return Err(invalid(format!("{name} has no parameter {parameter:?}")));
        }
        (Name::Template(_), Some(toml::Value::Table(declared))) => {
            declared.insert("default".to_owned(), value.clone());
        }
        _ => {
            parameters.insert(parameter.to_owned(), value.clone());
        }
    }
    toml::to_string_pretty(&table).map_err(|error| invalid(format!("{name}: {error}")))
}

fn check_template(
    snapshot: &Snapshot,
    name: &Name,
    template_name: &name::Template,
    text: Option<&str>,
) -> Result<(), Refusal> {
    let template = text.map(Template::parse).transpose().map_err(invalid)?;
    if let Some(template) = &template {
        let other = Name::Template(template.name.clone());
        ensure!(
            other == *name,
            MisnamedSnafu {
                name: name.clone(),
                other
            }
        );
        template.validate().map_err(invalid)?;
    }
    let breakage = |binding: Binding| {
        let reason = match &template {
            Some(template) => template.compile(&binding).err()?.to_string(),
            None => "it uses the template".to_owned(),
        };
        Some(format!(
            "workspace {:?} ({reason})",
            binding.workspace.as_str()
        ))
    };
    let workspaces: Vec<_> = snapshot
        .bindings()
        .filter(|binding| binding.template == *template_name)
        .filter_map(breakage)
        .collect();
    ensure!(
        workspaces.is_empty(),
        BreaksSnafu {
            name: name.clone(),
            workspaces
        }
    );
    Ok(())
}

/// Checks a binding and returns the name of its template.
fn check_binding(snapshot: &Snapshot, name: &Name, text: &str) -> Result<Name, Refusal> {
    let binding = Binding::parse(text).map_err(invalid)?;
    let other = Name::Workspace(binding.workspace.clone());
    ensure!(
        other == *name,
        MisnamedSnafu {
            name: name.clone(),
            other
        }
    );
    binding.validate().map_err(invalid)?;
    let template = snapshot
        .template(&binding.template)
        .context(NoTemplateSnafu {
            name: name.clone(),
            template: binding.template.as_str(),
        })?;
    template.compile(&binding).map_err(invalid)?;
    for other in snapshot
        .bindings()
        .filter(|other| other.workspace != binding.workspace)
    {
        let shared = other.keys.iter().any(|key| binding.keys.contains(key));
        ensure!(
            !shared,
            SharedKeySnafu {
                name: name.clone(),
                other: other.workspace.as_str()
            }
        );
    }
    Ok(Name::Template(binding.template))
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "map_err passes the error by value"
)]
fn invalid(error: crate::template::Error) -> Refusal {
    Refusal::Invalid {
        text: error.to_string(),
    }
}
