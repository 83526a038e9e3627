//! The result of a statement.

use crate::group::session::value::SqlValue;

/// The rows that a statement returned and its command tag.
#[derive(Clone, Debug, Default)]
pub(crate) struct SqlResult {
    pub columns: Vec<SqlColumn>,
    pub rows: Vec<Vec<SqlValue>>,
    /// The command tag, for example `INSERT 0 1`.
    pub tag: String,
}

/// A column's name and PostgreSQL type.
#[derive(Clone, Debug)]
pub(crate) struct SqlColumn {
    pub name: String,
    pub type_id: u32,
}
