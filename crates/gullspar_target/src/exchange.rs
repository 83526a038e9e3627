//! Matching a target's answers to what was asked of it.

use std::collections::VecDeque;

use bytes::BytesMut;
use gullspar_wire::{
    Frame, LaneFrame, WireError, caller, kind_and_name, parse_parts, target, texts_and_rest,
};

use crate::TargetConnection;

/// An answer that is still to come.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Expected {
    /// The end of a step: pass it on.
    Step { parsed: Option<String> },
    /// The end of a step that the caller did not ask for: keep it back.
    Hidden { parsed: Option<String> },
    /// A completion that the target need not send, because the statement was prepared already.
    Synthetic,
    /// ReadyForQuery.
    Ready,
}

/// What to do with a message of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Pass it to the caller.
    Forward,
    /// Keep it from the caller.
    Hide,
    /// It ends the unit; its body is the transaction status.
    Ready(u8),
}

/// One unit's messages on their way, and the answers still due.
#[derive(Debug, Default)]
pub(crate) struct Exchange {
    expected: VecDeque<Expected>,
}

impl Exchange {
    /// Rewrites a unit's messages for `connection` into `out`.
    ///
    /// Statements carry names made of their text, so a connection that has one already needs no
    /// second Parse, whoever prepared it.
    pub(crate) fn prepare(
        &mut self,
        mut payload: BytesMut,
        connection: &mut TargetConnection,
        out: &mut BytesMut,
    ) -> Result<(), WireError> {
        let mut preparing: Vec<String> = Vec::new();
        while let Some(frame) = Frame::take(&mut payload, usize::MAX)? {
            let kind = frame.kind();
            match kind {
                caller::PARSE | LaneFrame::SILENT_PARSE => {
                    let (name, sql, types) = parse_parts(&frame)?;
                    let silent = kind == LaneFrame::SILENT_PARSE;
                    let known = !name.is_empty()
                        && (connection.prepared.contains(name)
                            || preparing.iter().any(|it| it == name));
                    if known {
                        if !silent {
                            self.expected.push_back(Expected::Synthetic);
                        }
                        continue;
                    }
                    let parsed = (!name.is_empty()).then(|| name.to_owned());
                    preparing.extend(parsed.clone());
                    let message = texts_and_rest(caller::PARSE, &[name, sql], types);
                    out.extend_from_slice(message.bytes());
                    self.expected.push_back(if silent {
                        Expected::Hidden { parsed }
                    } else {
                        Expected::Step { parsed }
                    });
                }
                caller::QUERY | caller::SYNC => {
                    out.extend_from_slice(frame.bytes());
                    self.expected.push_back(Expected::Ready);
                }
                caller::FLUSH => out.extend_from_slice(frame.bytes()),
                _ => {
                    if kind == caller::CLOSE
                        && let (b'S', name) = kind_and_name(&frame)?
                    {
                        connection.prepared.remove(name);
                    }
                    out.extend_from_slice(frame.bytes());
                    self.expected.push_back(Expected::Step { parsed: None });
                }
            }
        }
        Ok(())
    }

    /// Completions due before the target's next message.
    pub(crate) fn synthetic(&mut self) -> Vec<Frame> {
        let mut frames = Vec::new();
        while self.expected.front() == Some(&Expected::Synthetic) {
            self.expected.pop_front();
            frames.push(Frame::new(target::PARSE_COMPLETE, &[]));
        }
        frames
    }

    /// Whether nothing more is due, as after a Flush.
    pub(crate) fn is_settled(&self) -> bool {
        self.expected.is_empty()
    }

    /// Judges a message of the target.
    pub(crate) fn judge(&mut self, frame: &Frame, connection: &mut TargetConnection) -> Verdict {
        match frame.kind() {
            target::READY => {
                self.expected.clear();
                Verdict::Ready(frame.body().first().copied().unwrap_or(0))
            }
            target::ERROR => {
                // The target skips everything up to the next Sync.
                self.expected.retain(|it| *it == Expected::Ready);
                Verdict::Forward
            }
            target::PARSE_COMPLETE
            | target::BIND_COMPLETE
            | target::CLOSE_COMPLETE
            | target::NO_DATA
            | target::ROW_DESCRIPTION
            | target::COMMAND_COMPLETE
            | target::EMPTY_QUERY
            | target::PORTAL_SUSPENDED => self.finish_step(connection),
            _ => Verdict::Forward,
        }
    }

    fn finish_step(&mut self, connection: &mut TargetConnection) -> Verdict {
        match self.expected.front() {
            Some(Expected::Step { parsed }) => {
                connection.prepared.extend(parsed.clone());
                self.expected.pop_front();
                Verdict::Forward
            }
            Some(Expected::Hidden { parsed }) => {
                connection.prepared.extend(parsed.clone());
                self.expected.pop_front();
                Verdict::Hide
            }
            // Within a simple query steps end without being announced.
            _ => Verdict::Forward,
        }
    }
}
