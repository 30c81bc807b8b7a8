//! A consistent snapshot of all documents, against which an operator's edit is checked.

use std::collections::BTreeMap;

use super::Document;
use super::Name;
use super::Record;
use crate::kv::Entry;
use crate::kv::Revision;
use crate::name;
use crate::template::Binding;
use crate::template::Template;

/// All documents at one revision of the store.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The store's revision.
    pub revision: Revision,
    /// Each document, deleted ones included, with the revision of its last change.
    pub documents: BTreeMap<Name, (Revision, Record)>,
    /// Paths of documents that cannot be decoded, with the reason.
    pub unreadable: Vec<(String, String)>,
}

impl Snapshot {
    /// Decodes the entries of a read of all documents.
    pub fn from_entries(revision: Revision, entries: &[Entry]) -> Self {
        let mut snapshot = Self {
            revision,
            ..Self::default()
        };
        for document in entries.iter().filter_map(Document::from_entry) {
            let name = Name::parse(&document.path).ok_or_else(|| "unknown kind".to_owned());
            match name.and_then(|name| Ok((name, Record::decode(&document.value)?))) {
                Ok((name, stored)) => {
                    snapshot.documents.insert(name, (document.revision, stored));
                }
                Err(text) => snapshot.unreadable.push((document.path.to_string(), text)),
            }
        }
        snapshot
    }

    /// The revision of a document, or zero if it never existed.
    pub fn revision_of(&self, name: &Name) -> Revision {
        self.documents
            .get(name)
            .map_or(Revision::new(0), |(revision, _)| *revision)
    }

    /// The text of a document, unless it is deleted.
    pub fn text(&self, name: &Name) -> Option<&str> {
        self.documents.get(name)?.1.text.as_deref()
    }

    /// A template, unless it is deleted or does not parse.
    pub fn template(&self, name: &name::Template) -> Option<Template> {
        Template::parse(self.text(&Name::Template(name.clone()))?).ok()
    }

    /// All bindings that are not deleted and parse.
    pub fn bindings(&self) -> impl Iterator<Item = Binding> {
        self.documents.iter().filter_map(|(name, (_, stored))| {
            if !matches!(name, Name::Workspace(_)) {
                return None;
            }
            Binding::parse(stored.text.as_deref()?).ok()
        })
    }
}
