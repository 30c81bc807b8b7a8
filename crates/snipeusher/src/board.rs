//! The blackboard that controllers read and write.
//!
//! Each section has one owner, which alone writes it; see
//! `docs/design.md#blackboard-and-owners`.

use std::collections::BTreeMap;

use crate::admission::Lane;
use crate::admission::Queues;
use crate::churn;
use crate::load::Peers;
use crate::load::Table;
use crate::load::Work;
use crate::machine::Ticket;
use crate::name;
use crate::outlier;
use crate::policy::Policy;
use crate::prefix;
use crate::request::Attempt;
use crate::request::Id;
use crate::request::Task;
use crate::retry::Budget;
use crate::time::Time;
use crate::upstream;

/// A request in flight.
#[derive(Clone, Debug)]
pub struct InFlight {
    /// The request and what happened to it before.
    pub task: Task,
    /// Where it runs.
    pub upstream: name::Upstream,
    /// Work counted against the upstream; it falls as output arrives.
    pub work: Work,
    /// Work counted at the start.
    pub start: Work,
    /// The upstream's epoch at the start; an answer says nothing of the cache of a later one.
    pub epoch: u32,
    /// When it was dispatched.
    pub since: Time,
    /// Whether a byte of it may have reached the upstream.
    pub sent: bool,
    /// Tokens of output so far, if any arrived.
    pub output: Option<u64>,
    /// The slot that a peer granted for it.
    pub slot: Option<(name::Host, Ticket)>,
}

/// Where a request stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It waits in a queue.
    Queued(Lane),
    /// It waits for its next attempt.
    Backoff(Time),
    /// It waits for a slot.
    AwaitingSlot(Ticket),
    /// It runs.
    Running(Attempt),
}

/// All shared state of a router's decisions.
#[derive(Debug, Default)]
pub struct Board<S = Peers> {
    /// Upstreams by name; written by `member`.
    pub upstreams: BTreeMap<name::Upstream, upstream::State>,
    /// Runs of upstreams that are known to leave; written by `member`.
    pub leaving: BTreeMap<name::Upstream, name::Incarnation>,
    /// Routers of the own zone; written by `member`.
    pub routers: Vec<name::Host>,
    /// Restarts of upstreams; written by `load`.
    pub churn: BTreeMap<name::Upstream, churn::Record>,
    /// Compiled policies by workspace; written by `config`.
    pub policies: BTreeMap<name::Workspace, Policy>,
    /// Load by upstream; written by `load`.
    pub loads: Table<S>,
    /// Holders of chats' prefixes; written by `prefix`.
    pub prefixes: prefix::Map,
    /// Waiting requests and shares; written by `admission`.
    pub queues: Queues,
    /// Requests in flight by attempt; written by `machine`.
    pub attempts: BTreeMap<Attempt, InFlight>,
    /// Where each request stands; written by `machine`.
    pub requests: BTreeMap<Id, Stage>,
    /// Retry tokens; written by `retry`.
    pub budget: Budget,
    /// Scores and ejections of upstreams; written by `outlier`.
    pub outliers: outlier::Table,
}
