//! What the stateful tests share: a network with faults before a store in memory.

use std::env;

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use snipeusher::kv::Call;
use snipeusher::kv::CallId;
use snipeusher::kv::Fault;
use snipeusher::kv::Reply;
use snipeusher::time::Time;
use snipeusher_fakes::kv::Memory;

/// Seed of all runs without `FUZZ_SEED`.
const SEED: u64 = 20_261_203;

/// Cases and seed; `FUZZ_CASES` and `FUZZ_SEED` override them.
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

/// What happens to a call in flight.
#[derive(Clone, Copy, Debug)]
pub enum Way {
    /// It takes effect; its reply is under way.
    Effect,
    /// Its reply arrives, after it took effect.
    Reply,
    /// The caller gives up; the call may take effect later, again if it did already.
    Lose,
    /// No connection is made, if it has not taken effect.
    NotSent,
    /// The service refuses it, if it has not taken effect.
    Refuse,
}

#[derive(Debug)]
struct Flight {
    owner: usize,
    id: CallId,
    call: Call,
    reply: Option<Result<Reply, Fault>>,
}

/// The result of a call for its owner.
pub type Delivery = (usize, CallId, Result<Reply, Fault>);

/// The store with the calls on their way to it.
#[derive(Debug, Default)]
pub struct Network {
    pub memory: Memory,
    pub now: Time,
    flights: Vec<Flight>,
    strays: Vec<Call>,
}

impl Network {
    pub fn send(&mut self, owner: usize, id: CallId, call: Call) {
        self.flights.push(Flight {
            owner,
            id,
            call,
            reply: None,
        });
    }

    /// Drops the calls of an owner that is gone; they may still take effect.
    pub fn forget(&mut self, owner: usize) {
        let (gone, kept) = std::mem::take(&mut self.flights)
            .into_iter()
            .partition(|flight| flight.owner == owner);
        self.flights = kept;
        let gone: Vec<Flight> = gone;
        self.strays
            .extend(gone.into_iter().map(|flight| flight.call));
    }

    pub fn carry(&mut self, nth: usize, way: Way) -> Option<Delivery> {
        if self.flights.is_empty() {
            return None;
        }
        let nth = nth % self.flights.len();
        let taken = self.flights[nth].reply.is_some();
        if matches!(way, Way::Effect | Way::Reply) && !taken {
            let reply = self.memory.call(self.now, &self.flights[nth].call);
            self.flights[nth].reply = Some(reply);
        }
        if matches!(way, Way::Effect) {
            return None;
        }
        let flight = self.flights.remove(nth);
        let result = match way {
            Way::NotSent if !taken => Err(Fault::NotSent),
            Way::Refuse if !taken => Err(Fault::Refused),
            Way::Lose => {
                self.strays.push(flight.call);
                Err(Fault::Lost)
            }
            _ => flight.reply.unwrap_or(Err(Fault::Lost)),
        };
        Some((flight.owner, flight.id, result))
    }

    /// A call whose caller has given up takes effect.
    pub fn stray(&mut self, nth: usize) {
        if !self.strays.is_empty() {
            let call = self.strays.remove(nth % self.strays.len());
            // Nobody waits for the reply.
            drop(self.memory.call(self.now, &call));
        }
    }

    pub fn is_quiet(&self) -> bool {
        self.flights.is_empty()
    }
}
