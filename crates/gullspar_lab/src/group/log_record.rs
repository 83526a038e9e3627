//! One record of a member's log.

use std::time::Instant;

use gullspar_model::Term;

/// A committed transaction, or the mark that a term began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LogRecord {
    pub term: Term,
    /// The statements with their values written in; empty for the mark.
    pub sql: String,
    /// When the primary committed it; replicas see it their lag later.
    pub committed_at: Instant,
}
