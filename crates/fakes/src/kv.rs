//! Stand-in for the platform's key-value service.

mod memory;

pub use self::memory::Memory;
pub use self::memory::Write;
