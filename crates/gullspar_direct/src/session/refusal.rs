//! What callers are told when gullspar itself ends a statement.

use gullspar_model::NotRun;
use gullspar_statement::{Failure, FailureCode};

/// The failure for a statement that certainly did not run, with when to come back.
pub(crate) fn not_run(reason: NotRun) -> Failure {
    let text = format!("{}; not run, retry after {} ms", reason.text(), reason.retry_after_ms());
    Failure::new(FailureCode::Congested, text)
}

/// The failure for a transaction that is rolled back because its connection is gone or given up.
pub(crate) fn rolled_back(why: &str) -> Failure {
    Failure::new(FailureCode::RolledBack, format!("{why}; rolled back, retry after 50 ms"))
}

/// The failure for a write whose connection broke after it was sent.
pub(crate) fn unknown(why: &str) -> Failure {
    Failure::new(FailureCode::Unknown, format!("{why}; it may have taken effect"))
}

/// The failure for a statement that ran out of time after it was sent.
pub(crate) fn timed_out() -> Failure {
    Failure::new(FailureCode::TimedOut, "no answer of the target in time; it may have run")
}

/// The failure for a caller whose key no customer holds.
pub(crate) fn unknown_key() -> Failure {
    Failure::new(FailureCode::Unauthenticated, "the key is unknown; not run")
}
