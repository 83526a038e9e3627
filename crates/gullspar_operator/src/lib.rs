//! The interface for operators: turns intents into plans and confirmed plans into configuration, and reports status
//! and metrics.

mod burn;
mod change;
mod confirm;
mod http;
mod intent;
mod metrics;
mod operator;
mod plan;
mod status;

pub use change::Change;
pub use confirm::{ConfirmError, Confirmed};
pub use gullspar_telemetry::MetricsError;
pub use http::router;
pub use intent::Intent;
pub use operator::{Operator, OwnReports};
pub use plan::{Plan, PlanError};
pub use status::{InstanceStatus, ServiceStatus, Status};
