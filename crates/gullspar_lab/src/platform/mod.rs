//! A simulated platform: the object API over objects in memory.

mod server;
mod store;

pub use server::run_platform;
pub use store::{CallCounts, PlatformStore};
