//! Statements, answers, and the traits for connections to callers and targets, independent of any protocol.
//!
//! Each protocol decodes its messages into these types; routing, queueing and retries use only these.

mod answer;
mod caller_link;
mod definition;
mod failure;
mod statement;
mod target_command;
mod target_link;
mod target_spec;
mod transaction_status;

pub use answer::Answer;
pub use caller_link::{CallerLink, CallerLinkError, CallerMessage};
pub use definition::Definition;
pub use failure::{Failure, FailureCode};
pub use statement::{Action, Statement};
pub use target_command::TargetCommand;
pub use target_link::{OpenError, OpenedTarget, TargetDialer, TargetLink, TargetLinkError};
pub use target_spec::TargetSpec;
pub use transaction_status::TransactionStatus;
