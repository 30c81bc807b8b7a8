//! Idle channels to upstreams.

use std::collections::BTreeMap;
use std::time::Duration;

use snipeusher::idle;
use snipeusher::name;
use snipeusher::time::Time;

use crate::channel::Channel;

/// Idle channels that are kept for one upstream.
const IDLE_MAX: usize = 12;
/// Idle time after which a channel of an upstream that states none is not used again.
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// A channel is not used within this time of the end of its stated idle time, since the request
/// would cross the upstream's close.
const IDLE_MARGIN: Duration = Duration::from_millis(900);

/// Idle channels to upstreams, the one used last first.
#[derive(Debug, Default)]
pub struct Pool {
    idle: BTreeMap<name::Upstream, Vec<Channel>>,
    /// Services whose upstreams lately forgot channels; the others are not limited.
    limits: BTreeMap<name::Service, idle::Limit>,
}

impl Pool {
    /// Takes a channel on which nothing is pending.
    pub fn take(
        &mut self,
        now: Time,
        upstream: &name::Upstream,
        service: &name::Service,
    ) -> Option<Channel> {
        let limit = self.limits.get(service).and_then(|limit| limit.at(now));
        let idle = self.idle.get_mut(upstream)?;
        while let Some(mut channel) = idle.pop() {
            let is_allowed = limit.is_none_or(|limit| channel.idle_for() <= limit);
            if is_allowed && is_usable(&channel) && channel.is_silent() {
                return Some(channel);
            }
        }
        self.idle.remove(upstream);
        None
    }

    /// A channel broke off as it was used again after an idle time. Other upstreams of the service
    /// may forget channels as early.
    pub fn forgotten(&mut self, now: Time, service: &name::Service, idle: Duration) {
        if let Some(limit) = idle::Limit::after_loss(now, idle) {
            self.limits.insert(service.clone(), limit);
        }
    }

    /// Keeps a channel if it can be used again, and at most so many to one upstream.
    pub fn put(&mut self, upstream: &name::Upstream, channel: Channel, most: usize) {
        if most == 0 || !channel.is_reusable() || !is_usable(&channel) {
            return;
        }
        if !self.idle.contains_key(upstream) {
            self.idle.insert(upstream.clone(), Vec::new());
        }
        if let Some(idle) = self.idle.get_mut(upstream) {
            if idle.len() >= most.min(IDLE_MAX) {
                idle.remove(0);
            }
            idle.push(channel);
        }
    }

    /// Closes the channels of one upstream, such as one that broke off.
    pub fn close(&mut self, upstream: &name::Upstream) {
        self.idle.remove(upstream);
    }

    /// Closes channels that are idle for too long, and those of upstreams that are not known.
    pub fn sweep(&mut self, is_known: impl Fn(&name::Upstream) -> bool) {
        self.idle.retain(|upstream, idle| {
            idle.retain(is_usable);
            !idle.is_empty() && is_known(upstream)
        });
    }
}

fn is_usable(channel: &Channel) -> bool {
    let limit = channel.idle_limit().map_or(IDLE_LIMIT, |limit| {
        limit.min(IDLE_LIMIT * 4).saturating_sub(IDLE_MARGIN)
    });
    channel.idle_for() < limit
}
