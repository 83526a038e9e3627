//! Errors for requests that were not done; listed in `docs/callers.md`.

use gullspar_model::{NotRun, Unknown};
use gullspar_wire::ErrorReport;

use crate::request::Request;
use crate::statement::StatementKind;

/// The error for a request that certainly did not run.
pub(crate) fn not_run_report(reason: NotRun) -> ErrorReport {
    let hint = format!("not run; retry after {} ms", reason.retry_after_ms());
    ErrorReport::error(reason.sql_state(), format!("not run: {}", reason.text())).with_hint(hint)
}

/// The error for a request that may have run; `late` if its deadline has passed.
pub(crate) fn unknown_report(reason: Unknown, late: bool) -> ErrorReport {
    let text = if late { "deadline passed, outcome unknown" } else { "outcome unknown" };
    ErrorReport::error(Unknown::SQL_STATE, format!("{text}: {}", reason.text()))
        .with_hint("unknown; repeat it only with the same request key, or if it is idempotent")
}

/// The error for a request that holds an unsupported statement.
pub(crate) fn refusal(req: &Request) -> Option<ErrorReport> {
    req.statements.iter().chain(&req.described).find_map(|it| match it.kind {
        StatementKind::Refused(why) => Some(ErrorReport::error("0A000", why).with_hint("not run")),
        _ => None,
    })
}
