//! One operator's change as a transaction that compares revisions.
//!
//! A reply that is lost after the write took effect is resolved by reading the document back: its
//! edit id, or those of earlier edits that it names, tell whether this edit was applied, also
//! when another operator has written since.

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

/// First wait after a call that failed.
const RETRY_FIRST: Duration = Duration::from_millis(100);
/// Longest wait after calls that failed.
const RETRY_LONGEST: Duration = Duration::from_secs(1);

/// How an edit ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is applied, at this revision; another edit may have followed.
    Applied(Revision),
    /// The document has the text already, at this revision.
    Unchanged(Revision),
    /// It is not applied and never will be.
    Refused(Refusal),
    /// The service did not answer; nothing was written.
    Unavailable,
    /// The service did not answer after the write was sent. The edit id tells later, in the
    /// document's history, whether it was applied.
    Unresolved(EditId),
}

/// What the embedding process must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send a call.
    Call {
        /// Matches the reply.
        id: CallId,
        /// The call.
        call: Call,
    },
    /// The edit ended.
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
    /// The revision that the change was made for, once known.
    base: Option<Revision>,
    deadline: Time,
    state: State,
    /// Whether a write was sent whose effect is not known.
    in_doubt: bool,
    calls: CallId,
    backoff: Backoff,
    steps: VecDeque<Step>,
}

impl Edit {
    /// Prepares a change, which [`Self::handle`] begins. With `expected`, the change is refused if
    /// the document has another revision. `edit` must be random, since it identifies the edit.
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

    /// Takes the steps that are due, in order; never a call and the end at once.
    pub fn drain(&mut self) -> impl Iterator<Item = Step> + '_ {
        self.steps.drain(..)
    }

    /// When [`Self::handle`] must be called at the latest.
    pub fn next_wake(&self) -> Time {
        match self.state {
            State::Waiting(at) => at.min(self.deadline),
            State::Reading(_) | State::Writing(_) => self.deadline,
            State::Done => Time::NEVER,
        }
    }

    /// Takes the reply to a call, if there is one, and goes on; steps wait in [`Self::drain`].
    pub fn handle(&mut self, now: Time, reply: Option<(CallId, Result<Reply, Fault>)>) {
        if let Some((id, result)) = reply {
            self.reply(now, id, result);
        }
        if matches!(self.state, State::Done) {
            return;
        }
        if now >= self.deadline {
            let in_doubt = self.in_doubt || matches!(self.state, State::Writing(_));
            self.done(if in_doubt {
                Outcome::Unresolved(self.id)
            } else {
                Outcome::Unavailable
            });
            return;
        }
        if let State::Waiting(at) = self.state
            && now >= at
        {
            let id = self.call(read(self.change.name()));
            self.state = State::Reading(id);
        }
    }

    fn reply(&mut self, now: Time, id: CallId, result: Result<Reply, Fault>) {
        match self.state {
            State::Reading(own) if own == id => match result {
                Ok(Reply::Txn {
                    revision, results, ..
                }) if results.len() == 2 => {
                    let world = Snapshot::from_entries(revision, results[0].found());
                    let history = results[1].found().first();
                    let history = history.map_or_else(
                        || Ok(History::default()),
                        |entry| History::decode(&entry.value),
                    );
                    self.write(&world, history.unwrap_or_default());
                }
                _ => self.retry(now),
            },
            State::Writing(own) if own == id => match result {
                Ok(Reply::Txn {
                    revision,
                    succeeded: true,
                    ..
                }) => self.done(Outcome::Applied(revision)),
                Ok(Reply::Txn { .. }) => {
                    self.backoff.reset();
                    self.state = State::Waiting(now);
                }
                Err(Fault::NotSent | Fault::Refused) => self.retry(now),
                Ok(_) | Err(Fault::Lost) => {
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

    fn done(&mut self, outcome: Outcome) {
        self.state = State::Done;
        // A call that was not taken yet must not be sent after the report.
        self.steps.clear();
        self.steps.push_back(Step::Done(outcome));
    }

    /// Ends the edit if the documents decide it, or sends the write.
    fn write(&mut self, world: &Snapshot, history: History) {
        let name = self.change.name().clone();
        let current = world.documents.get(&name);
        let found = world.revision_of(&name);
        if let Some(revision) = current.and_then(|(at, stored)| self.applied(*at, stored)) {
            self.done(Outcome::Applied(revision));
            return;
        }
        let base = *self.base.get_or_insert(found);
        if found != base {
            let outcome = self.conflict(name, base, found, current.map(|(_, stored)| stored));
            self.done(outcome);
            return;
        }
        // A write in doubt cannot take effect after a refusal: the same conditions that the
        // refused check depends on are part of its transaction.
        let plan = match plan::plan(world, &history, &self.change) {
            Ok(plan) => plan,
            Err(refusal) => {
                self.done(Outcome::Refused(refusal));
                return;
            }
        };
        if current.is_some_and(|(_, stored)| stored.text == plan.text) {
            self.done(Outcome::Unchanged(found));
            return;
        }
        let current = current.map(|(_, stored)| stored);
        let call = self.transaction(&name, base, current, plan, history);
        let id = self.call(call);
        self.state = State::Writing(id);
    }

    /// The revision of this edit, if the document or its earlier edits name it.
    fn applied(&self, at: Revision, stored: &Record) -> Option<Revision> {
        if stored.edit == self.id {
            return Some(at);
        }
        let own = stored.recent.iter().find(|recent| recent.edit == self.id);
        own.map(|recent| recent.revision)
    }

    fn conflict(
        &self,
        name: Name,
        expected: Revision,
        found: Revision,
        current: Option<&Record>,
    ) -> Outcome {
        // The earlier edits must reach back to the base to show that this one is not among them.
        let reaches_back = current.is_some_and(|stored| {
            !stored.shortened
                || stored
                    .recent
                    .iter()
                    .any(|recent| recent.revision <= expected)
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
            current.map_or((Vec::new(), false), |stored| stored.recent_with(base));
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

/// Reads all documents and the history of one at the same revision.
fn read(name: &Name) -> Call {
    Call::Txn(Txn {
        compare: Vec::new(),
        success: vec![
            Op::Range(Range::Prefix(PREFIX.to_owned())),
            Op::Range(Range::Key(name.history_key())),
        ],
        failure: Vec::new(),
    })
}
