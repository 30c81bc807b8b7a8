//! Documents as the key-value service and peers hold them.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::HISTORY_PREFIX;
use super::PREFIX;
use crate::kv::Entry;
use crate::kv::Revision;
use crate::name;

/// Largest history in bytes. The service accepts values of one megabyte, and a document and its
/// history are written by one transaction.
pub(super) const HISTORY_BYTES_MAX: usize = 512 << 10;
/// Largest text of a document in bytes. JSON at most doubles it, since TOML has no control
/// characters but tabs and line ends, so that it fits into its value and into a history.
pub(super) const TEXT_BYTES_MAX: usize = 200 << 10;
/// Most earlier edits that a document names, to resolve an edit whose reply was lost.
const RECENT_MAX: usize = 64;
/// Most earlier texts in a history.
const VERSIONS_MAX: usize = 32;

/// Names a document.
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

    /// The key of its history.
    pub fn history_key(&self) -> String {
        format!("{HISTORY_PREFIX}{}", self.path())
    }

    /// Reads the part of a key after [`PREFIX`].
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

/// A random identity of one operator's edit.
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

/// An earlier edit of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Commit {
    /// The edit.
    pub edit: EditId,
    /// The revision that it gave the document.
    pub revision: Revision,
}

/// The value of a document's key, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The TOML that the operator wrote; `None` for a deleted document.
    pub text: Option<String>,
    /// The edit that wrote it.
    pub edit: EditId,
    /// Who wrote it.
    pub author: String,
    /// When, in milliseconds since the Unix epoch; only for display.
    pub at_ms: u64,
    /// Earlier edits, newest first.
    pub recent: Vec<Commit>,
    /// Whether earlier edits were dropped from `recent`.
    pub shortened: bool,
}

impl Record {
    /// The value in the service.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads a value of the service.
    pub fn decode(value: &str) -> Result<Self, String> {
        serde_json::from_str(value).map_err(|error| error.to_string())
    }

    /// The earlier edits of a document that follows this one, which has `revision`.
    pub(super) fn recent_with(&self, revision: Revision) -> (Vec<Commit>, bool) {
        let own = Commit {
            edit: self.edit,
            revision,
        };
        let mut recent: Vec<_> = std::iter::once(own)
            .chain(self.recent.iter().cloned())
            .collect();
        let shortened = self.shortened || recent.len() > RECENT_MAX;
        recent.truncate(RECENT_MAX);
        (recent, shortened)
    }
}

/// An earlier text of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The revision that it had.
    pub revision: Revision,
    /// The text; `None` for a deleted document.
    pub text: Option<String>,
    /// The edit that wrote it.
    pub edit: EditId,
    /// Who wrote it.
    pub author: String,
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Earlier texts of a document, newest first; the value of its history key, as JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct History {
    /// The versions.
    pub versions: Vec<Version>,
}

impl History {
    /// Reads a value of the service.
    pub fn decode(value: &[u8]) -> Result<Self, String> {
        serde_json::from_slice(value).map_err(|error| error.to_string())
    }

    /// Adds the version that an edit replaces and gives the value, from which the oldest versions
    /// are dropped until it fits.
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

/// A document with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The key after the prefix of all documents, such as `template/letters`.
    pub path: Arc<str>,
    /// The revision of its last change.
    pub revision: Revision,
    /// The value, a [`Record`].
    pub value: Arc<str>,
}

impl Document {
    /// Reads an entry of the service; `None` if its key is not that of a document.
    pub fn from_entry(entry: &Entry) -> Option<Self> {
        let path = entry.key.strip_prefix(PREFIX)?;
        Some(Self {
            path: path.into(),
            revision: entry.modified,
            value: String::from_utf8_lossy(&entry.value).into(),
        })
    }

    /// The document that stands for a key which was deleted without a tombstone.
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
