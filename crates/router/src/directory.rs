//! The active policies, as the serving threads read them.

use std::collections::BTreeMap;
use std::sync::Arc;

use actix::Addr;
use snipeusher::machine::Event;
use snipeusher::name;
use snipeusher::policy::Digest;
use snipeusher::policy::Policy;
use tokio::sync::watch;

use crate::dispatch::Dispatcher;
use crate::dispatch::Notify;

/// Policies by bearer key.
#[derive(Debug, Default)]
pub struct Directory {
    entries: Vec<(Digest, Arc<Policy>)>,
}

impl Directory {
    /// Finds the policy of a bearer key.
    ///
    /// All stored digests are compared, each in constant time, so that the duration reveals
    /// nothing about them.
    pub fn find(&self, key: &str) -> Option<Arc<Policy>> {
        let digest = Digest::of(key);
        let mut found = None;
        for (index, (stored, _)) in self.entries.iter().enumerate() {
            if stored.matches(&digest) {
                found = Some(index);
            }
        }
        found.map(|index| Arc::clone(&self.entries[index].1))
    }

    /// Whether there are no policies.
    pub const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Publishes the active policies to the dispatcher and to the serving threads.
#[derive(Debug)]
pub struct Policies {
    current: BTreeMap<name::Workspace, Arc<Policy>>,
    dispatcher: Addr<Dispatcher>,
    sender: watch::Sender<Arc<Directory>>,
}

impl Policies {
    pub(crate) fn new(dispatcher: Addr<Dispatcher>) -> (Self, watch::Receiver<Arc<Directory>>) {
        let (sender, receiver) = watch::channel(Arc::default());
        let policies = Self {
            current: BTreeMap::new(),
            dispatcher,
            sender,
        };
        (policies, receiver)
    }

    /// Activates policies and replaces those of the same workspaces.
    pub fn put(&mut self, policies: impl IntoIterator<Item = Policy>) {
        for policy in policies {
            self.dispatcher
                .do_send(Notify(Event::Policy(policy.clone())));
            self.current
                .insert(policy.workspace.clone(), Arc::new(policy));
        }
        self.publish();
    }

    /// Removes the policy of a workspace.
    pub fn remove(&mut self, workspace: &name::Workspace) {
        if self.current.remove(workspace).is_some() {
            self.dispatcher
                .do_send(Notify(Event::WorkspaceRemoved(workspace.clone())));
            self.publish();
        }
    }

    fn publish(&self) {
        let mut entries = Vec::new();
        for policy in self.current.values() {
            for key in &policy.keys {
                entries.push((key.clone(), Arc::clone(policy)));
            }
        }
        self.sender.send_replace(Arc::new(Directory { entries }));
    }
}
