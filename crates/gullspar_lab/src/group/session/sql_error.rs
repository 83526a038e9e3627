//! Errors of a simulated member's SQL.

/// An SQLSTATE and a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SqlError {
    pub code: &'static str,
    pub message: String,
}

impl SqlError {
    pub(crate) fn new(code: &'static str, message: impl Into<String>) -> SqlError {
        SqlError { code, message: message.into() }
    }
}

impl From<rusqlite::Error> for SqlError {
    fn from(err: rusqlite::Error) -> SqlError {
        let message = err.to_string();
        let code = match err.sqlite_error_code() {
            Some(rusqlite::ErrorCode::ConstraintViolation) if message.contains("UNIQUE") => "23505",
            Some(rusqlite::ErrorCode::ConstraintViolation) => "23000",
            _ if message.contains("no such table") => "42P01",
            _ if message.contains("no such column") => "42703",
            _ if message.contains("syntax error") => "42601",
            _ => "XX000",
        };
        SqlError { code, message }
    }
}
