//! One record of a member's log.

use std::time::Instant;

use gullspar_model::Term;

/// A committed transaction, or the marker of the start of a term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LogRecord {
    pub term: Term,
    /// The statements with their values inlined; empty for a marker.
    pub sql: String,
    /// When the primary committed it. A replica applies it no earlier than its lag after that time.
    pub committed_at: Instant,
}
