//! Load of an engine and its lagged report.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// A reading of the load.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reading {
    pub(crate) work: u64,
    pub(crate) running: u32,
}

/// Past readings, from which the lagged report is taken.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    past: VecDeque<(Instant, Reading)>,
    sequence: u64,
}

impl Reports {
    /// Notes a change.
    pub(crate) fn note(&mut self, reading: Reading, lag: Duration) {
        let now = Instant::now();
        self.past.push_back((now, reading));
        while let Some((next, _)) = self.past.get(1)
            && now.duration_since(*next) >= lag
        {
            self.past.pop_front();
        }
    }

    /// The last reading that is at least `lag` old, with its number.
    pub(crate) fn read(&mut self, lag: Duration) -> (u64, Reading) {
        self.sequence += 1;
        let now = Instant::now();
        let reading = self
            .past
            .iter()
            .rev()
            .find(|(at, _)| now.duration_since(*at) >= lag)
            .map(|(_, reading)| *reading)
            .unwrap_or_default();
        (self.sequence, reading)
    }
}
