//! Encodes results as PostgreSQL messages.

use bytes::{BufMut, BytesMut};
use gullspar_wire::{Frame, command_complete, target};

use super::value::type_id;
use crate::group::sql_result::{SqlColumn, SqlResult};

/// A RowDescription message, with all columns in text format.
pub(crate) fn row_description(columns: &[SqlColumn]) -> Frame {
    let mut body = BytesMut::new();
    body.put_u16(columns.len() as u16);
    for column in columns {
        body.put_slice(column.name.as_bytes());
        body.put_u8(0);
        body.put_u32(0);
        body.put_u16(0);
        body.put_u32(column.type_id);
        body.put_i16(if column.type_id == type_id::TEXT { -1 } else { 8 });
        body.put_i32(-1);
        body.put_u16(0);
    }
    Frame::new(target::ROW_DESCRIPTION, &body)
}

/// Appends the DataRow messages and the CommandComplete of a result to `out`.
pub(crate) fn rows(result: &SqlResult, out: &mut BytesMut) {
    for row in &result.rows {
        let mut body = BytesMut::new();
        body.put_u16(row.len() as u16);
        for value in row {
            match value.to_text() {
                None => body.put_i32(-1),
                Some(text) => {
                    body.put_i32(text.len() as i32);
                    body.put_slice(text.as_bytes());
                }
            }
        }
        out.extend_from_slice(Frame::new(target::DATA_ROW, &body).bytes());
    }
    out.extend_from_slice(command_complete(&result.tag).bytes());
}

/// A ParameterDescription message; parameters without a type become text.
pub(crate) fn parameter_description(types: &[u32]) -> Frame {
    let mut body = BytesMut::new();
    body.put_u16(types.len() as u16);
    for it in types {
        body.put_u32(if *it == 0 { type_id::TEXT } else { *it });
    }
    Frame::new(target::PARAMETER_DESCRIPTION, &body)
}
