//! Transactions that settle many keys, each on its own.

use std::sync::Arc;

use super::Claimer;
use super::Fingerprint;
use super::Record;
use super::Stage;
use crate::kv::Call;
use crate::kv::Compare;
use crate::kv::Done;
use crate::kv::Entry;
use crate::kv::Lease;
use crate::kv::Op;
use crate::kv::Range;
use crate::kv::Reply;
use crate::kv::Revision;
use crate::kv::Txn;

/// What a batch writes for one key.
#[derive(Clone, Debug)]
pub(super) struct Item {
    pub(super) key: Arc<str>,
    pub(super) claimer: Claimer,
    pub(super) fingerprint: Fingerprint,
    pub(super) stage: Stage,
    /// The revision that the write replaces; zero if the key must not exist.
    pub(super) replaces: Revision,
    /// Whether an earlier send of the claim may have taken effect.
    pub(super) resent: bool,
}

/// The result for one key.
#[derive(Debug)]
pub(super) enum Written {
    /// The record was written at this revision.
    At(Revision),
    /// The key holds something else, or nothing.
    Found(Option<Found>),
}

/// What a key holds.
#[derive(Debug)]
pub(super) struct Found {
    pub(super) revision: Revision,
    /// The record; `None` if it cannot be read.
    pub(super) record: Option<Record>,
}

impl Found {
    fn read(entry: &Entry) -> Self {
        Self {
            revision: entry.modified,
            record: Record::decode(&entry.value),
        }
    }
}

/// One transaction whose inner transactions succeed or fail on their own.
pub(super) fn call(items: &[Item], lease: Lease) -> Call {
    Call::Txn(Txn {
        compare: Vec::new(),
        success: items.iter().map(|item| Op::Txn(one(item, lease))).collect(),
        failure: Vec::new(),
    })
}

fn one(item: &Item, lease: Lease) -> Txn {
    let key = item.key.to_string();
    let record = Record {
        claimer: item.claimer.clone(),
        fingerprint: item.fingerprint,
        stage: item.stage.clone(),
    };
    Txn {
        compare: vec![Compare::Modified(key.clone(), item.replaces)],
        success: vec![Op::Put {
            key: key.clone(),
            value: record.encode(),
            lease: Some(lease),
        }],
        failure: vec![Op::Range(Range::Key(key))],
    }
}

/// The results in the order of the items; `None` if the reply does not have their shape.
pub(super) fn results(reply: &Reply, items: usize) -> Option<Vec<Written>> {
    let Reply::Txn {
        revision,
        succeeded: true,
        results,
    } = reply
    else {
        return None;
    };
    if results.len() != items {
        return None;
    }
    results
        .iter()
        .map(|done| written(done, *revision))
        .collect()
}

fn written(done: &Done, revision: Revision) -> Option<Written> {
    let Done::Txn { succeeded, results } = done else {
        return None;
    };
    if *succeeded {
        return Some(Written::At(revision));
    }
    let [Done::Found(entries)] = results.as_slice() else {
        return None;
    };
    Some(Written::Found(entries.first().map(Found::read)))
}
