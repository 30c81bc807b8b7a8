//! The boundaries of the events of a stream.
//!
//! Events are passed on byte by byte as the upstream wrote them, so only their ends and
//! identities are looked for. An event that is cut off is never passed on.

use bytes::Bytes;
use bytes::BytesMut;
use memchr::memmem;

/// What ends an event.
const END: &[u8] = b"\n\n";
/// Longest event.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// Whole events out of the bytes of a stream.
#[derive(Debug, Default)]
pub(crate) struct Parser {
    pending: BytesMut,
    last: Option<String>,
    count: u64,
}

/// The events of a stream are longer than allowed or out of order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Malformed;

impl Parser {
    /// Starts after an event that the caller has already.
    pub(crate) fn after(last: Option<String>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// The identity of the last whole event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Whole events so far.
    pub(crate) const fn count(&self) -> u64 {
        self.count
    }

    /// Whether the bytes so far end with an event.
    pub(crate) fn is_complete(&self) -> bool {
        self.pending.is_empty()
    }

    /// Forgets an event that was cut off; another upstream sends it again.
    pub(crate) fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// Takes bytes and returns the whole events among them.
    pub(crate) fn push(&mut self, bytes: &Bytes) -> Result<Option<Bytes>, Malformed> {
        let is_whole = self.pending.is_empty() && bytes.ends_with(END);
        let whole = if is_whole {
            bytes.clone()
        } else {
            self.pending.extend_from_slice(bytes);
            let Some(end) = memmem::rfind(&self.pending, END) else {
                if self.pending.len() > EVENT_BYTES_MAX {
                    return Err(Malformed);
                }
                return Ok(None);
            };
            self.pending.split_to(end + END.len()).freeze()
        };
        self.check_ids(&whole)?;
        Ok(Some(whole))
    }

    /// Checks that the identities rise by one and keeps the last.
    fn check_ids(&mut self, events: &[u8]) -> Result<(), Malformed> {
        let mut rest = events;
        while let Some(end) = memmem::find(rest, END) {
            let event = &rest[..end];
            rest = &rest[end + END.len()..];
            self.count += 1;
            let Some(id) = identity(event) else {
                continue;
            };
            let number = id.parse::<u64>().ok();
            let before = self
                .last
                .as_deref()
                .and_then(|last| last.parse::<u64>().ok());
            if let (Some(number), Some(before)) = (number, before)
                && number != before + 1
            {
                return Err(Malformed);
            }
            self.last = Some(id.to_owned());
        }
        Ok(())
    }
}

/// The identity that an event carries.
fn identity(event: &[u8]) -> Option<&str> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok().map(str::trim)
}
