//! Announces a router in the store, where routers that know no common peer find each other.

use std::time::Duration;

use super::ROUTERS_PREFIX;
use super::Router;
use crate::kv::Call;
use crate::kv::Fault;
use crate::kv::Lease;
use crate::kv::Op;
use crate::kv::Reply;
use crate::kv::Txn;
use crate::time::Time;

/// Time after which the store drops the record of a router that no longer renews it.
const LEASE_TTL: Duration = Duration::from_mins(1);
/// Time after which the record is written anew while it is needed.
const RENEW_AFTER: Duration = Duration::from_secs(45);
/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The record of one router. The embedding process sends the calls one after another.
#[derive(Debug)]
pub struct Announcer {
    router: Router,
    /// Since when the record is needed.
    needed_since: Option<Time>,
    /// Lease for the next write.
    lease: Option<Lease>,
    /// Time before which no call is due.
    idle_until: Time,
}

impl Announcer {
    /// Starts without a record.
    pub const fn new(router: Router) -> Self {
        Self {
            router,
            needed_since: None,
            lease: None,
            idle_until: Time(0),
        }
    }

    /// The next call, if one is due. The first one is due once the record has been needed for
    /// `delay`. [`Self::handle`] takes its result.
    pub fn next(&mut self, now: Time, is_needed: bool, delay: Duration) -> Option<Call> {
        if !is_needed {
            self.needed_since = None;
            return None;
        }
        let needed_since = *self.needed_since.get_or_insert(now);
        if now < self.idle_until || now.since(needed_since) < delay {
            return None;
        }
        let ttl_s = LEASE_TTL.as_secs();
        let call = self
            .lease
            .map_or(Call::Grant { ttl_s }, |lease| self.put(lease));
        Some(call)
    }

    /// Takes the result of a call. Returns whether the record is written now.
    pub fn handle(&mut self, now: Time, result: &Result<Reply, Fault>) -> bool {
        match result {
            Ok(Reply::Grant { lease, .. }) => {
                self.lease = Some(*lease);
                false
            }
            Ok(Reply::Txn {
                succeeded: true, ..
            }) => {
                self.lease = None;
                self.idle_until = now + RENEW_AFTER;
                true
            }
            _ => {
                self.lease = None;
                self.idle_until = now + RETRY_DELAY;
                false
            }
        }
    }

    fn put(&self, lease: Lease) -> Call {
        let value = serde_json::to_vec(&self.router).expect("texts can be encoded");
        let put = Op::Put {
            key: format!("{ROUTERS_PREFIX}{}", self.router.host.as_str()),
            value,
            lease: Some(lease),
        };
        Call::Txn(Txn {
            success: vec![put],
            ..Txn::default()
        })
    }
}
