//! What routers have spent of the retry budgets, kept by others for the processes that replace them.
//!
//! A router states its spending to a few peers while it sends retries. A process that starts under
//! the same host name asks for it, since nothing on a host outlives its process. See
//! `docs/design/retry-budget.md`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Budget;
use super::Limits;
use super::budget::Span;
use crate::name;
use crate::time::Time;

/// What a router has spent of the budget of one service within the window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The service.
    pub service: name::Service,
    /// Its requests and retries, the oldest first.
    pub spans: Vec<Span>,
}

/// What a router has spent, as it states it to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Statement {
    /// Host of the router.
    pub host: name::Host,
    /// All that it has spent within the window.
    pub accounts: Vec<Account>,
}

/// A question for what the earlier process of a router spent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inquiry {
    /// Host of the router.
    pub host: name::Host,
    /// Availability zone of the router.
    pub zone: name::Zone,
}

/// What a peer knows of the earlier process of a router that has started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// What that process stated last, with the ages at the time of the answer.
    pub accounts: Vec<Account>,
    /// Milliseconds since it stated this; `None` if it stated nothing within the window.
    pub age_ms: Option<u32>,
    /// Whether the peer would know of all statements within the window.
    pub is_complete: bool,
    /// The peers that keep the statements of the router, as far as the peer knows. A router that has
    /// just started knows few others.
    pub keepers: Vec<SocketAddr>,
    /// Routers that share the budgets, as far as the peer knows.
    pub routers: u32,
}

#[derive(Clone, Debug)]
struct Stated {
    /// When the router was last heard.
    received_at: Time,
    /// When the ages were those of the spans.
    as_of: Time,
    accounts: Vec<Account>,
}

/// A router that seems to be lost, and what it has spent beyond its parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lost {
    /// Its host.
    pub host: name::Host,
    /// The retries, by service.
    pub accounts: Vec<Account>,
}

/// The last statement of each router within the window.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    stated: BTreeMap<name::Host, Stated>,
}

impl Accounts {
    /// Keeps a router's statement in place of its last one.
    pub fn record(&mut self, now: Time, window: Duration, statement: Statement) {
        self.stated
            .retain(|_, stated| now.since(stated.as_of) < window);
        let stated = Stated {
            received_at: now,
            as_of: now,
            accounts: statement.accounts,
        };
        self.stated.insert(statement.host, stated);
    }

    /// What a router stated last, and how long ago, unless the window has passed since.
    pub fn get(
        &self,
        now: Time,
        window: Duration,
        host: &name::Host,
    ) -> Option<(Duration, Vec<Account>)> {
        let stated = self.stated.get(host)?;
        let elapsed = now.since(stated.as_of);
        let elapsed_ms = u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX);
        let mut accounts = stated.accounts.clone();
        let spans = accounts.iter_mut().flat_map(|account| &mut account.spans);
        for span in spans {
            span.age_ms = span.age_ms.saturating_add(elapsed_ms);
        }
        (elapsed < window).then_some((elapsed, accounts))
    }

    /// What routers have spent beyond their parts that have stated nothing for `silence`. They may
    /// be lost, so that others earn retries by their callers while nobody counts theirs.
    pub fn lost(&self, now: Time, silence: Duration, limits: &Limits, routers: usize) -> Vec<Lost> {
        let silent = self.stated.iter();
        let silent = silent.filter(|(_, stated)| now.since(stated.received_at) >= silence);
        let lost = silent.filter_map(|(host, _)| {
            let (_age, accounts) = self.get(now, limits.window, host)?;
            let overdrafts = accounts.iter().map(|account| {
                let mut budget = Budget::default();
                budget.add_earlier(now, &account.spans);
                let count = budget.excess(now, limits, routers);
                Account {
                    service: account.service.clone(),
                    spans: budget.newest_retries(now, count),
                }
            });
            let accounts: Vec<Account> = overdrafts
                .filter(|account| !account.spans.is_empty())
                .collect();
            let host = host.clone();
            (!accounts.is_empty()).then_some(Lost { host, accounts })
        });
        lost.collect()
    }

    /// Counts retries of a lost router no longer, since this router does. A process that starts in
    /// its place does not count them either.
    pub fn release(&mut self, now: Time, window: Duration, lost: &Lost) {
        let Some((_age, mut accounts)) = self.get(now, window, &lost.host) else {
            return;
        };
        for released in &lost.accounts {
            let retries = released.spans.iter().map(|span| span.spending.retries);
            let count = retries.fold(0, u32::saturating_add);
            let of_service = accounts
                .iter_mut()
                .filter(|account| account.service == released.service);
            for account in of_service {
                let mut budget = Budget::default();
                budget.add_earlier(now, &account.spans);
                budget.release(count);
                account.spans = budget.spans(now, window);
            }
        }
        if let Some(stated) = self.stated.get_mut(&lost.host) {
            stated.as_of = now;
            stated.accounts = accounts;
        }
    }
}

/// What a router that has started concludes from the answers of its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// Its earlier process spent this.
    Spent(Vec<Account>),
    /// Nobody who answered can tell.
    Unknown,
}

/// Concludes what the earlier process of this router spent: the latest statement counts. Without
/// one, nothing was spent if a peer would know of it.
pub fn conclude(answers: &[Answer]) -> Conclusion {
    let stated = answers.iter().filter(|answer| answer.age_ms.is_some());
    if let Some(latest) = stated.min_by_key(|answer| answer.age_ms) {
        return Conclusion::Spent(latest.accounts.clone());
    }
    if answers.iter().any(|answer| answer.is_complete) {
        return Conclusion::Spent(Vec::new());
    }
    Conclusion::Unknown
}
