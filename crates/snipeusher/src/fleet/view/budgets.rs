//! Retry budgets, which all routers share.

use std::time::Duration;

use super::Fleet;
use crate::fleet::Account;
use crate::fleet::Accounts;
use crate::fleet::Lost;
use crate::fleet::Spending;
use crate::name;
use crate::time::Time;

impl Fleet {
    /// Counts a caller's request to a service.
    pub fn record_request(&mut self, now: Time, service: &name::Service) {
        self.retries.record_request(now, service);
    }

    /// Uses up one retry of the service's budget; returns false if none remains.
    pub fn try_retry(&mut self, now: Time, service: &name::Service) -> bool {
        self.retries.try_retry(now, service, self.routers)
    }

    /// Records that an earlier process of this router may have spent its part of the retry budgets
    /// until `now`. No retry is allowed until [`Self::learn_past_retries`], or until the window has
    /// passed.
    pub fn await_past_retries(&mut self, now: Time) {
        self.retries.await_past(now);
    }

    /// Whether an earlier process may have spent retries that are not counted.
    pub fn are_past_retries_unknown(&self, now: Time) -> bool {
        self.retries.is_past_unknown(now)
    }

    /// Counts what an earlier process of this router spent, which is all of it.
    pub fn learn_past_retries(&mut self, now: Time, accounts: &[Account]) {
        self.retries.learn_past(now, accounts);
    }

    /// Sets the least number of routers to share retry budgets with, while this router knows few.
    pub const fn set_routers_min(&mut self, routers: usize) {
        self.retries.set_routers_min(routers);
    }

    /// What this router has spent of the retry budgets, to be stated to peers.
    pub fn accounts(&mut self, now: Time) -> Vec<Account> {
        self.retries.accounts(now)
    }

    /// Retries beyond this router's parts of the budgets, the newest first, for others to count in its
    /// place. Its callers have moved to others, which earn retries by the same requests.
    pub fn overdrafts(&mut self, now: Time) -> Vec<Account> {
        self.retries.overdrafts(now, self.routers)
    }

    /// Routers that have stated nothing for a while, and what they have spent beyond their parts;
    /// nobody while this router does not know its own spending.
    pub fn lost_routers(&self, now: Time, accounts: &Accounts, silence: Duration) -> Vec<Lost> {
        if self.retries.is_past_unknown(now) {
            return Vec::new();
        }
        let (limits, routers) = self.retries.shared_limits(self.routers);
        accounts.lost(now, silence, &limits, routers)
    }

    /// Counts what a lost router has spent beyond its parts, so that it counts somewhere while others
    /// earn retries by its callers.
    pub fn count_for_lost(&mut self, now: Time, lost: &Lost) {
        for account in &lost.accounts {
            self.retries.count(now, account);
        }
    }

    /// Counts some of these retries no longer, since another router does.
    pub fn release_retries(&mut self, service: &name::Service, count: u32) {
        self.retries.release(service, count);
    }

    /// Counts retries of another router, as far as this one has credit. Returns how many it
    /// does.
    pub fn take_over_retries(&mut self, now: Time, account: &Account) -> u32 {
        self.retries.take_over(now, account, self.routers)
    }

    /// Length of the window of the retry budgets.
    pub const fn retry_window(&self) -> Duration {
        self.settings.retries.window
    }

    /// Retries that this router may still send at `now`, by service, rounded down.
    pub fn retries_remaining(&mut self, now: Time) -> Vec<(name::Service, u32)> {
        self.retries.remaining(now, self.routers)
    }

    /// Requests and retries of each service within the budget's window.
    pub fn spending(&mut self, now: Time) -> Vec<(name::Service, Spending)> {
        self.retries.spending(now)
    }
}
