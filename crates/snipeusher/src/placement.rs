//! Which upstream serves a request.
//!
//! See `docs/design.md#placement`.

use std::cmp::Reverse;

use rand::Rng;

use crate::hash;
use crate::load::Kind;
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
const SLACK_DIVISOR: u64 = 4;
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
pub struct Ask {
    /// Highest load as a multiple of the mean.
    pub limit: f64,
    /// Whether the capacity of engines counts; not for classes that pass at once.
    pub capped: bool,
    /// Whether the workspace is over its share of the fleet.
    pub over: bool,
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

/// Whether an upstream is within the bound of its kind and its capacity for `work`.
pub fn within<S: Strategy>(
    loads: &Table<S>,
    kind: &Kind,
    slot: Slot,
    work: Work,
    ask: &Ask,
) -> bool {
    let hot = loads.hot(slot);
    if hot.estimate > kind.bound(work.0, ask.limit, hot.factor) {
        return false;
    }
    if !ask.capped || hot.estimate == 0 {
        return true;
    }
    let reserve = ask.reserve.min(hot.capacity / RESERVE_DIVISOR);
    let expected = hot.estimate.saturating_add(hot.unheard);
    let room = if ask.over {
        hot.capacity - reserve
    } else {
        hot.capacity + hot.capacity / SLACK_DIVISOR
    };
    expected.saturating_add(work.0) <= room
}

/// Chooses an upstream of a kind for a request.
///
/// The stable choices of the chat, known holders of its prefix and two random upstreams compete
/// by the estimated time. If none is within the bound, the first one along the ranking that is
/// gets it. Returns `None` if all are at their bound or their capacity.
pub fn choose<S: Strategy, R: Rng>(
    loads: &Table<S>,
    prefixes: &prefix::Map,
    kind: &Kind,
    request: &Request,
    ask: &Ask,
    rng: &mut R,
) -> Option<Choice> {
    if kind.slots.is_empty() {
        return None;
    }
    let key = request
        .chat
        .map_or_else(|| hash::mix(request.id.0, 0), |chat| chat.0);
    let mut best: Option<(u64, Candidate)> = None;
    let mut consider = |candidate: Candidate| {
        let work = Work::of(request, candidate.cached);
        let avoided = ask.avoid == Some(candidate.slot);
        if avoided || !within(loads, kind, candidate.slot, work, ask) {
            return;
        }
        let cost = cost(loads, request, &candidate);
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, candidate));
        }
    };
    let mut known = 0;
    if let Some(chat) = request.chat {
        let holders = prefixes.holders(chat).take(HOLDERS);
        for holder in holders.filter(|holder| holds(loads, kind, *holder)) {
            known += 1;
            consider(Candidate {
                slot: holder.slot,
                cached: u64::from(holder.tokens).min(request.prompt_tokens),
                expected: 0,
            });
        }
    }
    let expected = match (request.chat, known) {
        (None, _) => [0; RANKS],
        (Some(_), 0) => EXPECTED,
        (Some(_), _) => EXPECTED_BESIDE_HOLDER,
    };
    for ((_, index), sixteenths) in top(key, &kind.nodes).into_iter().zip(expected) {
        let Some(slot) = kind.slots.get(index as usize) else {
            break;
        };
        consider(Candidate {
            slot: *slot,
            cached: 0,
            expected: request.prompt_tokens.saturating_mul(sixteenths) / 16,
        });
    }
    for _ in 0..RANDOM {
        let index = rng.random_range(0..kind.slots.len());
        consider(Candidate {
            slot: kind.slots[index],
            cached: 0,
            expected: 0,
        });
    }
    let chosen = best
        .map(|(_, candidate)| candidate)
        .or_else(|| along(loads, kind, key, request, ask))?;
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
        .filter(|holder| holder.slot != to && valid(loads, *holder))
        .max_by_key(|holder| holder.tokens)?;
    let tokens = u64::from(best.tokens).min(prompt);
    let gain = tokens.saturating_sub(cached);
    let far = loads.cell(best.slot).near != loads.cell(to).near;
    let fixed = TRANSFER_US + if far { TRANSFER_ZONE_US } else { 0 };
    let moved = fixed * 1_000 + gain * TRANSFER_TOKEN_NS;
    (moved < gain * PREFILL_TOKEN_NS).then_some((best.slot, tokens))
}

/// The router that admits for an upstream: the first choice among the routers of the zone.
pub fn admitter<T: AsRef<str>>(routers: &[T], node: u64) -> Option<&T> {
    let score = |host: &T| hash::score(node, hash::bytes(host.as_ref().as_bytes()));
    routers.iter().max_by_key(|host| score(host))
}

/// The first choice of a chat among a kind without one upstream.
pub fn first(kind: &Kind, chat: Chat, without: Slot) -> Option<Slot> {
    let others = kind.slots.iter().zip(&kind.nodes);
    others
        .filter(|(slot, _)| **slot != without)
        .max_by_key(|(_, node)| hash::score(chat.0, **node))
        .map(|(slot, _)| *slot)
}

fn valid<S: Strategy>(loads: &Table<S>, holder: prefix::Holder) -> bool {
    let cell = loads.cell(holder.slot);
    cell.epoch == holder.epoch && !cell.ejected
}

fn holds<S: Strategy>(loads: &Table<S>, kind: &Kind, holder: prefix::Holder) -> bool {
    let cell = loads.cell(holder.slot);
    valid(loads, holder) && cell.open && loads.serves(holder.slot, kind)
}

/// The estimated time to the first token, in prefill tokens.
fn cost<S: Strategy>(loads: &Table<S>, request: &Request, candidate: &Candidate) -> u64 {
    let queue = loads.hot(candidate.slot).estimate / QUEUE_DIVISOR;
    let held = candidate.cached.max(candidate.expected);
    let prefill = request.prompt_tokens.saturating_sub(held);
    let near = loads.cell(candidate.slot).near;
    let zone = if near { 0 } else { ZONE_WORK };
    queue.saturating_add(prefill).saturating_add(zone)
}

/// Scores and indices of the first [`RANKS`] of a key's ranking, `u32::MAX` where there are fewer.
fn top(key: u64, nodes: &[u64]) -> [(u64, u32); RANKS] {
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
fn along<S: Strategy>(
    loads: &Table<S>,
    kind: &Kind,
    key: u64,
    request: &Request,
    ask: &Ask,
) -> Option<Candidate> {
    let work = Work::of(request, 0);
    let fits = |slot: Slot| within(loads, kind, slot, work, ask);
    let first = kind
        .slots
        .iter()
        .zip(&kind.nodes)
        .filter(|(slot, _)| ask.avoid != Some(**slot) && fits(**slot))
        .max_by_key(|(_, node)| hash::score(key, **node))
        .map(|(slot, _)| *slot);
    let avoided = ask
        .avoid
        .filter(|slot| kind.slots.contains(slot) && fits(*slot));
    first.or(avoided).map(|slot| Candidate {
        slot,
        cached: 0,
        expected: 0,
    })
}
