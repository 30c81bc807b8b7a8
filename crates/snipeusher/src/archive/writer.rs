//! Writes the origins of streams to the store.

use std::time::Duration;

use super::FORMAT;
use super::STREAMS_PREFIX;
use super::Streams;
use crate::kv::Call;
use crate::kv::Fault;
use crate::kv::Lease;
use crate::kv::Op;
use crate::kv::Reply;
use crate::kv::Txn;
use crate::stream::Id;
use crate::stream::Origin;
use crate::stream::Retention;
use crate::stream::group;
use crate::time::Time;

/// Time for which streams are collected under one key. Each write repeats those of its key, so a
/// longer time costs more bytes, a shorter one more keys and leases.
const SEGMENT_TIME: Duration = Duration::from_secs(3);
/// Streams in one key at most, so that a write stays small in a surge.
const SEGMENT_STREAMS_MAX: usize = 1_024;
/// Streams that wait to be written at most. The oldest ones are given up first, since their callers
/// are the next to end.
const WAITING_MAX: usize = 4_096;
/// Longest time after which the store drops a key.
const LEASE_TTL_MAX: Duration = Duration::from_mins(10);

/// Streams under one key.
#[derive(Debug, Default)]
struct Segment {
    index: u64,
    /// When its first stream was added.
    opened_at: Option<Time>,
    lease: Option<Lease>,
    streams: Vec<(Id, Origin)>,
    /// Streams in the last call.
    sent: usize,
}

/// The records of the streams of one process. The embedding process sends the calls one after
/// another.
///
/// After a failed call the streams go to a new key, since a write whose answer was lost may take
/// effect later.
#[derive(Debug)]
pub struct Writer {
    /// Prefix of the keys of this process.
    prefix: String,
    segment: Segment,
    /// Streams that are in no segment yet, oldest first.
    waiting: Vec<(Id, Origin)>,
    /// Time after which the store may drop them.
    retention: Retention,
}

impl Writer {
    /// Starts without streams. `process` differs between all processes, so that one that starts
    /// again does not replace the records of the one before.
    pub fn new(process: u64) -> Self {
        Self {
            prefix: format!("{STREAMS_PREFIX}{process:016x}/"),
            segment: Segment::default(),
            waiting: Vec::new(),
            retention: Retention::default(),
        }
    }

    /// Extends the time for which the store keeps streams to their time limit, at most to ten
    /// minutes. Streams that are added from then on go to a new key.
    pub fn extend_retention(&mut self, limit: Duration) {
        if self.retention.extend_to(limit.min(LEASE_TTL_MAX)) {
            self.open_segment();
        }
    }

    /// Adds streams that are to be recorded.
    pub fn add(&mut self, streams: impl IntoIterator<Item = (Id, Origin)>) {
        self.waiting.extend(streams);
        let excess = self.waiting.len().saturating_sub(WAITING_MAX);
        self.waiting.drain(..excess);
    }

    /// Number of streams that are not recorded yet.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The next call, if there is anything to record. [`Self::handle`] takes its result.
    pub fn next(&mut self, now: Time) -> Option<Call> {
        if self.waiting.is_empty() {
            return None;
        }
        if self.segment.is_full(now) {
            self.open_segment();
        }
        let Some(lease) = self.segment.lease else {
            let ttl_s = self.retention.get().as_secs();
            return Some(Call::Grant { ttl_s });
        };
        Some(self.segment.put(now, &self.prefix, lease, &self.waiting))
    }

    /// Takes the result of a call.
    pub fn handle(&mut self, result: &Result<Reply, Fault>) {
        match result {
            Ok(Reply::Grant { lease, .. }) => self.segment.lease = Some(*lease),
            Ok(Reply::Txn {
                succeeded: true, ..
            }) => {
                let written = self.segment.sent.min(self.waiting.len());
                let written = self.waiting.drain(..written);
                self.segment.streams.extend(written);
            }
            _ => self.open_segment(),
        }
    }

    fn open_segment(&mut self) {
        self.segment = Segment {
            index: self.segment.index + 1,
            ..Segment::default()
        };
    }
}

impl Segment {
    fn is_full(&self, now: Time) -> bool {
        let is_old = self
            .opened_at
            .is_some_and(|opened_at| now.since(opened_at) >= SEGMENT_TIME);
        is_old || self.streams.len() >= SEGMENT_STREAMS_MAX
    }

    /// Writes the streams of this segment and as many of the waiting ones as it has room for.
    fn put(&mut self, now: Time, prefix: &str, lease: Lease, waiting: &[(Id, Origin)]) -> Call {
        self.opened_at.get_or_insert(now);
        self.sent = waiting.len().min(SEGMENT_STREAMS_MAX - self.streams.len());
        let new = &waiting[..self.sent];
        let streams = Streams {
            format: FORMAT,
            groups: group(self.streams.iter().chain(new).cloned()),
        };
        let value = rmp_serde::to_vec(&streams).expect("numbers and texts can be encoded");
        let put = Op::Put {
            key: format!("{prefix}{}", self.index),
            value,
            lease: Some(lease),
        };
        Call::Txn(Txn {
            success: vec![put],
            ..Txn::default()
        })
    }
}
