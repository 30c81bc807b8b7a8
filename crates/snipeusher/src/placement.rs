//! Choice of the upstream that serves a request.
//!
//! See `docs/design.md#placement`.

use std::cmp::Reverse;

use rand::Rng;

use crate::hash;
use crate::load::Pool;
use crate::load::Slot;
use crate::load::Strategy;
use crate::load::Table;
use crate::load::Work;
use crate::prefix;
use crate::request::Chat;
use crate::request::Request;

/// Number of top-ranked upstreams of a chat that are candidates.
const RANKS: usize = 3;
/// Number of prefix holders that are candidates; the prefix map stores as many.
const HOLDERS: usize = 4;
/// Number of random candidates; two suffice to avoid the most loaded upstreams.
const RANDOM: usize = 2;
/// Outstanding work that delays a request as much as one token of its own prefill.
///
/// Engines batch continuously, so a request waits for only a small part of the work ahead of it.
const QUEUE_DIVISOR: u64 = 32;
/// Work that an engine prefills during a round trip to another zone: 3 ms at 10 k tokens/s.
const ZONE_WORK: u64 = 30;
/// Part of the prompt, in sixteenths, that the first, second and third ranked upstream are
/// expected to have cached while no holder is known, since other routers send the chat there.
const EXPECTED: [u64; RANKS] = [12, 8, 4];
/// Like [`EXPECTED`], for a chat with known holders.
const EXPECTED_BESIDE_HOLDER: [u64; RANKS] = [3, 2, 1];
/// The reserve for other workspaces is at most the capacity divided by this.
const RESERVE_DIVISOR: u64 = 2;
/// A workspace within its share may exceed the capacity by the capacity divided by this, so that
/// its requests start at once while others fill the upstreams.
const SLACK_DIVISOR: u64 = 3;
/// Fixed cost of a cache transfer in microseconds, for the set-up at both engines.
const TRANSFER_US: u64 = 5_000;
/// Additional cost of a transfer between zones in microseconds.
const TRANSFER_ZONE_US: u64 = 3_000;
/// Time to transfer the cache of one token, in nanoseconds: 128 KiB at 10 GB/s.
const TRANSFER_TOKEN_NS: u64 = 13_000;
/// Time to prefill one token, in nanoseconds, at 10 k tokens/s.
const PREFILL_TOKEN_NS: u64 = 100_000;

/// Limits that a placement must observe besides the request itself.
#[derive(Clone, Copy, Debug)]
pub struct Constraints {
    /// Highest load of an upstream as a multiple of the mean of its pool.
    pub load_limit: f64,
    /// Whether the capacity of upstreams limits the placement; false for immediate classes.
    pub capped: bool,
    /// Whether the workspace is over its share of the fleet.
    pub over_share: bool,
    /// Work to keep free at each upstream for other workspaces.
    pub reserve: u64,
    /// An upstream that is chosen only if no other fits.
    pub avoid: Option<Slot>,
}

/// The upstream chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The upstream.
    pub slot: Slot,
    /// Prompt tokens that the upstream is known to have cached.
    pub cached: u64,
    /// Work that the request adds to the upstream.
    pub work: Work,
}

#[derive(Clone, Copy)]
struct Candidate {
    slot: Slot,
    cached: u64,
    expected: u64,
}

/// Whether an upstream can accept `work` without exceeding the load bound of its pool or its
/// capacity.
pub fn fits<S: Strategy>(
    loads: &Table<S>,
    pool: &Pool,
    slot: Slot,
    work: Work,
    constraints: &Constraints,
) -> bool {
    let summary = loads.summary(slot);
    if summary.estimate > pool.bound(work.0, constraints.load_limit, summary.factor) {
        return false;
    }
    if !constraints.capped || summary.estimate == 0 {
        return true;
    }
    let reserve = constraints.reserve.min(summary.capacity / RESERVE_DIVISOR);
    let expected = summary.estimate.saturating_add(summary.unreported);
    let room = if constraints.over_share {
        summary.capacity - reserve
    } else {
        summary.capacity + summary.capacity / SLACK_DIVISOR
    };
    expected.saturating_add(work.0) <= room
}

/// Chooses an upstream of a pool for a request.
///
/// The candidates are the top-ranked upstreams of the chat, known holders of its prefix and two
/// random upstreams; the one with the lowest estimated time to the first token wins. If none of
/// them fits, the highest-ranked upstream that fits is chosen. Returns `None` if no upstream
/// fits.
pub fn choose<S: Strategy, R: Rng>(
    loads: &Table<S>,
    prefixes: &prefix::Map,
    pool: &Pool,
    request: &Request,
    constraints: &Constraints,
    rng: &mut R,
) -> Option<Choice> {
    if pool.slots.is_empty() {
        return None;
    }
    let key = request
        .chat
        .map_or_else(|| hash::mix(request.id.0, 0), |chat| chat.0);
    let mut best: Option<(u64, Candidate)> = None;
    let mut consider = |candidate: Candidate, unreported: u64| {
        let work = Work::of(request, candidate.cached);
        let avoided = constraints.avoid == Some(candidate.slot);
        let summary = loads.summary(candidate.slot);
        let expected = summary.estimate.saturating_add(unreported);
        if unreported > 0 && expected > pool.bound(work.0, constraints.load_limit, summary.factor) {
            return;
        }
        if avoided || !fits(loads, pool, candidate.slot, work, constraints) {
            return;
        }
        let cost = cost(loads, request, &candidate, unreported);
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, candidate));
        }
    };
    let mut known = 0;
    if let Some(chat) = request.chat {
        let holders = prefixes.holders(chat).take(HOLDERS);
        for holder in holders.filter(|holder| can_serve(loads, pool, *holder)) {
            known += 1;
            consider(
                Candidate {
                    slot: holder.slot,
                    cached: u64::from(holder.tokens).min(request.prompt_tokens),
                    expected: 0,
                },
                0,
            );
        }
    }
    let expected = match (request.chat, known) {
        (None, _) => [0; RANKS],
        (Some(_), 0) => EXPECTED,
        (Some(_), _) => EXPECTED_BESIDE_HOLDER,
    };
    let ranked = top_ranked(key, &pool.nodes).into_iter().zip(expected);
    for (rank, ((_, index), sixteenths)) in ranked.enumerate() {
        let Some(slot) = pool.slots.get(index as usize).copied() else {
            break;
        };
        let candidate = Candidate {
            slot,
            cached: 0,
            expected: request.prompt_tokens.saturating_mul(sixteenths) / 16,
        };
        // The first choice does not depend on the load, so routers do not crowd it all at once.
        let unreported = if rank == 0 {
            0
        } else {
            loads.summary(slot).unreported
        };
        consider(candidate, unreported);
    }
    for _ in 0..RANDOM {
        let slot = pool.slots[rng.random_range(0..pool.slots.len())];
        let candidate = Candidate {
            slot,
            cached: 0,
            expected: 0,
        };
        // Several routers may pick the same idle engine at random before their peers receive their
        // load reports, so the work that peers have not reported yet counts.
        consider(candidate, loads.summary(slot).unreported);
    }
    let chosen = best
        .map(|(_, candidate)| candidate)
        .or_else(|| fallback(loads, pool, key, request, constraints))?;
    Some(Choice {
        slot: chosen.slot,
        cached: chosen.cached,
        work: Work::of(request, chosen.cached),
    })
}

/// The engine from which to transfer a chat's cache to the upstream `to`, which holds `cached`
/// tokens of it, with the tokens that the source holds.
///
/// Returns `None` if a transfer takes longer than the prefill of the tokens that it adds.
pub fn source<S: Strategy>(
    loads: &Table<S>,
    holders: impl Iterator<Item = prefix::Holder>,
    to: Slot,
    cached: u64,
    prompt: u64,
) -> Option<(Slot, u64)> {
    let best = holders
        .filter(|holder| holder.slot != to && is_current(loads, *holder))
        .max_by_key(|holder| holder.tokens)?;
    let tokens = u64::from(best.tokens).min(prompt);
    let gain = tokens.saturating_sub(cached);
    let remote = loads.upstream(best.slot).local != loads.upstream(to).local;
    let fixed = TRANSFER_US + if remote { TRANSFER_ZONE_US } else { 0 };
    let moved = fixed * 1_000 + gain * TRANSFER_TOKEN_NS;
    (moved < gain * PREFILL_TOKEN_NS).then_some((best.slot, tokens))
}

/// The router that controls admission to an upstream: the highest-ranked router of the zone.
pub fn admission_router<T: AsRef<str>>(routers: &[T], node: u64) -> Option<&T> {
    let score = |host: &T| hash::score(node, hash::bytes(host.as_ref().as_bytes()));
    routers.iter().max_by_key(|host| score(host))
}

/// The highest-ranked upstream of a chat in a pool, leaving out the upstream `without`.
pub fn first_choice(pool: &Pool, chat: Chat, without: Slot) -> Option<Slot> {
    let others = pool.slots.iter().zip(&pool.nodes);
    others
        .filter(|(slot, _)| **slot != without)
        .max_by_key(|(_, node)| hash::score(chat.0, **node))
        .map(|(slot, _)| *slot)
}

fn is_current<S: Strategy>(loads: &Table<S>, holder: prefix::Holder) -> bool {
    let upstream = loads.upstream(holder.slot);
    upstream.epoch == holder.epoch && !upstream.ejected
}

fn can_serve<S: Strategy>(loads: &Table<S>, pool: &Pool, holder: prefix::Holder) -> bool {
    let upstream = loads.upstream(holder.slot);
    is_current(loads, holder) && upstream.open && loads.serves(holder.slot, pool)
}

/// The estimated time to the first token, in prefill tokens.
fn cost<S: Strategy>(
    loads: &Table<S>,
    request: &Request,
    candidate: &Candidate,
    unreported: u64,
) -> u64 {
    let ahead = loads
        .summary(candidate.slot)
        .estimate
        .saturating_add(unreported);
    let queue = ahead / QUEUE_DIVISOR;
    let held = candidate.cached.max(candidate.expected);
    let prefill = request.prompt_tokens.saturating_sub(held);
    let local = loads.upstream(candidate.slot).local;
    let zone = if local { 0 } else { ZONE_WORK };
    queue.saturating_add(prefill).saturating_add(zone)
}

/// Scores and indices of the [`RANKS`] highest-ranked nodes for a key; the index is `u32::MAX`
/// where there are fewer nodes.
fn top_ranked(key: u64, nodes: &[u64]) -> [(u64, u32); RANKS] {
    let mut best = [(0, u32::MAX); RANKS];
    for (index, node) in nodes.iter().enumerate() {
        let score = hash::score(key, *node);
        if score > best[RANKS - 1].0 {
            best[RANKS - 1] = (score, index as u32);
            best.sort_unstable_by_key(|(score, _)| Reverse(*score));
        }
    }
    best
}

/// The highest-ranked upstream that fits, or else the avoided one if it fits.
fn fallback<S: Strategy>(
    loads: &Table<S>,
    pool: &Pool,
    key: u64,
    request: &Request,
    constraints: &Constraints,
) -> Option<Candidate> {
    let work = Work::of(request, 0);
    let fits = |slot: Slot| fits(loads, pool, slot, work, constraints);
    let first = pool
        .slots
        .iter()
        .zip(&pool.nodes)
        .filter(|(slot, _)| constraints.avoid != Some(**slot) && fits(**slot))
        .max_by_key(|(_, node)| hash::score(key, **node))
        .map(|(slot, _)| *slot);
    let avoided = constraints
        .avoid
        .filter(|slot| pool.slots.contains(slot) && fits(*slot));
    first.or(avoided).map(|slot| Candidate {
        slot,
        cached: 0,
        expected: 0,
    })
}
