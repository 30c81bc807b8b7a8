//! Splits a stream into complete events.
//!
//! Events are passed on unchanged, so only their ends and identifiers are parsed. An incomplete
//! event is never passed on.

use bytes::Bytes;
use bytes::BytesMut;
use memchr::memmem;

/// Separator of events.
const END: &[u8] = b"\n\n";
/// Start of a line with data.
const DATA: &[u8] = b"data:";
/// The same after another line.
const DATA_LINE: &[u8] = b"\ndata:";
/// Largest event, and largest sequence of events without an identifier.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// Collects the bytes of a stream and returns complete events.
#[derive(Debug, Default)]
pub(crate) struct Parser {
    pending: BytesMut,
    last_id: Option<String>,
    count: u64,
    /// Bytes since the last event with an identifier.
    unidentified: usize,
}

/// An event is too large, too many events have no identifier, an event without one follows one that
/// has it, or the identifiers are not consecutive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Malformed;

impl Parser {
    /// Starts after the last event that the caller received.
    pub(crate) fn after(last_id: Option<String>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Identifier of the last complete event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Number of complete events so far.
    pub(crate) const fn count(&self) -> u64 {
        self.count
    }

    /// Whether the bytes so far end with an event.
    pub(crate) fn is_complete(&self) -> bool {
        self.pending.is_empty()
    }

    /// Bytes of the event that is not complete yet.
    pub(crate) fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Drops an incomplete event; the upstream that resumes the stream sends it again.
    pub(crate) fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// Adds bytes and returns the events that are complete with them.
    pub(crate) fn push(&mut self, bytes: &Bytes) -> Result<Option<Bytes>, Malformed> {
        let is_complete = self.pending.is_empty() && bytes.ends_with(END);
        let events = if is_complete {
            bytes.clone()
        } else {
            // What is pending holds no end, but may end with the first half of one.
            let searched = self.pending.len().saturating_sub(END.len() - 1);
            self.pending.extend_from_slice(bytes);
            let found = memmem::rfind(&self.pending[searched..], END);
            let Some(end) = found.map(|end| searched + end) else {
                if self.pending.len() > EVENT_BYTES_MAX {
                    return Err(Malformed);
                }
                return Ok(None);
            };
            self.pending.split_to(end + END.len()).freeze()
        };
        self.check_ids(&events)?;
        Ok(Some(events))
    }

    /// Checks that identifiers increase by one and stores the last. If they do not, none of the events
    /// counts, since none is passed on.
    fn check_ids(&mut self, events: &[u8]) -> Result<(), Malformed> {
        let mut last_id: Option<&str> = None;
        let (mut count, mut unidentified) = (self.count, self.unidentified);
        let mut rest = events;
        while let Some(end) = memmem::find(rest, END) {
            let event = &rest[..end];
            rest = &rest[end + END.len()..];
            count += 1;
            let before = last_id.or(self.last_id.as_deref());
            let Some(id) = event_id(event) else {
                unidentified += event.len();
                if unidentified > EVENT_BYTES_MAX || before.is_some() && !is_comment(event) {
                    return Err(Malformed);
                }
                continue;
            };
            unidentified = 0;
            if before.is_some_and(|before| !follows(id, before)) {
                return Err(Malformed);
            }
            last_id = Some(id);
        }
        (self.count, self.unidentified) = (count, unidentified);
        self.last_id = last_id.map(str::to_owned).or(self.last_id.take());
        Ok(())
    }
}

/// Whether an identifier may come after another one. Those that are no numbers have no order.
fn follows(id: &str, before: &str) -> bool {
    match (id.parse::<u64>(), before.parse::<u64>()) {
        (Ok(id), Ok(before)) => before.checked_add(1) == Some(id),
        _ => true,
    }
}

/// Whether a block has only comments and times for reconnecting, which are no event to callers.
fn is_comment(block: &[u8]) -> bool {
    let mut lines = block.split(|byte| *byte == b'\n');
    lines.all(|line| line.is_empty() || line.starts_with(b":") || line.starts_with(b"retry:"))
}

/// Whether complete events hold data. Blocks without it, such as comments, are no events to callers.
pub(crate) fn has_data(events: &[u8]) -> bool {
    events.starts_with(DATA) || memmem::find(events, DATA_LINE).is_some()
}

fn event_id(event: &[u8]) -> Option<&str> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok().map(str::trim)
}
