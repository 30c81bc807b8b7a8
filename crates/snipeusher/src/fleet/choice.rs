//! The choice among the upstreams of a service.
//!
//! A request that shares the start of its prompt with others goes to the upstream that ranks
//! first for it by rendezvous hashing, at every router the same, unless that one holds too many
//! requests already. Others go where the fewest are. See `docs/platform.md#placement`.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use super::Upstream;
use crate::hash;
use crate::name;
use crate::time::Time;

/// Requests at one upstream over the mean of its service, as a factor.
const LOAD_LIMIT: f64 = 1.5;
/// Requests beyond the factor, so that a quiet service does not scatter its sessions.
const LOAD_SLACK: f64 = 3.0;
/// When a caller may come back if no upstream is known.
const RETRY_NO_UPSTREAM: Duration = Duration::from_millis(400);

/// What a placement needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a name::Service,
    /// Hash of the prompt parts that it shares with others; `None` where nothing is cached.
    pub session: Option<u64>,
    /// Connections that one upstream of the service accepts from all routers; zero if not stated.
    pub max_connections: u32,
    /// Upstreams that it was sent to before.
    pub tried: &'a [name::Upstream],
    /// A random number, which breaks ties.
    pub tie_breaker: u64,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// To an upstream.
    Send {
        /// Its identity.
        upstream: name::Upstream,
        /// Where it listens.
        address: SocketAddr,
        /// Another upstream that may hold more of the prompt.
        source: Option<SocketAddr>,
    },
    /// Nowhere now.
    Refuse {
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// Chooses among the ready upstreams of a service.
pub(super) fn choose(
    now: Time,
    upstreams: &[Upstream],
    ready: &[usize],
    is_unreachable: impl Fn(&name::Zone) -> bool,
    connection_share: u32,
    query: &Query<'_>,
) -> Decision {
    let all = ready.iter().map(|slot| &upstreams[*slot]);
    let untried = all.filter(|upstream| !query.tried.contains(&upstream.entry.id));
    let untried: Vec<&Upstream> = untried.collect();
    let available = prefer(&untried, |upstream| upstream.health.is_available(now));
    let reachable = prefer(&available, |upstream| !is_unreachable(&upstream.entry.zone));
    let responsive = prefer(&reachable, |upstream| !upstream.is_silent(now));
    let candidates = prefer(&responsive, |upstream| {
        upstream.load.in_flight() < connection_share
    });
    let source = |chosen: &Upstream| {
        let session = query.session?;
        likely_holder(now, upstreams, query.service, session, chosen)
    };
    let chosen = match query.session {
        Some(session) => by_session(now, &candidates, session),
        None => by_load(now, &candidates, query.tie_breaker),
    };
    match chosen {
        Some(upstream) => Decision::Send {
            upstream: upstream.entry.id.clone(),
            address: upstream.entry.address,
            source: source(upstream),
        },
        None => Decision::Refuse {
            retry_after: RETRY_NO_UPSTREAM,
        },
    }
}

/// The upstreams for which a condition holds, or all where it holds for none: a request is better
/// sent than refused.
fn prefer<'a>(upstreams: &[&'a Upstream], holds: impl Fn(&Upstream) -> bool) -> Vec<&'a Upstream> {
    let held: Vec<&Upstream> = upstreams
        .iter()
        .copied()
        .filter(|upstream| holds(upstream))
        .collect();
    if held.is_empty() {
        upstreams.to_vec()
    } else {
        held
    }
}

/// The first in the ranking of the session that is within the load limit.
fn by_session<'a>(now: Time, candidates: &[&'a Upstream], session: u64) -> Option<&'a Upstream> {
    let total: u64 = candidates
        .iter()
        .map(|upstream| u64::from(upstream.load.estimate(now)))
        .sum();
    let mean = total as f64 / candidates.len().max(1) as f64;
    let limit = LOAD_LIMIT * mean + LOAD_SLACK;
    let within = candidates
        .iter()
        .filter(|upstream| f64::from(upstream.load.estimate(now)) < limit);
    let first = within.max_by_key(|upstream| hash::score(session, upstream.id_hash));
    first.copied()
}

/// The one with the fewest requests; the local one where several have as few.
fn by_load<'a>(now: Time, candidates: &[&'a Upstream], tie_breaker: u64) -> Option<&'a Upstream> {
    let best = candidates.iter().min_by_key(|upstream| {
        let load = upstream.load.estimate(now);
        (
            load,
            Reverse(upstream.local),
            hash::score(tie_breaker, upstream.id_hash),
        )
    });
    best.copied()
}

/// The upstream that most likely holds the session if the chosen one does not: the first of the
/// others in its ranking, one that is leaving included.
fn likely_holder(
    now: Time,
    upstreams: &[Upstream],
    service: &name::Service,
    session: u64,
    chosen: &Upstream,
) -> Option<SocketAddr> {
    let others = upstreams.iter().filter(|upstream| {
        let is_other = upstream.entry.id != chosen.entry.id;
        is_other && upstream.entry.service == *service && upstream.health.is_available(now)
    });
    let first = others.max_by_key(|upstream| hash::score(session, upstream.id_hash));
    first.map(|upstream| upstream.entry.address)
}
