//! Shared by the stateful tests: an in-memory store behind a network with faults.

use std::env;

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use snipeusher::kv::Call;
use snipeusher::kv::CallId;
use snipeusher::kv::Fault;
use snipeusher::kv::Reply;
use snipeusher::time::Time;
use snipeusher_fakes::kv::Memory;

/// Seed of the tests unless `FUZZ_SEED` is set.
const SEED: u64 = 20_261_203;

/// Test configuration; `FUZZ_CASES` and `FUZZ_SEED` override the number of cases and the seed.
pub fn config(cases: u32) -> Config {
    let number = |name| {
        env::var(name)
            .ok()
            .and_then(|text: String| text.parse().ok())
    };
    Config {
        cases: number("FUZZ_CASES").map_or(cases, |cases: u64| cases as u32),
        rng_seed: RngSeed::Fixed(number("FUZZ_SEED").unwrap_or(SEED)),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}

/// Fate of a call in flight.
#[derive(Clone, Copy, Debug)]
pub enum Fate {
    /// The call takes effect; its reply is still in flight.
    Effect,
    /// The call takes effect, unless it already did, and its reply arrives.
    Reply,
    /// The caller gives up; the call may take effect later, even for a second time.
    Lose,
    /// No connection is made, unless the call already took effect.
    NotSent,
    /// The service refuses the call, unless it already took effect.
    Refuse,
}

#[derive(Debug)]
struct InFlight {
    owner: usize,
    id: CallId,
    call: Call,
    reply: Option<Result<Reply, Fault>>,
}

/// The owner of a call, the call and its result.
pub type Delivery = (usize, CallId, Result<Reply, Fault>);

/// The store and the calls in flight to it.
#[derive(Debug, Default)]
pub struct Network {
    pub memory: Memory,
    pub now: Time,
    in_flight: Vec<InFlight>,
    /// Calls whose caller has given up, and which may still take effect.
    abandoned: Vec<Call>,
}

impl Network {
    pub fn send(&mut self, owner: usize, id: CallId, call: Call) {
        self.in_flight.push(InFlight {
            owner,
            id,
            call,
            reply: None,
        });
    }

    /// Abandons the calls of an owner that has stopped; they may still take effect.
    pub fn abandon(&mut self, owner: usize) {
        let (abandoned, kept) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|call| call.owner == owner);
        self.in_flight = kept;
        let abandoned: Vec<InFlight> = abandoned;
        self.abandoned
            .extend(abandoned.into_iter().map(|in_flight| in_flight.call));
    }

    /// Applies a fate to one of the calls in flight; returns the result that reaches its owner.
    pub fn resolve(&mut self, nth: usize, fate: Fate) -> Option<Delivery> {
        if self.in_flight.is_empty() {
            return None;
        }
        let nth = nth % self.in_flight.len();
        let took_effect = self.in_flight[nth].reply.is_some();
        if matches!(fate, Fate::Effect | Fate::Reply) && !took_effect {
            let reply = self.memory.call(self.now, &self.in_flight[nth].call);
            self.in_flight[nth].reply = Some(reply);
        }
        if matches!(fate, Fate::Effect) {
            return None;
        }
        let in_flight = self.in_flight.remove(nth);
        let result = match fate {
            Fate::NotSent if !took_effect => Err(Fault::NotSent),
            Fate::Refuse if !took_effect => Err(Fault::Refused),
            Fate::Lose => {
                self.abandoned.push(in_flight.call);
                Err(Fault::Lost)
            }
            _ => in_flight.reply.unwrap_or(Err(Fault::Lost)),
        };
        Some((in_flight.owner, in_flight.id, result))
    }

    /// Executes a call whose caller has given up.
    pub fn execute_abandoned(&mut self, nth: usize) {
        if !self.abandoned.is_empty() {
            let call = self.abandoned.remove(nth % self.abandoned.len());
            // The reply is dropped, since no caller waits for it.
            drop(self.memory.call(self.now, &call));
        }
    }

    pub fn is_quiet(&self) -> bool {
        self.in_flight.is_empty()
    }
}
