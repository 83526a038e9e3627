//! What a statement brought.

use crate::group::session::value::SqlValue;

/// Columns and rows of a statement, or what it changed.
#[derive(Clone, Debug, Default)]
pub(crate) struct SqlResult {
    pub columns: Vec<SqlColumn>,
    pub rows: Vec<Vec<SqlValue>>,
    /// The command tag, as `INSERT 0 1`.
    pub tag: String,
}

/// A column's name and PostgreSQL type.
#[derive(Clone, Debug)]
pub(crate) struct SqlColumn {
    pub name: String,
    pub type_id: u32,
}
