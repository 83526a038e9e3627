//! Requests that must run at most once.
//!
//! The key is written to the target in the same transaction as the request, so that the two stand or
//! fall together, through any failover. See `docs/design/at-most-once.md`.

use bytes::BytesMut;
use gullspar_wire::{ErrorReport, Frame, WireError, caller, command_complete, target};

use crate::TargetConnection;

/// Most of an answer that is kept with its key, in bytes.
const ANSWER_LIMIT: usize = 8 * 1024;

/// SQLSTATE of a key that is taken: unique violation.
const TAKEN: &str = "23505";

/// What the key tells.
pub(crate) enum KeyedStart {
    /// Nobody ran it; a transaction with the key is open.
    First,
    /// It ran before; this was its answer.
    Repeated { answer: BytesMut },
    /// The key can't be used.
    Refused(ErrorReport),
}

/// Opens a transaction and writes the key, or finds what came of it earlier.
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
    if report.code != TAKEN {
        return Ok(KeyedStart::Refused(report));
    }
    let print = fingerprint(payload);
    let select = format!(
        "SELECT fingerprint, answer FROM gullspar_requests WHERE request_key = {}",
        quoted(key)
    );
    let rows = channel.query(&select).await?;
    let mut columns = rows.into_iter().next().unwrap_or_default().into_iter();
    if columns.next().flatten().as_deref() != Some(print.as_str()) {
        let text = "this request key was used for another request";
        return Ok(KeyedStart::Refused(ErrorReport::error("22023", text)));
    }
    let kept = columns.next().flatten().unwrap_or_default();
    Ok(KeyedStart::Repeated { answer: replay(payload, &from_hex(&kept)) })
}

/// Writes the key within a transaction that the caller opened; gives the error that it failed with.
///
/// The transaction as a whole then runs at most once. Its first answer can't be repeated, since it
/// spans several requests; a second attempt learns that it committed.
pub(crate) async fn claim_in_transaction(
    connection: &mut TargetConnection,
    key: &str,
    payload: &BytesMut,
) -> Result<Option<ErrorReport>, WireError> {
    let refused = write_key(connection, key, payload).await?;
    Ok(refused.map(|report| {
        if report.code == TAKEN {
            ErrorReport::error(TAKEN, "a transaction with this request key has committed already")
                .with_hint("done; do not repeat it")
        } else {
            report
        }
    }))
}

/// Writes the key; gives the target's error if it refused.
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

/// Keeps the answer with the key and commits both with the request.
pub(crate) async fn finish(
    connection: &mut TargetConnection,
    key: &str,
    answer: &BytesMut,
) -> Result<(), WireError> {
    let kept = kept_part(answer);
    let update = format!(
        "UPDATE gullspar_requests SET answer = '{}' WHERE request_key = {}",
        to_hex(&kept),
        quoted(key)
    );
    connection.channel.query(&update).await?;
    connection.channel.query("COMMIT").await?;
    Ok(())
}

/// The rows and the completion of an answer; of a long one the completion alone.
fn kept_part(answer: &BytesMut) -> BytesMut {
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
    if rows.len() + completion.len() > ANSWER_LIMIT {
        return completion;
    }
    rows.extend_from_slice(&completion);
    rows
}

/// Answers a repeated request's messages with what the first one brought.
fn replay(payload: &BytesMut, kept: &[u8]) -> BytesMut {
    let mut description = BytesMut::new();
    let mut rows = BytesMut::new();
    let mut rest = BytesMut::from(kept);
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

/// Tells two requests under one key apart.
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
