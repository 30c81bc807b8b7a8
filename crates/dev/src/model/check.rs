//! What must hold after each step.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use snipeusher::fleet::Limits;
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher::time::Time;

use super::router::Process;

/// Time for which a router has to have been undisturbed before bounds of time hold for it.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Time after its removal for which an entry may be kept, since it may register again.
const REMOVAL_SLACK: Duration = Duration::from_secs(3);
/// Time within which undisturbed routers know of each other.
const MEMBERSHIP_BOUND: Duration = Duration::from_secs(15);
/// Of every hundred routers, how many each one has to know. The retry budget leaves the rest unused,
/// for routers that are not counted yet.
const KNOWN_PERCENT: usize = 85;

/// A property that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// More retries in a window than are allowed.
    Budget {
        /// Retries in the window.
        retries: usize,
        /// Retries that are allowed.
        allowed: usize,
    },
    /// An undisturbed router has an old configuration.
    Configuration {
        /// Index of the router.
        router: usize,
        /// Version that it has; zero if none.
        version: u64,
        /// Version that has to be in force.
        due: u64,
    },
    /// An undisturbed router uses an upstream whose entry was removed.
    Removal {
        /// Index of the router.
        router: usize,
        /// The upstream.
        upstream: name::Upstream,
    },
    /// A router has the revision of a removal, or a later one, without the removal.
    Undone {
        /// Index of the router.
        router: usize,
        /// The upstream.
        upstream: name::Upstream,
    },
    /// Undisturbed routers do not know of each other.
    Membership {
        /// Index of the router.
        router: usize,
        /// Routers that it knows, itself included.
        known: usize,
        /// Routers that run.
        running: usize,
    },
}

impl Violation {
    /// Whether another violation is of the same property.
    pub fn is_same_property(&self, other: &Self) -> bool {
        std::mem::discriminant(self) == std::mem::discriminant(other)
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Budget { retries, allowed } => {
                write!(f, "{retries} retries in a window, {allowed} are allowed")
            }
            Self::Configuration {
                router,
                version,
                due,
            } => write!(
                f,
                "router {router} has configuration {version} instead of {due}"
            ),
            Self::Removal { router, upstream } => {
                write!(f, "router {router} uses {upstream:?}, which was removed")
            }
            Self::Undone { router, upstream } => write!(
                f,
                "router {router} has the revision of the removal of {upstream:?} without it"
            ),
            Self::Membership {
                router,
                known,
                running,
            } => write!(f, "router {router} knows {known} of {running} routers"),
        }
    }
}

/// A removal of an entry.
#[derive(Clone, Debug)]
struct Removal {
    upstream: name::Upstream,
    revision: Revision,
    at: Time,
}

/// What the operators, the engines and the callers did, and what has to follow from it.
#[derive(Debug)]
pub(super) struct Ledger {
    limits: Limits,
    /// Time within which changes have to be in force.
    apply_bound: Duration,
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
    /// Versions of the configuration, and when they were confirmed.
    versions: Vec<(u64, Time)>,
    removals: Vec<Removal>,
}

impl Ledger {
    pub(super) const fn new(limits: Limits, apply_bound: Duration) -> Self {
        Self {
            limits,
            apply_bound,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            versions: Vec::new(),
            removals: Vec::new(),
        }
    }

    pub(super) fn record_version(&mut self, now: Time, version: u64) {
        self.versions.push((version, now));
    }

    pub(super) fn record_removal(
        &mut self,
        at: Time,
        upstream: name::Upstream,
        revision: Revision,
    ) {
        self.removals.push(Removal {
            upstream,
            revision,
            at,
        });
    }

    pub(super) fn record_request(&mut self, now: Time) {
        let kept = self.limits.window * 2;
        while self
            .requests
            .front()
            .is_some_and(|at| now.since(*at) > kept)
        {
            self.requests.pop_front();
        }
        self.requests.push_back(now);
    }

    /// Records a retry, after which the budget has to hold. The requests are those of the window, of
    /// the one before it or of the one half a window earlier, whichever has most.
    pub(super) fn record_retry(&mut self, now: Time) -> Result<(), Violation> {
        let window = self.limits.window;
        while self
            .retries
            .front()
            .is_some_and(|at| now.since(*at) >= window)
        {
            self.retries.pop_front();
        }
        self.retries.push_back(now);
        let requests = [Duration::ZERO, window / 2, window].map(|shift| {
            let ages = self.requests.iter().map(|at| now.since(*at));
            ages.filter(|age| *age >= shift && *age < shift + window)
                .count()
        });
        let requests = requests.into_iter().max().unwrap_or(0);
        let allowed = self.limits.ratio * requests as f64 + self.limits.slack;
        let retries = self.retries.len();
        if retries as f64 > allowed {
            let allowed = allowed as usize;
            return Err(Violation::Budget { retries, allowed });
        }
        Ok(())
    }

    /// Checks what a router believes. `local` is the time of its clock, `calm_since` when it was last
    /// disturbed.
    pub(super) fn check(
        &self,
        now: Time,
        router: usize,
        process: &Process,
        local: Time,
        calm_since: Time,
    ) -> Result<(), Violation> {
        let upstreams = process.fleet.roster();
        for removal in &self.removals {
            let age = now.since(removal.at);
            let is_known = upstreams.revision() >= removal.revision;
            if is_known && age > REMOVAL_SLACK && upstreams.is_ready(local, &removal.upstream) {
                let upstream = removal.upstream.clone();
                return Err(Violation::Undone { router, upstream });
            }
        }
        if now.since(calm_since) < STABLE_WINDOW {
            return Ok(());
        }
        let has_passed = |at: Time| now.since(at) > self.apply_bound;
        let mut versions = self.versions.iter().rev();
        let due = versions.find(|(_, at)| has_passed(*at));
        let due = due.map_or(0, |(version, _)| *version);
        let version = process.configuration.map_or(0, |position| position.version);
        if version < due {
            return Err(Violation::Configuration {
                router,
                version,
                due,
            });
        }
        let removed = self
            .removals
            .iter()
            .filter(|removal| has_passed(removal.at));
        for removal in removed {
            if upstreams.is_ready(local, &removal.upstream) {
                let upstream = removal.upstream.clone();
                return Err(Violation::Removal { router, upstream });
            }
        }
        Ok(())
    }

    /// Checks that a router knows nearly all others, if none was disturbed for a while.
    pub(super) fn check_members(
        now: Time,
        router: usize,
        known: usize,
        running: usize,
        all_calm_since: Time,
    ) -> Result<(), Violation> {
        let knows_enough = 100 * known >= KNOWN_PERCENT * running;
        if now.since(all_calm_since) < MEMBERSHIP_BOUND || knows_enough {
            return Ok(());
        }
        Err(Violation::Membership {
            router,
            known,
            running,
        })
    }
}
