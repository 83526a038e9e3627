//! A simulated fleet in simulated time: one thread, no sockets, reproducible by its seed.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]
#![allow(dead_code, reason = "each test file uses a part")]

mod fleet;
mod instance;
mod random;

pub use fleet::Fleet;
pub use instance::Instance;
pub use random::Random;

/// Milliseconds, as microseconds of the simulated clock.
pub const MS: u64 = 1000;

/// Seconds, as microseconds of the simulated clock.
pub const S: u64 = 1000 * MS;
