//! Typed names of hosts, zones, services and other entities.
//!
//! Each is a shared immutable string, so that a copy costs one reference count.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

names! {
    /// A host that runs a router.
    Host
    /// An availability zone.
    Zone
    /// A region, which holds one or more availability zones.
    Region
    /// A tenant, known by its bearer key.
    Workspace
    /// A model engine or an instance of a plain service.
    Upstream
    /// A model that engines serve.
    Model
    /// A fine-tuned adapter of a model.
    Adapter
    /// A version of a model or adapter.
    Version
    /// The version of the software that an upstream runs, as opposed to that of its model. What
    /// two versions write into one stream does not fit together.
    Build
    /// A class of requests within a workspace, such as interactive or review.
    Class
    /// A configuration template written by operators.
    Template
    /// A plain service, which several upstreams may serve.
    Service
}

/// Distinguishes a process from an earlier one with the same name.
///
/// It is the start time in milliseconds since the Unix epoch, raised if a higher one is
/// already known.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
