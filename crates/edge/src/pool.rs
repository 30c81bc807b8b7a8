//! Idle connections to upstreams.

use std::collections::BTreeMap;
use std::time::Duration;

use snipeusher::idle;
use snipeusher::name;
use snipeusher::time::Time;

use crate::connection::Connection;

/// Maximum number of idle connections for one upstream.
const IDLE_MAX: usize = 12;
/// Idle time after which a connection is not reused if the upstream states no limit.
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Time before the stated idle limit at which a connection is no longer reused. Later, the upstream
/// may close it while a request is on its way.
const IDLE_MARGIN: Duration = Duration::from_millis(900);

/// Idle connections to upstreams; the most recently used one is taken first.
#[derive(Debug, Default)]
pub struct Pool {
    idle: BTreeMap<name::Upstream, Vec<Connection>>,
    /// Idle limits of services whose upstreams recently closed a connection early.
    limits: BTreeMap<name::Service, idle::Limit>,
}

impl Pool {
    /// Takes an idle connection on which no bytes are pending.
    pub fn take(
        &mut self,
        now: Time,
        upstream: &name::Upstream,
        service: &name::Service,
    ) -> Option<Connection> {
        let limit = self.limits.get(service).and_then(|limit| limit.at(now));
        let idle = self.idle.get_mut(upstream)?;
        while let Some(mut connection) = idle.pop() {
            let is_allowed = limit.is_none_or(|limit| connection.idle_for() <= limit);
            if is_allowed && is_usable(&connection) && connection.is_idle() {
                return Some(connection);
            }
        }
        self.idle.remove(upstream);
        None
    }

    /// Limits the idle time of a service after the loss of a connection that was reused after
    /// `idle`. Other upstreams of the service may drop idle connections as early.
    pub fn record_early_close(&mut self, now: Time, service: &name::Service, idle: Duration) {
        if let Some(limit) = idle::Limit::after_loss(now, idle) {
            self.limits.insert(service.clone(), limit);
        }
    }

    /// Stores a connection if it can be reused. The least recently used one is closed if `limit`
    /// connections to the upstream are idle.
    pub fn put(&mut self, upstream: &name::Upstream, connection: Connection, limit: usize) {
        if limit == 0 || !connection.is_reusable() || !is_usable(&connection) {
            return;
        }
        if !self.idle.contains_key(upstream) {
            self.idle.insert(upstream.clone(), Vec::new());
        }
        if let Some(idle) = self.idle.get_mut(upstream) {
            if idle.len() >= limit.min(IDLE_MAX) {
                idle.remove(0);
            }
            idle.push(connection);
        }
    }

    /// Closes the idle connections of one upstream, for example after a failure.
    pub fn close(&mut self, upstream: &name::Upstream) {
        self.idle.remove(upstream);
    }

    /// Closes connections that are idle for too long, and those of unknown upstreams.
    pub fn sweep(&mut self, is_known: impl Fn(&name::Upstream) -> bool) {
        self.idle.retain(|upstream, idle| {
            idle.retain(is_usable);
            !idle.is_empty() && is_known(upstream)
        });
    }
}

fn is_usable(connection: &Connection) -> bool {
    let limit = connection.idle_limit().map_or(IDLE_LIMIT, |limit| {
        limit.min(IDLE_LIMIT * 4).saturating_sub(IDLE_MARGIN)
    });
    connection.idle_for() < limit
}
