//! Counts that the status page shows.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde_json::Value;
use serde_json::json;

macro_rules! counts {
    ($($(#[$doc:meta])* $name:ident)*) => {
        /// Counts since the start of the process.
        #[derive(Debug, Default)]
        pub(crate) struct Counts {
            $($(#[$doc])* pub(crate) $name: Count,)*
        }

        impl Counts {
            pub(crate) fn report(&self) -> Value {
                json!({ $(stringify!($name): self.$name.read(),)* })
            }
        }
    };
}

counts! {
    /// Requests with a known key.
    requests
    /// Requests answered whole.
    completed
    /// Requests answered with a problem document or an error event.
    failed
    /// Requests whose caller left before the end.
    abandoned
    /// Attempts sent to upstreams.
    attempts
    /// Answers or events with the id of an attempt that has ended.
    late
    /// Answers or events with the id of another attempt.
    crossed
    /// Events that came twice.
    duplicated
    /// Answers that broke off.
    cut
    /// Streams that went on at the same engine.
    resumed
    /// Streams that went on at another engine.
    continued
}

/// A count.
#[derive(Debug, Default)]
pub(crate) struct Count(AtomicU64);

impl Count {
    pub(crate) fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn read(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
