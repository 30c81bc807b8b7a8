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
    received_at: Time,
    accounts: Vec<Account>,
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
            .retain(|_, stated| now.since(stated.received_at) < window);
        let stated = Stated {
            received_at: now,
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
        let elapsed = now.since(stated.received_at);
        let elapsed_ms = u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX);
        let mut accounts = stated.accounts.clone();
        let spans = accounts.iter_mut().flat_map(|account| &mut account.spans);
        for span in spans {
            span.age_ms = span.age_ms.saturating_add(elapsed_ms);
        }
        (elapsed < window).then_some((elapsed, accounts))
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
