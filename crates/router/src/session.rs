//! A caller's request from its arrival to the end of its response.

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
    /// The machine cancelled the attempt; it may dispatch another.
    Cancelled,
    /// The request failed with this problem.
    Refused(Problem),
}

/// A request submitted to the machine. Dropping it before its end reports that the caller
/// disconnected.
#[derive(Debug)]
pub(crate) struct Session {
    shared: Arc<Shared>,
    id: Id,
    commands: UnboundedReceiver<Command>,
    deadline: Instant,
    latency: Recorder,
    current: Option<Attempt>,
    /// The next attempt, received while an earlier one was in progress.
    pending: Option<Dispatch>,
    /// Whether an earlier attempt may have run.
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

    /// Keeps the request counted as open while its response body is sent.
    pub(crate) fn open_request(&self) -> OpenRequest {
        self.open.clone()
    }

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
            if let Err(Stop::Refused(problem)) = self.apply(command) {
                return Err(problem);
            }
        }
    }

    /// Runs a part of the current attempt until it ends, the machine stops the attempt or the
    /// deadline passes.
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
            self.apply(command)?;
        }
    }

    /// Applies a command; fails if the current attempt must stop.
    fn apply(&mut self, command: Option<Command>) -> Result<(), Stop> {
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
                let problem = refusal(reason, self.merge_ran(ran)).retry_after(retry_after);
                Err(Stop::Refused(self.refuse(problem)))
            }
            None => {
                self.stop_attempt();
                let problem = self.problem(Kind::ShuttingDown, "the router stops");
                Err(Stop::Refused(self.refuse(problem)))
            }
        }
    }

    /// Ends the current attempt, if any, at a point where the request may have run.
    const fn stop_attempt(&mut self) {
        if self.current.take().is_some() {
            self.ran = Ran::Unknown;
        }
    }

    /// Reports the outcome of the current attempt to the machine.
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

    /// Ends the current attempt, which cannot be retried, and fails the request.
    pub(crate) fn abort(&mut self, problem: Problem) -> Problem {
        self.finish(Outcome::Cancelled);
        self.refuse(problem)
    }

    /// Records that a token or a chunk of the response was received, for the latency metrics.
    pub(crate) fn record_progress(&mut self) {
        self.latency.record_progress(&self.shared.metrics);
    }

    /// Reports the output tokens of the current attempt so far to the machine.
    pub(crate) fn report_output(&self, tokens: u64, cached: Option<u64>) {
        if let Some(attempt) = self.current {
            let event = Event::Output {
                attempt,
                tokens,
                cached,
            };
            self.shared.dispatcher.do_send(Notify(event));
        }
    }

    /// Creates a problem that states whether the request may have run.
    pub(crate) fn problem(&self, kind: Kind, detail: &str) -> Problem {
        Problem {
            kind,
            detail: detail.to_owned(),
            ran: self.ran,
            retry_after: None,
        }
    }

    /// Fails the request at its deadline. The machine cancels the attempt when the session is
    /// dropped.
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

    /// Combines `ran` with the earlier attempts: the request may have run if one of them may have.
    fn merge_ran(&self, ran: Ran) -> Ran {
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
