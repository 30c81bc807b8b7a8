//! Transactions that write many keys, each with its own condition.

use std::sync::Arc;

use super::Claimer;
use super::Fingerprint;
use super::Record;
use super::Stage;
use crate::kv::Call;
use crate::kv::Compare;
use crate::kv::Entry;
use crate::kv::Lease;
use crate::kv::Op;
use crate::kv::Output;
use crate::kv::Range;
use crate::kv::Reply;
use crate::kv::Revision;
use crate::kv::Txn;

/// The write of one key in a batch.
#[derive(Clone, Debug)]
pub(super) struct Item {
    pub(super) key: Arc<str>,
    pub(super) claimer: Claimer,
    pub(super) fingerprint: Fingerprint,
    pub(super) stage: Stage,
    /// The revision that the write requires; zero if the key must not exist.
    pub(super) expected: Revision,
    /// Whether an earlier send of the claim may have taken effect.
    pub(super) resent: bool,
}

/// The result of the write of one key.
#[derive(Debug)]
pub(super) enum Write {
    /// The record was written at this revision.
    Applied(Revision),
    /// The key has another revision, or does not exist.
    Conflict(Option<Found>),
}

/// The current value of a key.
#[derive(Debug)]
pub(super) struct Found {
    pub(super) revision: Revision,
    /// The record; `None` if it cannot be decoded.
    pub(super) record: Option<Record>,
}

impl Found {
    fn from_entry(entry: &Entry) -> Self {
        Self {
            revision: entry.modified,
            record: Record::decode(&entry.value),
        }
    }
}

/// A transaction with one nested transaction per item, which succeeds or fails independently.
pub(super) fn call(items: &[Item], lease: Lease) -> Call {
    Call::Txn(Txn {
        compare: Vec::new(),
        success: items
            .iter()
            .map(|item| Op::Txn(item_txn(item, lease)))
            .collect(),
        failure: Vec::new(),
    })
}

fn item_txn(item: &Item, lease: Lease) -> Txn {
    let key = item.key.to_string();
    let record = Record {
        claimer: item.claimer.clone(),
        fingerprint: item.fingerprint,
        stage: item.stage.clone(),
    };
    Txn {
        compare: vec![Compare::Modified(key.clone(), item.expected)],
        success: vec![Op::Put {
            key: key.clone(),
            value: record.encode(),
            lease: Some(lease),
        }],
        failure: vec![Op::Range(Range::Key(key))],
    }
}

/// The results in the order of the items; `None` if the reply does not match the transaction.
pub(super) fn results(reply: &Reply, items: usize) -> Option<Vec<Write>> {
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
        .map(|done| item_result(done, *revision))
        .collect()
}

fn item_result(done: &Output, revision: Revision) -> Option<Write> {
    let Output::Txn { succeeded, results } = done else {
        return None;
    };
    if *succeeded {
        return Some(Write::Applied(revision));
    }
    let [Output::Found(entries)] = results.as_slice() else {
        return None;
    };
    Some(Write::Conflict(entries.first().map(Found::from_entry)))
}
