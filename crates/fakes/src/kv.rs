//! Stand-in for the platform's key-value service.
//!
//! [`Memory`] has the semantics of etcd v3, [`Server`] serves them by the JSON gateway with
//! switches for faults.

mod json;
mod memory;
mod server;

pub use self::memory::Memory;
pub use self::memory::Write;
pub use self::server::Counts;
pub use self::server::Faults;
pub use self::server::Server;
