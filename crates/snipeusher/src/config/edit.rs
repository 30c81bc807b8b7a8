//! State machine that applies one operator's change with optimistic concurrency control.
//!
//! The write is a transaction conditional on the revisions that were read. If its reply is lost,
//! the document is read again: the edit ids in it show whether this edit was applied, even after
//! later edits by other operators.

use std::collections::VecDeque;
use std::time::Duration;

use super::Author;
use super::Change;
use super::EditId;
use super::History;
use super::Name;
use super::PREFIX;
use super::Record;
use super::Refusal;
use super::Snapshot;
use super::Version;
use super::plan;
use super::plan::Plan;
use crate::kv::Backoff;
use crate::kv::Call;
use crate::kv::CallId;
use crate::kv::Compare;
use crate::kv::Fault;
use crate::kv::Op;
use crate::kv::Range;
use crate::kv::Reply;
use crate::kv::Revision;
use crate::kv::Txn;
use crate::time::Time;

/// Wait after the first failed call.
const RETRY_FIRST: Duration = Duration::from_millis(100);
/// Longest wait between retries.
const RETRY_LONGEST: Duration = Duration::from_secs(1);

/// The outcome of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The edit was applied at this revision; later edits may have followed.
    Applied(Revision),
    /// The document already had the new text, at this revision.
    Unchanged(Revision),
    /// The edit was rejected; nothing was or will be written.
    Refused(Refusal),
    /// The store did not answer; nothing was written.
    Unavailable,
    /// The store did not answer after the write was sent. The edit was applied if its id appears
    /// in the document or its history.
    Unresolved(EditId),
}

/// An effect that the embedding process must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send a call to the store.
    Call {
        /// Identifies the call in the reply.
        id: CallId,
        /// The call.
        call: Call,
    },
    /// The edit is complete.
    Done(Outcome),
}

#[derive(Clone, Copy, Debug)]
enum State {
    Waiting(Time),
    Reading(CallId),
    Writing(CallId),
    Done,
}

/// An edit in progress.
#[derive(Debug)]
pub struct Edit {
    change: Change,
    author: Author,
    id: EditId,
    /// The document's revision that the change is based on, once known.
    base: Option<Revision>,
    deadline: Time,
    state: State,
    /// Whether a write was sent that may or may not have taken effect.
    in_doubt: bool,
    calls: CallId,
    backoff: Backoff,
    steps: VecDeque<Step>,
}

impl Edit {
    /// Creates an edit, which starts with the first [`Self::handle`]. If `expected` is given, the
    /// change is rejected if the document has another revision. `edit` must be random, since it
    /// identifies the edit.
    pub fn new(
        change: Change,
        author: Author,
        edit: EditId,
        expected: Option<Revision>,
        now: Time,
        deadline: Time,
    ) -> Self {
        Self {
            change,
            author,
            id: edit,
            base: expected,
            deadline,
            state: State::Waiting(now),
            in_doubt: false,
            calls: CallId::default(),
            backoff: Backoff::new(edit.0 as u64, RETRY_FIRST, RETRY_LONGEST),
            steps: VecDeque::new(),
        }
    }

    /// Removes and returns the pending steps in order; they never hold both a call and the outcome.
    pub fn drain(&mut self) -> impl Iterator<Item = Step> + '_ {
        self.steps.drain(..)
    }

    /// The latest time of the next call of [`Self::handle`].
    pub fn next_wake(&self) -> Time {
        match self.state {
            State::Waiting(at) => at.min(self.deadline),
            State::Reading(_) | State::Writing(_) => self.deadline,
            State::Done => Time::NEVER,
        }
    }

    /// Processes a reply, if any, and the passage of time; [`Self::drain`] returns the steps.
    pub fn handle(&mut self, now: Time, reply: Option<(CallId, Result<Reply, Fault>)>) {
        if let Some((id, result)) = reply {
            self.handle_reply(now, id, result);
        }
        if matches!(self.state, State::Done) {
            return;
        }
        if now >= self.deadline {
            let in_doubt = self.in_doubt || matches!(self.state, State::Writing(_));
            self.finish(if in_doubt {
                Outcome::Unresolved(self.id)
            } else {
                Outcome::Unavailable
            });
            return;
        }
        if let State::Waiting(at) = self.state
            && now >= at
        {
            let id = self.call(read_call(self.change.name()));
            self.state = State::Reading(id);
        }
    }

    fn handle_reply(&mut self, now: Time, id: CallId, result: Result<Reply, Fault>) {
        match self.state {
            State::Reading(call) if call == id => match result {
                Ok(Reply::Txn {
                    revision, results, ..
                }) if results.len() == 2 => {
                    let snapshot = Snapshot::from_entries(revision, results[0].found());
                    let history = results[1].found().first();
                    let history = history.map_or_else(
                        || Ok(History::default()),
                        |entry| History::decode(&entry.value),
                    );
                    self.write(&snapshot, history.unwrap_or_default());
                }
                _ => self.retry(now),
            },
            State::Writing(call) if call == id => match result {
                Ok(Reply::Txn {
                    revision,
                    succeeded: true,
                    ..
                }) => self.finish(Outcome::Applied(revision)),
                Ok(Reply::Txn { .. }) => {
                    self.backoff.reset();
                    self.state = State::Waiting(now);
                }
                Err(Fault::NotSent | Fault::Refused) => self.retry(now),
                Ok(_) | Err(Fault::Lost | Fault::Restored) => {
                    self.in_doubt = true;
                    self.retry(now);
                }
            },
            _ => {}
        }
    }

    fn retry(&mut self, now: Time) {
        self.state = State::Waiting(now + self.backoff.fail());
    }

    fn call(&mut self, call: Call) -> CallId {
        let id = self.calls.advance();
        self.steps.push_back(Step::Call { id, call });
        id
    }

    fn finish(&mut self, outcome: Outcome) {
        self.state = State::Done;
        // A call that is still pending must not be sent after the outcome is reported.
        self.steps.clear();
        self.steps.push_back(Step::Done(outcome));
    }

    /// Finishes the edit if the documents read already determine its outcome; else sends the write.
    fn write(&mut self, snapshot: &Snapshot, history: History) {
        let name = self.change.name().clone();
        let current = snapshot.documents.get(&name);
        let found = snapshot.revision_of(&name);
        if let Some(revision) =
            current.and_then(|(revision, stored)| self.applied_at(*revision, stored))
        {
            self.finish(Outcome::Applied(revision));
            return;
        }
        let base = *self.base.get_or_insert(found);
        if found != base {
            let outcome = self.conflict(name, base, found, current.map(|(_, stored)| stored));
            self.finish(outcome);
            return;
        }
        // If an earlier write is in doubt, it cannot take effect after this rejection: its
        // transaction contains the conditions that this check depends on.
        let plan = match plan::plan(snapshot, &history, &self.change) {
            Ok(plan) => plan,
            Err(refusal) => {
                self.finish(Outcome::Refused(refusal));
                return;
            }
        };
        if current.is_some_and(|(_, stored)| stored.text == plan.text) {
            self.finish(Outcome::Unchanged(found));
            return;
        }
        let current = current.map(|(_, stored)| stored);
        let call = self.transaction(&name, base, current, plan, history);
        let id = self.call(call);
        self.state = State::Writing(id);
    }

    /// The revision at which this edit was applied, if the document lists its id.
    fn applied_at(&self, revision: Revision, stored: &Record) -> Option<Revision> {
        if stored.edit == self.id {
            return Some(revision);
        }
        let commit = stored.recent.iter().find(|commit| commit.edit == self.id);
        commit.map(|commit| commit.revision)
    }

    fn conflict(
        &self,
        name: Name,
        expected: Revision,
        found: Revision,
        current: Option<&Record>,
    ) -> Outcome {
        // Only a list of earlier edits that reaches back to the base proves that this edit is not
        // among them.
        let reaches_back = current.is_some_and(|stored| {
            !stored.shortened
                || stored
                    .recent
                    .iter()
                    .any(|commit| commit.revision <= expected)
        });
        if self.in_doubt && !reaches_back {
            return Outcome::Unresolved(self.id);
        }
        Outcome::Refused(Refusal::Conflict {
            name,
            expected,
            found,
            author: current.map_or_else(String::new, |stored| stored.author.clone()),
            edit: current.map_or(EditId(0), |stored| stored.edit),
        })
    }

    fn transaction(
        &self,
        name: &Name,
        base: Revision,
        current: Option<&Record>,
        plan: Plan,
        mut history: History,
    ) -> Call {
        let (recent, shortened) =
            current.map_or((Vec::new(), false), |stored| stored.successor_history(base));
        let stored = Record {
            text: plan.text,
            edit: self.id,
            author: self.author.name.clone(),
            at_ms: self.author.at_ms,
            recent,
            shortened,
        };
        let mut success = vec![put(name.key(), stored.encode())];
        if let Some(replaced) = current {
            let value = history.push(Version {
                revision: base,
                text: replaced.text.clone(),
                edit: replaced.edit,
                author: replaced.author.clone(),
                at_ms: replaced.at_ms,
            });
            success.push(put(name.history_key(), value));
        }
        let mut compare = vec![Compare::Modified(name.key(), base)];
        compare.extend(plan.conditions);
        Call::Txn(Txn {
            compare,
            success,
            failure: Vec::new(),
        })
    }
}

fn put(key: String, value: String) -> Op {
    Op::Put {
        key,
        value: value.into_bytes(),
        lease: None,
    }
}

/// A call that reads all documents and the history of one at the same revision.
fn read_call(name: &Name) -> Call {
    Call::Txn(Txn {
        compare: Vec::new(),
        success: vec![
            Op::Range(Range::Prefix(PREFIX.to_owned())),
            Op::Range(Range::Key(name.history_key())),
        ],
        failure: Vec::new(),
    })
}
