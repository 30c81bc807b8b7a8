//! Which upstream serves a request.
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

/// Stable choices of a chat that are considered before any other upstream.
const RANKS: usize = 3;
/// Holders considered; the prefix map keeps as many.
const HOLDERS: usize = 4;
/// Random upstreams considered; two suffice to avoid the most loaded ones.
const RANDOM: usize = 2;
/// Outstanding work that delays a request as much as one token of its own prefill.
///
/// Engines batch continuously, so that a request waits for only a small part of the work ahead.
const QUEUE_DIVISOR: u64 = 32;
/// Work that an engine prefills during the round trip to another zone, 3 ms at 10 k tokens/s.
const ZONE_WORK: u64 = 30;
/// Sixteenths of the prompt that the first, second and third choice are expected to hold while
/// no holder is known, since other routers send the chat there.
const EXPECTED: [u64; RANKS] = [12, 8, 4];
/// The same while holders are known.
const EXPECTED_BESIDE_HOLDER: [u64; RANKS] = [3, 2, 1];
/// At most this part of the capacity is kept free for other workspaces.
const RESERVE_DIVISOR: u64 = 2;
/// A workspace within its share may go beyond the capacity by this part, so that it starts at
/// once while others fill the upstreams.
const SLACK_DIVISOR: u64 = 3;
/// Fixed cost of a cache transfer in microseconds: set-up at both engines.
const TRANSFER_US: u64 = 5_000;
/// Additional cost of a transfer between zones in microseconds.
const TRANSFER_ZONE_US: u64 = 3_000;
/// Transfer of one token's cache in nanoseconds: 128 KiB at 10 GB/s.
const TRANSFER_TOKEN_NS: u64 = 13_000;
/// Prefill of one token in nanoseconds at 10 k tokens/s.
const PREFILL_TOKEN_NS: u64 = 100_000;

/// What a placement must take into account besides the request.
#[derive(Clone, Copy, Debug)]
pub struct Constraints {
    /// Highest load as a multiple of the mean.
    pub load_limit: f64,
    /// Whether the capacity of engines counts; not for classes that pass at once.
    pub capped: bool,
    /// Whether the workspace is over its share of the fleet.
    pub over_share: bool,
    /// Work to be left free at each upstream for other workspaces.
    pub reserve: u64,
    /// An upstream that is taken only if there is no other.
    pub avoid: Option<Slot>,
}

/// The upstream chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The upstream.
    pub slot: Slot,
    /// Prompt tokens that it is known to have cached.
    pub cached: u64,
    /// Work that it gets.
    pub work: Work,
}

#[derive(Clone, Copy)]
struct Candidate {
    slot: Slot,
    cached: u64,
    expected: u64,
}

/// Whether an upstream is within the bound of its pool and its capacity for `work`.
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
/// The stable choices of the chat, known holders of its prefix and two random upstreams compete
/// by the estimated time. If none is within the bound, the first one along the ranking that is
/// gets it. Returns `None` if all are at their bound or their capacity.
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
        // Only the first choice is the same whatever the load.
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
        // An idle engine draws the random choices of all routers at once.
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

/// The best source of a chat's cache for an upstream that holds `cached` tokens of it, if a
/// transfer costs less than the prefill of the tokens that it adds.
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

/// The router that admits for an upstream: the first choice among the routers of the zone.
pub fn admission_router<T: AsRef<str>>(routers: &[T], node: u64) -> Option<&T> {
    let score = |host: &T| hash::score(node, hash::bytes(host.as_ref().as_bytes()));
    routers.iter().max_by_key(|host| score(host))
}

/// The first choice of a chat among a pool without one upstream.
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

/// Scores and indices of the first [`RANKS`] of a key's ranking, `u32::MAX` where there are fewer.
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

/// The first upstream along the ranking that is within the bound, else the avoided one if it is.
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
