//! What the benches share: labs of both deployments, percentiles, bounds.
//!
//! Each bench prints what it measured as a table and fails when a ratio within its own run is worse
//! than its bound. `docs/BENCHMARKS.md` tells how to run them and keeps the figures.

mod bounds;
mod closed_loop;
mod deployment;
mod percentiles;
mod process_cost;
mod relay;
mod slope;
mod status;
mod trivial_target;

pub use bounds::Bounds;
pub use closed_loop::{ClosedLoop, LoopResult, RunningLoop};
pub use deployment::Deployment;
pub use percentiles::Percentiles;
pub use process_cost::{processor_time, resident_memory};
pub use relay::Relay;
pub use slope::Slope;
pub use status::{counts_of, status};
pub use trivial_target::TrivialTarget;
