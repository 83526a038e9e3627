//! What a statement does, as far as routing is concerned.

use gullspar_model::Access;

use crate::local_command::LocalCommand;

/// The kinds of statement that are handled differently.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// Reads or writes data.
    Data(Access),
    /// Opens a transaction.
    Begin { read_only: bool },
    /// Ends a transaction and keeps what it did.
    Commit,
    /// Ends a transaction and undoes what it did.
    RollBack,
    /// Changes a setting of the session, which is replayed on each connection that serves it.
    Set,
    /// Forgets the session's settings.
    Reset,
    /// Leaves something on the connection that can't be replayed.
    Pinning,
    /// Is answered by gullspar itself.
    Local(LocalCommand),
    /// Is not supported; the text says why.
    Refused(&'static str),
    /// Several statements at once, or something not understood: runs on the primary as it stands.
    Script,
}

/// A classified statement and the marks in its leading comment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    pub kind: StatementKind,
    /// Key of a request that must run at most once.
    pub request_key: Option<String>,
    /// The caller declares that running it twice does no harm.
    pub idempotent: bool,
}

impl Statement {
    /// Whether it only reads data.
    pub fn is_read(&self) -> bool {
        self.kind == StatementKind::Data(Access::Read)
    }
}
