//! The events of a streamed answer, checked one by one.

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

/// Data of the event that ends a complete stream.
pub(crate) const DONE: &str = "[DONE]";

/// The stream broke off before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Interrupted;

/// Events of one attempt in their order, each exactly once.
pub(crate) struct Events {
    shared: Arc<Shared>,
    dispatch: Dispatch,
    prefix: String,
    stream: EventStream<ClientResponse>,
    last_position: u64,
    is_interrupted: bool,
}

impl Events {
    /// Reads the answer of an attempt, of which the events up to `last_position` are already there.
    pub(crate) fn new(
        shared: &Arc<Shared>,
        dispatch: &Dispatch,
        response: ClientResponse,
        last_position: u64,
    ) -> Self {
        Self {
            shared: Arc::clone(shared),
            dispatch: dispatch.clone(),
            prefix: dispatch.attempt.to_string(),
            stream: response.eventsource(),
            last_position,
            is_interrupted: false,
        }
    }

    /// Position of the last event read.
    pub(crate) const fn last_position(&self) -> u64 {
        self.last_position
    }

    /// The data of the next event. Events of other attempts and repeated ones are dropped.
    pub(crate) async fn next(&mut self) -> Result<String, Interrupted> {
        let stall = self.shared.settings.stall_timeout;
        timeout(stall, self.read())
            .await
            .unwrap_or(Err(Interrupted))
    }

    /// The data of the next event if it is there already.
    ///
    /// A cut is not told here; [`Self::next`] meets it again.
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
            let (found, position) = event.id.split_once(':').unwrap_or((&event.id, ""));
            if found != self.prefix {
                attempt::count_mismatch(&self.shared, &self.dispatch, found);
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
