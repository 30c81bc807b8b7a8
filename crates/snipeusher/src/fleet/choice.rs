//! Choice among the upstreams of a service.
//!
//! A request that shares the start of its prompt with others goes to the upstream that ranks
//! first by rendezvous hashing, which is the same at every router, unless that upstream is
//! overloaded. Other requests go to the least loaded upstream or, where upstreams state their pace,
//! are spread over the least loaded ones. See `docs/platform.md#placement`.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use super::Upstream;
use super::spread;
use crate::hash;
use crate::name;
use crate::route::Homes;
use crate::time::Time;

/// Bound of the load of one upstream, as a multiple of the mean of its service.
const LOAD_BOUND: f64 = 2.0;
/// Part of the mean over the candidates that is kept free below the bound, for what other routers send
/// at the same time.
const LOAD_MARGIN: f64 = 0.5;
/// Part of the mean that is kept free below the bound before ejected upstreams are used again, since
/// other routers use the same ones at the same time.
const RELIEF_MARGIN: f64 = 0.25;
/// Requests allowed on top of the factor, so that sessions stay in place at low load.
const LOAD_SLACK: f64 = 3.0;
/// Upstreams that a session fills up to the limit, one after the other, before it uses the others.
const PREFERRED_UPSTREAMS: usize = 2;
/// Upstreams of a session. With more, its prompt would be read at many of them; with fewer, all of
/// them are often at the limit.
const SESSION_UPSTREAMS: usize = 4;
/// `Retry-After` of a refusal for lack of an upstream.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(400);
/// `Retry-After` of a refusal for lack of a common home region. Only another configuration helps,
/// which comes into force within this time.
const NO_HOME_RETRY_AFTER: Duration = Duration::from_secs(3);
/// Earliest `Retry-After` while all upstreams of a service are evacuated. Operators decide when this
/// ends; a caller that returns each second costs little.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Upper bound of the jitter added to the time when an upstream takes requests again, so that
/// callers do not return together.
const PAUSE_JITTER_MS: u64 = 250;

/// What the choice of an upstream depends on.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The requested service.
    pub service: &'a name::Service,
    /// Hash of the prompt prefix shared with other requests; `None` if the service caches nothing.
    pub session: Option<u64>,
    /// Connections that one upstream accepts from all routers together; zero if unlimited.
    pub max_connections: u32,
    /// Software version that the upstream must run, for a request that resumes a stream.
    pub build: Option<&'a name::Build>,
    /// Upstreams that earlier attempts of the request were sent to.
    pub tried: &'a [name::Upstream],
    /// Regions in which the request may be handled.
    pub homes: &'a Homes,
    /// A random number that decides among equally loaded upstreams.
    pub tie_breaker: u64,
}

impl Query<'_> {
    /// Whether an upstream runs the required software version and is in a home region.
    fn suits(&self, upstream: &Upstream) -> bool {
        let is_of_build = self
            .build
            .is_none_or(|build| upstream.entry.build == *build);
        is_of_build && self.homes.admits(upstream.region.as_ref())
    }

    /// Whether an upstream may get the request at `now`: it runs the required version, is in a home
    /// region, was not tried, still has its address, has not asked for a pause, has not had what it
    /// takes from this router and, if it can decline few requests, has room.
    pub(super) fn admits(&self, now: Time, upstream: &Upstream, needs_room: bool) -> bool {
        let is_tried = self.tried.contains(&upstream.entry.id);
        self.suits(upstream)
            && !is_tried
            && !upstream.is_replaced(now)
            && upstream.available_at(now, needs_room).is_none()
    }
}

/// Result of the choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to an upstream.
    Send {
        /// Id of the upstream.
        upstream: name::Upstream,
        /// Version of the software of the upstream.
        build: name::Build,
        /// Address of the upstream.
        address: SocketAddr,
        /// Another upstream whose cache may hold more of the prompt.
        source: Option<SocketAddr>,
    },
    /// Refuse the request.
    Refuse {
        /// Why.
        cause: Cause,
        /// When the caller may retry.
        retry_after: Duration,
    },
}

/// Why no upstream gets a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// There is none, or all were tried.
    NoUpstream,
    /// All have asked for a pause, have had what they take from this router or have no room.
    Paused,
    /// The route and the tenant have no home region in common.
    NoHome,
    /// None is in the home regions of the request.
    NoUpstreamAtHome,
    /// All are in evacuated zones.
    Evacuated,
}

/// What applies to all upstreams of a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceLimits<'a> {
    /// Indexes of all of them, also of those that get nothing now.
    pub(super) members: &'a [usize],
    /// Requests that this router may have in flight at one of them.
    pub(super) connection_share: u32,
    /// Whether they get only requests for which they have room.
    pub(super) needs_room: bool,
    /// Mean time that requests stay at them, in seconds.
    pub(super) residence_s: f64,
}

/// Chooses among the ready upstreams of a service.
pub(super) fn choose(
    now: Time,
    upstreams: &[Upstream],
    ready: &[usize],
    is_unreachable: impl Fn(&name::Zone) -> bool,
    limits: ServiceLimits<'_>,
    query: &Query<'_>,
) -> Decision {
    let needs_room = limits.needs_room;
    let all = ready.iter().map(|slot| &upstreams[*slot]);
    let untried = all.filter(|upstream| query.admits(now, upstream, needs_room));
    let suitable = untried.clone();
    let candidates = most_suitable(now, suitable, &is_unreachable, limits.connection_share);
    let members = limits.members.iter().map(|slot| &upstreams[*slot]);
    let mean = mean_load(now, members);
    let source = |chosen: &Upstream| {
        let session = query.session?;
        likely_holder(now, upstreams, &is_unreachable, query, session, chosen)
    };
    let chosen = match query.session {
        Some(session) => by_session(now, &candidates, mean, limits.residence_s, session),
        None => spread::choose(now, &candidates, limits.residence_s, query.tie_breaker),
    };
    let chosen = chosen.map(|chosen| {
        let relief = relieving(now, chosen, mean, untried, &is_unreachable);
        relief.unwrap_or(chosen)
    });
    match chosen {
        Some(upstream) => Decision::Send {
            upstream: upstream.entry.id.clone(),
            build: upstream.entry.build.clone(),
            address: upstream.entry.address,
            source: source(upstream),
        },
        None => refuse(now, upstreams, ready, needs_room, query),
    }
}

/// Refuses a request. If all upstreams have asked for a pause or have had what they take from this
/// router, the caller may return when the first takes one again.
fn refuse(
    now: Time,
    upstreams: &[Upstream],
    ready: &[usize],
    needs_room: bool,
    query: &Query<'_>,
) -> Decision {
    let ready = ready.iter().map(|slot| &upstreams[*slot]);
    if let Some(refusal) = refuse_at_home(ready.clone(), query.homes) {
        return refusal;
    }
    let ends = ready
        .filter(|upstream| query.suits(upstream) && !upstream.is_replaced(now))
        .map(|upstream| upstream.available_at(now, needs_room));
    // An upstream that takes requests counts as `None`, which is the least.
    match ends.min().flatten() {
        Some(end) => Decision::Refuse {
            cause: Cause::Paused,
            retry_after: end.since(now)
                + Duration::from_millis(query.tie_breaker % PAUSE_JITTER_MS),
        },
        None => Decision::Refuse {
            cause: Cause::NoUpstream,
            retry_after: NO_UPSTREAM_RETRY_AFTER,
        },
    }
}

/// The refusal of a request of whose home regions no upstream in `ready` is, if so.
pub(super) fn refuse_at_home<'a>(
    mut ready: impl Iterator<Item = &'a Upstream>,
    homes: &Homes,
) -> Option<Decision> {
    let (cause, retry_after) = if homes.is_anywhere() {
        return None;
    } else if homes.is_empty() {
        (Cause::NoHome, NO_HOME_RETRY_AFTER)
    } else if ready.any(|upstream| homes.admits(upstream.region.as_ref())) {
        return None;
    } else {
        (Cause::NoUpstreamAtHome, NO_UPSTREAM_RETRY_AFTER)
    };
    Some(Decision::Refuse { cause, retry_after })
}

/// Refuses a request to a service whose upstreams are all in evacuated zones.
pub(super) const fn refuse_evacuated(query: &Query<'_>) -> Decision {
    let jitter = Duration::from_millis(query.tie_breaker % PAUSE_JITTER_MS);
    Decision::Refuse {
        cause: Cause::Evacuated,
        retry_after: EVACUATED_RETRY_AFTER.saturating_add(jitter),
    }
}

/// The most suitable of the upstreams, in this order of importance: available, reachable, neither
/// silent nor with an overdue response, within this router's share of connections. Sending the
/// request to a doubtful one is better than refusing it.
fn most_suitable<'a>(
    now: Time,
    upstreams: impl Iterator<Item = &'a Upstream>,
    is_unreachable: impl Fn(&name::Zone) -> bool,
    connection_share: u32,
) -> Vec<&'a Upstream> {
    let mut best = (false, false, false, false);
    let mut kept = Vec::with_capacity(upstreams.size_hint().1.unwrap_or_default());
    for upstream in upstreams {
        let suitability = (
            upstream.health.is_available(now),
            !is_unreachable(&upstream.entry.zone),
            !upstream.is_silent(now) && !upstream.overdue.is_active(now),
            upstream.load.in_flight() < connection_share,
        );
        if suitability > best {
            best = suitability;
            kept.clear();
        }
        if suitability == best {
            kept.push(upstream);
        }
    }
    kept
}

/// Mean load of the upstreams of a service.
fn mean_load<'a>(now: Time, members: impl Iterator<Item = &'a Upstream>) -> f64 {
    let (total, count) = members.fold((0, 0_u32), |(total, count), upstream| {
        (total + u64::from(upstream.load.estimate(now)), count + 1)
    });
    total as f64 / f64::from(count.max(1))
}

/// The least loaded of the ejected upstreams that serve some of their requests, if the chosen one is
/// near the load bound and that one is not.
///
/// While most upstreams of a service fail some requests, the few others would get everything, hold
/// several times the mean and answer late. A router that sees many requests ejects the failing ones
/// soon: losses show at once, while a request that is served shows only at its end.
fn relieving<'a>(
    now: Time,
    chosen: &Upstream,
    mean: f64,
    untried: impl Iterator<Item = &'a Upstream>,
    is_unreachable: impl Fn(&name::Zone) -> bool,
) -> Option<&'a Upstream> {
    let limit = (LOAD_BOUND - RELIEF_MARGIN) * mean + LOAD_SLACK;
    let is_loaded = |upstream: &Upstream| f64::from(upstream.load.estimate(now)) >= limit;
    if !is_loaded(chosen) {
        return None;
    }
    let usable = untried.filter(|upstream| {
        upstream.health.is_failing_partly()
            && !is_unreachable(&upstream.entry.zone)
            && !upstream.is_silent(now)
            && !upstream.overdue.is_active(now)
            && !is_loaded(upstream)
    });
    usable.min_by_key(|upstream| upstream.load.estimate(now))
}

/// The first upstream for the session by rendezvous hashing whose load is within the limit, of the
/// first two, else the least loaded of the first few.
///
/// Routers know loads that are up to a second old. Those that all chose the next one within the
/// limit, or all left one at the same load, would fill the others far beyond it before they learn of
/// it. So each session finds the load higher or lower by up to as many requests as have probably
/// arrived since the report, the same at each router.
///
/// `mean` is that of all upstreams of the service. Those that get nothing now, for whatever reason,
/// soon hold nothing, and the others must not exceed the bound for that.
fn by_session<'a>(
    now: Time,
    candidates: &[&'a Upstream],
    mean: f64,
    residence_s: f64,
    session: u64,
) -> Option<&'a Upstream> {
    let load = |upstream: &Upstream| u64::from(upstream.load.estimate(now));
    let of_candidates: u64 = candidates.iter().map(|upstream| load(upstream)).sum();
    let candidate_mean = of_candidates as f64 / candidates.len().max(1) as f64;
    let limit = LOAD_BOUND * mean + LOAD_SLACK - LOAD_MARGIN * candidate_mean;
    let assumed = |upstream: &Upstream| {
        let age = upstream
            .load
            .latest(now)
            .map_or(residence_s, |(age, _)| age.as_secs_f64());
        let unseen = candidate_mean * (age / residence_s).min(1.0);
        let shift = 2.0 * hash::unit(hash::mix(upstream.id_hash, session)) - 1.0;
        load(upstream) as f64 + unseen * shift
    };
    let ranked = first_ranked(candidates, session);
    let mut preferred = ranked.iter().take(PREFERRED_UPSTREAMS);
    let first = preferred
        .find(|upstream| assumed(upstream) < limit)
        .copied();
    let least = |left: &&Upstream, right: &&Upstream| assumed(left).total_cmp(&assumed(right));
    first.or_else(|| ranked.into_iter().min_by(least))
}

/// The first upstreams for a session by rendezvous hashing, in order.
fn first_ranked<'a>(candidates: &[&'a Upstream], session: u64) -> Vec<&'a Upstream> {
    let score = |upstream: &&Upstream| Reverse(hash::score(session, upstream.id_hash));
    let mut ranked = candidates.to_vec();
    if ranked.len() > SESSION_UPSTREAMS {
        ranked.select_nth_unstable_by_key(SESSION_UPSTREAMS, score);
        ranked.truncate(SESSION_UPSTREAMS);
    }
    ranked.sort_unstable_by_key(score);
    ranked
}

/// The upstream that most likely caches the session's prompt if the chosen one does not: the
/// highest-ranked of the others of the same software version in the home regions, draining ones
/// included. One outside would get data of the prompt.
fn likely_holder(
    now: Time,
    upstreams: &[Upstream],
    is_unreachable: impl Fn(&name::Zone) -> bool,
    query: &Query<'_>,
    session: u64,
    chosen: &Upstream,
) -> Option<SocketAddr> {
    let others = upstreams.iter().filter(|upstream| {
        let is_other = upstream.entry.id != chosen.entry.id;
        let is_compatible = upstream.entry.build == chosen.entry.build;
        is_other
            && is_compatible
            && upstream.entry.service == *query.service
            && query.homes.admits(upstream.region.as_ref())
            && upstream.health.is_available(now)
            && !upstream.is_silent(now)
            && !upstream.is_replaced(now)
            && !is_unreachable(&upstream.entry.zone)
    });
    let first = others.max_by_key(|upstream| hash::score(session, upstream.id_hash));
    first.map(|upstream| upstream.entry.address)
}
