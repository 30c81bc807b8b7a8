//! The retry budgets of all services, and what was spent of them before this process started.
//!
//! A router that starts may take the place of one that has just spent its part of a budget. It sends
//! no retries until it knows what that one spent, or until all of that has left the window. A router
//! whose callers move to others hands over what it has spent beyond its part. See
//! `docs/design/retry-budget.md`.

use std::collections::BTreeMap;

use super::Budget;
use super::Limits;
use super::Span;
use super::Spending;
use super::account::Account;
use crate::name;
use crate::time::Time;

/// The retry budgets of all services.
#[derive(Clone, Debug)]
pub(super) struct Retries {
    limits: Limits,
    budgets: BTreeMap<name::Service, Budget>,
    /// Until when an earlier process may have spent what is not counted.
    unknown_until: Time,
    /// Least number of routers to share a budget with.
    routers_min: usize,
}

impl Retries {
    /// Starts without any spending.
    pub(super) const fn new(limits: Limits) -> Self {
        Self {
            limits,
            budgets: BTreeMap::new(),
            unknown_until: Time(0),
            routers_min: 1,
        }
    }

    /// Records that an earlier process may have spent this router's part until `now`.
    pub(super) fn await_past(&mut self, now: Time) {
        self.unknown_until = now + self.limits.window;
    }

    /// Whether an earlier process may have spent what is not counted.
    pub(super) fn is_past_unknown(&self, now: Time) -> bool {
        now < self.unknown_until
    }

    /// Adds what an earlier process of this router spent, which is all of it.
    pub(super) fn learn_past(&mut self, now: Time, accounts: &[Account]) {
        for account in accounts {
            let budget = self.budgets.entry(account.service.clone()).or_default();
            budget.add_earlier(now, &account.spans);
        }
        self.unknown_until = now;
    }

    /// Sets the least number of routers to share a budget with, while this router knows few.
    pub(super) const fn set_routers_min(&mut self, routers: usize) {
        self.routers_min = routers;
    }

    /// Counts a caller's request to a service.
    pub(super) fn record_request(&mut self, now: Time, service: &name::Service) {
        self.budget(service).record_request(now);
    }

    /// Uses up one retry of a service's budget, which `routers` share; returns false if none
    /// remains.
    pub(super) fn try_retry(&mut self, now: Time, service: &name::Service, routers: usize) -> bool {
        if self.is_past_unknown(now) {
            return false;
        }
        let (limits, routers) = (self.limits, routers.max(self.routers_min));
        self.budget(service).try_retry(now, &limits, routers)
    }

    /// Whether at least one retry of a service's budget remains.
    pub(super) fn can_retry(&mut self, now: Time, service: &name::Service, routers: usize) -> bool {
        if self.is_past_unknown(now) {
            return false;
        }
        let (limits, routers) = (self.limits, routers.max(self.routers_min));
        self.budget(service).can_retry(now, &limits, routers)
    }

    /// Retries remaining at `now`, by service, rounded down.
    pub(super) fn remaining(&mut self, now: Time, routers: usize) -> Vec<(name::Service, u32)> {
        let (limits, routers) = (self.limits, routers.max(self.routers_min));
        let is_unknown = self.is_past_unknown(now);
        let budgets = self.budgets.iter_mut();
        let remaining = budgets.map(|(service, budget)| {
            let retries = if is_unknown {
                0.0
            } else {
                budget.remaining(now, &limits, routers)
            };
            (service.clone(), retries as u32)
        });
        remaining.collect()
    }

    /// Requests and retries of each service within the window.
    pub(super) fn spending(&mut self, now: Time) -> Vec<(name::Service, Spending)> {
        let window = self.limits.window;
        let budgets = self.budgets.iter_mut();
        let spending = budgets.map(|(service, budget)| {
            let spending = budget.spending(now, window);
            (service.clone(), spending)
        });
        spending.collect()
    }

    /// What was spent within the window, of the services that retries were sent to.
    pub(super) fn accounts(&mut self, now: Time) -> Vec<Account> {
        let window = self.limits.window;
        let budgets = self.budgets.iter_mut();
        let accounts = budgets.map(|(service, budget)| Account {
            service: service.clone(),
            spans: budget.spans(now, window),
        });
        accounts
            .filter(|account| !account.spans.is_empty())
            .collect()
    }

    /// Retries beyond this router's parts, by service, for others to count in its place.
    pub(super) fn overdrafts(&mut self, now: Time, routers: usize) -> Vec<Account> {
        let (limits, routers) = (self.limits, routers.max(self.routers_min));
        let budgets = self.budgets.iter_mut();
        let overdrafts = budgets.map(|(service, budget)| {
            let overdraft = budget.overdraft(now, &limits, routers);
            Account {
                service: service.clone(),
                spans: budget.newest_retries(now, overdraft),
            }
        });
        overdrafts
            .filter(|account| !account.spans.is_empty())
            .collect()
    }

    /// Limits of the retries, and the number of routers that share them.
    pub(super) fn shared_limits(&self, routers: usize) -> (Limits, usize) {
        (self.limits, routers.max(self.routers_min))
    }

    /// Counts all retries of a router that is lost. Those beyond this router's part are handed over
    /// in their turn.
    pub(super) fn count(&mut self, now: Time, account: &Account) {
        let budget = self.budget(&account.service);
        budget.add_earlier(now, &account.spans);
    }

    /// Counts some retries no longer, since another router does.
    pub(super) fn release(&mut self, service: &name::Service, count: u32) {
        self.budget(service).release(count);
    }

    /// Counts retries of another router as far as this one has credit. Returns how many it does; the
    /// other router goes on counting the rest.
    pub(super) fn take_over(&mut self, now: Time, account: &Account, routers: usize) -> u32 {
        if self.is_past_unknown(now) {
            return 0;
        }
        let (limits, routers) = (self.limits, routers.max(self.routers_min));
        let budget = self.budget(&account.service);
        let credit = budget.credit(now, &limits, routers);
        let mut left = credit;
        let mut taken = Vec::new();
        // The newest come first.
        for span in &account.spans {
            let retries = span.spending.retries.min(left);
            if left == 0 {
                break;
            }
            left -= retries;
            taken.push(Span {
                age_ms: span.age_ms,
                spending: Spending {
                    requests: 0,
                    retries,
                },
            });
        }
        budget.add_earlier(now, &taken);
        credit - left
    }

    fn budget(&mut self, service: &name::Service) -> &mut Budget {
        if !self.budgets.contains_key(service) {
            self.budgets.insert(service.clone(), Budget::default());
        }
        self.budgets.entry(service.clone()).or_default()
    }
}
