//! How a caller's session ends, or where it continues.

use std::collections::VecDeque;

use gullspar_statement::{CallerLink, CallerLinkError, CallerMessage};

use crate::RestoredSession;
use crate::fleet::rotation::UseCounter;

/// Why a session has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndReason {
    /// The caller closed its connection.
    CallerGone,
    /// The session was refused when it was opened.
    Refused,
    /// The session's key is no longer valid.
    KeyRefused,
    /// What the caller sent can't be read.
    Malformed,
    /// The instance that served the session was lost while a write or a commit was in progress.
    InDoubt,
    /// This instance shuts down.
    Shutdown,
    /// This instance is partitioned from most others.
    Partitioned,
}

impl EndReason {
    /// The name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            EndReason::CallerGone => "caller_gone",
            EndReason::Refused => "refused",
            EndReason::KeyRefused => "key_refused",
            EndReason::Malformed => "malformed",
            EndReason::InDoubt => "in_doubt",
            EndReason::Shutdown => "shutdown",
            EndReason::Partitioned => "partitioned",
        }
    }

    /// The reason for which a session ended with `err`.
    pub(crate) fn of(err: &CallerLinkError) -> EndReason {
        match err {
            CallerLinkError::Broken(_) => EndReason::CallerGone,
            CallerLinkError::Unreadable(_) => EndReason::Malformed,
        }
    }
}

/// The result of serving or forwarding a session.
pub(crate) enum SessionEnd {
    Ended(EndReason),
    /// This instance serves the session from now on, beginning with the messages that are not answered yet.
    ServeHere(Box<HandedOver>, VecDeque<CallerMessage>),
    /// Another instance serves the session from its next statement on.
    Forward(Box<HandedOver>),
}

/// A session that continues, with its caller's connection.
pub(crate) struct HandedOver {
    pub(crate) caller: Box<dyn CallerLink>,
    pub(crate) use_counter: UseCounter,
    pub(crate) restored: RestoredSession,
}
