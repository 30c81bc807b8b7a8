//! Expected load of an upstream at this moment, from an outdated report.
//!
//! Of the requests that a report counts, some have ended since, and other routers have sent new
//! ones to upstreams that this router cannot know. See `docs/design/even-load.md`.

use super::Upstream;
use crate::time::Time;

/// Disadvantage of an upstream in another availability zone, in requests. Whole requests decide
/// before it.
const REMOTE_PENALTY: f64 = 0.5;
/// Slowness that an upstream may state, as a multiple of the usual time.
const SLOWNESS_MAX: f64 = 10.0;

/// Expected load of an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Expected {
    /// Requests of this router.
    pub(super) own: f64,
    /// Reported requests of others that have probably not ended, and the disadvantage of another
    /// availability zone.
    pub(super) kept: f64,
    /// Reported requests of others that have probably ended. As many new ones are somewhere in the
    /// service.
    pub(super) replaced: f64,
    /// Work per time, as a share of the usual.
    pub(super) speed: f64,
}

impl Expected {
    /// The expected load, if requests stay `residence_s` seconds on average.
    pub(super) fn new(now: Time, upstream: &Upstream, residence_s: f64) -> Self {
        let penalty = if upstream.local { 0.0 } else { REMOTE_PENALTY };
        let (age, others) = upstream.load.others(now).unwrap_or_default();
        let others = f64::from(others);
        let kept = if others > 0.0 {
            others * remaining(age.as_secs_f64() / residence_s)
        } else {
            0.0
        };
        let slowness = upstream.pace.slowness(now);
        Self {
            own: f64::from(upstream.load.in_flight()),
            kept: kept + penalty,
            replaced: others - kept,
            speed: 1.0 / slowness.clamp(1.0 / SLOWNESS_MAX, SLOWNESS_MAX),
        }
    }
}

/// Share of requests that have not ended after a multiple of the mean time that they stay. Close to
/// the exponential function, and several times faster.
fn remaining(multiple: f64) -> f64 {
    1.0 / (1.0 + multiple * (1.0 + multiple * (0.5 + multiple / 6.0)))
}
