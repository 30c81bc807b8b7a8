//! Idle channels to upstreams.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use snipeusher::name;

use crate::channel::Channel;

/// Idle channels that are kept for one upstream.
const IDLE_MAX: usize = 12;
/// Idle time after which a channel of an upstream that states none is not used again.
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// A channel is not used within this time of the end of its stated idle time, since the request
/// would cross the upstream's close.
const IDLE_MARGIN: Duration = Duration::from_millis(900);

/// Idle time that is allowed after a channel broke off as it was used again. Upstreams that forget
/// channels early do so after some hundred milliseconds.
const IDLE_AFTER_LOSS: Duration = Duration::from_millis(100);
/// A channel that broke off after a shorter idle time than this tells nothing of idle times.
const IDLE_MIN: Duration = Duration::from_millis(20);
/// Time without such a loss after which a longer idle time is tried.
const RECOVERY: Duration = Duration::from_secs(5);
/// Factor by which it is longer then.
const RECOVERY_FACTOR: u32 = 4;

/// How long channels to the upstreams of one service may be idle, as far as losses tell.
#[derive(Clone, Copy, Debug)]
struct Allowed {
    idle: Duration,
    since: Instant,
}

/// Idle channels to upstreams, the one used last first.
#[derive(Debug, Default)]
pub struct Pool {
    idle: BTreeMap<name::Upstream, Vec<Channel>>,
    /// Services whose upstreams lately forgot channels; the others are not limited.
    allowed: BTreeMap<name::Service, Allowed>,
}

impl Pool {
    /// Takes a channel on which nothing is pending.
    pub fn take(&mut self, upstream: &name::Upstream, service: &name::Service) -> Option<Channel> {
        let allowed = self.allowed(service, Instant::now());
        let idle = self.idle.get_mut(upstream)?;
        while let Some(mut channel) = idle.pop() {
            let is_allowed = allowed.is_none_or(|allowed| channel.idle_for() <= allowed);
            if is_allowed && is_usable(&channel) && channel.is_silent() {
                return Some(channel);
            }
        }
        self.idle.remove(upstream);
        None
    }

    /// A channel broke off as it was used again after an idle time: the upstream had forgotten it
    /// without a word, and the request on it is lost. Others of the service may do the same.
    pub fn forgotten(&mut self, service: &name::Service, idle: Duration) {
        if idle < IDLE_MIN {
            return;
        }
        let now = Instant::now();
        let shorter = idle / 2;
        let allowed = Allowed {
            idle: shorter.clamp(IDLE_MIN, IDLE_AFTER_LOSS),
            since: now,
        };
        self.allowed.insert(service.clone(), allowed);
    }

    /// The longest idle time allowed at `now`; it grows again while no channel breaks off.
    fn allowed(&mut self, service: &name::Service, now: Instant) -> Option<Duration> {
        let allowed = self.allowed.get_mut(service)?;
        while now.saturating_duration_since(allowed.since) >= RECOVERY {
            allowed.since += RECOVERY;
            allowed.idle *= RECOVERY_FACTOR;
        }
        let allowed = allowed.idle;
        if allowed >= IDLE_LIMIT {
            self.allowed.remove(service);
        }
        Some(allowed)
    }

    /// Keeps a channel if it can be used again, and at most so many to one upstream.
    pub fn put(&mut self, upstream: &name::Upstream, channel: Channel, most: usize) {
        if !channel.is_reusable() || !is_usable(&channel) {
            return;
        }
        if !self.idle.contains_key(upstream) {
            self.idle.insert(upstream.clone(), Vec::new());
        }
        if let Some(idle) = self.idle.get_mut(upstream) {
            if idle.len() >= most.clamp(1, IDLE_MAX) {
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
