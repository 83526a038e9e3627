//! Logging and metrics of a process. Writing log lines never blocks it.

mod bounded_append;
mod line_budget;
mod line_writer;
mod metrics_registry;

pub use bounded_append::BoundedAppend;
pub use line_budget::LineBudget;
pub use line_writer::LineWriter;
pub use metrics_registry::{MetricsError, MetricsRegistry};
