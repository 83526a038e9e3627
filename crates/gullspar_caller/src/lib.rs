//! Serves callers: sessions, statement classification and routing to targets.

mod caller_server;
mod caller_sink;
mod cancel_registry;
mod classifier;
mod lane_pool;
mod local_answer;
mod local_command;
mod minute_ring;
mod outcome_report;
mod plan;
mod request;
mod request_reader;
mod retry_budget;
mod router;
mod scram_exchange;
mod session;
mod session_failures;
mod session_settings;
mod session_state;
mod startup;
mod statement;
mod statement_visitor;
mod stats;
mod target_scores;

pub use caller_server::{CallerServer, CallerSettings};
pub use cancel_registry::CancelRegistry;
pub use classifier::Classifier;
pub use lane_pool::LanePool;
pub use retry_budget::RetryBudget;
pub use router::Router;
pub use statement::{Statement, StatementKind};
pub use stats::{CallerStats, RequestKind};
pub use target_scores::TargetScores;
