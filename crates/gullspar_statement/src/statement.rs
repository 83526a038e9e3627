//! What a caller asks for.

use arcstr::ArcStr;
use gullspar_model::{RequestId, record};

use crate::Definition;

record! {
    /// What a statement does, as far as routing is concerned.
    pub enum Action {
        Begin { read_only: bool },
        Commit,
        RollBack,
        Read,
        Write,
        /// Sets a value of the session.
        Set { name: ArcStr, value: ArcStr },
        Prepare { name: ArcStr, definition: Definition },
        /// Runs what was prepared under `name`; `arguments` are what follows the name.
        Execute { name: ArcStr, arguments: ArcStr },
        /// Forgets what was prepared under `name`.
        Deallocate { name: ArcStr },
    }
}

impl Action {
    /// A word for the log.
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
    /// One statement of a caller; targets get `text` as it came.
    pub struct Statement {
        pub id: RequestId,
        pub text: ArcStr,
        pub action: Action,
    }
}
