//! One caller's request between its arrival and its answer.

use std::pin::pin;
use std::sync::Arc;
use std::time::Instant;

use snipeusher::machine::Event;
use snipeusher::machine::Outcome;
use snipeusher::machine::Reason;
use snipeusher::request::Attempt;
use snipeusher::request::Id;
use snipeusher::request::Ran;
use snipeusher::request::Request;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use crate::dispatch::Command;
use crate::dispatch::Disconnect;
use crate::dispatch::Dispatch;
use crate::dispatch::Finish;
use crate::dispatch::Notify;
use crate::dispatch::Submit;
use crate::latency::Recorder;
use crate::problem::Kind;
use crate::problem::Problem;
use crate::shared::OpenRequest;
use crate::shared::Shared;

/// Why work on an attempt stopped before its end.
#[derive(Debug)]
pub(crate) enum Stop {
    /// The machine took the attempt back; it may dispatch another.
    Cancelled,
    /// The request is answered with this.
    Refused(Problem),
}

/// A request that the machine knows; dropping it tells the machine that the caller is gone.
#[derive(Debug)]
pub(crate) struct Session {
    shared: Arc<Shared>,
    id: Id,
    commands: UnboundedReceiver<Command>,
    deadline: Instant,
    latency: Recorder,
    current: Option<Attempt>,
    /// A dispatch that came while an earlier attempt was still worked on.
    pending: Option<Dispatch>,
    /// Whether an attempt may have run.
    ran: Ran,
    ended: bool,
    expired: bool,
    open: OpenRequest,
}

impl Session {
    pub(crate) fn submit(
        shared: &Arc<Shared>,
        open: OpenRequest,
        request: Request,
        arrived: Instant,
        deadline: Instant,
    ) -> Self {
        let (sender, commands) = mpsc::unbounded_channel();
        let id = request.id;
        let latency = Recorder::new(&request, arrived);
        let submit = Submit {
            request,
            commands: sender,
        };
        shared.dispatcher.do_send(submit);
        Self {
            shared: Arc::clone(shared),
            id,
            commands,
            deadline,
            latency,
            current: None,
            pending: None,
            ran: Ran::NotRun,
            ended: false,
            expired: false,
            open,
        }
    }

    pub(crate) const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// A further count of the open request, for its body.
    pub(crate) fn open(&self) -> OpenRequest {
        self.open.clone()
    }

    /// Whether an attempt is in flight.
    pub(crate) const fn is_running(&self) -> bool {
        self.current.is_some()
    }

    /// Waits for the next attempt.
    pub(crate) async fn next(&mut self) -> Result<Dispatch, Problem> {
        loop {
            if let Some(dispatch) = self.pending.take() {
                self.current = Some(dispatch.attempt);
                self.shared.counts.attempts.add();
                self.latency.record_dispatch(&self.shared.metrics);
                return Ok(dispatch);
            }
            let command = timeout_at(self.deadline.into(), self.commands.recv()).await;
            let Ok(command) = command else {
                return Err(self.expire());
            };
            if let Err(Stop::Refused(problem)) = self.take(command) {
                return Err(problem);
            }
        }
    }

    /// Works on the current attempt until it ends, the machine stops it or the deadline passes.
    pub(crate) async fn race<T>(&mut self, work: impl Future<Output = T>) -> Result<T, Stop> {
        let mut work = pin!(work);
        let deadline = self.deadline.into();
        loop {
            let command = tokio::select! {
                biased;
                result = &mut work => return Ok(result),
                command = self.commands.recv() => command,
                () = sleep_until(deadline) => {
                    self.stop_attempt();
                    return Err(Stop::Refused(self.expire()));
                }
            };
            self.take(command)?;
        }
    }

    /// Takes an command; fails if the current attempt must stop.
    fn take(&mut self, command: Option<Command>) -> Result<(), Stop> {
        match command {
            Some(Command::Cancel(attempt)) if Some(attempt) != self.current => Ok(()),
            Some(Command::Cancel(_)) => {
                self.stop_attempt();
                Err(Stop::Cancelled)
            }
            Some(Command::Dispatch(dispatch)) => {
                self.stop_attempt();
                self.pending = Some(dispatch);
                Err(Stop::Cancelled)
            }
            Some(Command::Refuse {
                reason,
                ran,
                retry_after,
            }) => {
                self.stop_attempt();
                let problem = refusal(reason, self.worst(ran)).retry_after(retry_after);
                Err(Stop::Refused(self.refuse(problem)))
            }
            None => {
                self.stop_attempt();
                let problem = self.problem(Kind::ShuttingDown, "the router stops");
                Err(Stop::Refused(self.refuse(problem)))
            }
        }
    }

    /// Leaves the current attempt, if any, whose request may have run.
    const fn stop_attempt(&mut self) {
        if self.current.take().is_some() {
            self.ran = Ran::Unknown;
        }
    }

    /// Tells how the current attempt ended.
    pub(crate) fn finish(&mut self, outcome: Outcome) {
        let Some(attempt) = self.current.take() else {
            return;
        };
        match outcome {
            Outcome::Complete => {
                self.ended = true;
                self.shared.counts.completed.add();
                self.latency.record_end(&self.shared.metrics);
            }
            Outcome::Cancelled => self.ended = true,
            Outcome::Broken => self.ran = Ran::Unknown,
            Outcome::Unreachable | Outcome::Declined { .. } => {}
        }
        self.shared.dispatcher.do_send(Finish {
            request: self.id,
            attempt,
            outcome,
        });
    }

    /// Gives up on the current attempt, which cannot be repeated, and on the request.
    pub(crate) fn give_up(&mut self, problem: Problem) -> Problem {
        self.finish(Outcome::Cancelled);
        self.refuse(problem)
    }

    /// Notes a token or a part of the answer on its way to the caller.
    pub(crate) fn progress(&mut self) {
        self.latency.record_progress(&self.shared.metrics);
    }

    /// Tells the output of the current attempt.
    pub(crate) fn output(&self, tokens: u64, cached: Option<u64>) {
        if let Some(attempt) = self.current {
            let event = Event::Output {
                attempt,
                tokens,
                cached,
            };
            self.shared.dispatcher.do_send(Notify(event));
        }
    }

    /// A problem that says whether the request may have run.
    pub(crate) fn problem(&self, kind: Kind, detail: &str) -> Problem {
        Problem {
            kind,
            detail: detail.to_owned(),
            ran: self.ran,
            retry_after: None,
        }
    }

    /// The deadline passed; the machine cancels the attempt once this is dropped.
    fn expire(&mut self) -> Problem {
        self.expired = true;
        self.shared.counts.failed.add();
        self.problem(Kind::DeadlineExceeded, "the answer was not whole in time")
    }

    fn refuse(&mut self, problem: Problem) -> Problem {
        self.ended = true;
        self.shared.counts.failed.add();
        problem
    }

    /// An attempt that may have run outweighs a later one that did not.
    fn worst(&self, ran: Ran) -> Ran {
        if self.ran == Ran::Unknown {
            Ran::Unknown
        } else {
            ran
        }
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        if !self.expired {
            self.shared.counts.abandoned.add();
        }
        self.shared.dispatcher.do_send(Disconnect(self.id));
    }
}

fn refusal(reason: Reason, ran: Ran) -> Problem {
    let (kind, detail) = match reason {
        Reason::NoUpstream => (Kind::NoUpstream, "no upstream is ready for it"),
        Reason::QueueFull => (Kind::QueueFull, "the queue of its class is full"),
        Reason::TooLate => (Kind::TooLate, "the wait would be longer than its deadline"),
        Reason::AttemptsFailed => (Kind::AttemptsFailed, "no further attempt is allowed"),
        Reason::UnknownWorkspace => (Kind::UnknownKey, "the workspace has no policy"),
    };
    Problem {
        ran,
        ..Problem::not_run(kind, detail)
    }
}
