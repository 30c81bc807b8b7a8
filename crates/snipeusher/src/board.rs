//! The shared state that the controllers of a router read and write (blackboard pattern).
//!
//! Each section has one owner, and only the owner writes it; see
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

/// An attempt in flight.
#[derive(Clone, Debug)]
pub struct InFlight {
    /// The request and its earlier attempts.
    pub task: Task,
    /// The upstream that it was sent to.
    pub upstream: name::Upstream,
    /// Remaining work counted against the upstream; it falls as output arrives.
    pub work: Work,
    /// Work counted against the upstream at the dispatch.
    pub initial_work: Work,
    /// The upstream's cache epoch at the dispatch; the answer proves nothing about the cache of a
    /// later epoch.
    pub epoch: u32,
    /// Time of the dispatch.
    pub dispatched_at: Time,
    /// Whether a byte of the request may have reached the upstream.
    pub sent: bool,
    /// Output tokens so far; `None` until the first output.
    pub output: Option<u64>,
    /// The slot that a peer granted for it.
    pub slot: Option<(name::Host, Ticket)>,
}

/// State of an open request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The request waits in a queue.
    Queued(Lane),
    /// The request waits until this time for its next attempt.
    Backoff(Time),
    /// The request waits for a slot from the router that controls admission.
    AwaitingSlot(Ticket),
    /// An attempt is in flight.
    Running(Attempt),
}

/// All shared state of a router's decisions.
#[derive(Debug, Default)]
pub struct Board<S = Peers> {
    /// Upstreams by name; written by `member`.
    pub upstreams: BTreeMap<name::Upstream, upstream::State>,
    /// Highest incarnation of each upstream that is known to leave; written by `member`.
    pub leaving: BTreeMap<name::Upstream, name::Incarnation>,
    /// Live routers of the router's own zone; written by `member`.
    pub routers: Vec<name::Host>,
    /// Restarts by upstream; written by `load`.
    pub churn: BTreeMap<name::Upstream, churn::Record>,
    /// Compiled policies by workspace; written by `config`.
    pub policies: BTreeMap<name::Workspace, Policy>,
    /// Load by upstream; written by `load`.
    pub loads: Table<S>,
    /// Engines that hold the prompt prefix of each chat; written by `prefix`.
    pub prefixes: prefix::Map,
    /// Waiting requests and workspace usage; written by `admission`.
    pub queues: Queues,
    /// Attempts in flight; written by `machine`.
    pub attempts: BTreeMap<Attempt, InFlight>,
    /// State of each open request; written by `machine`.
    pub requests: BTreeMap<Id, Stage>,
    /// Retry tokens by workspace; written by `retry`.
    pub budget: Budget,
    /// Scores and ejections by upstream; written by `outlier`.
    pub outliers: outlier::Table,
}
