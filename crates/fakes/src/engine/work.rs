//! Load of an engine, and the delayed report of it.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Load at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reading {
    pub(crate) work: u64,
    pub(crate) running: u32,
}

/// Recent load readings, kept to report the load with a delay.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    readings: VecDeque<(Instant, Reading)>,
    sequence: u64,
}

impl Reports {
    /// Adds a reading, and removes those that are too old to be reported again.
    pub(crate) fn record(&mut self, reading: Reading, lag: Duration) {
        let now = Instant::now();
        self.readings.push_back((now, reading));
        while let Some((next, _)) = self.readings.get(1)
            && now.duration_since(*next) >= lag
        {
            self.readings.pop_front();
        }
    }

    /// Returns the next sequence number and the latest reading that is at least `lag` old.
    pub(crate) fn read(&mut self, lag: Duration) -> (u64, Reading) {
        self.sequence += 1;
        let now = Instant::now();
        let reading = self
            .readings
            .iter()
            .rev()
            .find(|(at, _)| now.duration_since(*at) >= lag)
            .map(|(_, reading)| *reading)
            .unwrap_or_default();
        (self.sequence, reading)
    }
}
