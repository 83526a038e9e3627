//! Statements of callers.

use arcstr::ArcStr;
use gullspar_model::{RequestId, record};

use crate::Definition;

record! {
    /// The kind of a statement, as far as it matters for routing.
    pub enum Action {
        Begin { read_only: bool },
        Commit,
        RollBack,
        Read,
        Write,
        /// Sets a value of the session.
        Set { name: ArcStr, value: ArcStr },
        Prepare { name: ArcStr, definition: Definition },
        /// Runs the statement prepared under `name`; `arguments` is the text that follows the name.
        Execute { name: ArcStr, arguments: ArcStr },
        /// Removes the statement prepared under `name`.
        Deallocate { name: ArcStr },
    }
}

impl Action {
    /// The action's name in the log.
    pub fn name(&self) -> &'static str {
        match self {
            Action::Begin { .. } => "begin",
            Action::Commit => "commit",
            Action::RollBack => "roll back",
            Action::Read => "read",
            Action::Write => "write",
            Action::Set { .. } => "set",
            Action::Prepare { .. } => "prepare",
            Action::Execute { .. } => "execute",
            Action::Deallocate { .. } => "deallocate",
        }
    }
}

record! {
    /// One statement of a caller; `text` is sent to targets unchanged.
    pub struct Statement {
        pub id: RequestId,
        pub text: ArcStr,
        pub action: Action,
    }
}
