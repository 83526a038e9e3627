//! Failures that gullspar itself reports to callers.

use gullspar_model::NotRun;
use gullspar_statement::{Failure, FailureCode};

/// The failure for a statement that certainly did not run, with the delay before a retry.
pub(crate) fn not_run(reason: NotRun) -> Failure {
    let text = format!("{}; not run, retry after {} ms", reason.text(), reason.retry_after_ms());
    Failure::new(FailureCode::Congested, text)
}

/// The failure for a transaction that was rolled back because its connection was lost or closed.
pub(crate) fn rolled_back(why: &str) -> Failure {
    Failure::new(FailureCode::RolledBack, format!("{why}; rolled back, retry after 50 ms"))
}

/// The failure for a statement whose outcome is unknown, such as a write whose connection broke after it was sent.
pub(crate) fn unknown(why: &str) -> Failure {
    Failure::new(FailureCode::Unknown, format!("{why}; it may have taken effect"))
}

/// The failure for a statement that was sent but not answered before its deadline.
pub(crate) fn timed_out() -> Failure {
    Failure::new(
        FailureCode::TimedOut,
        "the target did not answer in time; the statement may have run",
    )
}

/// The failure for a caller whose key belongs to no customer.
pub(crate) fn unknown_key() -> Failure {
    Failure::new(FailureCode::Unauthenticated, "the key is unknown; not run")
}

/// The failure for a statement in a transaction that has failed already.
pub(crate) fn transaction_failed() -> Failure {
    Failure::new(FailureCode::Malformed, "the transaction has failed and must be rolled back")
}
