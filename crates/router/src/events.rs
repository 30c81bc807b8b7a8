//! Reads the events of a streamed response and checks their ids.

use std::sync::Arc;

use awc::ClientResponse;
use eventsource_stream::EventStream;
use eventsource_stream::Eventsource as _;
use futures_util::FutureExt as _;
use futures_util::StreamExt as _;
use tokio::time::timeout;

use crate::attempt;
use crate::dispatch::Dispatch;
use crate::shared::Shared;

/// Data of the last event of a complete stream.
pub(crate) const DONE: &str = "[DONE]";

/// The stream ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Interrupted;

/// Events of one attempt, in order and without duplicates.
pub(crate) struct Events {
    shared: Arc<Shared>,
    dispatch: Dispatch,
    attempt_id: String,
    stream: EventStream<ClientResponse>,
    last_position: u64,
    is_interrupted: bool,
}

impl Events {
    /// Reads the response to an attempt whose events up to `last_position` were read before.
    pub(crate) fn new(
        shared: &Arc<Shared>,
        dispatch: &Dispatch,
        response: ClientResponse,
        last_position: u64,
    ) -> Self {
        Self {
            shared: Arc::clone(shared),
            dispatch: dispatch.clone(),
            attempt_id: dispatch.attempt.to_string(),
            stream: response.eventsource(),
            last_position,
            is_interrupted: false,
        }
    }

    /// Position of the last event read.
    pub(crate) const fn last_position(&self) -> u64 {
        self.last_position
    }

    /// Returns the data of the next event. Events of other attempts and duplicates are dropped.
    pub(crate) async fn next(&mut self) -> Result<String, Interrupted> {
        let stall = self.shared.settings.stall_timeout;
        timeout(stall, self.read())
            .await
            .unwrap_or(Err(Interrupted))
    }

    /// Returns the data of the next event if it has already arrived.
    ///
    /// Also returns `None` if the stream is interrupted; [`Self::next`] then returns the error.
    pub(crate) fn try_next(&mut self) -> Option<String> {
        self.read().now_or_never().and_then(Result::ok)
    }

    async fn read(&mut self) -> Result<String, Interrupted> {
        if self.is_interrupted {
            return Err(Interrupted);
        }
        loop {
            let Some(Ok(event)) = self.stream.next().await else {
                return self.interrupt();
            };
            let (attempt_id, position) = event.id.split_once(':').unwrap_or((&event.id, ""));
            if attempt_id != self.attempt_id {
                attempt::count_mismatch(&self.shared, &self.dispatch, attempt_id);
                continue;
            }
            let Ok(position) = position.parse::<u64>() else {
                return self.interrupt();
            };
            if position <= self.last_position {
                self.shared.counts.duplicated.add();
                continue;
            }
            if position != self.last_position + 1 {
                return self.interrupt();
            }
            self.last_position = position;
            return Ok(event.data);
        }
    }

    const fn interrupt(&mut self) -> Result<String, Interrupted> {
        self.is_interrupted = true;
        Err(Interrupted)
    }
}
