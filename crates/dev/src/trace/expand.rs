//! Generates the requests that a trace describes by rates and ranges.

use std::collections::BTreeMap;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64;

use super::Arrivals;
use super::Request;
use super::Trace;

/// The state of a chat between two turns.
#[derive(Clone, Copy, Debug, Default)]
struct Conversation {
    generation: u64,
    turns: u64,
    tokens: u64,
}

/// Returns all requests of a trace in order of arrival, each with its router.
///
/// Each `arrivals` line has its own random number generator, so that omitting one line doesn't
/// change the requests of the others.
pub fn expand(trace: &Trace) -> Vec<Request> {
    let mut requests = trace.requests.clone();
    let mut router_rng = Pcg64::seed_from_u64(trace.header.seed);
    for request in &mut requests {
        let router = router_rng.random_range(0..trace.header.routers.max(1));
        request.router.get_or_insert(router);
    }
    for (index, arrivals) in trace.arrivals.iter().enumerate() {
        let salt = (index as u64 + 1).rotate_left(32);
        let mut rng = Pcg64::seed_from_u64(trace.header.seed ^ salt);
        generate(
            arrivals,
            index,
            trace.header.routers,
            &mut rng,
            &mut requests,
        );
    }
    requests.sort_by_key(|request| request.at_ms);
    requests
}

/// Generates arrivals at uniformly distributed times. This approximates a Poisson process without
/// logarithms, whose last bit may differ between machines.
fn generate(
    arrivals: &Arrivals,
    index: usize,
    routers: usize,
    rng: &mut Pcg64,
    requests: &mut Vec<Request>,
) {
    let span_ms = arrivals.to_ms.saturating_sub(arrivals.from_ms);
    let count = (arrivals.per_s * span_ms as f64 / 1_000.0) as usize;
    let mut times: Vec<u64> = (0..count)
        .map(|_| rng.random_range(arrivals.from_ms..arrivals.to_ms))
        .collect();
    times.sort_unstable();
    let mut conversations: BTreeMap<u64, Conversation> = BTreeMap::new();
    for at_ms in times {
        let output = draw_between(rng, arrivals.output);
        let (chat, prompt) = if arrivals.chats == 0 {
            (None, draw_between(rng, arrivals.prompt))
        } else {
            let number = rng.random_range(0..arrivals.chats);
            let conversation = conversations.entry(number).or_default();
            conversation.tokens += if conversation.turns == 0 {
                draw_between(rng, arrivals.prompt)
            } else {
                draw_between(rng, arrivals.turn)
            };
            let name = format!("{index}-{number}-{}", conversation.generation);
            let prompt = conversation.tokens;
            conversation.tokens += output;
            conversation.turns += 1;
            if conversation.turns >= arrivals.turns {
                *conversation = Conversation {
                    generation: conversation.generation + 1,
                    ..Conversation::default()
                };
            }
            (Some(name), prompt)
        };
        requests.push(Request {
            at_ms,
            router: Some(rng.random_range(0..routers.max(1))),
            workspace: arrivals.workspace.clone(),
            class: arrivals.class.clone(),
            plain: arrivals.plain,
            chat,
            prompt_tokens: prompt,
            output_tokens: output,
            idempotent: arrivals.idempotent,
            key: None,
        });
    }
}

fn draw_between(rng: &mut Pcg64, [low, high]: [u64; 2]) -> u64 {
    rng.random_range(low..=high.max(low))
}
