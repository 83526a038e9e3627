//! Classified statements.

use gullspar_model::Access;

use crate::local_command::LocalCommand;

/// Kinds of statements, by how they are routed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// Reads or writes data.
    Data(Access),
    /// Opens a transaction.
    Begin { read_only: bool },
    /// Commits a transaction.
    Commit,
    /// Rolls a transaction back.
    RollBack,
    /// Changes a session setting; replayed on each connection that serves the session.
    Set,
    /// Resets the session's settings.
    Reset,
    /// Creates session state that can't be replayed on another connection.
    Pinning,
    /// Answered by gullspar itself.
    Local(LocalCommand),
    /// Not supported, with the error message.
    Refused(&'static str),
    /// Several statements, or text that can't be parsed; runs on the primary unchanged.
    Script,
}

/// A classified statement, with the marks from its leading comment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    pub kind: StatementKind,
    /// Key of a request that must run at most once.
    pub request_key: Option<String>,
    /// Whether the caller declares that running it twice is harmless.
    pub idempotent: bool,
}

impl Statement {
    /// Whether the statement only reads data.
    pub fn is_read(&self) -> bool {
        self.kind == StatementKind::Data(Access::Read)
    }
}
