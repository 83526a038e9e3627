//! Prepared statements and portals.

use super::value::SqlValue;
use crate::group::sql_result::SqlResult;

/// A parsed statement.
#[derive(Clone, Debug)]
pub(crate) struct Prepared {
    pub sql: String,
    pub parameter_types: Vec<u32>,
}

/// A statement with bound values. It is run by the first Describe or Execute, and the result is kept.
#[derive(Clone, Debug)]
pub(crate) struct Portal {
    pub sql: String,
    pub values: Vec<SqlValue>,
    pub result: Option<SqlResult>,
}
