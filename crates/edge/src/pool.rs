//! Idle connections to upstreams.

use std::collections::BTreeMap;
use std::time::Duration;

use snipeusher::idle;
use snipeusher::name;
use snipeusher::time::Time;

use crate::connection::Connection;

/// Idle connections that are kept for one upstream.
const IDLE_MAX: usize = 12;
/// Idle time after which a connection of an upstream that states none is not used again.
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// A connection is not used within this time of the end of its stated idle time, since the request
/// would cross the upstream's close.
const IDLE_MARGIN: Duration = Duration::from_millis(900);

/// Idle connections to upstreams, the one used last first.
#[derive(Debug, Default)]
pub struct Pool {
    idle: BTreeMap<name::Upstream, Vec<Connection>>,
    /// Services whose upstreams lately forgot connections; the others are not limited.
    limits: BTreeMap<name::Service, idle::Limit>,
}

impl Pool {
    /// Takes a connection on which nothing is pending.
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
            if is_allowed && is_usable(&connection) && connection.is_silent() {
                return Some(connection);
            }
        }
        self.idle.remove(upstream);
        None
    }

    /// A connection broke off as it was used again after an idle time. Other upstreams of the service
    /// may forget connections as early.
    pub fn record_early_close(&mut self, now: Time, service: &name::Service, idle: Duration) {
        if let Some(limit) = idle::Limit::after_loss(now, idle) {
            self.limits.insert(service.clone(), limit);
        }
    }

    /// Keeps a connection if it can be used again, and at most so many to one upstream.
    pub fn put(&mut self, upstream: &name::Upstream, connection: Connection, most: usize) {
        if most == 0 || !connection.is_reusable() || !is_usable(&connection) {
            return;
        }
        if !self.idle.contains_key(upstream) {
            self.idle.insert(upstream.clone(), Vec::new());
        }
        if let Some(idle) = self.idle.get_mut(upstream) {
            if idle.len() >= most.min(IDLE_MAX) {
                idle.remove(0);
            }
            idle.push(connection);
        }
    }

    /// Closes the connections of one upstream, such as one that broke off.
    pub fn close(&mut self, upstream: &name::Upstream) {
        self.idle.remove(upstream);
    }

    /// Closes connections that are idle for too long, and those of upstreams that are not known.
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
