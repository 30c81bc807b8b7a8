//! The choice among the upstreams of a service.
//!
//! A request that shares the start of its prompt with others goes to the upstream that ranks
//! first for it by rendezvous hashing, at every router the same, unless that one holds too many
//! requests already. Others go where the fewest are. See `docs/platform.md#placement`.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use super::cell::Cell;
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
pub struct Ask<'a> {
    /// The service.
    pub service: &'a name::Service,
    /// Hash of the prompt parts that it shares with others; `None` where nothing is cached.
    pub session: Option<u64>,
    /// Connections that one upstream of the service accepts from all routers; zero if not stated.
    pub connections: u32,
    /// Upstreams that it was sent to before.
    pub tried: &'a [name::Upstream],
    /// A random number, which breaks ties.
    pub point: u64,
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
    cells: &[Cell],
    ready: &[usize],
    is_dark: impl Fn(&name::Zone) -> bool,
    share: u32,
    ask: &Ask<'_>,
) -> Decision {
    let all = ready.iter().map(|slot| &cells[*slot]);
    let new = all.filter(|cell| !ask.tried.contains(&cell.entry.id));
    let new: Vec<&Cell> = new.collect();
    let open = only(&new, |cell| cell.health.is_open(now));
    let lit = only(&open, |cell| !is_dark(&cell.entry.zone));
    let heard = only(&lit, |cell| !cell.is_silent(now));
    let candidates = only(&heard, |cell| cell.load.own() < share);
    let source = |chosen: &Cell| {
        let session = ask.session?;
        holder(now, cells, ask.service, session, chosen)
    };
    let chosen = match ask.session {
        Some(session) => by_session(now, &candidates, session),
        None => by_load(now, &candidates, ask.point),
    };
    match chosen {
        Some(cell) => Decision::Send {
            upstream: cell.entry.id.clone(),
            address: cell.entry.address,
            source: source(cell),
        },
        None => Decision::Refuse {
            retry_after: RETRY_NO_UPSTREAM,
        },
    }
}

/// The cells for which a condition holds, or all where it holds for none: a request is better
/// sent than refused.
fn only<'a>(cells: &[&'a Cell], holds: impl Fn(&Cell) -> bool) -> Vec<&'a Cell> {
    let held: Vec<&Cell> = cells.iter().copied().filter(|cell| holds(cell)).collect();
    if held.is_empty() {
        cells.to_vec()
    } else {
        held
    }
}

/// The first in the ranking of the session that is within the load limit.
fn by_session<'a>(now: Time, candidates: &[&'a Cell], session: u64) -> Option<&'a Cell> {
    let total: u64 = candidates
        .iter()
        .map(|cell| u64::from(cell.load.estimate(now)))
        .sum();
    let mean = total as f64 / candidates.len().max(1) as f64;
    let limit = LOAD_LIMIT * mean + LOAD_SLACK;
    let within = candidates
        .iter()
        .filter(|cell| f64::from(cell.load.estimate(now)) < limit);
    let first = within.max_by_key(|cell| hash::score(session, cell.node));
    first.copied()
}

/// The one with the fewest requests; the near one where several have as few.
fn by_load<'a>(now: Time, candidates: &[&'a Cell], point: u64) -> Option<&'a Cell> {
    let best = candidates.iter().min_by_key(|cell| {
        let load = cell.load.estimate(now);
        (load, Reverse(cell.near), hash::score(point, cell.node))
    });
    best.copied()
}

/// The upstream that most likely holds the session if the chosen one does not: the first of the
/// others in its ranking, one that is leaving included.
fn holder(
    now: Time,
    cells: &[Cell],
    service: &name::Service,
    session: u64,
    chosen: &Cell,
) -> Option<SocketAddr> {
    let others = cells.iter().filter(|cell| {
        let is_other = cell.entry.id != chosen.entry.id;
        is_other && cell.entry.service == *service && cell.health.is_open(now)
    });
    let first = others.max_by_key(|cell| hash::score(session, cell.node));
    first.map(|cell| cell.entry.address)
}
