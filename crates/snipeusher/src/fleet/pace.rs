//! How long work takes at an upstream, compared with the usual time.

use std::time::Duration;

use crate::time::Time;

/// Percentage that stands for the usual time.
const USUAL: f64 = 100.0;
/// Age at which the last stated pace counts as much as the average, in seconds. Contention by other
/// processes of a host lasts for parts of a second.
const RECENT_WEIGHT_S: f64 = 0.4;
/// Time over which the average is taken, in which several short contentions even out.
const AVERAGE_WINDOW: Duration = Duration::from_secs(10);

/// What an upstream states about its pace: at the moment, and lastingly.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Multiple of the usual time in the last report.
    last: f64,
    lasting: f64,
    stated_at: Time,
    /// Whether the last report stated it.
    is_stated: bool,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            last: 1.0,
            lasting: 1.0,
            stated_at: Time::default(),
            is_stated: false,
        }
    }
}

impl Pace {
    /// Records what an upstream stated at a time, in percent; `None` if it stated nothing.
    pub(super) fn record(&mut self, at: Time, percent: Option<u32>) {
        if at < self.stated_at {
            return;
        }
        let stated = percent.map_or(1.0, |percent| f64::from(percent) / USUAL);
        let elapsed = at.since(self.stated_at);
        let weight = elapsed.as_secs_f64() / (elapsed + AVERAGE_WINDOW).as_secs_f64();
        self.lasting += (stated - self.lasting) * weight;
        self.last = stated;
        self.stated_at = at;
        self.is_stated = percent.is_some();
    }

    /// Whether the upstream states its pace.
    pub const fn is_stated(&self) -> bool {
        self.is_stated
    }

    /// Expected multiple of the usual time.
    pub fn slowness(&self, now: Time) -> f64 {
        if self.last.to_bits() == self.lasting.to_bits() {
            return self.last;
        }
        let age_s = now.since(self.stated_at).as_secs_f64();
        let weight = RECENT_WEIGHT_S / (RECENT_WEIGHT_S + age_s);
        self.lasting + (self.last - self.lasting) * weight
    }
}
