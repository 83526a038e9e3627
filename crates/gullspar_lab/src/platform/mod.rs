//! A stand-in for the platform's object API, in memory.

mod server;
mod store;

pub use server::run_platform;
pub use store::{CallCounts, PlatformStore};
