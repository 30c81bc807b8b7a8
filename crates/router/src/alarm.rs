//! Timer of an actor that owns a state machine.

use std::fmt;

use actix::Actor;
use actix::AsyncContext as _;
use actix::Context;
use actix::SpawnHandle;
use snipeusher::time::Time;

/// Wakes an actor at the next deadline of its state machine.
#[derive(Default)]
pub(crate) struct Alarm(Option<(Time, SpawnHandle)>);

impl fmt::Debug for Alarm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let due = self.0.as_ref().map(|(due, _)| due);
        f.debug_tuple("Alarm").field(&due).finish()
    }
}

impl Alarm {
    /// Schedules `wake` at `due` and cancels the previous schedule. [`Time::NEVER`] schedules
    /// nothing.
    pub(crate) fn set<A>(
        &mut self,
        now: Time,
        due: Time,
        ctx: &mut Context<A>,
        wake: fn(&mut A, &mut Context<A>),
    ) where
        A: Actor<Context = Context<A>>,
    {
        if self.0.is_some_and(|(scheduled, _)| scheduled == due) {
            return;
        }
        if let Some((_, handle)) = self.0.take() {
            ctx.cancel_future(handle);
        }
        if due == Time::NEVER {
            return;
        }
        let handle = ctx.run_later(due.since(now), wake);
        self.0 = Some((due, handle));
    }

    /// Clears the schedule after the actor was woken.
    pub(crate) fn clear(&mut self) {
        self.0 = None;
    }
}
