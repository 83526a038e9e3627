//! Sending a unit's messages to a target and reading its answer.

use bytes::BytesMut;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_group::{STATUS_QUERY, parse_status};
use gullspar_model::{MemberStatus, NotRun, Unknown};
use gullspar_wire::{ErrorReport, WireError, query, status, target};

use crate::TargetConnection;
use crate::exchange::{Exchange, Verdict};
use crate::lane::{FrameSink, Unit};

/// Most that an answer may hold back while it waits for its acknowledgement, in bytes.
const HELD_LIMIT: usize = 1024 * 1024;

/// Passes answers on in pieces of at least this size while more is on its way, in bytes.
const PIECE: usize = 16 * 1024;

/// How a unit failed on its way.
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

/// What came of the messages exchanged with a target.
#[derive(Default)]
pub(crate) struct Exchanged {
    /// Held back until the acknowledgement.
    pub(crate) held: BytesMut,
    pub(crate) holding: bool,
    pub(crate) status: u8,
    /// SQLSTATE of the first error.
    pub(crate) error: Option<String>,
    /// The member's status after the unit.
    pub(crate) after: Option<MemberStatus>,
}

/// Gathers what a keyed request answers, to be kept with its key.
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

/// Puts a session's settings in force on a connection that has others.
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

/// Sends a unit and reads its answer, holding back what claims success.
pub(crate) async fn exchange_plain(
    unit: &Unit,
    connection: &mut TargetConnection,
    sink: &mut dyn FrameSink,
) -> Result<Exchanged, Failure> {
    let mut exchange = Exchange::default();
    let mut out = BytesMut::with_capacity(unit.payload.len() + 64);
    // Malformed messages were refused when the caller sent them.
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
    let mut exchanged = Exchanged { status: status::BATCH_OPEN, ..Exchanged::default() };
    let mut ready = BytesMut::new();
    loop {
        for frame in exchange.synthetic() {
            ready.extend_from_slice(frame.bytes());
        }
        if exchange.is_settled() {
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
        match exchange.judge(&frame, connection) {
            Verdict::Hide => continue,
            Verdict::Ready(byte) => {
                exchanged.status = byte;
                break;
            }
            Verdict::Forward => {}
        }
        if frame.kind() == target::ERROR && exchanged.error.is_none() {
            exchanged.error = Some(ErrorReport::decode(&frame).code);
        }
        let decisive = matches!(frame.kind(), target::COMMAND_COMPLETE | target::ERROR);
        if decisive && unit.head.on_primary && !exchanged.holding {
            // From here on the answer claims a result, and must not be seen before it is certain.
            exchanged.holding = true;
            if !ready.is_empty() {
                sink.push(&ready).await.map_err(lost)?;
                ready.clear();
            }
        }
        if exchanged.holding {
            exchanged.held.extend_from_slice(frame.bytes());
            if exchanged.held.len() > HELD_LIMIT {
                return Err(Failure::Lost(Unknown::NotAcknowledged));
            }
        } else {
            ready.extend_from_slice(frame.bytes());
            if ready.len() >= PIECE {
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
