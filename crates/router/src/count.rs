//! Counters of the status page.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde_json::Value;
use serde_json::json;

macro_rules! counts {
    ($($(#[$doc:meta])* $name:ident)*) => {
        /// Counters since the start of the process.
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
    /// Requests with a valid bearer key.
    requests
    /// Requests with a complete response.
    completed
    /// Requests answered with a problem document or an error event.
    failed
    /// Requests whose caller disconnected before the end.
    abandoned
    /// Attempts sent to upstreams.
    attempts
    /// Responses or events with the id of an attempt that has ended.
    late
    /// Responses or events with the id of another attempt.
    crossed
    /// Events received more than once.
    duplicated
    /// Responses interrupted before their end.
    cut
    /// Streams resumed at the same engine.
    resumed
    /// Streams continued at another engine.
    continued
}

/// A counter that threads share.
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
