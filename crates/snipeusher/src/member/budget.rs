//! Byte budget for outgoing frames, enforced over a sliding window of one second.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

const WINDOW: Duration = Duration::from_secs(1);

/// Purpose of a frame. Each purpose has its own limit, so that none starves the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Rumors, which must spread within a time limit.
    Urgent,
    /// Digests of gossip rounds, and replies.
    Regular,
    /// Configuration exchanges.
    Message,
}

/// Sliding-window limiter of the bytes sent.
#[derive(Debug)]
pub(super) struct Budget {
    limit: u32,
    sent: VecDeque<(Time, Purpose, u32)>,
}

impl Budget {
    pub(super) const fn new(limit: u32) -> Self {
        Self {
            limit,
            sent: VecDeque::new(),
        }
    }

    /// Records `bytes` as sent if they fit, and returns whether they do. While configuration
    /// messages are queued (`messages_queued`), rounds give up part of their share to them.
    pub(super) fn spend(
        &mut self,
        now: Time,
        purpose: Purpose,
        bytes: u32,
        messages_queued: bool,
    ) -> bool {
        self.expire(now);
        if !self.fits(0, purpose, bytes, messages_queued) {
            return false;
        }
        self.sent.push_back((now, purpose, bytes));
        true
    }

    /// Returns when `bytes` will fit, provided that nothing else is sent before.
    pub(super) fn frees_at(&self, now: Time, purpose: Purpose, bytes: u32) -> Time {
        let mut times = self.sent.iter().map(|(sent, _, _)| *sent + WINDOW);
        let expired =
            (0..=self.sent.len()).find(|expired| self.fits(*expired, purpose, bytes, true));
        match expired {
            None => Time::NEVER,
            Some(0) => now,
            Some(expired) => times.nth(expired - 1).unwrap_or(now).max(now),
        }
    }

    fn expire(&mut self, now: Time) {
        while let Some((sent, _, _)) = self.sent.front() {
            if *sent + WINDOW > now {
                break;
            }
            self.sent.pop_front();
        }
    }

    /// Whether `bytes` fit once the oldest `expired` frames have left the window.
    fn fits(&self, expired: usize, purpose: Purpose, bytes: u32, messages_queued: bool) -> bool {
        let spent = |selected: Option<Purpose>| -> u64 {
            self.sent
                .iter()
                .skip(expired)
                .filter(|(_, purpose, _)| selected.is_none_or(|selected| selected == *purpose))
                .map(|(_, _, bytes)| u64::from(*bytes))
                .sum()
        };
        let limit = u64::from(self.limit);
        let bytes = u64::from(bytes);
        // A quarter is reserved for urgent frames, which may become due at any time.
        let urgent_reserve = (limit / 4).saturating_sub(spent(Some(Purpose::Urgent)));
        let (purpose_limit, total_limit) = match purpose {
            Purpose::Urgent => (limit * 3 / 4, limit),
            Purpose::Regular if messages_queued => (limit * 3 / 8, limit - urgent_reserve),
            Purpose::Regular => (limit * 3 / 4, limit - urgent_reserve),
            Purpose::Message => (limit * 3 / 8, limit - urgent_reserve),
        };
        spent(Some(purpose)) + bytes <= purpose_limit && spent(None) + bytes <= total_limit
    }
}
