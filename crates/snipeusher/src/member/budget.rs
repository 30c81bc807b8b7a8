//! The byte budget, enforced for every window of one second.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// Length of the window.
const WINDOW: Duration = Duration::from_secs(1);

/// What bytes are spent for. Each purpose has a ceiling, so that none starves the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// News that must arrive within its bound.
    Urgent,
    /// Digests of the regular rounds.
    Regular,
    /// Exchanges of configuration.
    Message,
}

/// Bytes spent in the last second.
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

    /// Spends `bytes` if they fit. `messages` says whether exchanges wait, which then get a
    /// part of what rounds use otherwise.
    pub(super) fn spend(
        &mut self,
        now: Time,
        purpose: Purpose,
        bytes: u32,
        messages: bool,
    ) -> bool {
        self.expire(now);
        if !self.fits(0, purpose, bytes, messages) {
            return false;
        }
        self.sent.push_back((now, purpose, bytes));
        true
    }

    /// When `bytes` will fit, if nothing else is spent before.
    pub(super) fn frees_at(&self, now: Time, purpose: Purpose, bytes: u32) -> Time {
        let mut times = self.sent.iter().map(|(sent, _, _)| *sent + WINDOW);
        let skip = (0..=self.sent.len()).find(|skip| self.fits(*skip, purpose, bytes, true));
        match skip {
            None => Time::NEVER,
            Some(0) => now,
            Some(skip) => times.nth(skip - 1).unwrap_or(now).max(now),
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

    fn fits(&self, skip: usize, purpose: Purpose, bytes: u32, messages: bool) -> bool {
        let spent = |wanted: Option<Purpose>| -> u64 {
            self.sent
                .iter()
                .skip(skip)
                .filter(|(_, purpose, _)| wanted.is_none_or(|wanted| wanted == *purpose))
                .map(|(_, _, bytes)| u64::from(*bytes))
                .sum()
        };
        let limit = u64::from(self.limit);
        let bytes = u64::from(bytes);
        // A quarter is kept for urgent news that arises at any moment.
        let reserve = (limit / 4).saturating_sub(spent(Some(Purpose::Urgent)));
        let (own, total) = match purpose {
            Purpose::Urgent => (limit * 3 / 4, limit),
            Purpose::Regular if messages => (limit * 3 / 8, limit - reserve),
            Purpose::Regular => (limit * 3 / 4, limit - reserve),
            Purpose::Message => (limit * 3 / 8, limit - reserve),
        };
        spent(Some(purpose)) + bytes <= own && spent(None) + bytes <= total
    }
}
