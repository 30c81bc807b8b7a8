//! The documents of one router, merged by highest revision, and the policies compiled from them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use super::Action;
use super::Digest;
use super::Document;
use super::Name;
use super::Record;
use super::Span;
use crate::hash;
use crate::kv::Revision;
use crate::name;
use crate::policy::Policy;
use crate::template::Binding;
use crate::template::Template;

/// The parsed content of a document.
#[derive(Debug)]
enum Content {
    Template(Box<Template>),
    Binding(Box<Binding>),
    Deleted,
    Unreadable,
}

#[derive(Debug)]
struct Entry {
    document: Document,
    content: Content,
}

/// The documents of one router and the policies compiled from them.
#[derive(Debug, Default)]
pub(super) struct Set {
    documents: BTreeMap<Arc<str>, Entry>,
    policies: BTreeMap<name::Workspace, (Policy, Revision)>,
    highest: Revision,
    hash: u64,
}

impl Set {
    /// Merges documents; those that are not newer than the present ones are ignored.
    pub(super) fn merge(&mut self, documents: Vec<Document>, actions: &mut impl Extend<Action>) {
        let mut changed = BTreeSet::new();
        for document in documents {
            if let Some(path) = self.insert(document, actions) {
                changed.insert(path);
            }
        }
        for workspace in self.affected(&changed) {
            let action = self.compile(&workspace);
            actions.extend(action);
        }
    }

    /// The digest of the documents, with the given `ready`.
    pub(super) const fn digest(&self, ready: bool) -> Digest {
        Digest {
            highest: self.highest,
            hash: self.hash,
            ready,
        }
    }

    /// The documents with a revision in `(above, upto]`, ordered by revision.
    pub(super) fn within(&self, above: Revision, upto: Revision) -> Vec<Document> {
        let mut found: Vec<_> = self
            .documents
            .values()
            .map(|entry| &entry.document)
            .filter(|document| document.revision > above && document.revision <= upto)
            .cloned()
            .collect();
        found.sort_by_key(|document| document.revision);
        found
    }

    /// The span `(above, upto]` with the hash of this set's documents in it.
    pub(super) fn span(&self, above: Revision, upto: Revision) -> Span {
        let hash = self
            .documents
            .values()
            .map(|entry| &entry.document)
            .filter(|document| document.revision > above && document.revision <= upto)
            .fold(0, |sum: u64, document| {
                sum.wrapping_add(fingerprint(document))
            });
        Span { above, upto, hash }
    }

    pub(super) fn policies(&self) -> impl Iterator<Item = (&Policy, Revision)> {
        self.policies
            .values()
            .map(|(policy, revision)| (policy, *revision))
    }

    pub(super) fn documents(&self) -> impl Iterator<Item = &Document> {
        self.documents.values().map(|entry| &entry.document)
    }

    fn insert(
        &mut self,
        document: Document,
        actions: &mut impl Extend<Action>,
    ) -> Option<Arc<str>> {
        let path = Arc::clone(&document.path);
        let present = self.documents.get(&path).map(|entry| &entry.document);
        if present.is_some_and(|present| present.revision >= document.revision) {
            return None;
        }
        if let Some(present) = present {
            self.hash = self.hash.wrapping_sub(fingerprint(present));
        }
        self.hash = self.hash.wrapping_add(fingerprint(&document));
        self.highest = self.highest.max(document.revision);
        let content = parse(&document).unwrap_or_else(|text| {
            let document = path.to_string();
            actions.extend([Action::Problem { document, text }]);
            Content::Unreadable
        });
        let entry = Entry { document, content };
        self.documents.insert(Arc::clone(&path), entry);
        Some(path)
    }

    /// The workspaces whose policy may depend on one of the documents.
    fn affected(&self, changed: &BTreeSet<Arc<str>>) -> BTreeSet<name::Workspace> {
        let mut affected = BTreeSet::new();
        for path in changed {
            if let Some(Name::Workspace(workspace)) = Name::parse(path) {
                affected.insert(workspace);
            }
        }
        for entry in self.documents.values() {
            if let Content::Binding(binding) = &entry.content
                && changed.contains(&*template_path(&binding.template))
            {
                affected.insert(binding.workspace.clone());
            }
        }
        affected
    }

    /// Recompiles a workspace's policy. If the documents do not compile, for example because a
    /// binding arrived before its template, the policy stays unchanged.
    fn compile(&mut self, workspace: &name::Workspace) -> Option<Action> {
        let path = Name::Workspace(workspace.clone()).path();
        let bound = self.documents.get(&*path)?;
        let binding = match &bound.content {
            Content::Binding(binding) => binding,
            Content::Deleted => {
                self.policies.remove(workspace)?;
                return Some(Action::Remove(workspace.clone()));
            }
            Content::Template(_) | Content::Unreadable => return None,
        };
        let problem = |text| Action::Problem {
            document: path.clone(),
            text,
        };
        let Some((template, revision)) = self.template(&binding.template) else {
            let text = format!("there is no template {:?}", binding.template.as_str());
            return Some(problem(text));
        };
        let policy = match template.compile(binding) {
            Ok(policy) => policy,
            Err(error) => return Some(problem(error.to_string())),
        };
        let revision = revision.max(bound.document.revision);
        let known = self.policies.get(workspace);
        if known.is_some_and(|(known, _)| *known == policy) {
            self.policies.insert(workspace.clone(), (policy, revision));
            return None;
        }
        self.policies
            .insert(workspace.clone(), (policy.clone(), revision));
        Some(Action::Apply {
            policy: Box::new(policy),
            revision,
        })
    }

    fn template(&self, name: &name::Template) -> Option<(&Template, Revision)> {
        let entry = self.documents.get(&*template_path(name))?;
        match &entry.content {
            Content::Template(template) => Some((template, entry.document.revision)),
            Content::Binding(_) | Content::Deleted | Content::Unreadable => None,
        }
    }
}

fn template_path(name: &name::Template) -> String {
    Name::Template(name.clone()).path()
}

fn fingerprint(document: &Document) -> u64 {
    hash::mix(
        hash::bytes(document.path.as_bytes()),
        document.revision.number,
    )
}

fn parse(document: &Document) -> Result<Content, String> {
    let stored = Record::decode(&document.value)?;
    let Some(text) = stored.text else {
        return Ok(Content::Deleted);
    };
    let name = Name::parse(&document.path).ok_or("the document is of an unknown kind")?;
    let (parsed_name, content) = match name {
        Name::Template(_) => {
            let template = Template::parse(&text).map_err(|error| error.to_string())?;
            let parsed_name = Name::Template(template.name.clone());
            (parsed_name, Content::Template(Box::new(template)))
        }
        Name::Workspace(_) => {
            let binding = Binding::parse(&text).map_err(|error| error.to_string())?;
            let parsed_name = Name::Workspace(binding.workspace.clone());
            (parsed_name, Content::Binding(Box::new(binding)))
        }
    };
    if parsed_name != name {
        return Err(format!("the text names {parsed_name}"));
    }
    Ok(content)
}
