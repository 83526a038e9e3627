//! Requests that must run at most once.
//!
//! The key is written to the target in the same transaction as the request, so both commit or
//! neither does, also across a failover. See `docs/design/at-most-once.md`.

use bytes::BytesMut;
use gullspar_wire::{ErrorReport, Frame, WireError, caller, command_complete, target};

use crate::TargetConnection;

/// Maximum size of the rows and completion stored with a key, in bytes.
const MAX_STORED_ANSWER_BYTES: usize = 8 * 1024;

/// SQLSTATE reported if the key exists already.
const UNIQUE_VIOLATION: &str = "23505";

/// Result of writing a request's key.
pub(crate) enum KeyedStart {
    /// The request has not run; a transaction that holds the key is open.
    First,
    /// The request ran before, with this answer.
    Repeated { answer: BytesMut },
    /// The key can't be used; the error is for the caller.
    Refused(ErrorReport),
}

/// Opens a transaction and writes the key, or reads the stored answer if the key exists.
pub(crate) async fn start(
    connection: &mut TargetConnection,
    key: &str,
    payload: &BytesMut,
) -> Result<KeyedStart, WireError> {
    connection.channel.query("BEGIN").await?;
    let Some(report) = write_key(connection, key, payload).await? else {
        return Ok(KeyedStart::First);
    };
    let channel = &mut connection.channel;
    channel.query("ROLLBACK").await?;
    if report.code != UNIQUE_VIOLATION {
        return Ok(KeyedStart::Refused(report));
    }
    let request_fingerprint = fingerprint(payload);
    let select = format!(
        "SELECT fingerprint, answer FROM gullspar_requests WHERE request_key = {}",
        quoted(key)
    );
    let rows = channel.query(&select).await?;
    let mut columns = rows.into_iter().next().unwrap_or_default().into_iter();
    if columns.next().flatten().as_deref() != Some(request_fingerprint.as_str()) {
        let text = "this request key was used for another request";
        return Ok(KeyedStart::Refused(ErrorReport::error("22023", text)));
    }
    let stored = columns.next().flatten().unwrap_or_default();
    Ok(KeyedStart::Repeated { answer: replay(payload, &from_hex(&stored)) })
}

/// Writes the key within a transaction that the caller opened; returns the target's error if it
/// refused.
///
/// The transaction as a whole then runs at most once. It spans several requests, so no answer is
/// stored; a second attempt gets an error that says that the transaction has committed.
pub(crate) async fn claim_in_transaction(
    connection: &mut TargetConnection,
    key: &str,
    payload: &BytesMut,
) -> Result<Option<ErrorReport>, WireError> {
    let refused = write_key(connection, key, payload).await?;
    Ok(refused.map(|report| {
        if report.code == UNIQUE_VIOLATION {
            ErrorReport::error(
                UNIQUE_VIOLATION,
                "a transaction with this request key has committed already",
            )
            .with_hint("done; do not repeat it")
        } else {
            report
        }
    }))
}

/// Writes the key; returns the target's error if it refused.
async fn write_key(
    connection: &mut TargetConnection,
    key: &str,
    payload: &BytesMut,
) -> Result<Option<ErrorReport>, WireError> {
    let insert = format!(
        "INSERT INTO gullspar_requests (request_key, fingerprint) VALUES ({}, '{}')",
        quoted(key),
        fingerprint(payload)
    );
    match connection.channel.query(&insert).await {
        Ok(_) => Ok(None),
        Err(WireError::Server(report)) => Ok(Some(report)),
        Err(err) => Err(err),
    }
}

/// Stores the answer with the key and commits the request's transaction.
pub(crate) async fn finish(
    connection: &mut TargetConnection,
    key: &str,
    answer: &BytesMut,
) -> Result<(), WireError> {
    let stored = storable_part(answer);
    let update = format!(
        "UPDATE gullspar_requests SET answer = '{}' WHERE request_key = {}",
        to_hex(&stored),
        quoted(key)
    );
    connection.channel.query(&update).await?;
    connection.channel.query("COMMIT").await?;
    Ok(())
}

/// Extracts the rows and the completion of an answer; if they are too long, only the completion.
fn storable_part(answer: &BytesMut) -> BytesMut {
    let mut rows = BytesMut::new();
    let mut completion = BytesMut::new();
    let mut rest = answer.clone();
    while let Ok(Some(frame)) = Frame::take(&mut rest, usize::MAX) {
        match frame.kind() {
            target::ROW_DESCRIPTION | target::DATA_ROW => rows.extend_from_slice(frame.bytes()),
            target::COMMAND_COMPLETE => completion = frame.into_bytes(),
            _ => {}
        }
    }
    if rows.len() + completion.len() > MAX_STORED_ANSWER_BYTES {
        return completion;
    }
    rows.extend_from_slice(&completion);
    rows
}

/// Answers a repeated request's messages with the stored answer.
fn replay(payload: &BytesMut, stored: &[u8]) -> BytesMut {
    let mut description = BytesMut::new();
    let mut rows = BytesMut::new();
    let mut rest = BytesMut::from(stored);
    while let Ok(Some(frame)) = Frame::take(&mut rest, usize::MAX) {
        let part =
            if frame.kind() == target::ROW_DESCRIPTION { &mut description } else { &mut rows };
        part.extend_from_slice(frame.bytes());
    }
    if rows.is_empty() {
        rows.extend_from_slice(command_complete("OK").bytes());
    }
    let mut answer = BytesMut::new();
    let mut rest = payload.clone();
    while let Ok(Some(frame)) = Frame::take(&mut rest, usize::MAX) {
        match frame.kind() {
            caller::QUERY => {
                answer.extend_from_slice(&description);
                answer.extend_from_slice(&rows);
            }
            caller::PARSE => {
                answer.extend_from_slice(Frame::new(target::PARSE_COMPLETE, &[]).bytes())
            }
            caller::BIND => {
                answer.extend_from_slice(Frame::new(target::BIND_COMPLETE, &[]).bytes())
            }
            caller::DESCRIBE if description.is_empty() => {
                answer.extend_from_slice(Frame::new(target::NO_DATA, &[]).bytes());
            }
            caller::DESCRIBE => answer.extend_from_slice(&description),
            caller::EXECUTE => answer.extend_from_slice(&rows),
            _ => {}
        }
    }
    answer
}

/// Identifies a request's content, to detect a key that is reused for another request.
fn fingerprint(payload: &BytesMut) -> String {
    format!("{:032x}", xxhash_rust::xxh3::xxh3_128(payload))
}

fn quoted(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|it| format!("{it:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> =
        text.chars().filter_map(|it| it.to_digit(16)).map(|it| it as u8).collect();
    digits.chunks_exact(2).map(|it| it[0] << 4 | it[1]).collect()
}
