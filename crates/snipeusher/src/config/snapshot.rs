//! All documents at one revision of the store, as an operator's edit sees them.

use std::collections::BTreeMap;

use super::Document;
use super::Name;
use super::Record;
use crate::kv::Entry;
use crate::kv::Revision;
use crate::name;
use crate::template::Binding;
use crate::template::Template;

/// The documents at one revision.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The store's revision.
    pub revision: Revision,
    /// Each document with the revision of its last change, also the deleted ones.
    pub documents: BTreeMap<Name, (Revision, Record)>,
    /// Keys whose value cannot be read, with the reason.
    pub unreadable: Vec<(String, String)>,
}

impl Snapshot {
    /// Reads the entries of a range over all documents.
    pub fn from_entries(revision: Revision, entries: &[Entry]) -> Self {
        let mut world = Self {
            revision,
            ..Self::default()
        };
        for document in entries.iter().filter_map(Document::from_entry) {
            let name = Name::parse(&document.path).ok_or_else(|| "unknown kind".to_owned());
            match name.and_then(|name| Ok((name, Record::decode(&document.value)?))) {
                Ok((name, stored)) => {
                    world.documents.insert(name, (document.revision, stored));
                }
                Err(text) => world.unreadable.push((document.path.to_string(), text)),
            }
        }
        world
    }

    /// The revision of a document; zero if it never existed.
    pub fn revision_of(&self, name: &Name) -> Revision {
        self.documents
            .get(name)
            .map_or(Revision(0), |(revision, _)| *revision)
    }

    /// The text of a document that is not deleted.
    pub fn text(&self, name: &Name) -> Option<&str> {
        self.documents.get(name)?.1.text.as_deref()
    }

    /// A template that is not deleted.
    pub fn template(&self, name: &name::Template) -> Option<Template> {
        Template::parse(self.text(&Name::Template(name.clone()))?).ok()
    }

    /// The bindings that are not deleted.
    pub fn bindings(&self) -> impl Iterator<Item = Binding> {
        self.documents.iter().filter_map(|(name, (_, stored))| {
            if !matches!(name, Name::Workspace(_)) {
                return None;
            }
            Binding::parse(stored.text.as_deref()?).ok()
        })
    }
}
