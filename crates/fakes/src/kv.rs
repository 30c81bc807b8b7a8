//! Fake of the platform's key-value service.
//!
//! [`Memory`] implements the semantics of etcd v3. [`Server`] serves it with the API of etcd's JSON
//! gateway and can inject faults.

mod json;
mod memory;
mod server;

pub use self::memory::Memory;
pub use self::memory::Write;
pub use self::server::Counts;
pub use self::server::Faults;
pub use self::server::Server;
