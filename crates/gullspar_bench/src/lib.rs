//! What the benches share: labs of both deployments, percentiles, bounds.
//!
//! Each bench prints what it measured as a table and fails when a ratio within its own run is worse
//! than its bound. `docs/BENCHMARKS.md` tells how to run them and keeps the figures.

mod bounds;
mod deployment;
mod percentiles;
mod process_cost;

pub use bounds::Bounds;
pub use deployment::Deployment;
pub use percentiles::Percentiles;
pub use process_cost::{ThreadCost, thread_cost};
