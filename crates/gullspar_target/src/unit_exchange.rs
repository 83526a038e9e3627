//! Sends a unit's messages to a target and reads the answer.

use bytes::BytesMut;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_group::{STATUS_QUERY, parse_status};
use gullspar_model::{MemberStatus, NotRun, Unknown};
use gullspar_wire::{ErrorReport, WireError, query, status, target};

use crate::TargetConnection;
use crate::exchange::{Exchange, FrameAction};
use crate::lane::{FrameSink, Unit};

/// Maximum size of an answer held back until its commit is acknowledged, in bytes.
const MAX_HELD_BYTES: usize = 1024 * 1024;

/// Minimum size of a forwarded chunk while more of the answer is buffered, in bytes.
const MIN_CHUNK_BYTES: usize = 16 * 1024;

/// Why a unit failed.
pub(crate) enum Failure {
    NotRun(NotRun),
    /// The connection broke or the deadline passed after the unit was sent.
    Lost(Unknown),
}

impl From<NotRun> for Failure {
    fn from(reason: NotRun) -> Failure {
        Failure::NotRun(reason)
    }
}

/// A target's answer to a unit, as far as it was not forwarded already.
#[derive(Default)]
pub(crate) struct ExchangeResult {
    /// Messages not forwarded yet; on a primary, held back until the commit is acknowledged.
    pub(crate) held: BytesMut,
    /// Whether messages are being held back rather than forwarded.
    pub(crate) holding: bool,
    /// Transaction status byte of ReadyForQuery.
    pub(crate) status: u8,
    /// SQLSTATE of the first error.
    pub(crate) error: Option<String>,
    /// The member's status after the unit, if it was queried.
    pub(crate) after: Option<MemberStatus>,
}

/// Collects the answer of a keyed request, so that it can be stored with the key.
#[derive(Default)]
pub(crate) struct Collector {
    pub(crate) bytes: BytesMut,
}

impl FrameSink for Collector {
    fn push<'a>(&'a mut self, bytes: &'a [u8]) -> LocalBoxFuture<'a, Result<(), WireError>> {
        self.bytes.extend_from_slice(bytes);
        std::future::ready(Ok(())).boxed_local()
    }
}

/// Resets a connection and applies a session's settings to it.
pub(crate) async fn apply_settings(
    connection: &mut TargetConnection,
    settings: &[String],
) -> Result<(), WireError> {
    connection.channel.query("DISCARD ALL").await?;
    connection.prepared.clear();
    connection.settings.clear();
    for setting in settings {
        connection.channel.query(setting).await?;
    }
    connection.settings = settings.to_vec();
    Ok(())
}

/// Sends a unit and reads its answer, holding back messages that report a result on a primary.
pub(crate) async fn exchange_messages(
    unit: &Unit,
    connection: &mut TargetConnection,
    sink: &mut dyn FrameSink,
) -> Result<ExchangeResult, Failure> {
    let mut exchange = Exchange::default();
    let mut out = BytesMut::with_capacity(unit.payload.len() + 64);
    // Malformed messages were rejected on receipt from the caller, so this does not fail.
    let prepared = exchange.prepare(unit.payload.clone(), connection, &mut out);
    prepared.map_err(|_| NotRun::Unreachable)?;
    let keyed = unit.head.request_key.is_some() && unit.head.commits && !unit.head.continues;
    let ask_status = unit.head.acknowledge && !keyed;
    if ask_status {
        out.extend_from_slice(query(STATUS_QUERY).bytes());
    }
    connection.channel.queue(&out);
    let lost = |_| Failure::Lost(Unknown::ConnectionLost);
    connection.channel.flush().await.map_err(lost)?;
    let mut exchanged = ExchangeResult { status: status::BATCH_OPEN, ..ExchangeResult::default() };
    let mut ready = BytesMut::new();
    loop {
        for frame in exchange.take_synthetic() {
            ready.extend_from_slice(frame.bytes());
        }
        if exchange.is_complete() {
            break;
        }
        let frame = match connection.channel.buffered().map_err(lost)? {
            Some(frame) => frame,
            None => {
                if !ready.is_empty() && !exchanged.holding {
                    sink.push(&ready).await.map_err(lost)?;
                    ready.clear();
                }
                connection.channel.next().await.map_err(lost)?
            }
        };
        match exchange.handle_answer(&frame, connection) {
            FrameAction::Hide => continue,
            FrameAction::Ready(byte) => {
                exchanged.status = byte;
                break;
            }
            FrameAction::Forward => {}
        }
        if frame.kind() == target::ERROR && exchanged.error.is_none() {
            exchanged.error = Some(ErrorReport::decode(&frame).code);
        }
        let reports_result = matches!(frame.kind(), target::COMMAND_COMPLETE | target::ERROR);
        if reports_result && unit.head.on_primary && !exchanged.holding {
            // From here on the answer reports a result, which the caller must not see before the
            // commit is acknowledged.
            exchanged.holding = true;
            if !ready.is_empty() {
                sink.push(&ready).await.map_err(lost)?;
                ready.clear();
            }
        }
        if exchanged.holding {
            exchanged.held.extend_from_slice(frame.bytes());
            if exchanged.held.len() > MAX_HELD_BYTES {
                return Err(Failure::Lost(Unknown::NotAcknowledged));
            }
        } else {
            ready.extend_from_slice(frame.bytes());
            if ready.len() >= MIN_CHUNK_BYTES {
                sink.push(&ready).await.map_err(lost)?;
                ready.clear();
            }
        }
    }
    if exchanged.holding {
        exchanged.held.extend_from_slice(&ready);
    } else {
        exchanged.held = ready;
    }
    if ask_status {
        let rows = connection.channel.read_answer().await.map_err(lost)?;
        exchanged.after = rows.first().and_then(parse_status);
    }
    Ok(exchanged)
}
