//! In-memory store with the revisions, transactions and leases of the key-value service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use snipeusher::kv::Call;
use snipeusher::kv::Compare;
use snipeusher::kv::Entry;
use snipeusher::kv::Fault;
use snipeusher::kv::Lease;
use snipeusher::kv::Op;
use snipeusher::kv::Output;
use snipeusher::kv::Range;
use snipeusher::kv::Reply;
use snipeusher::kv::Revision;
use snipeusher::kv::Txn;
use snipeusher::time::Time;

/// Largest accepted value.
const VALUE_BYTES_MAX: usize = 1_000_000;
/// Largest number of conditions, or of operations in a branch, at one level of a transaction.
const TXN_OPS_MAX: usize = 128;

/// Changes of one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Write {
    /// The revision.
    pub revision: Revision,
    /// Keys written.
    pub entries: Vec<Entry>,
    /// Keys deleted.
    pub deleted: Vec<String>,
}

/// In-memory store with the semantics of etcd v3.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    revision: u64,
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<i64, (u64, Time)>,
    last_lease: i64,
    log: Vec<Write>,
}

impl Memory {
    /// Current revision of the store.
    pub const fn revision(&self) -> Revision {
        Revision::new(self.revision)
    }

    /// Returns the entry of a key.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.keys.get(key)
    }

    /// All entries in key order.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.keys.values()
    }

    /// Writes from the given revision on.
    pub fn log(&self, from: Revision) -> &[Write] {
        let start = self.log.partition_point(|write| write.revision < from);
        &self.log[start..]
    }

    /// Time at which the next lease expires.
    pub fn next_expiry(&self) -> Time {
        let expiries = self.leases.values().map(|(_, expires_at)| *expires_at);
        expiries.min().unwrap_or(Time::NEVER)
    }

    /// Deletes the keys of leases that have expired by `now`.
    pub fn expire(&mut self, now: Time) {
        let expired =
            |(lease, (_, expires_at)): (&i64, &(u64, Time))| (*expires_at <= now).then_some(*lease);
        let expired: Vec<_> = self.leases.iter().filter_map(expired).collect();
        for lease in expired {
            self.revoke(Lease(lease));
        }
    }

    /// Executes a call at `now`.
    pub fn call(&mut self, now: Time, call: &Call) -> Result<Reply, Fault> {
        self.expire(now);
        match call {
            Call::Range(range) => Ok(self.range(range, Revision::new(0))),
            Call::Changed { range, after } => Ok(self.range(range, *after)),
            Call::Txn(txn) => self.txn(txn),
            Call::Grant { ttl_s } => {
                self.last_lease += 1;
                let expires_at = now + Duration::from_secs(*ttl_s);
                self.leases.insert(self.last_lease, (*ttl_s, expires_at));
                Ok(Reply::Grant {
                    lease: Lease(self.last_lease),
                    ttl_s: *ttl_s,
                })
            }
            Call::KeepAlive(lease) => {
                let ttl_s = self
                    .leases
                    .get_mut(&lease.0)
                    .map_or(0, |(ttl_s, expires_at)| {
                        *expires_at = now + Duration::from_secs(*ttl_s);
                        *ttl_s
                    });
                Ok(Reply::KeepAlive { ttl_s })
            }
            Call::Revoke(lease) => {
                if !self.leases.contains_key(&lease.0) {
                    return Err(Fault::Refused);
                }
                self.revoke(*lease);
                Ok(Reply::Revoke)
            }
        }
    }

    fn revoke(&mut self, lease: Lease) {
        self.leases.remove(&lease.0);
        let is_attached = |entry: &&Entry| entry.lease == Some(lease);
        let keys: Vec<_> = self
            .keys
            .values()
            .filter(is_attached)
            .map(|entry| entry.key.clone())
            .collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in &keys {
            self.keys.remove(key);
        }
        self.log.push(Write {
            revision: Revision::new(self.revision),
            entries: Vec::new(),
            deleted: keys,
        });
    }

    fn range(&self, range: &Range, after: Revision) -> Reply {
        let mut entries = self.find(range);
        entries.retain(|entry| entry.modified > after);
        Reply::Range {
            revision: self.revision(),
            entries,
        }
    }

    fn find(&self, range: &Range) -> Vec<Entry> {
        match range {
            Range::Key(key) => self.keys.get(key).cloned().into_iter().collect(),
            Range::Prefix(prefix) => self.entries_under(prefix).cloned().collect(),
        }
    }

    fn entries_under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Entry> {
        self.keys
            .range(prefix.to_owned()..)
            .map(|(_, entry)| entry)
            .take_while(move |entry| entry.key.starts_with(prefix))
    }

    fn txn(&mut self, txn: &Txn) -> Result<Reply, Fault> {
        let mut decisions = Vec::new();
        self.evaluate(txn, &mut decisions, &mut BTreeSet::new())?;
        let mut write = Write::default();
        let (succeeded, results) = self.apply(txn, &mut decisions.into_iter(), &mut write);
        if !write.entries.is_empty() || !write.deleted.is_empty() {
            self.revision += 1;
            write.revision = Revision::new(self.revision);
            self.log.push(write);
        }
        Ok(Reply::Txn {
            revision: self.revision(),
            succeeded,
            results,
        })
    }

    /// Evaluates the conditions of a transaction and of its nested ones before anything is written,
    /// and refuses invalid operations, as etcd does. Adds one entry to `decisions` for each
    /// transaction, in the order of their operations.
    fn evaluate<'a>(
        &self,
        txn: &'a Txn,
        decisions: &mut Vec<bool>,
        written: &mut BTreeSet<&'a str>,
    ) -> Result<(), Fault> {
        let lengths = [txn.compare.len(), txn.success.len(), txn.failure.len()];
        if lengths.iter().any(|length| *length > TXN_OPS_MAX) {
            return Err(Fault::Refused);
        }
        let succeeded = txn.compare.iter().all(|compare| self.holds(compare));
        decisions.push(succeeded);
        for op in if succeeded {
            &txn.success
        } else {
            &txn.failure
        } {
            match op {
                Op::Put { key, value, lease } => {
                    let is_lease_unknown =
                        lease.is_some_and(|lease| !self.leases.contains_key(&lease.0));
                    if is_lease_unknown || value.len() > VALUE_BYTES_MAX || !written.insert(key) {
                        return Err(Fault::Refused);
                    }
                }
                Op::Txn(inner) => self.evaluate(inner, decisions, written)?,
                Op::Delete { .. } | Op::Range(_) => {}
            }
        }
        Ok(())
    }

    fn apply(
        &mut self,
        txn: &Txn,
        decisions: &mut impl Iterator<Item = bool>,
        write: &mut Write,
    ) -> (bool, Vec<Output>) {
        let succeeded = decisions.next().unwrap_or_default();
        let ops = if succeeded {
            &txn.success
        } else {
            &txn.failure
        };
        let mut results = Vec::with_capacity(ops.len());
        for op in ops {
            let output = match op {
                Op::Put { key, value, lease } => {
                    write.entries.push(self.put(key, value, *lease));
                    Output::Written
                }
                Op::Delete { key } => {
                    if self.keys.remove(key).is_some() {
                        write.deleted.push(key.clone());
                    }
                    Output::Written
                }
                Op::Range(range) => Output::Found(self.find(range)),
                Op::Txn(inner) => {
                    let (succeeded, results) = self.apply(inner, decisions, write);
                    Output::Txn { succeeded, results }
                }
            };
            results.push(output);
        }
        (succeeded, results)
    }

    fn put(&mut self, key: &str, value: &[u8], lease: Option<Lease>) -> Entry {
        let modified = Revision::new(self.revision + 1);
        let entry = Entry {
            key: key.to_owned(),
            value: value.to_vec(),
            created: self.keys.get(key).map_or(modified, |entry| entry.created),
            modified,
            lease,
        };
        self.keys.insert(key.to_owned(), entry.clone());
        entry
    }

    fn holds(&self, compare: &Compare) -> bool {
        match compare {
            Compare::Modified(key, revision) => {
                self.keys
                    .get(key)
                    .map_or(Revision::new(0), |entry| entry.modified)
                    == *revision
            }
            Compare::Created(key, revision) => {
                self.keys
                    .get(key)
                    .map_or(Revision::new(0), |entry| entry.created)
                    == *revision
            }
            Compare::Unchanged(prefix, revision) => self
                .entries_under(prefix)
                .all(|entry| entry.modified <= *revision),
        }
    }
}
