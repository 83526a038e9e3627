//! What operators see of a process: log lines that never hold it up, and metrics.

mod bounded_append;
mod line_budget;
mod line_writer;
mod metrics_registry;

pub use bounded_append::BoundedAppend;
pub use line_budget::LineBudget;
pub use line_writer::LineWriter;
pub use metrics_registry::{MetricsError, MetricsRegistry};
