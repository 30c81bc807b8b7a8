//! A quantity with a short history.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// Shortest time between two points; the time of a report's reading is not known more exactly.
const SPACING: Duration = Duration::from_millis(100);
/// Number of points kept, enough for reports that are up to two seconds old.
const POINTS: usize = 20;

/// Work at an upstream over the last two seconds.
///
/// A report states the work outstanding at the time of its reading. The history shows which part
/// of that work the router already knew of.
#[derive(Clone, Debug, Default)]
pub struct History {
    points: VecDeque<(Time, u64)>,
    value: u64,
}

impl History {
    /// The current value.
    pub const fn get(&self) -> u64 {
        self.value
    }

    /// Sets the value from `now` on.
    pub fn set(&mut self, now: Time, value: u64) {
        self.value = value;
        match self.points.back_mut() {
            Some(last) if now.since(last.0) < SPACING => last.1 = value,
            _ => {
                if self.points.len() == POINTS {
                    self.points.pop_front();
                }
                self.points.push_back((now, value));
            }
        }
    }

    /// The value at an earlier time, or the oldest recorded value if that time is too long ago.
    pub fn at(&self, then: Time) -> u64 {
        let after = self.points.partition_point(|(time, _)| *time <= then);
        match after.checked_sub(1) {
            Some(index) => self.points.get(index).map_or(self.value, |point| point.1),
            // No point was dropped yet, so there was no work before the first one.
            None if self.points.len() < POINTS => 0,
            None => self.points.front().map_or(self.value, |point| point.1),
        }
    }
}
