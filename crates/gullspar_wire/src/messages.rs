//! Type bytes of the protocol, and encoding and decoding of simple messages.

use std::collections::BTreeMap;

use bytes::{BufMut, BytesMut};
use pgwire::messages::Message;
use pgwire::messages::startup::{ParameterStatus, Startup};

use crate::{Frame, WireError, frame};

/// Type bytes sent by callers.
pub mod caller {
    pub const QUERY: u8 = b'Q';
    pub const PARSE: u8 = b'P';
    pub const BIND: u8 = b'B';
    pub const DESCRIBE: u8 = b'D';
    pub const EXECUTE: u8 = b'E';
    pub const CLOSE: u8 = b'C';
    pub const SYNC: u8 = b'S';
    pub const FLUSH: u8 = b'H';
    pub const TERMINATE: u8 = b'X';
    pub const PASSWORD: u8 = b'p';
    pub const FUNCTION_CALL: u8 = b'F';
    pub const COPY_DATA: u8 = b'd';
    pub const COPY_DONE: u8 = b'c';
    pub const COPY_FAIL: u8 = b'f';
}

/// Type bytes sent by targets.
pub mod target {
    pub const AUTHENTICATION: u8 = b'R';
    pub const PARAMETER_STATUS: u8 = b'S';
    pub const BACKEND_KEY: u8 = b'K';
    pub const READY: u8 = b'Z';
    pub const ROW_DESCRIPTION: u8 = b'T';
    pub const DATA_ROW: u8 = b'D';
    pub const COMMAND_COMPLETE: u8 = b'C';
    pub const ERROR: u8 = b'E';
    pub const NOTICE: u8 = b'N';
    pub const NOTIFICATION: u8 = b'A';
    pub const PARSE_COMPLETE: u8 = b'1';
    pub const BIND_COMPLETE: u8 = b'2';
    pub const CLOSE_COMPLETE: u8 = b'3';
    pub const NO_DATA: u8 = b'n';
    pub const PARAMETER_DESCRIPTION: u8 = b't';
    pub const PORTAL_SUSPENDED: u8 = b's';
    pub const EMPTY_QUERY: u8 = b'I';
    pub const COPY_IN: u8 = b'G';
    pub const COPY_OUT: u8 = b'H';
    pub const COPY_BOTH: u8 = b'W';
}

/// Transaction status bytes of ReadyForQuery.
pub mod status {
    pub const IDLE: u8 = b'I';
    pub const IN_TRANSACTION: u8 = b'T';
    pub const FAILED: u8 = b'E';
    /// Only on lanes: the unit ended with a Flush and its batch is still open.
    pub const BATCH_OPEN: u8 = b'F';
}

/// Encodes a start-up message with these parameters.
pub fn startup(parameters: &[(&str, &str)]) -> BytesMut {
    let mut message = Startup::new();
    message.parameters =
        parameters.iter().map(|(key, value)| ((*key).to_owned(), (*value).to_owned())).collect();
    let mut buf = BytesMut::new();
    // Encoding fails only on messages over the protocol's limit, and these are shorter.
    let _ = message.encode(&mut buf);
    buf
}

/// Decodes the parameters of a start-up message; `body` starts after its length and version.
pub fn startup_parameters(mut body: &[u8]) -> Result<BTreeMap<String, String>, WireError> {
    let mut parameters = BTreeMap::new();
    loop {
        let (key, rest) = frame::text_at(body)?;
        if key.is_empty() {
            return Ok(parameters);
        }
        let (value, rest) = frame::text_at(rest)?;
        parameters.insert(key.to_owned(), value.to_owned());
        body = rest;
    }
}

/// Encodes a simple query.
pub fn query(sql: &str) -> Frame {
    let mut body = BytesMut::with_capacity(sql.len() + 1);
    body.extend_from_slice(sql.as_bytes());
    body.put_u8(0);
    Frame::new(caller::QUERY, &body)
}

/// Encodes a ReadyForQuery with a [`status`] byte.
pub fn ready(status: u8) -> Frame {
    Frame::new(target::READY, &[status])
}

/// Encodes a CommandComplete with `tag`.
pub fn command_complete(tag: &str) -> Frame {
    let mut body = BytesMut::from(tag.as_bytes());
    body.put_u8(0);
    Frame::new(target::COMMAND_COMPLETE, &body)
}

/// Appends a ParameterStatus to `buf`.
pub fn parameter_status(buf: &mut BytesMut, name: &str, value: &str) {
    let message = ParameterStatus::new(name.to_owned(), value.to_owned());
    // Encoding fails only on messages over the protocol's limit, and these are shorter.
    let _ = message.encode(buf);
}

/// Appends the ParameterStatus messages that a server sends when a session starts.
pub fn queue_server_parameters(buf: &mut BytesMut) {
    const REPORTED: [(&str, &str); 6] = [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("standard_conforming_strings", "on"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
    ];
    for (name, value) in REPORTED {
        parameter_status(buf, name, value);
    }
}

/// The statement name and text of a Parse message, and the undecoded rest.
pub fn parse_parts(message: &Frame) -> Result<(&str, &str, &[u8]), WireError> {
    let (name, rest) = frame::text_at(message.body())?;
    let (sql, types) = frame::text_at(rest)?;
    Ok((name, sql, types))
}

/// The portal and statement names of a Bind message, and the undecoded rest.
pub fn bind_parts(message: &Frame) -> Result<(&str, &str, &[u8]), WireError> {
    let (portal, rest) = frame::text_at(message.body())?;
    let (statement, values) = frame::text_at(rest)?;
    Ok((portal, statement, values))
}

/// The kind (`S` for statement, `P` for portal) and name in a Describe or Close message.
pub fn kind_and_name(message: &Frame) -> Result<(u8, &str), WireError> {
    let (kind, rest) = message
        .body()
        .split_first()
        .ok_or_else(|| WireError::Malformed("empty Describe or Close".to_owned()))?;
    let (name, _) = frame::text_at(rest)?;
    Ok((*kind, name))
}

/// Encodes a message of zero-terminated texts followed by `rest`.
pub fn texts_and_rest(kind: u8, texts: &[&str], rest: &[u8]) -> Frame {
    let mut body = BytesMut::new();
    for text in texts {
        body.extend_from_slice(text.as_bytes());
        body.put_u8(0);
    }
    body.extend_from_slice(rest);
    Frame::new(kind, &body)
}

/// Decodes the columns of a DataRow as text; a null is `None`.
pub fn row_values(message: &Frame) -> Result<Vec<Option<String>>, WireError> {
    let malformed = || WireError::Malformed("DataRow".to_owned());
    let body = message.body();
    let (head, mut rest) = body.split_at_checked(2).ok_or_else(malformed)?;
    let count = u16::from_be_bytes([head[0], head[1]]);
    let mut values = Vec::with_capacity(usize::from(count));
    for _ in 0..count {
        let (head, tail) = rest.split_at_checked(4).ok_or_else(malformed)?;
        let length = i32::from_be_bytes([head[0], head[1], head[2], head[3]]);
        let length = usize::try_from(length).ok();
        let (value, tail) = tail.split_at_checked(length.unwrap_or(0)).ok_or_else(malformed)?;
        values.push(length.map(|_| String::from_utf8_lossy(value).into_owned()));
        rest = tail;
    }
    Ok(values)
}

/// Encodes a cancel request for the session with this process number and secret.
pub fn cancel_request((process, secret): (i32, i32)) -> BytesMut {
    let mut buf = BytesMut::with_capacity(16);
    buf.put_i32(16);
    buf.put_u32(CANCEL_REQUEST);
    buf.put_i32(process);
    buf.put_i32(secret);
    buf
}

/// Code of a cancel request, sent in place of the protocol version.
pub const CANCEL_REQUEST: u32 = 80_877_102;

/// Code of a request for TLS, sent in place of the protocol version.
pub const SSL_REQUEST: u32 = 80_877_103;

/// Code of a request for GSSAPI encryption, sent in place of the protocol version.
pub const GSS_REQUEST: u32 = 80_877_104;

/// Version 3.0 of the protocol.
pub const PROTOCOL_3: u32 = 196_608;
