//! Reads documents, from files and from the key-value service, and compares their texts.

use std::collections::BTreeMap;
use std::path::Path;

use snafu::OptionExt as _;
use snafu::ResultExt as _;
use snipeusher::config::History;
use snipeusher::config::Name;
use snipeusher::config::PREFIX;
use snipeusher::config::Snapshot;
use snipeusher::kv::Call;
use snipeusher::kv::Range;
use snipeusher::kv::Reply;
use snipeusher::kv::Revision;
use snipeusher::template::Binding;
use snipeusher::template::Template;
use snipeusher_store::Gateway;
use snipeusher_store::Store as _;

use crate::error::DocumentSnafu;
use crate::error::Error;
use crate::error::InvalidSnafu;
use crate::error::MissingSnafu;
use crate::error::ReadSnafu;

/// The kind of document that a command works on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Template,
    Workspace,
}

impl Kind {
    pub(crate) fn name(self, name: &str) -> Name {
        match self {
            Self::Template => Name::Template(name.into()),
            Self::Workspace => Name::Workspace(name.into()),
        }
    }

    pub(crate) const fn matches(self, name: &Name) -> bool {
        matches!(
            (self, name),
            (Self::Template, Name::Template(_)) | (Self::Workspace, Name::Workspace(_))
        )
    }

    /// Reads a file; returns the name of its document and its text.
    pub(crate) fn read(self, path: &Path) -> Result<(Name, String), Error> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        let name = match self {
            Self::Template => Template::parse(&text).map(|template| Name::Template(template.name)),
            Self::Workspace => {
                Binding::parse(&text).map(|binding| Name::Workspace(binding.workspace))
            }
        };
        Ok((name.context(DocumentSnafu { path })?, text))
    }
}

/// Reads all documents from the key-value service.
pub(crate) async fn snapshot(gateway: &Gateway) -> Result<Snapshot, Error> {
    let range = Range::Prefix(PREFIX.to_owned());
    match gateway.call(Call::Range(range)).await {
        Ok(Reply::Range { revision, entries }) => Ok(Snapshot::from_entries(revision, &entries)),
        Ok(_) => unavailable(snipeusher::kv::Fault::Refused),
        Err(fault) => unavailable(fault),
    }
}

/// Reads the earlier versions of a document, newest first.
pub(crate) async fn history(gateway: &Gateway, name: &Name) -> Result<History, Error> {
    let range = Range::Key(name.history_key());
    match gateway.call(Call::Range(range)).await {
        Ok(Reply::Range { entries, .. }) => {
            let history = entries.first().map(|entry| History::decode(&entry.value));
            let history = history.unwrap_or_else(|| Ok(History::default()));
            history.map_err(|text| Error::Invalid {
                text: format!("the history of {name} cannot be read: {text}"),
            })
        }
        Ok(_) => unavailable(snipeusher::kv::Fault::Refused),
        Err(fault) => unavailable(fault),
    }
}

fn unavailable<T>(fault: snipeusher::kv::Fault) -> Result<T, Error> {
    Err(Error::Unavailable { fault })
}

/// Reads the text of a document at the given revision, or the current one if it is `None`.
pub(crate) async fn text(
    gateway: &Gateway,
    name: &Name,
    revision: Option<Revision>,
) -> Result<(Revision, String), Error> {
    let snapshot = snapshot(gateway).await?;
    let current = snapshot.documents.get(name);
    if let Some((current_revision, record)) = current
        && revision.is_none_or(|revision| revision == *current_revision)
    {
        let text = record.text.clone();
        return Ok((
            *current_revision,
            text.context(MissingSnafu {
                name: name.to_string(),
            })?,
        ));
    }
    let missing_name = || match revision {
        Some(revision) => format!("revision {} of {name}", revision.number),
        None => name.to_string(),
    };
    let Some(revision) = revision else {
        return MissingSnafu {
            name: missing_name(),
        }
        .fail();
    };
    let history = history(gateway, name).await?;
    let version = history
        .versions
        .into_iter()
        .find(|version| version.revision == revision);
    let text = version.and_then(|version| version.text);
    Ok((
        revision,
        text.context(MissingSnafu {
            name: missing_name(),
        })?,
    ))
}

/// Lists the values that differ between two TOML texts: `-` marks the old value, `+` the new one.
pub(crate) fn diff(old: &str, new: &str) -> Result<Vec<String>, Error> {
    let old = values(old)?;
    let new = values(new)?;
    let mut lines = Vec::new();
    for path in old
        .keys()
        .chain(new.keys().filter(|path| !old.contains_key(*path)))
    {
        let (before, after) = (old.get(path), new.get(path));
        if before != after {
            lines.extend(before.map(|value| format!("- {path} = {value}")));
            lines.extend(after.map(|value| format!("+ {path} = {value}")));
        }
    }
    Ok(lines)
}

/// Parses a TOML text into its values, keyed by their dotted paths.
fn values(text: &str) -> Result<BTreeMap<String, String>, Error> {
    let table: toml::Table = text.parse().map_err(|error: toml::de::Error| {
        let text = error.to_string();
        InvalidSnafu { text }.build()
    })?;
    let mut values = BTreeMap::new();
    flatten("", &table, &mut values);
    Ok(values)
}

fn flatten(prefix: &str, table: &toml::Table, values: &mut BTreeMap<String, String>) {
    for (key, value) in table {
        let path = format!("{prefix}{key}");
        match value {
            toml::Value::Table(inner) if !inner.is_empty() => {
                flatten(&format!("{path}."), inner, values);
            }
            value => {
                values.insert(path, value.to_string());
            }
        }
    }
}
