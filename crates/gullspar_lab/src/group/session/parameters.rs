//! Decodes the types and values of a statement's parameters.

use bytes::{Buf, BytesMut};

use super::value::SqlValue;

/// The type ids of the parameters in a Parse message.
pub(super) fn read_types(mut rest: &[u8]) -> Vec<u32> {
    if rest.len() < 2 {
        return Vec::new();
    }
    let count = usize::from(rest.get_u16());
    (0..count).map_while(|_| (rest.len() >= 4).then(|| rest.get_u32())).collect()
}

/// The parameter values of a Bind message; `None` if it is malformed.
pub(super) fn read_values(rest: &[u8], types: &[u32]) -> Option<Vec<SqlValue>> {
    let mut buf = BytesMut::from(rest);
    let formats = read_formats(&mut buf)?;
    let count = usize::from(read_u16(&mut buf)?);
    let mut values = Vec::with_capacity(count);
    for index in 0..count {
        if buf.len() < 4 {
            return None;
        }
        let length = buf.get_i32();
        let bytes = match usize::try_from(length) {
            Ok(length) if buf.len() >= length => Some(buf.split_to(length)),
            Ok(_) => return None,
            Err(_) => None,
        };
        let format = if formats.len() == 1 { formats.first() } else { formats.get(index) };
        let binary = format == Some(&1);
        let type_id = types.get(index).copied().unwrap_or(0);
        values.push(SqlValue::from_wire(bytes.as_deref(), type_id, binary));
    }
    Some(values)
}

fn read_formats(buf: &mut BytesMut) -> Option<Vec<u16>> {
    let count = read_u16(buf)?;
    (0..count).map(|_| read_u16(buf)).collect()
}

fn read_u16(buf: &mut BytesMut) -> Option<u16> {
    (buf.len() >= 2).then(|| buf.get_u16())
}
