//! The state with which this instance begins to serve a session.

use std::collections::VecDeque;

use gullspar_model::{CustomerName, LogPoint};
use gullspar_statement::CallerMessage;

use crate::fleet::rotation::UseCounter;
use crate::session::opening::Opening;
use crate::{RestoredSession, SessionValues};

/// An admitted session, as it begins here.
pub(crate) struct SessionStart {
    pub(super) opening: Opening,
    pub(super) customer: Option<CustomerName>,
    /// Counts the statements of a caller that is connected to this instance; `None` for a forwarded session.
    pub(super) use_counter: Option<UseCounter>,
    pub(super) values: SessionValues,
    pub(super) own_commit: Option<LogPoint>,
    /// Whether the first statement that needs a target is a read that was already sent to another home.
    pub(super) repeats_read: bool,
    /// Messages to serve before any others, if the caller does not wait for the answer to its opening.
    pub(super) backlog: Option<VecDeque<CallerMessage>>,
}

impl SessionStart {
    /// A session that its caller has just opened.
    pub(crate) fn new(opening: Opening, customer: Option<CustomerName>) -> SessionStart {
        SessionStart {
            opening,
            customer,
            use_counter: None,
            values: SessionValues::default(),
            own_commit: None,
            repeats_read: false,
            backlog: None,
        }
    }

    /// With a counter of its statements, for a caller that is connected to this instance.
    pub(crate) fn counted_by(self, use_counter: UseCounter) -> SessionStart {
        SessionStart { use_counter: Some(use_counter), ..self }
    }

    /// With the state that the session had at another instance.
    pub(crate) fn restored(self, restored: Option<RestoredSession>) -> SessionStart {
        let Some(RestoredSession { values, own_commit, repeats_read, .. }) = restored else {
            return self;
        };
        SessionStart { values, own_commit, repeats_read, ..self }
    }

    /// With messages that the caller has sent already; its opening was answered before.
    pub(crate) fn continued_with(self, messages: VecDeque<CallerMessage>) -> SessionStart {
        SessionStart { backlog: Some(messages), ..self }
    }
}
