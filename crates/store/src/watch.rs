//! The messages of a watch, read from one long answer.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Buf as _;
use bytes::BytesMut;
use futures_util::Stream;
use futures_util::StreamExt as _;
use futures_util::stream;
use snipeusher::kv::Fault;

use crate::Change;
use crate::gateway::ANSWER_BYTES_MAX;
use crate::gateway::Response;
use crate::message::Streamed;
use crate::message::WatchResponse;

/// Longest silence of a watch. The service reports progress every ten minutes.
const SILENCE: Duration = Duration::from_mins(11);

struct Watch {
    response: Response,
    buffer: BytesMut,
    read: VecDeque<Result<Change, Fault>>,
    ended: bool,
}

/// Streams the changes; after a fault, or at the end of the answer, the stream ends.
pub(crate) fn changes(response: Response) -> impl Stream<Item = Result<Change, Fault>> {
    let watch = Watch {
        response,
        buffer: BytesMut::new(),
        read: VecDeque::new(),
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
            if let Some(change) = self.read.pop_front() {
                self.ended |= change.is_err();
                return Some(change);
            }
            if self.ended || self.buffer.len() > ANSWER_BYTES_MAX {
                return None;
            }
            let chunk = tokio::time::timeout(SILENCE, self.response.next()).await;
            match chunk {
                Ok(Some(Ok(bytes))) => {
                    self.buffer.extend_from_slice(&bytes);
                    self.take_messages();
                }
                Ok(Some(Err(_))) | Err(_) => self.read.push_back(Err(Fault::Lost)),
                Ok(None) => self.ended = true,
            }
        }
    }

    /// Takes the complete messages out of the buffer.
    fn take_messages(&mut self) {
        let mut messages = serde_json::Deserializer::from_slice(&self.buffer)
            .into_iter::<Streamed<WatchResponse>>();
        let mut taken = 0;
        while let Some(message) = messages.next() {
            match message {
                Ok(message) => {
                    taken = messages.byte_offset();
                    self.read.extend(change(&message.result));
                }
                Err(error) if error.is_eof() => break,
                Err(_) => {
                    self.read.push_back(Err(Fault::Refused));
                    break;
                }
            }
        }
        self.buffer.advance(taken);
    }
}

/// What a message says; a cancelled watch, for example for a revision that was compacted, ends
/// with [`Fault::Refused`]. Progress reports change nothing and give nothing.
fn change(message: &WatchResponse) -> Option<Result<Change, Fault>> {
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
