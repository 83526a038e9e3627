//! What an instance knows about a session that it forwards, so that the session can continue when its home is lost.

use std::collections::VecDeque;
use std::time::Instant;

use arcstr::ArcStr;
use gullspar_model::{Access, LogPoint};
use gullspar_statement::{Action, Answer, CallerMessage, TransactionStatus};

use crate::fleet::home_monitor::UnansweredStatement;
use crate::session::opening::Opening;
use crate::session::refusal;
use crate::{RestoredSession, SessionValues};

/// A message that is not answered yet.
pub(super) struct Unanswered {
    pub(super) message: CallerMessage,
    /// When the statement's timeout ends, counted from its arrival.
    pub(super) deadline: Instant,
    /// Whether it was sent to any home.
    pub(super) is_sent: bool,
    /// The observation of the home that it was sent to last.
    pub(super) observed: Option<UnansweredStatement>,
}

impl Unanswered {
    fn action(&self) -> Option<&Action> {
        match &self.message {
            CallerMessage::Statement(statement) => Some(&statement.action),
            _ => None,
        }
    }
}

/// What becomes of the unanswered messages when the home is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Recovery {
    /// There are none.
    Idle,
    /// All may be sent to another home.
    Repeat,
    /// The open transaction is rolled back.
    TransactionLost,
    /// A write or a commit may have taken effect.
    InDoubt,
}

/// The state of a forwarded session, as its home has it after the last answer.
pub(super) struct ForwardedState {
    pub(super) values: SessionValues,
    own_commit: Option<LogPoint>,
    pub(super) status: TransactionStatus,
    /// Whether the open transaction has written.
    wrote: bool,
    /// In the order in which they arrived. Those that were sent precede the others.
    pub(super) unanswered: VecDeque<Unanswered>,
}

impl ForwardedState {
    /// The state of a session that begins with `values`, and whose newest own commit is at `own_commit`.
    pub(super) fn new(values: SessionValues, own_commit: Option<LogPoint>) -> ForwardedState {
        ForwardedState {
            values,
            own_commit,
            status: TransactionStatus::Idle,
            wrote: false,
            unanswered: VecDeque::new(),
        }
    }

    /// Adds a message that is not sent yet.
    pub(super) fn push(&mut self, message: CallerMessage, deadline: Instant) {
        self.unanswered.push_back(Unanswered { message, deadline, is_sent: false, observed: None });
    }

    /// Applies the home's answer to the oldest message.
    pub(super) fn apply(&mut self, answer: &Answer) {
        if let Some(action) = self.unanswered.front().and_then(Unanswered::action).cloned() {
            self.apply_action(&action, answer);
        }
        if let Some(observed) = self.unanswered.pop_front().and_then(|it| it.observed) {
            observed.answered();
        }
        self.status = answer.status;
    }

    fn apply_action(&mut self, action: &Action, answer: &Answer) {
        let (is_ok, is_idle) = (answer.result.is_ok(), self.status == TransactionStatus::Idle);
        match action {
            Action::Set { name, value } if is_ok => {
                self.values.values.insert(name.clone(), value.clone());
            }
            Action::Prepare { name, definition } if is_ok => {
                self.values.prepared.insert(name.clone(), definition.clone());
            }
            Action::Deallocate { name } if is_ok => {
                self.values.prepared.remove(name);
            }
            Action::Commit => {
                if is_ok && self.wrote {
                    self.own_commit = self.own_commit.max(answer.point);
                }
                self.wrote = false;
            }
            Action::RollBack => self.wrote = false,
            _ if self.access(action, 0) != Some(Access::Write) => {}
            _ if !is_idle => self.wrote = true,
            _ if is_ok => self.own_commit = self.own_commit.max(answer.point),
            _ => {}
        }
    }

    /// The access of a statement with `index` unanswered messages before it; `None` if no target runs it.
    fn access(&self, action: &Action, index: usize) -> Option<Access> {
        match action {
            Action::Read => Some(Access::Read),
            Action::Write => Some(Access::Write),
            Action::Execute { name, .. } => self.prepared_access(name, index),
            _ => None,
        }
    }

    fn prepared_access(&self, name: &ArcStr, index: usize) -> Option<Access> {
        let earlier = self.unanswered.iter().take(index).rev().filter_map(Unanswered::action);
        let changed = earlier.filter_map(|it| match it {
            Action::Prepare { name: prepared, definition } if prepared == name => {
                Some(Some(definition.access))
            }
            Action::Deallocate { name: removed } if removed == name => Some(None),
            _ => None,
        });
        let known = || self.values.prepared.get(name).map(|it| it.access);
        changed.into_iter().next().unwrap_or_else(known)
    }

    /// The actions of the statements that were sent, with their access.
    fn sent(&self) -> impl Iterator<Item = (&Action, Option<Access>)> {
        let sent = self.unanswered.iter().take_while(|it| it.is_sent).enumerate();
        sent.filter_map(|(index, it)| it.action().map(|it| (it, self.access(it, index))))
    }

    /// What becomes of the unanswered messages when the home is lost.
    pub(super) fn recovery(&self) -> Recovery {
        match self.status {
            _ if self.unanswered.is_empty() => Recovery::Idle,
            TransactionStatus::Idle if self.can_repeat_all() => Recovery::Repeat,
            TransactionStatus::Idle => Recovery::InDoubt,
            TransactionStatus::Open if self.may_have_committed() => Recovery::InDoubt,
            TransactionStatus::Open | TransactionStatus::Failed => Recovery::TransactionLost,
        }
    }

    /// Whether nothing that was sent may take effect twice, and no transaction was begun that may have done something.
    fn can_repeat_all(&self) -> bool {
        let mut begun = false;
        self.sent().all(|(action, access)| {
            let follows_begin =
                std::mem::replace(&mut begun, matches!(action, Action::Begin { .. }));
            !follows_begin && access != Some(Access::Write)
        })
    }

    /// Whether the commit of the open transaction was sent, and the transaction had written.
    fn may_have_committed(&self) -> bool {
        let mut wrote = self.wrote;
        for (action, access) in self.sent() {
            match action {
                Action::Commit => return wrote,
                Action::RollBack => return false,
                _ => wrote |= access == Some(Access::Write),
            }
        }
        false
    }

    /// Answers the oldest message as a home does whose transaction was lost.
    pub(super) fn fail_transaction(&mut self) -> Option<Answer> {
        let message = self.unanswered.pop_front()?;
        let was_open = self.status == TransactionStatus::Open;
        let lost = || refusal::rolled_back("the instance that served the transaction was lost");
        let answer = match message.action() {
            Some(Action::RollBack) => Answer::done_locally(TransactionStatus::Idle),
            Some(Action::Commit) => Answer::failed(lost(), TransactionStatus::Idle),
            _ if was_open => Answer::failed(lost(), TransactionStatus::Failed),
            _ => Answer::failed(refusal::transaction_failed(), TransactionStatus::Failed),
        };
        self.status = answer.status;
        self.wrote = false;
        Some(answer)
    }

    /// What another home needs to continue the session. `opening` has the service and the key.
    pub(super) fn restored(&self, opening: &Opening) -> RestoredSession {
        RestoredSession {
            service: opening.service.clone(),
            key: opening.key,
            values: self.values.clone(),
            own_commit: self.own_commit,
            repeats_read: self.sent().any(|(_, access)| access == Some(Access::Read)),
        }
    }
}
