//! The retry budgets of all services, and what was spent of them before this process started.
//!
//! A router that starts may take the place of one that has just spent its part of a budget. It sends
//! no retries until it knows what that one spent, or until all of that has left the window. See
//! `docs/design/retry-budget.md`.

use std::collections::BTreeMap;

use super::Budget;
use super::Limits;
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

    fn budget(&mut self, service: &name::Service) -> &mut Budget {
        if !self.budgets.contains_key(service) {
            self.budgets.insert(service.clone(), Budget::default());
        }
        self.budgets.entry(service.clone()).or_default()
    }
}
