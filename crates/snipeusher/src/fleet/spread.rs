//! Random choice among the least loaded upstreams.
//!
//! The requests that other routers have sent since the reports are unknown, but as many routers
//! choose by the same rule, they have probably filled up the least loaded upstreams to a common
//! level. A request goes to an upstream with a probability in proportion to what is missing there
//! to this level. With recent reports these are the few least loaded upstreams, with old ones all.
//! Where no upstream states its pace, the least loaded one gets the request.

use std::cmp::Reverse;

use super::Upstream;
use super::expected::Expected;
use crate::hash;
use crate::time::Time;

/// Passes over the upstreams to find the level. Each leaves out those above it, and few remain
/// after some.
const PASSES_MAX: usize = 12;

/// The upstream that gets a request.
pub(super) fn choose<'a>(
    now: Time,
    candidates: &[&'a Upstream],
    residence_s: f64,
    random: u64,
) -> Option<&'a Upstream> {
    if !candidates.iter().any(|upstream| upstream.pace.is_stated()) {
        return least(now, candidates, random);
    }
    let expected = |upstream: &&Upstream| Expected::new(now, upstream, residence_s);
    let loads: Vec<Expected> = candidates.iter().map(expected).collect();
    let own = 1.0 + loads.iter().map(|load| load.own).sum::<f64>();
    let replaced: f64 = loads.iter().map(|load| load.replaced).sum();
    if replaced <= 0.0 {
        return least(now, candidates, random);
    }
    let arrivals = own + replaced;
    let level = level(&loads, arrivals);
    let share = own / arrivals;
    let due = |load: &Expected| (level * load.speed - load.kept).max(0.0) * share - load.own;
    let most = loads.iter().map(due).fold(0.0, f64::max);
    // Whole requests decide first, the rest by chance.
    let whole = (most.ceil() - 1.0).max(0.0);
    let weight = |load: &Expected| (due(load) - whole).max(0.0);
    let total: f64 = loads.iter().map(weight).sum();
    let mut point = hash::unit(hash::mix(random, 1)) * total;
    let mut chosen = None;
    for (index, weight) in loads.iter().map(weight).enumerate() {
        if weight > 0.0 {
            chosen = Some(candidates[index]);
            point -= weight;
        }
        if point < 0.0 {
            break;
        }
    }
    chosen.or_else(|| candidates.first().copied())
}

/// The least loaded upstream; a local one is preferred among equals.
fn least<'a>(now: Time, candidates: &[&'a Upstream], random: u64) -> Option<&'a Upstream> {
    let least = candidates.iter().min_by_key(|upstream| {
        let load = upstream.load.estimate(now);
        (
            load,
            Reverse(upstream.local),
            hash::score(random, upstream.id_hash),
        )
    });
    least.copied()
}

/// The load per speed to which `arrivals` fill up the least loaded upstreams.
fn level(loads: &[Expected], arrivals: f64) -> f64 {
    let mut level = f64::INFINITY;
    for _ in 0..PASSES_MAX {
        let below = loads.iter().filter(|load| load.kept < level * load.speed);
        let (kept, speed) = below.fold((0.0, 0.0), |(kept, speed), load| {
            (kept + load.kept, speed + load.speed)
        });
        let next = (arrivals + kept) / speed;
        if next >= level {
            break;
        }
        level = next;
    }
    level
}
