//! Matches a target's answers to the messages that were sent to it.

use std::collections::VecDeque;

use bytes::BytesMut;
use gullspar_wire::{
    Frame, LaneFrame, WireError, caller, kind_and_name, parse_parts, target, texts_and_rest,
};

use crate::TargetConnection;

/// An answer that the target has yet to send.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Expected {
    /// The end of a step that the caller requested; forwarded.
    Step { parsed: Option<String> },
    /// The end of a step that the caller did not request; not forwarded.
    Hidden { parsed: Option<String> },
    /// ParseComplete sent by the proxy, because the connection has the statement prepared already.
    Synthetic,
    /// ReadyForQuery.
    Ready,
}

/// What to do with a message from the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FrameAction {
    /// Forward it to the caller.
    Forward,
    /// Drop it.
    Hide,
    /// End of the unit, with the transaction status byte of ReadyForQuery.
    Ready(u8),
}

/// Tracks the answers that are due for one unit's messages.
#[derive(Debug, Default)]
pub(crate) struct Exchange {
    expected: VecDeque<Expected>,
}

impl Exchange {
    /// Writes a unit's messages to `out`, without Parse messages that `connection` does not need.
    ///
    /// Statement names are derived from the statement's text, so a statement prepared for one
    /// caller can be used by any other.
    ///
    /// # Errors
    ///
    /// Fails if a message is malformed.
    pub(crate) fn prepare(
        &mut self,
        mut payload: BytesMut,
        connection: &mut TargetConnection,
        out: &mut BytesMut,
    ) -> Result<(), WireError> {
        let mut newly_prepared: Vec<String> = Vec::new();
        while let Some(frame) = Frame::take(&mut payload, usize::MAX)? {
            let kind = frame.kind();
            match kind {
                caller::PARSE | LaneFrame::SILENT_PARSE => {
                    let (name, sql, types) = parse_parts(&frame)?;
                    let silent = kind == LaneFrame::SILENT_PARSE;
                    let is_prepared = !name.is_empty()
                        && (connection.prepared.contains(name)
                            || newly_prepared.iter().any(|it| it == name));
                    if is_prepared {
                        if !silent {
                            self.expected.push_back(Expected::Synthetic);
                        }
                        continue;
                    }
                    let parsed = (!name.is_empty()).then(|| name.to_owned());
                    newly_prepared.extend(parsed.clone());
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

    /// Takes the ParseComplete messages due before the target's next message.
    pub(crate) fn take_synthetic(&mut self) -> Vec<Frame> {
        let mut frames = Vec::new();
        while self.expected.front() == Some(&Expected::Synthetic) {
            self.expected.pop_front();
            frames.push(Frame::new(target::PARSE_COMPLETE, &[]));
        }
        frames
    }

    /// Whether no more answers are due, as after a Flush.
    pub(crate) fn is_complete(&self) -> bool {
        self.expected.is_empty()
    }

    /// Removes the answer that `frame` completes and decides what to do with the frame.
    pub(crate) fn handle_answer(
        &mut self,
        frame: &Frame,
        connection: &mut TargetConnection,
    ) -> FrameAction {
        match frame.kind() {
            target::READY => {
                self.expected.clear();
                FrameAction::Ready(frame.body().first().copied().unwrap_or(0))
            }
            target::ERROR => {
                // The target skips everything up to the next Sync.
                self.expected.retain(|it| *it == Expected::Ready);
                FrameAction::Forward
            }
            target::PARSE_COMPLETE
            | target::BIND_COMPLETE
            | target::CLOSE_COMPLETE
            | target::NO_DATA
            | target::ROW_DESCRIPTION
            | target::COMMAND_COMPLETE
            | target::EMPTY_QUERY
            | target::PORTAL_SUSPENDED => self.complete_step(connection),
            _ => FrameAction::Forward,
        }
    }

    fn complete_step(&mut self, connection: &mut TargetConnection) -> FrameAction {
        match self.expected.front() {
            Some(Expected::Step { parsed }) => {
                connection.prepared.extend(parsed.clone());
                self.expected.pop_front();
                FrameAction::Forward
            }
            Some(Expected::Hidden { parsed }) => {
                connection.prepared.extend(parsed.clone());
                self.expected.pop_front();
                FrameAction::Hide
            }
            // A simple query gets any number of such answers, so they are not queued as expected.
            _ => FrameAction::Forward,
        }
    }
}
