//! Shared code of the benches: labs of both deployments, load, percentiles and bounds.
//!
//! Each bench prints its results as a table and fails if a result violates its bound. `docs/BENCHMARKS.md` describes how
//! to run the benches and lists their results.

mod bounds;
mod closed_loop;
mod deployment;
mod linear_fit;
mod percentiles;
mod process_cost;
mod relay;
mod status;
mod trivial_target;

pub use bounds::Bounds;
pub use closed_loop::{ClosedLoop, LoopResult, RunningLoop};
pub use deployment::Deployment;
pub use linear_fit::LinearFit;
pub use percentiles::Percentiles;
pub use process_cost::{processor_time, resident_memory};
pub use relay::Relay;
pub use status::{class_counts, status};
pub use trivial_target::TrivialTarget;
