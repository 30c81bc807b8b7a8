//! Idempotency keys issued by a router process.

use std::fmt;
use std::time::Duration;

use crate::name;
use crate::time::Time;

/// First part of every issued key.
const PREFIX: &str = "router";

/// A key that only the process that issued it accepts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Issued {
    /// The host of the process.
    pub host: name::Host,
    /// The incarnation of the process.
    pub incarnation: name::Incarnation,
    /// Time of issue, in seconds since the origin of that process's clock.
    pub second: u64,
    /// Random number that makes the key unique.
    pub nonce: u64,
}

impl Issued {
    /// Parses a key; `None` if it was not issued by a router.
    pub fn parse(key: &str) -> Option<Self> {
        let rest = key.strip_prefix(PREFIX)?.strip_prefix(':')?;
        let mut parts = rest.rsplitn(4, ':');
        let nonce = u64::from_str_radix(parts.next()?, 16).ok()?;
        let second = parts.next()?.parse().ok()?;
        let incarnation = name::Incarnation(parts.next()?.parse().ok()?);
        let host = name::Host::from(parts.next()?);
        Some(Self {
            host,
            incarnation,
            second,
            nonce,
        })
    }

    /// Whether the key was issued less than `retention` before `now`. The outcome of an older key
    /// may have expired.
    pub const fn is_recent(&self, now: Time, retention: Duration) -> bool {
        let now = now.0 / 1_000_000;
        self.second <= now && now - self.second < retention.as_secs()
    }
}

impl fmt::Display for Issued {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{PREFIX}:{}:{}:{}:{:016x}",
            self.host, self.incarnation, self.second, self.nonce
        )
    }
}
