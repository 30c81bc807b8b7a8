//! What the replay drives: the decisions of the project, or a baseline.

use snipeusher::load::Share;
use snipeusher::load::Strategy;
use snipeusher::machine::Action;
use snipeusher::machine::Event;
use snipeusher::machine::Machine;
use snipeusher::time::Time;

use super::engine::Engine;

/// Decisions of one router, driven by events.
pub trait Router {
    /// Takes one event. `fleet` is the true state, which only the reference may read.
    fn handle(&mut self, now: Time, event: Event, fleet: &[Engine]);

    /// Takes the actions that are due.
    fn take_actions(&mut self) -> Vec<Action>;

    /// When the router must be woken at the latest.
    fn next_wake(&self) -> Time;

    /// Work in flight, as told to peers.
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
