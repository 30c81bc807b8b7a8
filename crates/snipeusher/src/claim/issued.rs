//! Keys that a router process issues.

use std::fmt;
use std::time::Duration;

use crate::name;
use crate::time::Time;

/// Start of every issued key.
const PREFIX: &str = "router";

/// A key that only the process that issued it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Issued {
    /// The host of the process.
    pub host: name::Host,
    /// The run of the process.
    pub incarnation: name::Incarnation,
    /// When it was issued, in seconds since the origin of that process's time.
    pub second: u64,
    /// Makes it unique.
    pub nonce: u64,
}

impl Issued {
    /// Reads a key; `None` if it is a caller's own.
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

    /// Whether it was issued within `kept` before `now`; a later one may have been forgotten.
    pub const fn is_recent(&self, now: Time, kept: Duration) -> bool {
        let now = now.0 / 1_000_000;
        self.second <= now && now - self.second < kept.as_secs()
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
