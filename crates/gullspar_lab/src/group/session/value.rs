//! Converts values between the PostgreSQL protocol and SQLite.

use rusqlite::types::{ToSqlOutput, Value, ValueRef};

/// The value of a column or parameter.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum SqlValue {
    Null,
    Integer(i64),
    Real(f64),
    Text(String),
}

/// The PostgreSQL type ids that are supported.
pub(crate) mod type_id {
    pub(crate) const INT8: u32 = 20;
    pub(crate) const INT2: u32 = 21;
    pub(crate) const INT4: u32 = 23;
    pub(crate) const TEXT: u32 = 25;
    pub(crate) const FLOAT8: u32 = 701;
}

impl SqlValue {
    /// Converts a value of a result row.
    pub(crate) fn from_sqlite(value: ValueRef<'_>) -> SqlValue {
        match value {
            ValueRef::Null => SqlValue::Null,
            ValueRef::Integer(it) => SqlValue::Integer(it),
            ValueRef::Real(it) => SqlValue::Real(it),
            ValueRef::Text(it) | ValueRef::Blob(it) => {
                SqlValue::Text(String::from_utf8_lossy(it).into_owned())
            }
        }
    }

    /// Decodes a bound parameter of the given type and format; `bytes` is `None` for NULL.
    pub(crate) fn from_wire(bytes: Option<&[u8]>, type_id: u32, binary: bool) -> SqlValue {
        let Some(bytes) = bytes else { return SqlValue::Null };
        if binary {
            match (type_id, bytes.len()) {
                (type_id::INT2, 2) => {
                    return SqlValue::Integer(i16::from_be_bytes([bytes[0], bytes[1]]).into());
                }
                (type_id::INT4, 4) => {
                    let wide = i32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
                    return SqlValue::Integer(wide.into());
                }
                (type_id::INT8, 8) => {
                    let mut wide = [0; 8];
                    wide.copy_from_slice(bytes);
                    return SqlValue::Integer(i64::from_be_bytes(wide));
                }
                _ => {}
            }
        }
        let text = String::from_utf8_lossy(bytes).into_owned();
        match type_id {
            type_id::INT2 | type_id::INT4 | type_id::INT8 => {
                text.parse().map_or(SqlValue::Text(text), SqlValue::Integer)
            }
            type_id::FLOAT8 => text.parse().map_or(SqlValue::Text(text), SqlValue::Real),
            _ => SqlValue::Text(text),
        }
    }

    /// The value in PostgreSQL's text format; `None` for NULL.
    pub(crate) fn to_text(&self) -> Option<String> {
        match self {
            SqlValue::Null => None,
            SqlValue::Integer(it) => Some(it.to_string()),
            SqlValue::Real(it) => Some(it.to_string()),
            SqlValue::Text(it) => Some(it.clone()),
        }
    }
}

impl rusqlite::ToSql for SqlValue {
    fn to_sql(&self) -> rusqlite::Result<ToSqlOutput<'_>> {
        Ok(ToSqlOutput::Owned(match self {
            SqlValue::Null => Value::Null,
            SqlValue::Integer(it) => Value::Integer(*it),
            SqlValue::Real(it) => Value::Real(*it),
            SqlValue::Text(it) => Value::Text(it.clone()),
        }))
    }
}
