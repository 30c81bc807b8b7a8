//! The interface of routers in a replay: the project's decisions or a baseline.

use snipeusher::load::Share;
use snipeusher::load::Strategy;
use snipeusher::machine::Action;
use snipeusher::machine::Event;
use snipeusher::machine::Machine;
use snipeusher::time::Time;

use super::engine::Engine;

/// The routing decisions of one router, driven by events.
pub trait Router {
    /// Handles one event. `fleet` is the actual state of the engines, which only
    /// `Algorithm::FullKnowledge` may read.
    fn handle(&mut self, now: Time, event: Event, fleet: &[Engine]);

    /// Drains the pending actions.
    fn take_actions(&mut self) -> Vec<Action>;

    /// Returns the time of the next tick that the router needs.
    fn next_wake(&self) -> Time;

    /// Returns the work in flight that is announced to peers.
    fn share(&self) -> Share;
}

impl<S: Strategy> Router for Machine<S> {
    fn handle(&mut self, now: Time, event: Event, _fleet: &[Engine]) {
        Self::handle(self, now, event);
    }

    fn take_actions(&mut self) -> Vec<Action> {
        self.drain().collect()
    }

    fn next_wake(&self) -> Time {
        Self::next_wake(self)
    }

    fn share(&self) -> Share {
        Self::share(self)
    }
}
