//! A set of documents, merged by highest revision, with the policies that follow from it.

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

/// What a document says.
#[derive(Debug)]
enum Content {
    Template(Box<Template>),
    Binding(Box<Binding>),
    Deleted,
    Unreadable,
}

#[derive(Debug)]
struct Held {
    document: Document,
    content: Content,
}

/// The documents of one router.
#[derive(Debug, Default)]
pub(super) struct Set {
    documents: BTreeMap<Arc<str>, Held>,
    policies: BTreeMap<name::Workspace, (Policy, Revision)>,
    highest: Revision,
    hash: u64,
}

impl Set {
    /// Takes documents; those that are not newer than what is held change nothing.
    pub(super) fn merge(&mut self, documents: Vec<Document>, actions: &mut impl Extend<Action>) {
        let mut touched = BTreeSet::new();
        for document in documents {
            if let Some(path) = self.insert(document, actions) {
                touched.insert(path);
            }
        }
        for workspace in self.affected(&touched) {
            let action = self.compile(&workspace);
            actions.extend(action);
        }
    }

    /// The digest, with `ready` as given.
    pub(super) const fn digest(&self, ready: bool) -> Digest {
        Digest {
            highest: self.highest,
            hash: self.hash,
            ready,
        }
    }

    /// The documents after one revision and up to another, in order of their revisions.
    pub(super) fn within(&self, above: Revision, upto: Revision) -> Vec<Document> {
        let mut found: Vec<_> = self
            .documents
            .values()
            .map(|held| &held.document)
            .filter(|document| document.revision > above && document.revision <= upto)
            .cloned()
            .collect();
        found.sort_by_key(|document| document.revision);
        found
    }

    /// The span of what this set has after one revision and up to another.
    pub(super) fn span(&self, above: Revision, upto: Revision) -> Span {
        let hash = self
            .documents
            .values()
            .map(|held| &held.document)
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
        self.documents.values().map(|held| &held.document)
    }

    fn insert(
        &mut self,
        document: Document,
        actions: &mut impl Extend<Action>,
    ) -> Option<Arc<str>> {
        let path = Arc::clone(&document.path);
        let held = self.documents.get(&path).map(|held| &held.document);
        if held.is_some_and(|held| held.revision >= document.revision) {
            return None;
        }
        if let Some(held) = held {
            self.hash = self.hash.wrapping_sub(fingerprint(held));
        }
        self.hash = self.hash.wrapping_add(fingerprint(&document));
        self.highest = self.highest.max(document.revision);
        let content = read(&document).unwrap_or_else(|text| {
            let document = path.to_string();
            actions.extend([Action::Problem { document, text }]);
            Content::Unreadable
        });
        let held = Held { document, content };
        self.documents.insert(Arc::clone(&path), held);
        Some(path)
    }

    /// The workspaces whose policy may follow from one of the documents.
    fn affected(&self, touched: &BTreeSet<Arc<str>>) -> BTreeSet<name::Workspace> {
        let mut affected = BTreeSet::new();
        for path in touched {
            if let Some(Name::Workspace(workspace)) = Name::parse(path) {
                affected.insert(workspace);
            }
        }
        for held in self.documents.values() {
            if let Content::Binding(binding) = &held.content
                && touched.contains(&*template_path(&binding.template))
            {
                affected.insert(binding.workspace.clone());
            }
        }
        affected
    }

    /// Compiles a workspace's policy anew. A pair of documents that does not compile, such as a
    /// binding that arrived before its template, leaves the policy as it was.
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
        let held = self.documents.get(&*template_path(name))?;
        match &held.content {
            Content::Template(template) => Some((template, held.document.revision)),
            Content::Binding(_) | Content::Deleted | Content::Unreadable => None,
        }
    }
}

fn template_path(name: &name::Template) -> String {
    Name::Template(name.clone()).path()
}

fn fingerprint(document: &Document) -> u64 {
    hash::mix(hash::bytes(document.path.as_bytes()), document.revision.0)
}

fn read(document: &Document) -> Result<Content, String> {
    let stored = Record::decode(&document.value)?;
    let Some(text) = stored.text else {
        return Ok(Content::Deleted);
    };
    let own = Name::parse(&document.path).ok_or("the document is of no known kind")?;
    let (named, content) = match own {
        Name::Template(_) => {
            let template = Template::parse(&text).map_err(|error| error.to_string())?;
            let named = Name::Template(template.name.clone());
            (named, Content::Template(Box::new(template)))
        }
        Name::Workspace(_) => {
            let binding = Binding::parse(&text).map_err(|error| error.to_string())?;
            let named = Name::Workspace(binding.workspace.clone());
            (named, Content::Binding(Box::new(binding)))
        }
    };
    if named != own {
        return Err(format!("the document names {named}"));
    }
    Ok(content)
}
