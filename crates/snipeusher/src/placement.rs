//! Which upstream serves a request.
//!
//! See `docs/design.md#placement`.

use crate::board::Board;
use crate::hash;
use crate::load::Work;
use crate::name;
use crate::request::Request;

/// Chooses the first upstream of the request's rendezvous ranking that is within the load bound.
///
/// Returns `None` if no upstream accepts the target or all are at their bound.
pub fn choose(board: &Board, request: &Request, load_limit: f64) -> Option<name::Upstream> {
    let key = request.chat.map_or(request.id.0, |chat| chat.0);
    let mut ranking: Vec<_> = board
        .upstreams
        .values()
        .filter(|state| state.accepts(&request.target))
        .map(|state| {
            let node = hash::bytes(state.name.as_str().as_bytes());
            (hash::score(key, node), &state.name)
        })
        .collect();
    ranking.sort_unstable_by(|left, right| right.cmp(left));
    let work = Work::of(request, 0).0;
    let load = |name| board.loads.get(name).copied().unwrap_or_default().0;
    let total: u64 = ranking.iter().map(|(_, name)| load(*name)).sum();
    let mean = (total + work) as f64 / ranking.len().max(1) as f64;
    ranking
        .iter()
        .map(|(_, name)| *name)
        .find(|name| load(*name) as f64 <= mean * load_limit)
        .cloned()
}
