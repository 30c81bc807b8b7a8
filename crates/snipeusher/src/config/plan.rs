//! What an operator's change would write, or why it is refused.

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

/// What an operator wants.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Write a document.
    Put {
        /// The document.
        name: Name,
        /// Its TOML.
        text: String,
    },
    /// Delete a document.
    Delete(Name),
    /// Set a parameter: the default of a template, or the value of a workspace.
    Set {
        /// The document.
        name: Name,
        /// The parameter.
        parameter: String,
        /// Its value.
        value: toml::Value,
    },
    /// Write the text that a document had at an earlier revision.
    Rollback {
        /// The document.
        name: Name,
        /// The earlier revision.
        to: Revision,
    },
}

impl Change {
    /// The document that it changes.
    pub const fn name(&self) -> &Name {
        match self {
            Self::Put { name, .. }
            | Self::Delete(name)
            | Self::Set { name, .. }
            | Self::Rollback { name, .. } => name,
        }
    }
}

/// Who makes a change, for the history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Author {
    /// The operator.
    pub name: String,
    /// The operator's clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Why a change is refused; nothing was written.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Refusal {
    /// The document has mistakes.
    #[snafu(display("{text}"))]
    Invalid {
        /// All mistakes, with the document's name.
        text: String,
    },
    /// The text is of another document.
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
    /// A workspace names a template that does not exist.
    #[snafu(display("{name} needs template {template:?}, which does not exist"))]
    NoTemplate {
        /// The workspace.
        name: Name,
        /// The template.
        template: String,
    },
    /// Workspaces would be left without a policy.
    #[snafu(display("{name} would break {}", workspaces.join(", ")))]
    Breaks {
        /// The document.
        name: Name,
        /// Each workspace with the reason.
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
    /// The history holds no such version.
    #[snafu(display("the history of {name} has no revision {}", revision.0))]
    NoVersion {
        /// The document.
        name: Name,
        /// The revision.
        revision: Revision,
    },
    /// The text does not fit into a value of the service.
    #[snafu(display("{name} has {bytes} bytes, at most {TEXT_BYTES_MAX} are allowed"))]
    TooLarge {
        /// The document.
        name: Name,
        /// Its size.
        bytes: usize,
    },
    /// Another operator changed the document.
    #[snafu(display(
        "{name} was changed by {author:?} in revision {}, this change expected revision {}",
        found.0,
        expected.0
    ))]
    Conflict {
        /// The document.
        name: Name,
        /// The revision that the change was made for.
        expected: Revision,
        /// The revision of the document.
        found: Revision,
        /// Who wrote that.
        author: String,
        /// The edit that wrote it.
        edit: EditId,
    },
}

/// A change that may be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Plan {
    /// The new text; `None` to delete.
    pub(super) text: Option<String>,
    /// Conditions under which the checks still hold when it is written.
    pub(super) conditions: Vec<Compare>,
}

/// Checks a change against all documents.
pub(super) fn plan(world: &Snapshot, history: &History, change: &Change) -> Result<Plan, Refusal> {
    let name = change.name();
    let text = new_text(world, history, change)?;
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
    // A change of any binding since the read may need a parameter that the template loses, or
    // bring the same bearer key.
    let unchanged = Compare::Unchanged(WORKSPACES_PREFIX.to_owned(), world.revision);
    let conditions = match (name, &text) {
        (Name::Template(template), text) => {
            check_template(world, name, template, text.as_deref())?;
            vec![unchanged]
        }
        (Name::Workspace(_), Some(text)) => {
            let template = check_binding(world, name, text)?;
            let revision = world.revision_of(&template);
            vec![unchanged, Compare::Modified(template.key(), revision)]
        }
        (Name::Workspace(_), None) => Vec::new(),
    };
    Ok(Plan { text, conditions })
}

fn new_text(
    world: &Snapshot,
    history: &History,
    change: &Change,
) -> Result<Option<String>, Refusal> {
    match change {
        Change::Put { text, .. } => Ok(Some(text.clone())),
        Change::Delete(name) => {
            world
                .text(name)
                .context(MissingSnafu { name: name.clone() })?;
            Ok(None)
        }
        Change::Set {
            name,
            parameter,
            value,
        } => {
            let text = world
                .text(name)
                .context(MissingSnafu { name: name.clone() })?;
            with_parameter(name, text, parameter, value).map(Some)
        }
        Change::Rollback { name, to } => {
            if let Some((revision, stored)) = world.documents.get(name)
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

/// Sets a parameter in the text of a document. Comments of the text are lost.
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
    world: &Snapshot,
    name: &Name,
    own: &name::Template,
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
    let stranded = |binding: Binding| {
        let reason = match &template {
            Some(template) => template.compile(&binding).err()?.to_string(),
            None => "it uses the template".to_owned(),
        };
        Some(format!(
            "workspace {:?} ({reason})",
            binding.workspace.as_str()
        ))
    };
    let workspaces: Vec<_> = world
        .bindings()
        .filter(|binding| binding.template == *own)
        .filter_map(stranded)
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

/// Checks a binding and gives the name of its template.
fn check_binding(world: &Snapshot, name: &Name, text: &str) -> Result<Name, Refusal> {
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
    let template = world.template(&binding.template).context(NoTemplateSnafu {
        name: name.clone(),
        template: binding.template.as_str(),
    })?;
    template.compile(&binding).map_err(invalid)?;
    for other in world
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
    reason = "the signature is that of an argument of map_err"
)]
fn invalid(error: crate::template::Error) -> Refusal {
    Refusal::Invalid {
        text: error.to_string(),
    }
}
