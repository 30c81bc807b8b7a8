//! Decoding of a watch, a streaming response with one message after another.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Buf as _;
use bytes::BytesMut;
use futures_util::Stream;
use futures_util::StreamExt as _;
use futures_util::stream;
use snipeusher::kv::Fault;

use crate::Change;
use crate::gateway::RESPONSE_BYTES_MAX;
use crate::gateway::Response;
use crate::message::StreamMessage;
use crate::message::WatchResponse;

/// Longest time without data; the service reports progress every ten minutes.
const IDLE_TIMEOUT: Duration = Duration::from_mins(11);

struct Watch {
    response: Response,
    buffer: BytesMut,
    decoded: VecDeque<Result<Change, Fault>>,
    ended: bool,
}

/// Streams the changes; the stream ends after a fault or with the response.
pub(crate) fn changes(response: Response) -> impl Stream<Item = Result<Change, Fault>> {
    let watch = Watch {
        response,
        buffer: BytesMut::new(),
        decoded: VecDeque::new(),
        ended: false,
    };
    stream::unfold(watch, |mut watch| async {
        let next = watch.next().await?;
        Some((next, watch))
    })
}

impl Watch {
    async fn next(&mut self) -> Option<Result<Change, Fault>> {
        loop {
            if let Some(change) = self.decoded.pop_front() {
                self.ended |= change.is_err();
                return Some(change);
            }
            if self.ended || self.buffer.len() > RESPONSE_BYTES_MAX {
                return None;
            }
            let chunk = tokio::time::timeout(IDLE_TIMEOUT, self.response.next()).await;
            match chunk {
                Ok(Some(Ok(bytes))) => {
                    self.buffer.extend_from_slice(&bytes);
                    self.decode_messages();
                }
                Ok(Some(Err(_))) | Err(_) => self.decoded.push_back(Err(Fault::Lost)),
                Ok(None) => self.ended = true,
            }
        }
    }

    /// Decodes all complete messages in the buffer and removes them from it.
    fn decode_messages(&mut self) {
        let mut messages = serde_json::Deserializer::from_slice(&self.buffer)
            .into_iter::<StreamMessage<WatchResponse>>();
        let mut consumed = 0;
        while let Some(message) = messages.next() {
            match message {
                Ok(message) => {
                    consumed = messages.byte_offset();
                    self.decoded.extend(convert(&message.result));
                }
                Err(error) if error.is_eof() => break,
                Err(_) => {
                    self.decoded.push_back(Err(Fault::Refused));
                    break;
                }
            }
        }
        self.buffer.advance(consumed);
    }
}

/// Converts a message. A cancelled watch, for example because its revision was compacted, becomes
/// [`Fault::Refused`]; a progress report contains no changes and becomes `None`.
fn convert(message: &WatchResponse) -> Option<Result<Change, Fault>> {
    if message.canceled {
        return Some(Err(Fault::Refused));
    }
    let (entries, deleted) = message.changes();
    if entries.is_empty() && deleted.is_empty() {
        return None;
    }
    Some(Ok(Change {
        revision: message.header.revision(),
        entries,
        deleted,
    }))
}
