//! A simulated fleet that serves one customer, on one thread.

#![allow(dead_code, reason = "each test file uses a part")]

mod event;
mod fleet;
mod instance;
mod known;
mod message;
mod policy;
mod random;

pub use event::Event;
pub use fleet::{Fleet, S};
pub use policy::Policy;
