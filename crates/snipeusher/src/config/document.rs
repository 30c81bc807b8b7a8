//! Documents as stored in the key-value store and exchanged between peers.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::HISTORY_PREFIX;
use super::PREFIX;
use crate::kv::Entry;
use crate::kv::Revision;
use crate::name;

/// Largest encoded history. The store accepts values up to one megabyte, and one transaction
/// writes both a document and its history.
pub(super) const HISTORY_BYTES_MAX: usize = 512 << 10;
/// Largest text of a document. JSON escapes at most double it, since TOML allows no control
/// characters but tabs and line ends, so the text fits into its value and into a history.
pub(super) const TEXT_BYTES_MAX: usize = 200 << 10;
/// Maximum number of earlier edits listed in a document, to resolve an edit whose reply was lost.
const RECENT_MAX: usize = 64;
/// Maximum number of versions in a history.
const VERSIONS_MAX: usize = 32;

/// The name of a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Name {
    /// A template.
    Template(name::Template),
    /// The binding of a workspace.
    Workspace(name::Workspace),
}

impl Name {
    /// The key of the document.
    pub fn key(&self) -> String {
        format!("{PREFIX}{}", self.path())
    }

    /// The key of the document's history.
    pub fn history_key(&self) -> String {
        format!("{HISTORY_PREFIX}{}", self.path())
    }

    /// Parses the part of a key after [`PREFIX`].
    pub fn parse(path: &str) -> Option<Self> {
        match path.split_once('/')? {
            ("template", name) => Some(Self::Template(name.into())),
            ("workspace", name) => Some(Self::Workspace(name.into())),
            _ => None,
        }
    }

    /// The part of the key after [`PREFIX`].
    pub fn path(&self) -> String {
        match self {
            Self::Template(name) => format!("template/{name}"),
            Self::Workspace(name) => format!("workspace/{name}"),
        }
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Template(name) => write!(f, "template {:?}", name.as_str()),
            Self::Workspace(name) => write!(f, "workspace {:?}", name.as_str()),
        }
    }
}

/// The random identifier of an operator's edit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EditId(pub u128);

impl fmt::Display for EditId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl Serialize for EditId {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for EditId {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        u128::from_str_radix(&text, 16)
            .map(Self)
            .map_err(serde::de::Error::custom)
    }
}

/// An earlier edit of a document, with the revision at which it was written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Commit {
    /// The edit's identifier.
    pub edit: EditId,
    /// The document's revision after the edit.
    pub revision: Revision,
}

/// The value of a document's key, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The TOML that the operator wrote; `None` for a deleted document.
    pub text: Option<String>,
    /// The edit that wrote the text.
    pub edit: EditId,
    /// The operator who made the edit.
    pub author: String,
    /// Time of the edit in milliseconds since the Unix epoch; only displayed.
    pub at_ms: u64,
    /// Earlier edits, newest first.
    pub recent: Vec<Commit>,
    /// Whether earlier edits were dropped from `recent`.
    pub shortened: bool,
}

impl Record {
    /// Encodes the value for the store.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Decodes a value of the store.
    pub fn decode(value: &str) -> Result<Self, String> {
        serde_json::from_str(value).map_err(|error| error.to_string())
    }

    /// The `recent` and `shortened` fields of a record that replaces this one at `revision`.
    pub(super) fn successor_history(&self, revision: Revision) -> (Vec<Commit>, bool) {
        let current = Commit {
            edit: self.edit,
            revision,
        };
        let mut recent: Vec<_> = std::iter::once(current)
            .chain(self.recent.iter().cloned())
            .collect();
        let shortened = self.shortened || recent.len() > RECENT_MAX;
        recent.truncate(RECENT_MAX);
        (recent, shortened)
    }
}

/// An earlier version of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The document's revision.
    pub revision: Revision,
    /// The text; `None` for a deleted document.
    pub text: Option<String>,
    /// The edit that wrote the text.
    pub edit: EditId,
    /// The operator who made the edit.
    pub author: String,
    /// Time of the edit in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Earlier versions of a document; the value of its history key, as JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct History {
    /// The versions, newest first.
    pub versions: Vec<Version>,
}

impl History {
    /// Decodes a value of the store.
    pub fn decode(value: &[u8]) -> Result<Self, String> {
        serde_json::from_slice(value).map_err(|error| error.to_string())
    }

    /// Adds the version that an edit replaces, drops the oldest versions that no longer fit, and
    /// returns the encoded history.
    pub(super) fn push(&mut self, version: Version) -> String {
        self.versions.insert(0, version);
        self.versions.truncate(VERSIONS_MAX);
        loop {
            let value = serde_json::to_string(self).unwrap_or_default();
            if value.len() <= HISTORY_BYTES_MAX || self.versions.pop().is_none() {
                return value;
            }
        }
    }
}

/// An encoded document with its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The key without [`PREFIX`], such as `template/letters`.
    pub path: Arc<str>,
    /// The revision of its last change.
    pub revision: Revision,
    /// The value, an encoded [`Record`].
    pub value: Arc<str>,
}

impl Document {
    /// Converts an entry of the store; `None` if its key is not that of a document.
    pub fn from_entry(entry: &Entry) -> Option<Self> {
        let path = entry.key.strip_prefix(PREFIX)?;
        Some(Self {
            path: path.into(),
            revision: entry.modified,
            value: String::from_utf8_lossy(&entry.value).into(),
        })
    }

    /// A tombstone for a key that was deleted directly in the store.
    pub(super) fn deleted(key: &str, revision: Revision) -> Option<Self> {
        let stored = Record {
            text: None,
            edit: EditId(0),
            author: String::new(),
            at_ms: 0,
            recent: Vec::new(),
            shortened: true,
        };
        Some(Self {
            path: key.strip_prefix(PREFIX)?.into(),
            revision,
            value: stored.encode().into(),
        })
    }
}
