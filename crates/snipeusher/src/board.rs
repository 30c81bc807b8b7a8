//! The blackboard that controllers read and write.
//!
//! Each section has one owner, which alone writes it; see
//! `docs/design.md#blackboard-and-owners`.

use std::collections::BTreeMap;

use crate::load::Work;
use crate::name;
use crate::policy::Policy;
use crate::request::Attempt;
use crate::request::Id;
use crate::request::Request;
use crate::upstream;

/// A request in flight.
#[derive(Clone, Debug)]
pub struct Flight {
    /// The request.
    pub request: Request,
    /// Where it runs.
    pub upstream: name::Upstream,
    /// Work counted against the upstream.
    pub work: Work,
    /// Whether a byte of it may have reached the upstream.
    pub sent: bool,
}

/// All shared state of a router's decisions.
#[derive(Debug, Default)]
pub struct Board {
    /// Upstreams by name; written by `member`.
    pub upstreams: BTreeMap<name::Upstream, upstream::State>,
    /// Compiled policies by workspace; written by `config`.
    pub policies: BTreeMap<name::Workspace, Policy>,
    /// Own work in flight by upstream; written by `load`.
    pub loads: BTreeMap<name::Upstream, Work>,
    /// Requests in flight by attempt; written by `machine`.
    pub attempts: BTreeMap<Attempt, Flight>,
    /// The attempt that runs for a request; written by `machine`.
    pub running: BTreeMap<Id, Attempt>,
}
